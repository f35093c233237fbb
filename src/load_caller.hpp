/// Sends one request, reads its answer and checks it.
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

/// A client of the daemons. All calls run on fibers of one thread.
class load_caller
{
public:
    /// All arguments outlive the caller.
    load_caller(const load_mix& mix, const std::vector<std::string>& daemons,
                boost::asio::io_context& io)
        : mix_(mix), daemons_(daemons), io_(io), balancer_(daemons.size())
    {
    }

    /// Tries up to three daemons. Another one is tried when a daemon refuses
    /// the connection or answers 503 with "not_run", and for requests with an
    /// idempotency key also when the result is unknown.
    /// \param except index of a daemon to avoid, or load_balancer::none.
    load_result call(const planned_request& request, std::size_t except);

private:
    using clock = std::chrono::steady_clock;

    struct exchange;

    void try_daemon(exchange& it);
    /// Prepares another try. \return false when there is to be none.
    bool prepare_retry(exchange& it);
    void read_answer(exchange& it);
    void read_stream(exchange& it);
    /// \return true when the stream goes on.
    bool take_event(exchange& it, const std::string& name,
                    const std::string& data);
    void take_chunk(exchange& it, const std::string& data);
    void take_summary(exchange& it, const std::string& text);
    void take_problem(exchange& it, const std::string& text);
    void judge(exchange& it, const std::string& output);

    http_request make_request(const planned_request& request,
                              const std::string&     daemon) const;

    const load_mix&                 mix_;
    const std::vector<std::string>& daemons_;
    boost::asio::io_context&        io_;
    load_balancer                   balancer_;
};

} // namespace arbutusgate
