/// Types of the gateway: the configuration, published targets and what targets
/// report.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// Which requests of a route may be repeated.
enum class repeat_rule
{
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once for each attempt of a caller.
    stream,         ///< Event stream; idempotent only if it may be resumed.
};

/// Part of a route's requests that goes to one service.
struct service_share
{
    std::string   service;
    std::uint32_t weight = 1; ///< Relative to the other shares.
};

/// Pipeline stage that runs before the request is sent to its target.
struct stage_definition
{
    std::string                service;
    std::vector<std::uint32_t> after; ///< Indices of its input stages.
    std::uint64_t              result_bytes = 0; ///< Approximate; of one piece.
};

/// Maps requests of a host and path prefix to services.
struct route
{
    std::string                name;
    std::string                host;        ///< Lower case, without port.
    std::string                path_prefix; ///< Begins and ends with a slash.
    repeat_rule                rule = repeat_rule::non_idempotent;
    milliseconds               timeout{0};         ///< Zero: none.
    milliseconds               latency_goal{0};    ///< To the first event.
    milliseconds               gap_goal{0};        ///< Between events; 0: none.
    std::uint32_t              rank           = 0; ///< 0 is the most urgent.
    std::uint32_t              max_attempts   = 1; ///< For each call.
    bool                       needs_account  = true;
    bool                       prompt_affine  = false;
    bool                       may_be_resumed = false;
    std::vector<service_share> services;
    std::vector<stage_definition> stages;
    /// Regions whose targets may run its requests; empty: all.
    std::vector<std::string> regions{};

    /// True when the same call may safely run more than once.
    bool repeatable() const
    {
        return rule == repeat_rule::idempotent ||
               (rule == repeat_rule::stream && may_be_resumed);
    }
};

/// Capacity and timing of the targets of a stage service, which take batched
/// calls.
struct stage_limits
{
    std::uint32_t slots = 1;     ///< Calls in flight at one target.
    std::uint32_t queue = 0;     ///< Calls queued at one target.
    std::uint32_t batch = 1;     ///< Pieces in one call.
    microseconds  call_time{0};  ///< Of a call, without its pieces.
    microseconds  piece_time{0}; ///< Approximate; added for each piece.
    /// Bytes that one target can hold for results not yet released.
    std::uint64_t result_memory = 0;
    /// Time after which a target drops a result that was not released.
    milliseconds result_retention{0};
};

/// Capacity of the batching model engines of a service.
struct engine_limits
{
    std::uint32_t slots            = 1; ///< Requests in flight at one target.
    std::uint64_t cache_capacity   = 0; ///< Tokens cached at one target.
    std::uint32_t tokens_per_event = 1; ///< Output tokens in one event.
};

/// Limit on the calls to a target that is cold: slow after its start.
struct cold_limits
{
    milliseconds time{0}; ///< From the start of a target.
    /// Calls a second of all daemons together.
    double calls_per_s = 0;
};

/// A pool of targets.
struct service
{
    std::string   name;
    std::string   health_path;
    std::uint32_t max_connections = 0; ///< To one target, of all daemons.
    std::optional<stage_limits>  stage;
    std::optional<engine_limits> engine;
    std::optional<cold_limits>   cold{};
};

/// A client account and its keys.
struct account
{
    std::string                  name;
    std::vector<std::string>     keys;
    std::optional<std::uint32_t> rank; ///< Replaces the route's rank.
    /// Regions whose targets may run its requests; empty: all.
    std::vector<std::string> regions{};
};

/// Limits on the requests and connections of callers.
struct caller_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint32_t body_bytes   = 4 * 1024 * 1024;
    milliseconds  header_time{10'000};
    milliseconds  idle_time{60'000};
};

/// One version of the whole configuration.
struct configuration
{
    std::uint64_t        version = 0;
    std::vector<route>   routes;
    std::vector<service> services;
    std::vector<account> accounts;
    bool                 has_accounts = false; ///< Routes may require a key.
    caller_limits        limits;
    std::string          document; ///< As published; not interpreted here.
};

/// A target as published: one process at one address.
struct target
{
    std::string   id;
    std::string   service;
    std::string   address; ///< "IP:port".
    std::string   failure_domain;
    std::uint32_t slots   = 1;
    bool          leaving = false;
    /// Start time of the process; differs after a restart. 0: not published.
    std::int64_t started_at = 0;
    std::string  version{}; ///< Of its software; may be empty.
    /// How long it stays cold, when the entry was published.
    milliseconds cold_for{0};
};

/// Load that a target reports with a response.
struct target_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots   = 0;
    /// Time that work takes at the moment, relative to the usual time.
    std::optional<double> slowdown{};
};

/// What a target announces with a response about its readiness for work.
struct target_notice
{
    bool leaving = false; ///< Takes no new work until its process ends.
    /// Takes no work from this daemon for this time.
    std::optional<milliseconds> closed_for;
    bool unreadable_time = false; ///< The announced time is not a number.
    /// Calls a second that the target takes from all daemons together, at least
    /// 0.
    std::optional<double> call_limit;
    bool                  unreadable_limit =
        false; ///< The announced limit is not such a number.
    /// How long the target stays cold.
    std::optional<milliseconds> cold_for{};
    /// The target is brittle: it ends if it has to reject more requests a
    /// second than this for want of room.
    std::optional<std::uint32_t> rejections_borne{};
};

/// Part of a prompt; requests with equal parts can share cached tokens.
struct prompt_part
{
    std::string   id;
    std::uint32_t tokens = 0;
};

} // namespace arbutusgate::gateway
