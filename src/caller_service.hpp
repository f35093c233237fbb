/// Front end for callers: checks a request, runs it, answers.
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

class caller_answer;
class connection_pool;
class io_thread;

/// Start values of a caller_service. The pointers outlive it.
struct caller_service_init
{
    request_services        services;
    deployment_catalog*     catalog = nullptr;
    request_gate*           gate    = nullptr;
    std::vector<io_thread*> threads;
    /// True when a configuration is in force that may be served.
    std::function<bool()> ready;
};

/// Thread-safe; its handler runs on the threads given.
class caller_service
{
public:
    explicit caller_service(caller_service_init init);
    ~caller_service();

    caller_service(const caller_service&)            = delete;
    caller_service& operator=(const caller_service&) = delete;

    void          handle(http_exchange& exchange);
    http_response on_error(http_error error);

private:
    using admission = std::variant<problem, std::unique_ptr<request_executor>>;

    void      serve(http_exchange& exchange, caller_answer& answer,
                    const std::string& request_id);
    admission admit(http_exchange& exchange, caller_answer& answer,
                    const std::string& request_id);
    void      refuse(caller_answer& answer, const problem& it);

    caller_service_init        init_;
    std::atomic<std::uint64_t> next_run_{1};
    std::unordered_map<io_thread*, std::unique_ptr<connection_pool>> pools_;
};

/// Random id that other callers cannot guess.
std::string make_request_id();

} // namespace arbutusgate
