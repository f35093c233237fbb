#include "peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace arbutusgate::gateway {

namespace {

/// Unanswered messages in a row after which a peer is suspect.
constexpr std::uint32_t misses_allowed = 2;
/// A gap between rounds that is longer is a pause of this process.
constexpr int pause_rounds = 3;

/// What was found of the candidates holds for so long; heartbeats that come
/// meanwhile make no dead one alive.
constexpr milliseconds candidates_kept{100};

std::uint64_t weight(std::string_view work, const std::string& address)
{
    return XXH3_64bits_withSeed(address.data(), address.size(),
                                XXH3_64bits(work.data(), work.size()));
}

/// Weighted rendezvous: a daemon wins in proportion to its capacity.
double claim(std::string_view work, const peer& it)
{
    constexpr double most = 18446744073709551616.0; // 2^64
    const auto lot = (static_cast<double>(weight(work, it.address)) + 1) / most;
    return std::log(lot) / std::max(1U, it.capacity);
}

/// The better candidate first.
bool better_candidate(const peer& a, const peer& b)
{
    if (a.capacity != b.capacity)
        return a.capacity > b.capacity;
    return weight("", a.address) > weight("", b.address);
}

} // namespace

peer_table::peer_table(peer self, std::vector<std::string> seeds,
                       std::uint64_t seed, peer_times times)
    : self_(std::move(self)), seeds_(std::move(seeds)), random_(seed),
      times_(times)
{
    set_seeds(std::move(seeds_));
}

void peer_table::set_seeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
    std::erase(seeds_, self_.address);
}

bool peer_table::living(const entry& it, time_point now) const
{
    return now - it.heard < times_.dead + times_.dead_per_daemon *
                                              static_cast<int>(beyond_small());
}

std::vector<std::string>
peer_table::to_tell(const std::vector<std::string>& services, time_point now)
{
    if (beyond_small() > 0)
        return targets(services, now);
    auto out = alive(now);
    for (const auto& it : unmet_seeds(now))
        out.push_back(it);
    return out;
}

/// Daemons beyond those of a small fleet.
std::size_t peer_table::beyond_small() const
{
    const auto n = peers_.size() + 1;
    return n > times_.small_fleet ? n - times_.small_fleet : 0;
}

milliseconds peer_table::beat_interval() const
{
    return std::min(interval(), times_.candidate_interval);
}

bool peer_table::round_due(time_point now)
{
    if (now - round_at_ < interval())
        return false;
    round_at_ = now;
    return true;
}

milliseconds peer_table::interval() const
{
    // Others learn soon of a daemon that has started, and that it is ready.
    if (joining(beaten_))
        return times_.interval;
    const auto n = std::max(peers_.size() + 1, times_.small_fleet);
    return times_.interval * static_cast<int>(n) /
           static_cast<int>(times_.small_fleet);
}

void peer_table::beat(time_point now)
{
    ++self_.heartbeat;
    ++rounds_;
    if (started_ == time_point{})
        started_ = now;
    if (beaten_ != time_point{} &&
        now - beaten_ > pause_rounds * beat_interval()) {
        for (auto& [address, it] : peers_)
            it.heard += now - beaten_;
    }
    beaten_           = now;
    candidates_until_ = {};
    std::erase_if(peers_, [&](const auto& entry) {
        return now - entry.second.heard > times_.forget;
    });
}

std::vector<std::string>
peer_table::targets(const std::vector<std::string>& services, time_point now)
{
    auto out = some_alive(times_.fanout, now);
    for (const auto& it : services) {
        const auto owner = owner_of(it, now);
        if (owner != self_.address)
            out.push_back(owner);
    }
    if (!seeds_.empty() && (out.empty() || rounds_ % times_.seed_rounds == 0))
        out.push_back(seeds_[random_() % seeds_.size()]);
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

bool peer_table::joining(time_point now) const
{
    return now - started_ < times_.join_time;
}

std::vector<std::string> peer_table::unmet_seeds(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& it : seeds_) {
        const auto known = peers_.find(it);
        if (known == peers_.end() || !living(known->second, now))
            out.push_back(it);
    }
    return out;
}

bool peer_table::settled(time_point now) const
{
    if (now - started_ >= times_.join_wait)
        return true;
    return !peers_.empty() && now - met_ >= times_.join_quiet;
}

std::vector<std::string> peer_table::learn(const std::vector<peer>& members,
                                           time_point               now)
{
    std::vector<std::string> out;
    for (std::size_t n = 0; n < members.size(); ++n) {
        const bool by_others = n > 0;
        if (merge(members[n], now) && by_others)
            out.push_back(members[n].address);
    }
    // In a larger fleet all would greet all; rounds spread the news there.
    if (beyond_small() > 0)
        out.clear();
    return out;
}

bool peer_table::merge(const peer& it, time_point now)
{
    if (it.address == self_.address) {
        // An earlier process of this address is still remembered; a later one
        // there can only mean that this clock went back.
        if (it.incarnation > self_.incarnation)
            self_.incarnation = it.incarnation + 1;
        return false;
    }
    // A daemon that starts is not an owner yet. In a large fleet its entry
    // would still be passed on when it is ready.
    if (it.refuses_orders && !peers_.contains(it.address))
        return false;
    auto&      known = peers_[it.address];
    const bool newer = it.incarnation > known.it.incarnation ||
                       (it.incarnation == known.it.incarnation &&
                        it.heartbeat > known.it.heartbeat);
    if (!newer)
        return false;
    const bool started = it.incarnation > known.it.incarnation;
    if (started) {
        known.suspect_until = {};
        known.misses        = 0;
        known.suspects      = 0;
        met_                = now;
    }
    if (started || it.refuses_orders != known.it.refuses_orders)
        candidates_until_ = {};
    known.it    = it;
    known.heard = now;
    return started;
}

bool peer_table::quiet(const std::string& address, time_point since,
                       time_point now) const
{
    const auto it = peers_.find(address);
    const auto last =
        it == peers_.end() ? since : std::max(since, it->second.answered);
    return now - last >= times_.owner_silence;
}

void peer_table::answered(const std::string& address, time_point now)
{
    const auto it = peers_.find(address);
    if (it == peers_.end())
        return;
    it->second.answered      = now;
    it->second.misses        = 0;
    it->second.suspects      = 0;
    it->second.suspect_until = {};
}

bool peer_table::silent(const std::string& address, bool certain,
                        time_point now)
{
    const auto it = peers_.find(address);
    if (it == peers_.end())
        return false;
    if (++it->second.misses < misses_allowed && !certain)
        return false;
    const bool already = now < it->second.suspect_until;
    const auto time =
        std::min(times_.suspect * (1 << std::min(it->second.suspects, 6U)),
                 times_.suspect_most);
    it->second.suspect_until = now + time;
    ++it->second.suspects;
    return !already;
}

std::vector<peer> peer_table::entries(time_point now)
{
    std::vector<const peer*> others;
    for (const auto& [address, it] : peers_) {
        if (living(it, now))
            others.push_back(&it.it);
    }
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(std::min(others.size(), times_.entries - 1));
    std::vector<peer> out{self_};
    for (const auto* it : others)
        out.push_back(*it);
    return out;
}

std::vector<std::string> peer_table::alive(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& [address, it] : peers_) {
        if (living(it, now))
            out.push_back(address);
    }
    return out;
}

std::vector<std::string> peer_table::some_alive(std::size_t most,
                                                time_point  now)
{
    auto out = alive(now);
    std::shuffle(out.begin(), out.end(), random_);
    out.resize(std::min(out.size(), most));
    return out;
}

void peer_table::find_candidates(time_point now) const
{
    if (now < candidates_until_)
        return;
    candidates_until_ = now + candidates_kept;
    std::vector<const entry*> all;
    for (const auto& [address, it] : peers_) {
        if (living(it, now) && !it.it.refuses_orders)
            all.push_back(&it);
    }
    if (!self_.refuses_orders)
        all.push_back(nullptr);
    const auto peer_of = [this](const entry* it) -> const peer& {
        return it ? it->it : self_;
    };
    std::sort(all.begin(), all.end(), [&](const auto* a, const auto* b) {
        return better_candidate(peer_of(a), peer_of(b));
    });
    candidates_.clear();
    for (const auto* it : all) {
        if (candidates_.size() == times_.candidates) {
            if (it)
                it->candidate_since = {};
            continue;
        }
        if (it && beyond_small() > 0) {
            if (it->candidate_since == time_point{})
                it->candidate_since = now;
            if (now - std::max(it->heard, it->candidate_since) >=
                times_.candidate_dead)
                continue;
        }
        candidates_.push_back(it);
    }
}

std::vector<peer> peer_table::candidates(time_point now) const
{
    find_candidates(now);
    std::vector<peer> out;
    for (const auto* it : candidates_)
        out.push_back(it ? it->it : self_);
    return out;
}

std::string peer_table::owner_of(std::string_view work, time_point now,
                                 std::string_view failure_domain) const
{
    find_candidates(now);
    const peer*   best      = nullptr;
    bool          best_near = false;
    double        most      = 0;
    std::uint32_t largest   = 0;
    for (const auto* it : candidates_) {
        if (it && now < it->suspect_until)
            continue;
        const auto& its = it ? it->it : self_;
        // The first one is the largest. A much smaller one is not preferred
        // for its place.
        largest = std::max(largest, its.capacity);
        const bool nearby =
            its.failure_domain == failure_domain && 2 * its.capacity >= largest;
        if (best && best_near && !nearby)
            continue;
        const auto wins = claim(work, its);
        if (!best || (nearby && !best_near) || wins > most) {
            best      = &its;
            best_near = nearby;
            most      = wins;
        }
    }
    return best ? best->address : self_.address;
}

std::uint32_t peer_table::daemons() const
{
    return peers_.empty() ? 0 : static_cast<std::uint32_t>(peers_.size()) + 1;
}

} // namespace arbutusgate::gateway
