/// Simulated platform: configuration service, list of VMs, weight store.
#pragma once

#include "call_limiter.hpp"
#include "http_server.hpp"
#include "standin_documents.hpp"

#include "absl/status/status.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace arbutusgate {

class io_thread;
struct request_path;

/// One VM in the list that the platform publishes.
struct platform_vm
{
    std::string id;
    std::string slot;
    std::string address; ///< "IP:port" of the peer listener.
    bool        leaving = false;
};

/// Parameters of a platform.
struct platform_init
{
    std::string address; ///< "IP:port" of the listener for readers.
    std::string control; ///< Empty: no control listener.
    std::map<std::string, std::string> documents; ///< Published as version 1.
    std::vector<platform_vm>           vms;
    milliseconds                       latency{3}; ///< Of each response.
    milliseconds                       list_lag{0};
    double                             read_rate   = 2000; ///< calls/s
    double                             read_burst  = 2000;
    double                             weight_rate = 2;         ///< calls/s
    std::size_t                        weight_size = 64 * 1024; ///< bytes
};

/// Fault that readers get in place of responses.
enum class platform_fault
{
    none,
    closed,      ///< Connections are closed without a response.
    unavailable, ///< Responses are 503.
    silent,      ///< Nothing is sent.
};

/// Counters since the start.
struct platform_stats
{
    std::uint64_t reads        = 0; ///< Calls that count toward the rate limit.
    std::uint64_t over_limit   = 0; ///< Reads rejected with 429.
    std::uint64_t watches      = 0; ///< Reads that waited for a new version.
    std::uint64_t open_watches = 0;
    std::uint64_t documents_read = 0;
};

/// All state belongs to one thread, which also serves the control listener.
class standin_platform
{
public:
    /// \param thread outlives the platform.
    standin_platform(platform_init init, io_thread& thread);
    ~standin_platform();

    standin_platform(const standin_platform&)            = delete;
    standin_platform& operator=(const standin_platform&) = delete;

    /// \return Unavailable when an address cannot be bound.
    absl::Status  start();
    void          stop();
    std::uint16_t port() const;
    std::uint16_t control_port() const;

private:
    using clock = std::chrono::steady_clock;

    struct vm_list
    {
        clock::time_point        at;
        std::uint64_t            revision = 0;
        std::vector<platform_vm> vms;
    };

    void serve(http_exchange& exchange);
    void dispatch(http_exchange& exchange, const request_path& path);
    void respond_head(http_exchange& exchange, const request_path& path);
    void respond_document(http_exchange& exchange, const request_path& path);
    void respond_vms(http_exchange& exchange);
    void respond_weights(http_exchange& exchange, const std::string& name);
    void wait_for_version(http_exchange& exchange, std::uint64_t after,
                          milliseconds time);
    void wake_watches();

    void                control(http_exchange& exchange);
    absl::Status        apply_control(const std::string&         path,
                                      const boost::json::object& body);
    absl::Status        publish(const boost::json::object& body);
    absl::Status        set_fault(const boost::json::object& body);
    absl::Status        set_vm(const boost::json::object& body);
    boost::json::object status() const;

    platform_init                        init_;
    io_thread&                           thread_;
    document_store                       documents_;
    call_limiter                         reads_;
    call_limiter                         weights_;
    platform_fault                       fault_    = platform_fault::none;
    bool                                 stopping_ = false;
    platform_stats                       stats_;
    std::deque<vm_list>                  lists_; ///< Oldest first.
    std::set<boost::asio::steady_timer*> watches_;
    std::unique_ptr<http_server>         server_;
    std::unique_ptr<http_server>         control_;
};

} // namespace arbutusgate
