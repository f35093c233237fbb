/// Types of the gateway: what operators configured and what targets report.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// What may be repeated of a route's requests.
enum class repeat_rule
{
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once for each attempt of a caller.
    stream,         ///< Events; non-idempotent unless it may be resumed.
};

/// Part of a route's requests that goes to one service.
struct service_share
{
    std::string   service;
    std::uint32_t weight = 1; ///< Relative to the other shares.
};

/// Work that is done before a request runs.
struct stage_step
{
    std::string                service;
    std::vector<std::uint32_t> after; ///< Stages whose results it needs.
    std::uint64_t              result_bytes = 0; ///< Approximate size.
};

/// One rule of how requests reach services.
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
    std::uint32_t              max_attempts   = 1; ///< Targets for each call.
    bool                       needs_account  = true;
    bool                       prompt_affine  = false;
    bool                       may_be_resumed = false;
    std::vector<service_share> services;
    std::vector<stage_step>    stages;

    /// A second run of the same call does no harm.
    bool repeatable() const
    {
        return rule == repeat_rule::idempotent ||
               (rule == repeat_rule::stream && may_be_resumed);
    }
};

/// Batched calls that the targets of a stage service take.
struct stage_limits
{
    std::uint32_t slots = 1; ///< Calls at work at one target.
    std::uint32_t queue = 0; ///< Calls that wait at one target.
    std::uint32_t batch = 1; ///< Pieces in one call.
    microseconds  call_time{0};
    microseconds  piece_time{0};   ///< Approximate.
    std::uint64_t result_room = 0; ///< Bytes at one target.
    milliseconds  result_kept{0};  ///< Unless freed before.
};

/// Batching model engines of a service.
struct engine_limits
{
    std::uint32_t slots          = 1; ///< Requests at once at one target.
    std::uint64_t cache_capacity = 0; ///< Tokens at one target.
};

/// A pool of targets.
struct service
{
    std::string                  name;
    std::string                  health_path;
    std::uint32_t                max_connections = 0; ///< Of all callers.
    std::optional<stage_limits>  stage;
    std::optional<engine_limits> engine;
};

/// A client account and its keys.
struct account
{
    std::string                  name;
    std::vector<std::string>     keys;
    std::optional<std::uint32_t> rank; ///< Replaces the route's rank.
};

/// What callers may send, and how long it may take.
struct caller_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint32_t body_bytes   = 4 * 1024 * 1024;
    milliseconds  header_time{10'000};
    milliseconds  idle_time{60'000};
};

/// One version of everything that operators configure.
struct configuration
{
    std::uint64_t        version = 0;
    std::vector<route>   routes;
    std::vector<service> services;
    std::vector<account> accounts;
    bool                 has_accounts = false; ///< Calls need a key.
    caller_limits        limits;
    std::string          document; ///< As published; opaque here.
};

/// One process of a target, as published.
struct target
{
    std::string   id;
    std::string   service;
    std::string   address; ///< "IP:port".
    std::string   failure_domain;
    std::uint32_t slots   = 1;
    bool          leaving = false;
    /// Changes with each start of the target; 0: not published.
    std::int64_t started_at = 0;
};

/// Load that a target states with an answer.
struct target_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots   = 0;
};

/// What a target says of its own readiness for work with an answer.
struct target_notice
{
    bool leaving = false; ///< It takes no new work in its lifetime.
    /// It wants no work from this daemon for so long.
    std::optional<milliseconds> closed_for;
    bool unreadable_time = false; ///< It stated one that is no number.
};

/// Part of a prompt that several requests may share.
struct prompt_part
{
    std::string   id;
    std::uint32_t tokens = 0;
};

} // namespace arbutusgate::gateway
