/// State shared by all requests of a process: admission, routing, limits.
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/pipeline_run.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace arbutusgate {

class reason_counters;

/// Load reported by a target.
struct load_report
{
    std::uint32_t in_flight = 0;
    std::uint32_t queued    = 0;
    std::uint32_t capacity  = 0; ///< Concurrent calls.
    milliseconds  lag{0};        ///< Age of the values when sent.
    bool          leaving = false;
    /// Calls a second that the target takes from all daemons together.
    std::optional<double> call_limit{};
    bool                  unreadable_limit = false;
    /// Time since the call was sent to whose response the report belongs.
    microseconds call_age{0};
};

/// How targets are chosen. All but adaptive are baselines for comparison: they
/// admit every request and retry up to the pipeline's limit.
enum class policy_strategy
{
    adaptive,
    random,
    round_robin,
    least_inflight,
};

/// Initial settings of a policy.
struct policy_init
{
    std::uint64_t seed = 1;
    /// Number of daemons considered alive, which share the pools.
    std::uint32_t daemons = 1;
    /// Called without locks when a waiting run may continue.
    std::function<void(std::uint64_t run)> on_ready;
    policy_strategy                        strategy = policy_strategy::adaptive;
};

/// Admission, routing and limits for all requests. Thread-safe; each pool has
/// its own lock.
class policy
{
public:
    /// \param counters outlives the policy.
    policy(std::shared_ptr<const deployment> config, const policy_init& init,
           reason_counters& counters);
    ~policy();

    policy(const policy&)            = delete;
    policy& operator=(const policy&) = delete;

    /// Puts a newer configuration in force. Pools, targets and stages keep
    /// their learned state by name; requests in flight end under the
    /// configuration with which they began.
    void set_deployment(std::shared_ptr<const deployment> config,
                        time_point                        now);
    std::shared_ptr<const deployment> current() const;

    /// Sets the number of daemons considered alive, and so this daemon's share
    /// of the pools.
    void set_daemons(std::uint32_t n);
    /// Unknown targets are ignored.
    /// \param target index in the deployment in force; use the name if
    /// set_deployment may run concurrently.
    void on_load_report(target_id target, const load_report& report,
                        time_point now);
    /// \copydoc on_load_report
    void on_load_report(std::string_view target, const load_report& report,
                        time_point now);
    /// Sets or clears the leaving mark of a target. A leaving target gets no
    /// new work until a report from more than limits::leaving_bound later shows
    /// it as serving, or until limits::leaving_retention has passed.
    void set_leaving(target_id target, bool leaving);
    /// \copydoc set_leaving
    void set_leaving(std::string_view target, bool leaving);
    /// Bounds the attempts of this daemon at a target that limits the calls of
    /// all daemons.
    /// \param rate attempts a second; 0: none; nullopt: no bound.
    void set_call_rate(std::string_view target, std::optional<double> rate,
                       time_point now);

private:
    friend class pipeline_run;
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusgate
