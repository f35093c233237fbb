/// HTTP front end for callers: validates a request, runs it and responds.
#pragma once

#include "deployment_catalog.hpp"
#include "http_server.hpp"
#include "request_executor.hpp"
#include "request_gate.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace arbutusgate {

class caller_response_writer;
class connection_pool;
class io_thread;

/// Dependencies of a caller_service. The objects pointed to outlive it.
struct caller_service_init
{
    request_services        services;
    deployment_catalog*     catalog = nullptr;
    request_gate*           gate    = nullptr;
    std::vector<io_thread*> threads;
    /// Returns true once a configuration that may be served is in force.
    std::function<bool()> ready;
};

/// Thread-safe; handle() runs on the threads of caller_service_init.
class caller_service
{
public:
    explicit caller_service(caller_service_init init);
    ~caller_service();

    caller_service(const caller_service&)            = delete;
    caller_service& operator=(const caller_service&) = delete;

    /// Serves one request. Suspends the fiber until the request has ended.
    void handle(http_exchange& exchange);
    /// Counts a request that could not be read.
    /// \return the response to it.
    http_response on_error(http_error error);

private:
    using admission = std::variant<problem, std::unique_ptr<request_executor>>;

    void serve(http_exchange& exchange, caller_response_writer& writer,
               const std::string& request_id);
    /// Validates the request.
    /// \return its executor, or the reason for refusing it.
    admission admit(http_exchange& exchange, caller_response_writer& writer,
                    const std::string& request_id);
    void      refuse(caller_response_writer& writer, const problem& it);

    caller_service_init        init_;
    std::atomic<std::uint64_t> next_run_{1};
    std::unordered_map<io_thread*, std::unique_ptr<connection_pool>> pools_;
};

/// Returns a random id that other callers cannot guess: 32 hexadecimal digits.
std::string make_request_id();

} // namespace arbutusgate
