/// The gateway daemon: forwards the requests of callers to targets according to
/// the published state.
#pragma once

#include "gateway_settings.hpp"
#include "wire_codec.hpp"

#include "absl/status/status.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace arbutusgate::gateway {

class state_reader;

/// Constructor arguments of a gateway.
struct gateway_init
{
    gateway_settings  settings;
    const wire_codec& codec; ///< Must outlive the gateway.
    /// Creates the reader of the published state; called on the gateway's
    /// thread.
    std::function<std::unique_ptr<state_reader>(boost::asio::io_context&)>
        make_reader;
};

/// Does all its work on one thread of its own.
class gateway
{
public:
    explicit gateway(gateway_init init);
    ~gateway();

    gateway(const gateway&)            = delete;
    gateway& operator=(const gateway&) = delete;

    /// \return Unavailable when an address cannot be bound.
    absl::Status start();
    /// Bound ports for callers, other daemons and readiness checks. Valid after
    /// start(); they differ from the settings where these give port 0.
    std::uint16_t port() const;
    std::uint16_t peer_port() const;
    std::uint16_t ready_port() const;
    /// Applies new bounds and seeds. Other changes take effect at the next
    /// start; the log reports whether an address or the failure domain has
    /// changed.
    void reload(const gateway_settings& settings);
    /// Checks that the gateway's thread runs fibers; always called by the same
    /// thread. \return how long a fiber has been waiting since an earlier call.
    std::optional<milliseconds> stalled_for();
    /// Fails readiness checks, gives load balancers time to notice, then stops
    /// accepting and waits for open requests until shortly before the
    /// drain grace ends.
    void drain();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusgate::gateway
