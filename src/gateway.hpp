/// The gateway daemon: serves callers by the published state.
#pragma once

#include "gateway_settings.hpp"
#include "wire_codec.hpp"

#include "absl/status/status.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace arbutusgate::gateway {

class state_reader;

/// Start values of a gateway.
struct gateway_init
{
    gateway_settings  settings;
    const wire_codec& codec; ///< Outlives the gateway.
    /// Makes the reader of the published state on the gateway's thread.
    std::function<std::unique_ptr<state_reader>(boost::asio::io_context&)>
        make_reader;
};

/// All work is done on one thread of its own.
class gateway
{
public:
    explicit gateway(gateway_init init);
    ~gateway();

    gateway(const gateway&)            = delete;
    gateway& operator=(const gateway&) = delete;

    /// \return Unavailable when an address cannot be bound.
    absl::Status start();
    /// Ports of callers, other daemons and readiness checks, after start; they
    /// differ from the settings for port 0.
    std::uint16_t port() const;
    std::uint16_t peer_port() const;
    std::uint16_t ready_port() const;
    /// Takes over bounds and seeds. Other changes wait for the next start and
    /// are logged.
    void reload(const gateway_settings& settings);
    /// Not ready any more; ends idle connections after those that send callers
    /// have noticed, and waits for open requests within the grace.
    void drain();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusgate::gateway
