/// Basic types shared by all modules: time, handles, outcomes and reasons.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>

namespace arbutusgate {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Monotonic clock of the library. It has no now(): the caller passes in the
/// time, which is real or simulated.
struct core_clock
{
    using rep        = std::int64_t;
    using period     = std::micro;
    using duration   = microseconds;
    using time_point = std::chrono::time_point<core_clock, duration>;

    static constexpr bool is_steady = true;
};

/// Point in monotonic time, in microseconds from an arbitrary origin.
using time_point = core_clock::time_point;

/// Typed index with an invalid value. The tag makes handles of different kinds
/// distinct types.
template <class Tag>
struct handle
{
    static constexpr std::uint32_t invalid =
        std::numeric_limits<std::uint32_t>::max();

    std::uint32_t idx = invalid;

    constexpr bool valid() const { return idx != invalid; }
    constexpr auto operator<=>(const handle&) const = default;
};

/// Index into deployment::targets.
using target_id = handle<struct target_tag>;
/// Index into deployment::pools.
using pool_id = handle<struct pool_tag>;
/// Index into deployment::pipelines.
using pipeline_id = handle<struct pipeline_tag>;
/// Index into deployment::accounts.
using account_id = handle<struct account_tag>;
/// Index into deployment::slots.
using slot_id = handle<struct slot_tag>;

/// Whether a piece of work was executed, as far as is known.
enum class execution
{
    not_run, ///< No part of the work has run; this is certain.
    unknown, ///< The work may have run; its result is not known.
    failed,  ///< The work ran and failed.
    done,    ///< The work ran and its result is complete.
};

/// Why a request was refused or abandoned. Each reason has a counter, and its
/// name is the `reason` in the problem document.
enum class refusal_reason
{
    none,
    bad_request,  ///< Malformed body or header.
    unauthorized, ///< Unknown account key.
    no_such_pipeline,
    too_large, ///< Body over the limit.
    header_too_large,
    too_slow,             ///< The client did not send its request in time.
    missing_key,          ///< Non-idempotent pipeline without Idempotency-Key.
    key_in_progress,      ///< The key is claimed; its result is not yet known.
    key_reused,           ///< The key was used with a different body.
    claim_unavailable,    ///< No majority of the claim voters responded.
    account_over_share,   ///< The client account exceeds its share of cost.
    overloaded,           ///< The concurrency limit and queue are full.
    deadline_unreachable, ///< The remaining stages cannot finish in time.
    deadline_exceeded,    ///< The deadline passed while running.
    no_target,            ///< No target of the pool can be given work.
    retry_exhausted, ///< The retry budget of the request or pool is used up.
    stage_failed,    ///< A target reported a failure that is not retried.
    draining,        ///< The daemon accepts no new requests.
    not_ready,       ///< No configuration is in force yet.
    quarantined,     ///< A part of the prompt crashes targets.
    stream_not_resumable, ///< No target may continue the stream.
    client_gone,          ///< The caller closed its connection.
    internal,             ///< Internal error; the log has the details.
    count,
};

/// Why an attempt was retried. Each reason has a counter.
enum class retry_reason
{
    connect_failed, ///< No byte of the work was sent.
    target_not_run, ///< The target reported that it did not run the work.
    target_failed,  ///< An idempotent stage failed on its target.
    timeout,        ///< An idempotent stage timed out.
    silent,         ///< The connection no longer delivered data.
    stream_resume,  ///< A broken stream was resumed at its last offset.
    wrong_result,   ///< The result belongs to another request or attempt.
    count,
};

/// Stable identifier, used in metrics and problem documents.
std::string_view to_string(execution);
/// \copydoc to_string(execution)
std::string_view to_string(refusal_reason);
/// \copydoc to_string(execution)
std::string_view to_string(retry_reason);

/// Why a connection ended before the response to its request was complete. Each
/// reason has a counter.
enum class response_loss
{
    client_left,     ///< The client closed the connection.
    write_failed,    ///< The client's system reset or refused it.
    write_timed_out, ///< The client did not read.
    cut,             ///< The daemon could not complete the response.
    handler_failed,  ///< By an exception.
    stopped,         ///< The daemon closed all connections.
    count,
};

std::string_view to_string(response_loss);

} // namespace arbutusgate

template <class Tag>
struct std::hash<arbutusgate::handle<Tag>>
{
    std::size_t operator()(arbutusgate::handle<Tag> it) const noexcept
    {
        return std::hash<std::uint32_t>{}(it.idx);
    }
};
