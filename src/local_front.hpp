/// The daemon's HTTP front end on one thread and a loopback port, for
/// benchmarks and tests.
#pragma once

#include "arbutusgate/policy.hpp"

#include "caller_service.hpp"
#include "claim_service.hpp"
#include "deployment_catalog.hpp"
#include "explain_ring.hpp"
#include "http_server.hpp"
#include "io_thread.hpp"
#include "metrics.hpp"
#include "request_gate.hpp"
#include "run_registry.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace arbutusgate {

/// Serves one deployment with the daemon's whole request handling. It is ready
/// from the start.
class local_front
{
public:
    using load_action =
        std::function<void(const std::string& target, const load_report&)>;

    /// \param claims outlives the front end.
    /// \param on_load receives the load reports of the targets.
    /// \param read_timeout limits the time to read a whole request.
    /// \param prompts outlives the front end; null: no prompt is refused.
    local_front(std::shared_ptr<const deployment> config, claim_service& claims,
                load_action   on_load,
                milliseconds  read_timeout = limits::request_read,
                prompt_guard* prompts      = nullptr)
        : rules_(std::move(config), {}, counts_.reasons()), catalog_(rules_)
    {
        caller_service_init init;
        init.services.rules   = &rules_;
        init.services.claims  = &claims;
        init.services.counts  = &counts_;
        init.services.explain = &explain_;
        init.services.runs    = &runs_;
        init.services.prompts = prompts;
        init.services.on_load = std::move(on_load);
        init.catalog          = &catalog_;
        init.gate             = &gate_;
        init.threads          = {&thread_};
        init.ready            = [] {
            return true;
        };
        service_ = std::make_unique<caller_service>(std::move(init));
        http_server_init server;
        server.address      = "127.0.0.1:0";
        server.read_timeout = read_timeout;
        server.handler      = [this](http_exchange& it) {
            service_->handle(it);
        };
        server.on_error = [this](http_error it) {
            return service_->on_error(it);
        };
        server_ = std::make_unique<http_server>(
            std::move(server), std::vector<io_thread*>{&thread_});
    }

    /// \return Unavailable when no port can be bound.
    absl::Status start() { return server_->start(); }

    /// Closes all connections and waits until their requests have ended.
    void stop() { server_->stop(); }

    std::uint16_t port() const { return server_->port(); }
    /// Address for callers as "IP:port".
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port());
    }
    policy&       rules() { return rules_; }
    metrics&      counts() { return counts_; }
    explain_ring& explain() { return explain_; }
    request_gate& gate() { return gate_; }
    io_thread&    thread() { return thread_; }

private:
    metrics                         counts_;
    explain_ring                    explain_;
    request_gate                    gate_;
    run_registry                    runs_;
    policy                          rules_;
    deployment_catalog              catalog_;
    io_thread                       thread_;
    std::unique_ptr<caller_service> service_;
    std::unique_ptr<http_server>    server_;
};

} // namespace arbutusgate
