/// One simulated replica of a target pool.
#pragma once

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

/// Start values of a replica.
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

/// Counts of one replica, all since its start.
struct replica_stats
{
    std::uint64_t calls     = 0;
    std::uint64_t executed  = 0;
    std::uint64_t refused   = 0; ///< Answered 503 with "not_run".
    std::uint64_t failed    = 0;
    std::uint64_t cancelled = 0; ///< The client closed its connection.
    /// Calls that came later than limits::leaving_bound after the replica
    /// began to leave.
    std::uint64_t late_calls = 0;
    /// Calls later than 0.5 s after a refusal that asked for no call, within
    /// the time that it named.
    std::uint64_t early_calls = 0;
};

/// Listener, load report, faults and slots; the kinds of replica add their
/// protocol. Everything runs on one thread, but for the members that are
/// marked thread-safe.
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
    /// Closes all connections. Not to be called from the replica's thread.
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
    /// Answers a request that is not the load report.
    /// \return false when there is no such resource.
    virtual bool handle(http_exchange& exchange, const request_path& path) = 0;

    /// One call's faults and times, drawn when it arrives.
    struct call_plan
    {
        standin_behaviour behaviour;
        call_fate         fate = call_fate::normal;
        microseconds      time{0};
    };
    /// Counts a call and draws its plan. \param median_ms of the time.
    call_plan plan_call(std::optional<double> median_ms = {});
    /// Draws a further time of the call.
    microseconds draw(double median_ms, const call_plan& plan);
    /// Refuses by fault or for lack of room, or waits for a slot.
    /// \return true with a slot granted, which leave gives back.
    bool enter(http_exchange& exchange, const call_plan& plan,
               std::int64_t priority);
    void leave();
    void record(const execution_record& work);

    /// Sends a response with the load report.
    void respond(http_exchange& exchange, http_response response);
    void respond_failed(http_exchange& exchange);
    /// Value of the Load-Report header.
    std::string load_report();
    /// Keeps the connection open without a byte until the client closes it.
    void stay_silent(http_exchange& exchange);
    /// \return false when the client is gone or the replica stops.
    bool sleep(http_exchange& exchange, microseconds time);
    void count_cancelled();

    work_slots& slots() { return slots_; }
    /// On the replica's thread only.
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
    const load_sample& lagging_load();

    replica_init                 init_;
    execution_log&               executions_;
    work_slots                   slots_;
    std::mt19937_64              random_;
    std::unique_ptr<http_server> server_;
    std::atomic<bool>            stopping_{false};
    std::deque<load_sample>      samples_;

    mutable std::mutex                    mutex_; ///< Of the members below.
    standin_behaviour                     behaviour_;
    std::chrono::steady_clock::time_point leaving_since_;
    std::chrono::steady_clock::time_point closed_at_{};
    std::chrono::steady_clock::time_point closed_until_{};
    replica_stats                         stats_;
};

} // namespace arbutusgate
