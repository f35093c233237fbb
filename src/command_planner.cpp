#include "command_planner.hpp"

#include "claim_group.hpp"

#include <algorithm>
#include <set>

namespace arbutusgate {

namespace {

constexpr std::uint64_t controller_hash_seed = 0x636d6473;

/// \return true when this daemon's slot has the highest rendezvous weight for
/// the pool among the alive slots.
bool is_controller(std::string_view pool, const command_view& view)
{
    const auto         purpose = rendezvous_weight(pool, controller_hash_seed);
    const std::string* first   = nullptr;
    std::uint64_t      most    = 0;
    for (const auto& it : view.alive) {
        const auto weight = rendezvous_weight(it, purpose);
        if (!first || weight > most) {
            first = &it;
            most  = weight;
        }
    }
    return first && *first == view.self;
}

/// \return the delay before the command that follows the given reversion;
/// reversions count from 1.
seconds backoff(std::uint32_t reversion)
{
    if (reversion <= 1)
        return seconds{0};
    constexpr std::uint32_t most_doublings = 16;
    const auto              doublings = std::min(reversion - 2, most_doublings);
    return std::min<seconds>(limits::min_command_backoff *
                                 (std::int64_t{1} << doublings),
                             limits::max_command_backoff);
}

/// \return how many engines of a pool may be not ready at a time.
std::size_t max_unready_engines(std::size_t engines)
{
    return std::max<std::size_t>(1, engines / limits::command_loading_divisor);
}

} // namespace

void command_planner::update_controlled_pools(const deployment&   config,
                                              const command_view& view)
{
    if (config.version == version_ && view.alive == alive_)
        return;
    version_ = config.version;
    alive_   = view.alive;
    remove_stale_entries(config);
    for (const auto& it : config.pools) {
        if (it.engine)
            pools_[it.name].controlled = is_controller(it.name, view);
    }
}

void command_planner::remove_stale_entries(const deployment& config)
{
    std::set<std::string_view> pools;
    std::set<std::string_view> addresses;
    for (const auto& it : config.pools) {
        if (it.engine)
            pools.insert(it.name);
        for (const auto target : it.targets)
            addresses.insert(config.targets[target.idx].address);
    }
    std::erase_if(pools_,
                  [&](const auto& it) { return !pools.contains(it.first); });
    std::erase_if(engines_, [&](const auto& it) {
        return !addresses.contains(it.first);
    });
}

std::vector<engine_read> command_planner::begin_reads(const deployment& config,
                                                      const command_view& view,
                                                      time_point          now)
{
    update_controlled_pools(config, view);
    ++round_;
    std::vector<engine_read> out;
    for (const auto& it : config.pools) {
        if (!it.engine)
            continue;
        auto& pool   = pools_[it.name];
        pool.reading = pool.controlled && now >= pool.next;
        if (!pool.reading)
            continue;
        pool.next = now + limits::command_poll;
        for (const auto target : it.targets) {
            const auto& address = config.targets[target.idx].address;
            auto&       engine  = engines_[address];
            engine.round        = round_;
            engine.state.reset();
            out.push_back({target, address, round_});
        }
    }
    return out;
}

bool command_planner::on_state(const engine_read&  read,
                               const engine_state& state, time_point now)
{
    const auto found = engines_.find(read.address);
    if (found == engines_.end() || found->second.round != read.round)
        return false;
    auto& it   = found->second;
    it.state   = state;
    it.read_at = now;
    if (state.ready && (it.pending_accepted || state.fence >= it.pending))
        it.pending = 0;
    return detect_reversion(it, state, now);
}

/// \return true when the engine left the state that it was commanded to.
bool command_planner::detect_reversion(engine& it, const engine_state& state,
                                       time_point now)
{
    if (!it.commanded)
        return false;
    // Another daemon commanded it with a newer version.
    if (state.fence > it.commanded->fence) {
        it.commanded.reset();
        return false;
    }
    if (state.fence == it.commanded->fence &&
        state.desired == it.commanded->desired)
    {
        if (now - it.state_since >= limits::command_stable_time)
            it.reverted = 0;
        return false;
    }
    it.reverted_fence = it.commanded->fence;
    it.commanded.reset();
    it.next_command_after = now + backoff(++it.reverted);
    return true;
}

bool command_planner::may_command(const pool_config&  it,
                                  const command_view& view) const
{
    if (guards_.enabled(command_guard::confirm_after_pause) && !view.confirmed)
        return false;
    return it.checks_fencing ||
           !guards_.enabled(command_guard::reachable_majority) ||
           2 * view.reachable > view.slots;
}

bool command_planner::needs_command(const engine&        it,
                                    const engine_config& desired,
                                    std::uint64_t version, time_point now) const
{
    const bool same = it.state->desired == desired;
    if (now < it.next_command_after && it.reverted_fence == version)
        return false;
    if (!guards_.enabled(command_guard::version_fence))
        return !same;
    // Its controller has a newer version, which this daemon will receive, too.
    if (guards_.enabled(command_guard::newer_fence) &&
        it.state->fence > version)
        return false;
    if (!guards_.enabled(command_guard::correction) &&
        it.accepted_version >= version)
        return false;
    return it.state->fence < version || !same;
}

std::vector<engine_command>
command_planner::take_commands(const deployment&   config,
                               const command_view& view, time_point now)
{
    std::vector<engine_command> out;
    // The version that the reads were started for is no longer in force.
    if (config.version != version_)
        return out;
    for (const auto& it : config.pools) {
        const auto found = pools_.find(it.name);
        if (found == pools_.end() || !found->second.reading)
            continue;
        found->second.reading = false;
        if (may_command(it, view))
            command_pool(config, it, now, out);
    }
    return out;
}

void command_planner::command_pool(const deployment&  config,
                                   const pool_config& it, time_point now,
                                   std::vector<engine_command>& out)
{
    const auto max_unready = max_unready_engines(it.targets.size());
    // Engines that may load because of a command of this daemon.
    std::size_t pending = 0;
    // Pending engines and all others that are not ready.
    std::size_t unready = 0;
    for (const auto target : it.targets) {
        const auto& engine = engines_[config.targets[target.idx].address];
        pending += engine.pending != 0;
        unready +=
            engine.pending != 0 || (engine.state && !engine.state->ready);
    }
    for (const auto target : it.targets) {
        const auto& target_info = config.targets[target.idx];
        auto&       engine      = engines_[target_info.address];
        if (!engine.state || now - engine.read_at > limits::command_poll)
            continue;
        const auto& state = *engine.state;
        // The previous controller commanded this state. From now on this daemon
        // watches whether the engine keeps it.
        if (!engine.commanded && state.fence == config.version &&
            state.desired == *it.engine)
        {
            engine.commanded   = commanded_state{state.fence, state.desired};
            engine.state_since = now;
        }
        if (!needs_command(engine, *it.engine, config.version, now))
            continue;
        engine_command command{
            it.name,           target_info.name, target_info.address,
            config.version,    config.version,   *it.engine,
            it.checks_fencing, engine.pending};
        if (!guards_.enabled(command_guard::version_fence))
            command.fence = state.fence + 1;
        if (state.desired != *it.engine) {
            const bool is_pending = engine.pending != 0;
            const bool is_unready = is_pending || !state.ready;
            if (guards_.enabled(command_guard::limit_unready) &&
                ((!is_pending && pending >= max_unready) ||
                 (!is_unready && unready >= max_unready)))
                continue;
            pending += !is_pending;
            unready += !is_unready;
            engine.pending = command.fence;
        }
        engine.pending_accepted = false;
        out.push_back(std::move(command));
    }
}

bool command_planner::may_send(const engine_command& command,
                               const deployment&     config,
                               const command_view&   view) const
{
    if (!guards_.enabled(command_guard::recheck))
        return true;
    if (config.version != command.version)
        return false;
    const auto it =
        std::ranges::find(config.pools, command.pool, &pool_config::name);
    return it != config.pools.end() && may_command(*it, view);
}

void command_planner::on_result(const engine_command& command,
                                command_result result, time_point now)
{
    const auto found = engines_.find(command.address);
    if (found == engines_.end())
        return;
    auto& it = found->second;
    switch (result) {
    case command_result::accepted:
        it.pending_accepted = true;
        it.accepted_version = command.version;
        if (!it.commanded)
            it.state_since = now;
        it.commanded = commanded_state{command.fence, command.desired};
        return;
    case command_result::not_sent:
    case command_result::refused:
        it.pending = command.pending_before;
        return;
    case command_result::unknown:
        return;
    }
}

std::vector<engine_report>
command_planner::report(const deployment& config) const
{
    std::vector<engine_report> out;
    for (const auto& it : config.pools) {
        const auto pool = pools_.find(it.name);
        if (pool == pools_.end() || !pool->second.controlled || !it.engine)
            continue;
        for (const auto target : it.targets) {
            const auto& target_info = config.targets[target.idx];
            const auto  found       = engines_.find(target_info.address);
            auto&       row         = out.emplace_back();
            row.pool                = it.name;
            row.target              = target_info.name;
            if (found == engines_.end())
                continue;
            row.reverted      = found->second.reverted;
            const auto& state = found->second.state;
            if (!state)
                continue;
            row.known = true;
            row.fence = state->fence;
            row.ready = state->ready;
            row.current =
                state->fence == config.version && state->desired == *it.engine;
        }
    }
    return out;
}

} // namespace arbutusgate
