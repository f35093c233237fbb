/// Sends one request, reads its response and verifies it.
#pragma once

#include "http_types.hpp"
#include "load_balancer.hpp"
#include "load_mix.hpp"
#include "load_plan.hpp"
#include "load_result.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace arbutusgate {

class http_client;

/// HTTP client of the daemons. All calls run on fibers of one thread.
class load_caller
{
public:
    /// All arguments must outlive the load_caller.
    load_caller(const load_mix& mix, const std::vector<std::string>& daemons,
                boost::asio::io_context& io)
        : mix_(mix), daemons_(daemons), io_(io), balancer_(daemons.size())
    {
    }

    /// Sends the request to up to three daemons. It is retried when a daemon
    /// refuses the connection or responds 503 with "not_run" and, if it has an
    /// idempotency key, also when its result is unknown.
    /// \param except index of a daemon to avoid, or load_balancer::none.
    /// \return the result of the last attempt, with the violations found in
    ///         all attempts. When that attempt was refused, the outcome is that
    ///         of an earlier attempt that may have run the request, if any.
    load_result call(const planned_request& request, std::size_t except);

private:
    using clock = std::chrono::steady_clock;

    struct call_state;

    void try_daemon(call_state& it);
    /// Excludes the last daemon or waits, as the last outcome requires.
    /// \return false when the request must not be retried.
    bool prepare_retry(call_state& it);
    void read_response(call_state& it);
    void read_stream(call_state& it);
    /// \return false when the event ends the stream.
    bool handle_event(call_state& it, const std::string& name,
                      const std::string& data);
    void handle_chunk(call_state& it, const std::string& data);
    void handle_summary(call_state& it, const std::string& text);
    void handle_problem(call_state& it, const std::string& text);
    void check_output(call_state& it, const std::string& output);

    http_request make_request(const planned_request& request,
                              const std::string&     daemon) const;

    const load_mix&                 mix_;
    const std::vector<std::string>& daemons_;
    boost::asio::io_context&        io_;
    load_balancer                   balancer_;
};

} // namespace arbutusgate
