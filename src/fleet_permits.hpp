/// Gets permits for calls to limited targets from the daemons that own the
/// limits.
#pragma once

#include "permit_issuer.hpp"
#include "permit_source.hpp"

#include <functional>
#include <optional>
#include <string>

namespace arbutusgate::gateway {

/// Counts since start.
struct fleet_permit_stats
{
    std::uint64_t requested  = 0; ///< From other daemons.
    std::uint64_t unanswered = 0; ///< Of these.
};

/// Belongs to one thread.
class fleet_permits final : public permit_source
{
public:
    /// Sends a request to another daemon.
    /// \return its response, or nothing without one in time.
    using send_function = std::function<std::optional<std::string>(
        const std::string& address, std::string body, milliseconds timeout)>;

    /// \param peers, limits outlive the object.
    fleet_permits(const peer_table& peers, target_limits& limits,
                  send_function send)
        : limits_(limits), issuer_(peers, limits), peers_(peers),
          send_(std::move(send))
    {
    }

    call_permit acquire(const target& to, milliseconds max_wait) override;
    /// Answers a request of another daemon.
    /// \return nothing when the request is invalid.
    std::optional<std::string> serve(const std::string& body);

    permit_issuer_stats issued() const { return issuer_.stats(); }
    fleet_permit_stats  stats() const { return stats_; }

private:
    std::optional<permit_response> ask(const std::string&    owner,
                                       const permit_request& request);

    target_limits&     limits_;
    permit_issuer      issuer_;
    const peer_table&  peers_;
    send_function      send_;
    fleet_permit_stats stats_;
};

} // namespace arbutusgate::gateway
