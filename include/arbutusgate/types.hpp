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

/// Monotonic time of the library. It has no now(): the driver passes the time
/// in, real or virtual.
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

/// Small typed index with an invalid value. Tag keeps kinds apart.
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

/// What is known about the execution of refused or failed work.
enum class execution
{
    not_run, ///< Certain: nothing of the work ran.
    unknown, ///< It may have run; no result is known.
    failed,  ///< It ran and failed.
    done,    ///< It ran and its result is whole.
};

/// Why a request was refused or gave up. Each has a counter; the name is the
/// `reason` of the problem document.
enum class refusal_reason
{
    none,
    bad_request,  ///< Malformed body or header.
    unauthorized, ///< Unknown account key.
    no_such_pipeline,
    too_large, ///< Body over the limit.
    header_too_large,
    too_slow,             ///< Client did not send its request in time.
    missing_key,          ///< Non-idempotent pipeline without Idempotency-Key.
    key_in_progress,      ///< The key is claimed and its result not yet known.
    key_reused,           ///< The key was used with another body.
    claim_unavailable,    ///< No majority of claim voters answered.
    account_over_share,   ///< The client account is over its share of cost.
    overloaded,           ///< The concurrency limit and queue are full.
    deadline_unreachable, ///< The remaining stages cannot finish in time.
    deadline_exceeded,    ///< The deadline passed while running.
    no_target,            ///< No target of the pool may get work.
    retry_exhausted,      ///< The retry budget of request or pool is spent.
    stage_failed,         ///< A target reported a failure that is not retried.
    draining,             ///< The daemon takes no new requests.
    not_ready,            ///< No configuration is in force yet.
    client_gone,          ///< The caller closed its connection.
    internal,             ///< A defect; logged with details.
    count,
};

/// Why an attempt was followed by another one. Each has a counter.
enum class retry_reason
{
    connect_failed, ///< No byte of the work was sent.
    target_not_run, ///< The target said that it did not run the work.
    target_failed,  ///< Idempotent stage failed on its target.
    timeout,        ///< Idempotent stage timed out.
    silent,         ///< The connection went silent.
    stream_resume,  ///< Stream resumed by offset.
    wrong_result,   ///< The result carried another request or attempt.
    count,
};

/// Stable identifier of a reason, as in metrics and problem documents.
std::string_view to_string(execution);
/// \copydoc to_string(execution)
std::string_view to_string(refusal_reason);
/// \copydoc to_string(execution)
std::string_view to_string(retry_reason);

} // namespace arbutusgate

template <class Tag>
struct std::hash<arbutusgate::handle<Tag>>
{
    std::size_t operator()(arbutusgate::handle<Tag> it) const noexcept
    {
        return std::hash<std::uint32_t>{}(it.idx);
    }
};
