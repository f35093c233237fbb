#include "config_tracker.hpp"

#include "sha256.hpp"
#include "text_delta.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

constexpr auto        fetch_resend_interval = seconds{1};
constexpr std::size_t max_rejected_versions = 64;
// Peers are rarely more than a few versions behind. Those further behind get
// whole documents in place of deltas.
constexpr std::size_t max_previous_versions = 4;
constexpr auto        sample_seed           = 0x73616d70;

} // namespace

config_tracker::config_tracker(node_context& context, time_point t)
    : context_(context), last_confirmed_(t)
{
    std::vector<std::pair<std::uint64_t, slot_id>> order;
    for (std::uint32_t n = 0; n < context_.slot_count(); ++n) {
        if (slot_id{n} != context_.init.self)
            order.emplace_back(
                rendezvous_weight(context_.init.slots[n].name,
                                  sample_seed + context_.init.self.idx),
                slot_id{n});
    }
    std::sort(order.begin(), order.end());
    sample_.push_back(context_.init.self);
    for (const auto& it : order) {
        if (sample_.size() < limits::config_sample)
            sample_.push_back(it.second);
    }
    replied_.insert(context_.init.self);
}

config_tracker::content config_tracker::make_content(std::uint64_t version,
                                                     documents     texts)
{
    content     it;
    std::string all;
    for (const auto& [name, text] : texts) {
        const auto digest = sha256(text);
        it.digests[name]  = digest;
        all += std::to_string(name.size()) + ":" + name + digest;
    }
    it.version = version;
    it.texts   = std::move(texts);
    it.digest  = sha256(all);
    return it;
}

bool config_tracker::majority_replied() const
{
    return replied_.size() >= sample_.size() / 2 + 1;
}

std::vector<slot_id> config_tracker::pending_peers() const
{
    std::vector<slot_id> out;
    for (const auto it : sample_) {
        if (!replied_.contains(it))
            out.push_back(it);
    }
    return out;
}

bool config_tracker::confirmed(time_point t) const
{
    return t - last_confirmed_ < limits::config_confirmation_validity;
}

void config_tracker::digest(pb::ConfigDigest& out) const
{
    out.set_version(version_);
    out.set_sha256(current_.digest);
}

bool config_tracker::is_new_candidate(std::uint64_t version) const
{
    return version > version_ && version > offered_ &&
           (!candidate_ || version > candidate_->version) &&
           !rejected_.contains(version);
}

void config_tracker::on_digest(slot_id from, const pb::ConfigDigest& digest,
                               bool is_reply, time_point t)
{
    const auto version = digest.version();
    if (!rejected_.contains(version))
        highest_reported_ = std::max(highest_reported_, version);
    if (version == version_ && digest.sha256() == current_.digest) {
        last_confirmed_ = t;
    }
    else if (version == version_ && conflict_ != version) {
        conflict_ = version;
        context_.events.emplace_back(config_conflict_event{version, from});
    }
    if ((is_reply || !context_.enabled(node_guard::fresh_echo)) &&
        std::find(sample_.begin(), sample_.end(), from) != sample_.end())
        replied_.insert(from);
    if (is_new_candidate(version)) {
        if (!fetch_ || version > fetch_->version) {
            fetch_ = fetch{version, digest.sha256(), from, t, false};
            send_request(t);
        }
        else if (version == fetch_->version) {
            // Send the next request to the peer that reported the version
            // last; an earlier one may have died since.
            fetch_->peer   = from;
            fetch_->sha256 = digest.sha256();
        }
    }
    offer_candidate();
}

void config_tracker::send_request(time_point t)
{
    fetch_->requested = t;
    auto& request = *context_.out.add(fetch_->peer).mutable_config_request();
    request.set_version(fetch_->version);
    if (fetch_->whole_documents)
        return;
    for (const auto& [name, digest] : current_.digests)
        (*request.mutable_known())[name] = digest;
}

void config_tracker::tick(time_point t)
{
    if (fetch_ && !is_new_candidate(fetch_->version))
        fetch_.reset();
    if (fetch_ && t - fetch_->requested >= fetch_resend_interval)
        send_request(t);
}

void config_tracker::on_request(slot_id from, const pb::ConfigRequest& request)
{
    if (version_ == 0 || version_ < request.version())
        return;
    auto& reply = *context_.out.add(from).mutable_config_reply();
    reply.set_version(version_);
    for (const auto& [name, text] : current_.texts) {
        const auto& digest   = current_.digests.at(name);
        auto&       document = *reply.add_documents();
        document.set_name(name);
        document.set_sha256(digest);
        const auto known = request.known().find(name);
        if (known == request.known().end())
            document.set_text(text);
        else if (known->second != digest)
            add_text(name, known->second, document);
    }
}

void config_tracker::add_text(const std::string& name, const std::string& known,
                              pb::ConfigDocument& out) const
{
    const auto& text = current_.texts.at(name);
    for (const auto& it : previous_) {
        const auto digest = it.digests.find(name);
        if (digest == it.digests.end() || digest->second != known)
            continue;
        auto delta = make_delta(it.texts.at(name), text);
        out.set_keep_head(static_cast<std::uint32_t>(delta.keep_head));
        out.set_keep_tail(static_cast<std::uint32_t>(delta.keep_tail));
        out.set_text(std::move(delta.text));
        return;
    }
    out.set_text(text);
}

std::optional<std::string>
config_tracker::full_text(const pb::ConfigDocument& it) const
{
    const auto known = current_.digests.find(it.name());
    if (known == current_.digests.end())
        return it.text();
    const auto& own = current_.texts.at(it.name());
    if (known->second == it.sha256())
        return own;
    if (it.keep_head() == 0 && it.keep_tail() == 0)
        return it.text();
    return apply_delta(own, {it.keep_head(), it.keep_tail(), it.text()});
}

void config_tracker::on_reply(const pb::ConfigReply& reply, time_point t)
{
    if (!fetch_ || reply.version() < fetch_->version ||
        !is_new_candidate(reply.version()))
        return;
    const bool check = context_.enabled(node_guard::config_digest);
    documents  texts;
    for (const auto& it : reply.documents()) {
        auto text = full_text(it);
        if (!text || (check && sha256(*text) != it.sha256())) {
            fetch_->whole_documents = true;
            return;
        }
        texts.emplace(it.name(), *std::move(text));
    }
    auto content = make_content(reply.version(), std::move(texts));
    if (check && reply.version() == fetch_->version &&
        content.digest != fetch_->sha256)
    {
        fetch_->whole_documents = true;
        return;
    }
    offer(std::move(content), t);
}

void config_tracker::on_read(std::uint64_t version, documents texts,
                             time_point t)
{
    if (version == version_) {
        // Comparing the texts avoids hashing them on each read.
        if (version != 0 && texts == current_.texts)
            last_confirmed_ = t;
        return;
    }
    if (is_new_candidate(version) ||
        !context_.enabled(node_guard::config_monotonic))
        offer(make_content(version, std::move(texts)), t);
}

void config_tracker::offer(content&& it, time_point)
{
    candidate_ = std::move(it);
    offer_candidate();
}

void config_tracker::offer_candidate()
{
    if (!candidate_ || candidate_->version == offered_)
        return;
    if (version_ == 0) {
        if (!majority_replied() && context_.enabled(node_guard::fresh_majority))
            return;
        if (candidate_->version < highest_reported_ &&
            context_.enabled(node_guard::fresh_highest))
            return;
    }
    offered_ = candidate_->version;
    context_.events.emplace_back(
        config_event{candidate_->version, candidate_->texts});
}

bool config_tracker::accept(std::uint64_t version, time_point t)
{
    if (!candidate_ || candidate_->version != version || offered_ != version)
        return false;
    if (version <= version_ && context_.enabled(node_guard::config_monotonic))
        return false;
    if (version_ != 0)
        previous_.push_front(std::move(current_));
    if (previous_.size() > max_previous_versions)
        previous_.pop_back();
    current_        = std::move(*candidate_);
    version_        = version;
    last_confirmed_ = t;
    candidate_.reset();
    offered_ = 0;
    return true;
}

void config_tracker::reject(std::uint64_t version, time_point)
{
    if (context_.enabled(node_guard::rejected_version)) {
        rejected_.insert(version);
        if (rejected_.size() > max_rejected_versions)
            rejected_.erase(rejected_.begin());
    }
    if (highest_reported_ == version)
        highest_reported_ = version_;
    if (candidate_ && candidate_->version == version)
        candidate_.reset();
    if (offered_ == version)
        offered_ = 0;
}

} // namespace arbutusgate
