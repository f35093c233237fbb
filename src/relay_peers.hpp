/// Other daemons through which this one serves its callers while it reaches no
/// target.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// What a daemon says of itself when it is asked whether it reaches targets.
struct reach_report
{
    bool          reaches_targets = false;
    std::uint32_t open_requests   = 0;
    std::uint32_t capacity        = 0; ///< Thousandths of a core.
    std::string   failure_domain{};
};

/// Belongs to one thread; does no I/O.
class relay_peers
{
public:
    /// \param failure_domain of this daemon.
    relay_peers(std::string failure_domain, std::uint64_t seed)
        : failure_domain_(std::move(failure_domain)), random_(seed)
    {
    }

    /// Records the report of a daemon.
    void reported(const std::string& address, reach_report it, time_point now);
    /// Records that a daemon gave no valid answer, or took no request.
    void failed(const std::string& address) { peers_.erase(address); }
    /// Whether a daemon has said lately that it reaches targets.
    bool any(time_point now) const;
    /// Picks a daemon for a request and counts the request as open there.
    /// \param tried addresses to leave out.
    std::optional<std::string> choose(const std::vector<std::string>& tried,
                                      time_point                      now);

private:
    struct entry
    {
        reach_report  report;
        time_point    reported_at{};
        std::uint32_t sent = 0; ///< Requests since the report.
    };

    double load(const entry& it) const;
    bool   before(const entry& a, const entry& b) const;

    std::string                  failure_domain_;
    std::mt19937_64              random_;
    std::map<std::string, entry> peers_; ///< By address.
};

} // namespace arbutusgate::gateway
