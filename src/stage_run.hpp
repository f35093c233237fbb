/// One execution of the stages of a route for one request.
///
/// Failure: results of an execution that was given up are used by a later
/// attempt, or stay in the result memory of their targets.
#pragma once

#include "run_failure.hpp"
#include "stage_service.hpp"

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusgate {
class fiber_signal;
}

namespace arbutusgate::gateway {

class route_table;
class target_directory;
class time_estimates;
struct request_head;
struct route;

/// Results of at least this size stay in their failure domain where possible.
inline constexpr std::uint64_t large_result_bytes = 200'000;
/// Estimate of a service's time to the first event until there is a sample.
inline constexpr milliseconds default_first_event_time{200};

/// What a stage_run executes, and until when.
struct stage_plan
{
    const request_head& call;
    const route_table&  table;
    const route&        path;
    /// Of the target that reads the results of the final stages.
    std::string                          service;
    std::uint32_t                        rank = 0; ///< 0 is the most urgent.
    time_point                           goal{};   ///< Of the first event.
    time_point                           limit{};  ///< A later one is useless.
    std::optional<std::set<std::string>> permitted_domains{};
    /// \return failure domain for large results of stages without inputs.
    std::function<std::string()> cache_domain;
};

/// Dependencies of a stage_run; they outlive it.
struct stage_run_dependencies
{
    stage_service&          stages;
    time_estimates&         times;
    const target_directory& targets;
};

/// Owns its orders and their results: the destructor withdraws the orders that
/// wait and releases the results. Belongs to one thread.
class stage_run
{
public:
    /// \param changed is notified when the state of an order changes.
    stage_run(stage_plan plan, stage_run_dependencies parts,
              std::shared_ptr<fiber_signal> changed);
    ~stage_run();

    stage_run(const stage_run&)            = delete;
    stage_run& operator=(const stage_run&) = delete;

    /// Submits every stage whose inputs are complete, unless an order failed.
    /// \return why the run cannot complete; nothing while it can.
    std::optional<run_failure> submit();
    /// Handles orders that ended: learns their times, and releases results that
    /// all later stages have read.
    void collect();

    bool        complete() const;
    std::size_t waiting() const; ///< Orders.

    // Of a run that is complete.

    /// Handles of the results that no later stage reads.
    std::vector<std::string> inputs() const;
    /// Time by which a target has to read them.
    time_point    read_deadline() const;
    std::uint64_t result_bytes() const;
    /// Failure domain that holds most bytes of the results.
    std::string main_domain() const;

private:
    using stage_list = std::vector<std::uint32_t>; ///< Indices.

    struct stage_state
    {
        std::shared_ptr<stage_ticket> ticket; ///< Null until submitted.
        time_point submitted_at{}; ///< Zero when the time was learned.
        time_point completed_at{};

        bool has(order_state it) const { return ticket && ticket->state == it; }
        /// Of results that are held.
        const std::vector<std::string>& handles() const;
    };

    std::optional<run_failure>    failure() const;
    std::uint32_t                 count_of(std::uint32_t stage) const;
    bool                          is_ready(std::uint32_t stage) const;
    bool                          is_final(std::uint32_t stage) const;
    std::vector<std::string>      inputs_of(std::uint32_t stage) const;
    std::shared_ptr<stage_ticket> order(std::uint32_t stage);
    std::optional<std::uint32_t>  next_ready() const;
    stage_list                    all_stages() const;
    std::string                   main_domain(const stage_list& of) const;
    microseconds                  time_after(std::uint32_t stage) const;
    time_point                    read_deadline(const stage_list& of) const;
    void                          learn_times();
    void                          release_consumed();

    stage_plan                    plan_;
    stage_run_dependencies        parts_;
    std::shared_ptr<fiber_signal> changed_;
    std::vector<stage_state>      states_; ///< By stage.
};

} // namespace arbutusgate::gateway
