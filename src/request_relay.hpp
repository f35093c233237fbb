/// Sends callers' requests to other daemons, which run them on this daemon's
/// behalf.
#pragma once

#include "connection_pool.hpp"
#include "daemon_clock.hpp"
#include "relay_peers.hpp"
#include "relay_terms.hpp"
#include "target_reach.hpp"

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace arbutusgate {
class http_exchange;
}

namespace arbutusgate::gateway {

class wire_codec;

/// Counters since start.
struct relay_stats
{
    std::uint64_t sent    = 0; ///< Requests sent to other daemons.
    std::uint64_t failed  = 0; ///< Links that broke before a whole response.
    std::uint64_t refused = 0; ///< Requests that no daemon took.
    std::uint64_t served  = 0; ///< Requests run for other daemons.
};

/// Belongs to one thread.
class request_relay
{
public:
    /// How the attempt at one daemon ended.
    enum class result
    {
        answered, ///< The response was passed on completely.
        not_run,  ///< The daemon did not run the request.
        failed,   ///< May have run; nothing was passed on.
        cut,      ///< Only a part of a stream was passed on.
    };

    /// \param reach, peers outlive the object.
    request_relay(boost::asio::io_context& io, const wire_codec& codec,
                  const target_reach& reach, relay_peers& peers,
                  std::uint64_t seed)
        : codec_(codec), reach_(reach), peers_(peers), pool_(io), random_(seed)
    {
    }

    /// Whether this daemon reaches no target, so that requests are diverted.
    bool cut_off() const { return reach_.state() == reach_state::cut_off; }
    /// Decides for one new request whether it is diverted.
    bool diverts_next();
    /// Picks a daemon for a request.
    /// \param tried addresses to leave out.
    std::optional<std::string> choose(const std::vector<std::string>& tried)
    {
        return peers_.choose(tried, daemon_now());
    }
    /// Sends the request to a daemon and passes its response on.
    /// \param in_use set to the connection while it may be cancelled.
    /// \param status of the response, if one was passed on.
    result run(http_exchange& exchange, const std::string& to,
               const relay_terms& terms, http_client*& in_use,
               unsigned& status);

    relay_stats&       stats() { return stats_; }
    const relay_stats& stats() const { return stats_; }

private:
    result pass_on(http_exchange& exchange, http_client& from,
                   time_point deadline, boost::system::error_code& ec);
    result pass_on_stream(http_exchange& exchange, http_client& from,
                          time_point deadline, boost::system::error_code& ec);

    const wire_codec&   codec_;
    const target_reach& reach_;
    relay_peers&        peers_;
    connection_pool     pool_;
    std::mt19937_64     random_;
    relay_stats         stats_;
};

} // namespace arbutusgate::gateway
