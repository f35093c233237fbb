/// The daemon process: its servers and the components they use.
#pragma once

#include "arbutusgate/policy.hpp"
#include "arbutusgate/settings.hpp"

#include "admin_service.hpp"
#include "caller_service.hpp"
#include "command_sender.hpp"
#include "deployment_catalog.hpp"
#include "explain_ring.hpp"
#include "fleet_node.hpp"
#include "leaving_watch.hpp"
#include "limit_watch.hpp"
#include "metrics.hpp"
#include "request_gate.hpp"
#include "run_registry.hpp"

#include "absl/status/status.h"

#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace arbutusgate {

class io_thread;

/// One arbutusgated process.
class daemon final : public admin_backend
{
public:
    explicit daemon(daemon_settings settings);
    ~daemon() override;

    daemon(const daemon&)            = delete;
    daemon& operator=(const daemon&) = delete;

    /// \return the error of the first listener that cannot start.
    absl::Status start();
    /// Starts a drain on SIGTERM and SIGINT.
    void drain_on_signals();
    /// Blocks until a drain has ended.
    void wait();
    /// Bound ports after start; they differ from the settings for port 0.
    std::uint16_t caller_port() const;
    std::uint16_t admin_port() const;

    std::string not_ready_reason() const override;
    void        drain() override;
    std::string metrics_text() const override;
    std::string status_json() const override;
    std::string explain_json(std::string_view request_id) const override;

private:
    request_services make_services();
    void             make_servers();
    void             poll_leaving();
    void             poll_engines();
    bool             sleep_unless_stopping(milliseconds time);
    void             stop_polling();
    void             run_drain();
    void             hand_over_claims();
    void             close_caller_connections();

    daemon_settings                          settings_;
    metrics                                  metrics_;
    explain_ring                             explain_;
    run_registry                             runs_;
    request_gate                             gate_;
    policy                                   policy_;
    deployment_catalog                       catalog_;
    std::vector<std::unique_ptr<io_thread>>  threads_;
    std::unique_ptr<io_thread>               control_;
    fleet_node                               fleet_;
    leaving_watch                            leaving_;
    limit_watch                              limits_;
    command_sender                           commands_;
    std::unique_ptr<caller_service>          callers_;
    admin_service                            admin_;
    std::unique_ptr<http_server>             caller_server_;
    std::unique_ptr<http_server>             admin_server_;
    std::unique_ptr<boost::asio::signal_set> signals_;
    std::promise<void>                       signals_ended_;

    std::atomic<bool>       draining_{false};
    std::atomic<bool>       stopping_{false};
    std::promise<void>      leaving_poll_ended_;
    std::promise<void>      commands_ended_;
    bool                    polls_started_ = false;
    std::mutex              mutex_;
    std::condition_variable drained_changed_;
    bool                    drained_ = false;
};

} // namespace arbutusgate
