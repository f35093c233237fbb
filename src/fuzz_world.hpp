/// Simulates daemons, network, configuration service, targets and callers in
/// virtual time.
#pragma once

#include "fuzz_oracle.hpp"
#include "fuzz_process.hpp"
#include "fuzz_scenario.hpp"

#include <queue>

namespace arbutusgate {

/// Runs one scenario. The run is determined by the scenario and the guards.
class fuzz_world
{
public:
    fuzz_world(const fuzz_scenario& scenario, const node_guards& guards);

    /// Runs all steps and the final checks. \return the violated rule, if any.
    std::optional<std::string> run();

    time_point         now() const { return now_; }
    const fuzz_oracle& oracle() const { return oracle_; }

private:
    using documents = std::map<std::string, std::string>;

    struct cut
    {
        std::uint32_t from = 0;
        std::uint32_t to   = 0;
    };

    struct leaving_note
    {
        time_point    at;
        std::uint32_t process = 0;
    };

    // Steps.
    void apply(const fuzz_op& op);
    void apply_process(const fuzz_op& op);
    void apply_network(const fuzz_op& op);
    void apply_platform(const fuzz_op& op);
    void run_until(time_point end);
    void wait_settled(milliseconds limit);

    // Processes.
    void          start(std::uint32_t slot);
    void          kill(std::uint32_t process);
    void          supersede(std::uint32_t slot);
    void          pause(std::uint32_t process);
    void          wake(std::uint32_t process);
    void          drain(std::uint32_t process);
    std::uint32_t current(std::uint32_t slot) const { return current_[slot]; }
    std::uint32_t superseded_process(std::uint32_t slot) const;
    void          end_drain(fuzz_process& it);

    // Events of a process.
    void push(fuzz_event event, microseconds in);
    void handle(const fuzz_event& event);
    void on_tick(std::uint32_t process);
    void on_request(const fuzz_event& event);
    void on_send(const fuzz_event& event);
    void on_config_read(fuzz_process& it);
    void on_config_event(fuzz_process& it, const config_event& event);
    void on_claim(std::uint32_t process, const claim_event& event);
    void perform(std::uint32_t process, std::uint32_t call,
                 const run_actions& actions);
    void on_finish(fuzz_process& it, std::uint32_t call, const finish& end);
    void drain_core_output(std::uint32_t process);

    // Network and targets.
    void send(std::uint32_t from, const outgoing_message& message);
    bool passes(const fuzz_process& from, const fuzz_process& to) const;
    void execute(const fuzz_event& event);

    // Callers.
    void call(std::uint32_t slot, std::uint32_t key, bool other_body);

    // Rules that depend on the state of several processes.
    void check_first_version(const fuzz_process& it, std::uint64_t version);
    void check_dispatch(std::uint32_t process, const fuzz_event& event);
    void check_recovery();
    void stop_faults();
    void check_convergence();
    void check_claims();
    void check_retries();
    bool handlers_alive(std::uint32_t key) const;
    /// Runs until every call has a response, at most for the limit.
    void wait_responses(const std::vector<std::uint32_t>& calls,
                        milliseconds                      limit);

    std::uint32_t    draw(std::uint32_t n) { return random_() % n; }
    static documents documents_of(std::uint64_t version);
    static bool      valid(std::uint64_t version);
    bool             done() const { return oracle_.violated().has_value(); }

    fuzz_scenario                     scenario_;
    node_init                         init_;
    std::shared_ptr<const deployment> deployment_;
    std::mt19937                      random_;
    fuzz_oracle                       oracle_;
    time_point                        now_;
    /// Time of the latest step that may change the faults.
    time_point    last_fault_change_;
    std::uint64_t event_number_ = 0;
    std::uint64_t incarnation_  = 1000;
    std::uint64_t published_    = 1;

    /// Entry of the event queue; event is the index in pool_. Events of the
    /// same time run in the order of their numbers.
    struct queued
    {
        time_point    at;
        std::uint64_t number = 0;
        std::uint32_t event  = 0;

        bool operator>(const queued& b) const
        {
            return at != b.at ? at > b.at : number > b.number;
        }
    };

    std::vector<fuzz_event>                                          pool_;
    std::vector<std::uint32_t>                                       free_;
    std::priority_queue<queued, std::vector<queued>, std::greater<>> events_;
    std::vector<std::unique_ptr<fuzz_process>>                       processes_;
    std::vector<std::uint32_t>             current_; ///< Index: slot.
    std::map<std::uint32_t, std::uint32_t> handler_; ///< Key: call.
    std::map<std::uint32_t, std::vector<std::uint32_t>>
                                          calls_; ///< Key: request key.
    std::map<std::uint32_t, leaving_note> leaving_;

    std::map<std::uint32_t, refusal_reason> reasons_; ///< Key: call.

    std::vector<cut>                      cuts_;
    std::uint32_t                         loss_percent_      = 0;
    std::uint32_t                         duplicate_percent_ = 0;
    milliseconds                          delay_{1};
    std::map<std::uint32_t, milliseconds> slow_to_;
    std::set<std::uint32_t> stale_; ///< Slots that read version 1.
    bool                    service_down_ = false;
    fuzz_target_mode        target_mode_{};
    milliseconds            stage_time_{1};
};

} // namespace arbutusgate
