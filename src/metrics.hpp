/// Metrics of the daemon in the Prometheus text format.
#pragma once

#include "arbutusgate/types.hpp"

#include "reason_counters.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Metric without labels whose value is read when the metrics are written.
struct metric_sample
{
    std::string_view name; ///< With the unit, without the arbutusgate_ prefix.
    std::string_view help;
    double           value   = 0;
    bool             counter = false; ///< Otherwise a gauge.
};

/// Counters and latency histograms of requests and stage attempts. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();

    metrics(const metrics&)            = delete;
    metrics& operator=(const metrics&) = delete;

    /// Shared with the policy, which counts the reasons for its decisions.
    reason_counters&       reasons() { return reasons_; }
    const reason_counters& reasons() const { return reasons_; }

    /// Records a finished request of the pipeline.
    void count_request(std::string_view pipeline, std::string_view outcome,
                       microseconds latency);
    /// Records a finished attempt of the stage.
    void count_attempt(std::string_view pipeline, std::string_view stage,
                       std::string_view outcome, microseconds latency);
    /// Records the time until the first text of a stream was sent to the
    /// caller.
    void observe_first_text(std::string_view pipeline, microseconds latency);
    /// Adds the cost of a stage.
    /// \param wasted whether the request received no complete response.
    void add_cost(std::string_view pipeline, std::string_view stage,
                  double cost, bool wasted);
    void count_wrong_result() { ++wrong_results_; }

    std::uint64_t wrong_results() const { return wrong_results_; }

    /// \return all series and the given samples in the Prometheus text format.
    std::string text(const std::initializer_list<metric_sample>& samples) const;

private:
    struct impl;

    reason_counters            reasons_;
    std::atomic<std::uint64_t> wrong_results_{0};
    std::unique_ptr<impl>      impl_;
};

} // namespace arbutusgate
