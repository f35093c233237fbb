/// Simulated daemon process of the fuzzer and the events that it handles.
#pragma once

#include "arbutusgate/node_core.hpp"
#include "arbutusgate/pipeline_run.hpp"
#include "arbutusgate/policy.hpp"
#include "peer.pb.h"
#include "reason_counters.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusgate {

enum class fuzz_event_kind
{
    tick,
    message,
    request,     ///< A caller's request arrives.
    send,        ///< The work of an attempt is sent.
    result,      ///< An attempt ended.
    config_read, ///< The configuration service responded.
};

/// Event that a process handles.
struct fuzz_event
{
    fuzz_event_kind                        kind       = fuzz_event_kind::tick;
    std::uint32_t                          process    = 0;
    std::uint32_t                          call       = 0;
    std::uint32_t                          key        = 0;
    bool                                   other_body = false;
    start_attempt                          attempt{};
    attempt_result                         result{};
    std::string                            body{};
    std::shared_ptr<const pb::PeerMessage> message{};
};

/// A request that a process handles.
struct fuzz_run
{
    std::uint32_t                 key = 0;
    std::unique_ptr<pipeline_run> run;
    std::uint64_t                 claim   = 0;
    bool                          waiting = false; ///< Waits for on_wake.
    std::string                   body;  ///< Body of the last finished attempt.
    std::optional<std::string>    found; ///< Response of an earlier use.
};

struct fuzz_process
{
    std::uint32_t slot       = 0;
    bool          superseded = false;
    bool          alive      = true;
    bool          paused     = false;
    bool          draining   = false;
    microseconds  clock_offset{0};
    time_point   last_call; ///< Simulation time of the latest call of the core.
    microseconds last_offset{0}; ///< clock_offset at that call.
    time_point   started;
    time_point   paused_at;
    time_point   next_read;
    time_point   drain_end;

    std::unique_ptr<node_core>        core;
    std::unique_ptr<reason_counters>  counters;
    std::unique_ptr<policy>           routing_policy;
    std::map<std::uint32_t, fuzz_run> runs; ///< Key: call number.
    std::vector<fuzz_event> mailbox; ///< Events that arrived during a pause.

    std::vector<std::pair<time_point, std::uint64_t>> versions;
    std::set<std::uint64_t>                           rejected;
    /// Lowest configuration version among the peers that may confirm this
    /// process after its last pause.
    std::uint64_t min_peer_version = 0;

    /// Time that the node core sees. The policy gets the simulation time
    /// instead, since its ejections and deadlines need a steady clock.
    time_point clock(time_point now) const { return now + clock_offset; }

    /// Returns clock() for a call that updates the core's time, and records
    /// the call for hides_pause().
    time_point observe(time_point now)
    {
        last_call   = now;
        last_offset = clock_offset;
        return clock(now);
    }

    /// True when the process paused for longer than the threshold since the
    /// latest call, but its own clock shows a gap from zero to the threshold.
    /// The design lists this among its residual risks as "a pause that the
    /// clock does not show".
    bool hides_pause(time_point now) const
    {
        const auto gap   = now - last_call;
        const auto shown = gap + clock_offset - last_offset;
        return gap > limits::pause_threshold && shown >= microseconds{0} &&
               shown <= limits::pause_threshold;
    }

    std::uint64_t version_at(time_point at) const
    {
        std::uint64_t version = 0;
        for (const auto& it : versions) {
            if (it.first <= at)
                version = it.second;
        }
        return version;
    }
};

} // namespace arbutusgate
