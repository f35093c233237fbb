/// One simulated replica of a target pool.
#pragma once

#include "call_limit_check.hpp"
#include "http_server.hpp"
#include "standin_behaviour.hpp"
#include "standin_executions.hpp"
#include "standin_slots.hpp"

#include "arbutusgate/types.hpp"

#include <atomic>
#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace arbutusgate {

class io_thread;
struct request_path;

/// Parameters of a replica.
struct replica_init
{
    std::string       name;
    std::string       address; ///< "IP:port"; port 0 lets the system choose.
    std::uint32_t     slots = 8;
    std::uint32_t     queue = 32;
    milliseconds      report_lag{0}; ///< Age of the load reports.
    standin_behaviour behaviour;
    std::uint64_t     seed = 1;
};

/// Counters of one replica since its start.
struct replica_stats
{
    std::uint64_t calls     = 0;
    std::uint64_t executed  = 0;
    std::uint64_t refused   = 0; ///< Rejected with 503 and "not_run".
    std::uint64_t failed    = 0;
    std::uint64_t cancelled = 0; ///< The client closed its connection.
    /// Calls that arrived more than limits::leaving_bound after the replica
    /// began to leave.
    std::uint64_t late_calls = 0;
    /// Calls that arrived before the Retry-After time of a refusal had passed,
    /// but more than 0.5 s after the refusal.
    std::uint64_t early_calls = 0;
    /// Most calls beyond what the replica's limit allows in any 4 s.
    std::uint64_t calls_over_limit = 0;
};

/// Base of all replicas: listener, load report, injected faults and slots. The
/// derived classes add their protocol. All members run on one thread, except
/// those marked thread-safe.
class standin_replica
{
public:
    /// \param executions outlives the replica.
    standin_replica(replica_init init, execution_log& executions);
    virtual ~standin_replica();

    standin_replica(const standin_replica&)            = delete;
    standin_replica& operator=(const standin_replica&) = delete;

    /// \param thread outlives the replica.
    /// \return Unavailable when the address cannot be bound.
    absl::Status start(io_thread& thread);
    /// Closes all connections. Must not be called from the replica's thread.
    void stop();

    const std::string& name() const { return init_.name; }
    std::string        address() const;
    /// Thread-safe.
    standin_behaviour behaviour() const;
    /// Thread-safe.
    void set_behaviour(const standin_behaviour& behaviour);
    /// Thread-safe.
    replica_stats stats() const;
    /// Thread-safe.
    std::uint32_t in_flight() const { return slots_.in_flight(); }

protected:
    /// Handles a request for anything but the load report.
    /// \return false when there is no such resource.
    virtual bool handle(http_exchange& exchange, const request_path& path) = 0;

    /// Outcome and times of one call, drawn when it arrives.
    struct call_plan
    {
        standin_behaviour behaviour;
        call_outcome      outcome = call_outcome::normal;
        microseconds      time{0};
    };
    /// Counts a call and draws its plan.
    /// \param median_ms median of its time; by default the behaviour's latency.
    call_plan plan_call(std::optional<double> median_ms = {});
    /// Draws another time for the same call.
    microseconds draw(double median_ms, const call_plan& plan);
    /// Waits for a slot. Refuses the call when its outcome is not_run or the
    /// queue is full.
    /// \return true when a slot was granted; release_slot frees it.
    bool acquire_slot(http_exchange& exchange, const call_plan& plan,
                      std::int64_t priority);
    void release_slot();
    void record(const execution_record& work);

    /// Sends a response with the Load-Report header.
    void respond(http_exchange& exchange, http_response response);
    void respond_failed(http_exchange& exchange);
    /// Value of the Load-Report header.
    std::string load_report();
    /// Keeps the connection open and sends nothing until the client closes it
    /// or the replica stops.
    void stay_silent(http_exchange& exchange);
    /// \return false when the client disconnects or the replica stops.
    bool sleep(http_exchange& exchange, microseconds time);
    void count_cancelled();
    /// Ends all calls and serves none for a time.
    void crash(milliseconds length);

    work_slots& slots() { return slots_; }
    /// Must only be used on the replica's thread.
    std::mt19937_64& random() { return random_; }

private:
    struct load_sample
    {
        std::chrono::steady_clock::time_point at;
        std::uint32_t                         in_flight = 0;
        std::uint32_t                         queued    = 0;
        bool                                  leaving   = false;
    };

    void               serve(http_exchange& exchange);
    void               sample_load();
    const load_sample& reported_load();

    replica_init                 init_;
    execution_log&               executions_;
    work_slots                   slots_;
    std::mt19937_64              random_;
    std::unique_ptr<http_server> server_;
    std::atomic<bool>            stopping_{false};
    std::deque<load_sample>      samples_;
    /// Calls that are in progress when it crashes end.
    std::chrono::steady_clock::time_point crashed_at_{};
    std::chrono::steady_clock::time_point crashed_until_{};

    mutable std::mutex                    mutex_; ///< Guards the members below.
    standin_behaviour                     behaviour_;
    std::chrono::steady_clock::time_point leaving_since_;
    std::chrono::steady_clock::time_point closure_start_{};
    std::chrono::steady_clock::time_point closed_until_{};
    call_limit_check                      limit_check_;
    replica_stats                         stats_;
};

} // namespace arbutusgate
