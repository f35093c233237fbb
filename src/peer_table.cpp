#include "peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutusgate::gateway {

namespace {

/// Missed responses in a row after which a peer is suspect.
constexpr std::uint32_t suspect_after_misses = 2;
/// More heartbeat intervals than this between two heartbeats mean that this
/// process was paused.
constexpr int pause_intervals = 3;

/// How long the list of candidates is cached. Until then, a new heartbeat does
/// not bring a dead candidate back.
constexpr milliseconds candidates_cache_time{100};

std::uint64_t rendezvous_hash(std::string_view work, const std::string& address)
{
    return XXH3_64bits_withSeed(address.data(), address.size(),
                                XXH3_64bits(work.data(), work.size()));
}

/// Score of weighted rendezvous hashing: the daemon with the highest score owns
/// the work, with a probability in proportion to its capacity.
double rendezvous_score(std::string_view work, const peer& it)
{
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const auto       uniform =
        (static_cast<double>(rendezvous_hash(work, it.address)) + 1) /
        hash_range;
    return std::log(uniform) / std::max(1U, it.capacity);
}

/// Decides which of several candidates of equal capacity goes first.
std::uint64_t tie_break_of(const std::string& address)
{
    return rendezvous_hash("", address);
}

} // namespace

peer_table::peer_table(peer self, std::vector<std::string> seeds,
                       std::uint64_t seed, peer_table_params params)
    : self_(std::move(self)), seeds_(std::move(seeds)), random_(seed),
      params_(params)
{
    set_seeds(std::move(seeds_));
}

void peer_table::set_seeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
    std::erase(seeds_, self_.address);
}

bool peer_table::is_alive(const entry& it, time_point now) const
{
    return now - it.last_heartbeat <
           params_.dead_after + params_.dead_after_per_daemon *
                                    static_cast<int>(beyond_small_fleet());
}

std::vector<std::string>
peer_table::announcement_recipients(const std::vector<std::string>& services,
                                    time_point                      now)
{
    if (beyond_small_fleet() > 0)
        return round_recipients(services, now);
    auto out = alive(now);
    for (const auto& it : uncontacted_seeds(now))
        out.push_back(it);
    return out;
}

std::size_t peer_table::beyond_small_fleet() const
{
    const auto n = peers_.size() + 1;
    return n > params_.small_fleet ? n - params_.small_fleet : 0;
}

milliseconds peer_table::heartbeat_interval() const
{
    return std::min(interval(), params_.max_heartbeat_interval);
}

bool peer_table::round_due(time_point now)
{
    if (now - last_round_ < interval())
        return false;
    last_round_ = now;
    return true;
}

milliseconds peer_table::interval() const
{
    // A short interval spreads quickly that a daemon has started and is ready.
    if (joining(last_heartbeat_))
        return params_.round_interval;
    const auto n = std::max(peers_.size() + 1, params_.small_fleet);
    return params_.round_interval * static_cast<int>(n) /
           static_cast<int>(params_.small_fleet);
}

void peer_table::advance_heartbeat(time_point now)
{
    ++self_.heartbeat;
    ++heartbeats_;
    if (started_ == time_point{})
        started_ = now;
    if (paused_since_heartbeat(now)) {
        for (auto* it : by_address_)
            it->last_heartbeat += now - last_heartbeat_;
        resumed_at_ = now;
    }
    last_heartbeat_         = now;
    candidates_valid_until_ = {};
    const auto forgotten    = [&](const entry* it) {
        return now - it->last_heartbeat > params_.forget_after;
    };
    if (std::any_of(by_address_.begin(), by_address_.end(), forgotten)) {
        ranking_changed_ = true;
        std::erase_if(by_address_, forgotten);
        std::erase_if(peers_,
                      [&](const auto& it) { return forgotten(&it.second); });
    }
    // A change that is only noticed when the candidates are used counts as
    // recent then: the first permits of a limit would come at half the rate.
    update_candidates(now);
}

peer_table::entry& peer_table::entry_of(const std::string& address)
{
    const auto [it, added] = peers_.try_emplace(address);
    if (added) {
        const auto place =
            std::lower_bound(by_address_.begin(), by_address_.end(), address,
                             [](const entry* known, const std::string& text) {
                                 return known->info.address < text;
                             });
        by_address_.insert(place, &it->second);
    }
    return it->second;
}

bool peer_table::paused_since_heartbeat(time_point now) const
{
    return last_heartbeat_ != time_point{} &&
           now - last_heartbeat_ > pause_intervals * heartbeat_interval();
}

bool peer_table::resuming(time_point now) const
{
    return paused_since_heartbeat(now) ||
           (resumed_at_ != time_point{} &&
            now - resumed_at_ < params_.pause_hold);
}

std::vector<std::string>
peer_table::round_recipients(const std::vector<std::string>& services,
                             time_point                      now)
{
    auto out = random_alive(params_.fanout, now);
    for (const auto& it : services) {
        const auto owner = owner_of(it, now);
        if (owner != self_.address)
            out.push_back(owner);
    }
    if (!seeds_.empty() &&
        (out.empty() || heartbeats_ % params_.seed_contact_period == 0))
        out.push_back(seeds_[random_() % seeds_.size()]);
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

bool peer_table::joining(time_point now) const
{
    return now - started_ < params_.join_duration;
}

std::vector<std::string> peer_table::uncontacted_seeds(time_point now) const
{
    std::vector<std::string> out;
    for (const auto& it : seeds_) {
        const auto known = peers_.find(it);
        if (known == peers_.end() || !is_alive(known->second, now))
            out.push_back(it);
    }
    return out;
}

bool peer_table::settled(time_point now) const
{
    if (now - started_ >= params_.max_settle_wait)
        return true;
    return !peers_.empty() && now - last_discovery_ >= params_.settle_time;
}

std::vector<std::string>
peer_table::merge_members(const std::vector<peer>& members, time_point now)
{
    std::vector<std::string> out;
    for (std::size_t n = 0; n < members.size(); ++n) {
        const bool reported_by_other = n > 0;
        if (merge(members[n], now) && reported_by_other)
            out.push_back(members[n].address);
    }
    // In a large fleet every daemon would send a message to every other one;
    // gossip rounds spread new entries there.
    if (beyond_small_fleet() > 0)
        out.clear();
    return out;
}

bool peer_table::merge(const peer& it, time_point now)
{
    if (it.address == self_.address) {
        // Peers may still hold the entry of an earlier process of this address.
        // An entry with a later incarnation means that this VM's clock was set
        // back.
        if (it.incarnation > self_.incarnation)
            self_.incarnation = it.incarnation + 1;
        return false;
    }
    // A starting daemon owns nothing yet. In a large fleet, its outdated entry
    // would still spread after the daemon is ready.
    if (it.refuses_orders && !peers_.contains(it.address))
        return false;
    auto&      known = entry_of(it.address);
    const bool newer = it.incarnation > known.info.incarnation ||
                       (it.incarnation == known.info.incarnation &&
                        it.heartbeat > known.info.heartbeat);
    if (!newer)
        return false;
    const bool started = it.incarnation > known.info.incarnation;
    if (started) {
        known.suspect_until    = {};
        known.missed_responses = 0;
        known.suspicions       = 0;
        last_discovery_        = now;
    }
    if (started || it.refuses_orders != known.info.refuses_orders)
        candidates_valid_until_ = {};
    if (known.tie_break == 0)
        known.tie_break = tie_break_of(it.address);
    if (started || it.refuses_orders != known.info.refuses_orders ||
        it.capacity != known.info.capacity)
        ranking_changed_ = true;
    known.info           = it;
    known.last_heartbeat = now;
    return started;
}

bool peer_table::needs_probe(const std::string& address, time_point since,
                             time_point now) const
{
    const auto it = peers_.find(address);
    const auto last =
        it == peers_.end() ? since : std::max(since, it->second.last_response);
    return now - last >= params_.probe_after;
}

void peer_table::record_response(const std::string& address, time_point now)
{
    const auto it = peers_.find(address);
    if (it == peers_.end())
        return;
    it->second.last_response    = now;
    it->second.missed_responses = 0;
    it->second.suspicions       = 0;
    it->second.suspect_until    = {};
}

bool peer_table::record_missed_response(const std::string& address,
                                        bool certain, time_point now)
{
    const auto it = peers_.find(address);
    if (it == peers_.end())
        return false;
    if (++it->second.missed_responses < suspect_after_misses && !certain)
        return false;
    const bool already_suspect = now < it->second.suspect_until;
    const auto suspect_time    = std::min(
           params_.suspect_time * (1 << std::min(it->second.suspicions, 6U)),
           params_.max_suspect_time);
    it->second.suspect_until = now + suspect_time;
    ++it->second.suspicions;
    return !already_suspect;
}

std::vector<const peer*> peer_table::alive_peers(time_point now) const
{
    std::vector<const peer*> out;
    for (const auto* it : by_address_) {
        if (is_alive(*it, now))
            out.push_back(&it->info);
    }
    return out;
}

std::vector<peer> peer_table::entries(time_point now)
{
    auto others = alive_peers(now);
    std::shuffle(others.begin(), others.end(), random_);
    others.resize(std::min(others.size(), params_.max_entries - 1));
    std::vector<peer> out{self_};
    for (const auto* it : others)
        out.push_back(*it);
    return out;
}

std::vector<std::string> peer_table::alive(time_point now) const
{
    std::vector<std::string> out;
    for (const auto* it : alive_peers(now))
        out.push_back(it->address);
    return out;
}

std::vector<std::string> peer_table::holders_of(std::uint64_t key,
                                                time_point    now) const
{
    auto out = alive(now);
    if (!large())
        return out;
    const auto work  = std::to_string(key);
    const auto count = std::min(out.size(), params_.record_holders);
    std::partial_sort(
        out.begin(), out.begin() + static_cast<std::ptrdiff_t>(count),
        out.end(), [&](const auto& a, const auto& b) {
            return rendezvous_hash(work, a) > rendezvous_hash(work, b);
        });
    out.resize(count);
    return out;
}

std::vector<std::string> peer_table::random_alive(std::size_t count,
                                                  time_point  now)
{
    auto list = alive_peers(now);
    std::shuffle(list.begin(), list.end(), random_);
    list.resize(std::min(list.size(), count));
    std::vector<std::string> out;
    for (const auto* it : list)
        out.push_back(it->address);
    return out;
}

void peer_table::rank_peers() const
{
    if (!std::exchange(ranking_changed_, false))
        return;
    ranked_.clear();
    for (const auto* it : by_address_) {
        if (!it->info.refuses_orders)
            ranked_.push_back(it);
    }
    if (!self_.refuses_orders)
        ranked_.push_back(nullptr);
    const auto rank_of = [&,
                          own = tie_break_of(self_.address)](const auto* it) {
        return std::pair(peer_of(it).capacity, it ? it->tie_break : own);
    };
    std::sort(
        ranked_.begin(), ranked_.end(),
        [&](const auto* a, const auto* b) { return rank_of(a) > rank_of(b); });
}

bool peer_table::may_be_candidate(const entry& it, time_point now) const
{
    if (beyond_small_fleet() == 0)
        return true;
    if (it.candidate_since == time_point{})
        it.candidate_since = now;
    return now - std::max(it.last_heartbeat, it.candidate_since) <
           params_.candidate_dead_after;
}

void peer_table::update_candidates(time_point now) const
{
    if (now < candidates_valid_until_)
        return;
    candidates_valid_until_ = now + candidates_cache_time;
    const bool  reranked    = ranking_changed_;
    const auto  before      = std::exchange(candidates_, {});
    std::size_t rank        = 0;
    std::size_t lost        = 0; // Of the best max_candidates.
    rank_peers();
    for (; rank < ranked_.size() && candidates_.size() < params_.max_candidates;
         ++rank)
    {
        const auto* it = ranked_[rank];
        if (!it || (is_alive(*it, now) && may_be_candidate(*it, now)))
            candidates_.push_back(it);
        else if (rank < params_.max_candidates)
            ++lost;
    }
    // The others are no candidates any more.
    for (; (reranked || candidates_ != before) && rank < ranked_.size(); ++rank)
    {
        const auto* it = ranked_[rank];
        if (it && is_alive(*it, now))
            it->candidate_since = {};
    }
    const auto expected = std::min(ranked_.size(), params_.max_candidates);
    live_share_         = expected == 0 ? 1
                                        : static_cast<double>(expected - lost) /
                                      static_cast<double>(expected);
    if (candidates_ != before)
        candidates_changed_at_ = now;
}

std::vector<peer> peer_table::candidates(time_point now) const
{
    update_candidates(now);
    std::vector<peer> out;
    for (const auto* it : candidates_)
        out.push_back(peer_of(it));
    return out;
}

std::string peer_table::owner_of(std::string_view work, time_point now,
                                 std::string_view failure_domain) const
{
    update_candidates(now);
    const peer*   best             = nullptr;
    bool          best_in_domain   = false;
    double        best_score       = 0;
    std::uint32_t largest_capacity = 0;
    for (const auto* it : candidates_) {
        if (it && now < it->suspect_until)
            continue;
        const auto& its = peer_of(it);
        // The first candidate has the largest capacity. One of less than half
        // that capacity is not preferred for its failure domain.
        largest_capacity     = std::max(largest_capacity, its.capacity);
        const bool in_domain = its.failure_domain == failure_domain &&
                               2 * its.capacity >= largest_capacity;
        if (best && best_in_domain && !in_domain)
            continue;
        const auto score = rendezvous_score(work, its);
        if (!best || (in_domain && !best_in_domain) || score > best_score) {
            best           = &its;
            best_in_domain = in_domain;
            best_score     = score;
        }
    }
    return best ? best->address : self_.address;
}

std::string peer_table::steady_owner_of(std::string_view work,
                                        time_point       now) const
{
    update_candidates(now);
    const auto best =
        std::max_element(candidates_.begin(), candidates_.end(),
                         [&](const auto* a, const auto* b) {
                             return rendezvous_score(work, peer_of(a)) <
                                    rendezvous_score(work, peer_of(b));
                         });
    return best == candidates_.end() ? self_.address : peer_of(*best).address;
}

bool peer_table::agreed(time_point now) const
{
    update_candidates(now);
    return now - candidates_changed_at_ >=
           (large() ? params_.candidate_dead_after : params_.agreement_time);
}

double peer_table::live_share(time_point now) const
{
    update_candidates(now);
    return live_share_;
}

std::uint32_t peer_table::daemons() const
{
    return peers_.empty() ? 0 : static_cast<std::uint32_t>(peers_.size()) + 1;
}

} // namespace arbutusgate::gateway
