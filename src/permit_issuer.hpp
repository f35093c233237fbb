/// Gives out the calls of targets that limit them, at the daemon that owns the
/// limit of the target.
///
/// Failure: each daemon keeps a target's limit alone, or its part of it, so
/// that the fleet sends the target a multiple of the limit, the more the larger
/// the fleet is.
#pragma once

#include "target_limits.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace arbutusgate::gateway {

class peer_table;

/// Request of a daemon for a permit to send a target one call.
struct permit_request
{
    /// As known to the daemon; it has a rate, or the target is cold.
    target_limit limit;
    milliseconds max_wait{0}; ///< A permit for a later time is of no use.
    /// Of the target, if it is cold: the owner may not have heard of it.
    std::optional<cold_period> cold{};
};

/// \return the request for a call to the target; nothing when the target has no
/// limit.
std::optional<permit_request> request_permit(const target_limits& limits,
                                             const target&        to,
                                             milliseconds         max_wait,
                                             time_point           now);

/// Answer to a permit_request.
struct permit_response
{
    bool         granted   = false;
    bool         undecided = false; ///< The issuer does not own the limit.
    milliseconds wait{0}; ///< Until the call, or until the next free permit.
    std::optional<target_limit> limit{}; ///< The issuer's latest report.
};

struct permit_issuer_params
{
    /// Part of a limit that is given out. Calls reach the target up to a
    /// permit's validity after their time, and for moments two daemons may own
    /// a limit.
    double usable_part = 0.9;
    /// The same of the limit of a cold target, which has to hold in every
    /// second. An owner and a new one that it does not know give out, with the
    /// permits' validity and a burst each, 1.25 x 0.8 x 1.5 of the rate and 4
    /// calls; the bound is 1.5 of the rate and 5 calls.
    double usable_cold_part = 0.8;
    /// Part of the usable rate while other daemons may still know another
    /// owner.
    double disputed_part = 0.5;
    /// A target with a lower limit gets calls at this rate: without any, the
    /// end of the limit would never be known. Calls a second.
    double min_rate = 0.1;
    /// Calls that may be sent at once after a time without calls.
    int burst = 2;
    /// No permit is given for a later time.
    milliseconds max_wait{2000};
    /// When to ask again if this daemon is not the owner.
    milliseconds not_owner_retry{200};
};

/// Counts since start.
struct permit_issuer_stats
{
    std::uint64_t granted  = 0;
    std::uint64_t refused  = 0; ///< No permit within the request's wait.
    std::uint64_t disowned = 0; ///< Asked for a limit that it does not own.
};

/// Belongs to one thread; does no I/O and reads no clock.
class permit_issuer
{
public:
    /// \param peers, limits outlive the issuer.
    permit_issuer(const peer_table& peers, target_limits& limits,
                  permit_issuer_params params = {})
        : peers_(peers), limits_(limits), params_(params)
    {
    }

    /// \return address of the daemon that gives out the target's calls.
    std::string owner(const std::string& target, time_point now) const;
    /// Answers a request of this daemon or of another one.
    permit_response issue(const permit_request& asked, time_point now);

    permit_issuer_stats stats() const { return stats_; }

private:
    /// Calls given out, as the generic cell rate algorithm counts them.
    struct schedule
    {
        std::int64_t started_at = 0; ///< Lifetime of the target.
        /// When all calls that were given out would be done at the limit's
        /// rate.
        time_point busy_until{};
    };

    /// Calls a second that this daemon may give out.
    /// \param named, cold the limits; infinite: none.
    double    usable_rate(double named, double cold, time_point now) const;
    schedule& schedule_of(const target_limit& limit, microseconds interval,
                          time_point now);
    void      expire(time_point now);

    const peer_table&               peers_;
    target_limits&                  limits_;
    permit_issuer_params            params_;
    std::map<std::string, schedule> schedules_; ///< By target.
    permit_issuer_stats             stats_;
};

} // namespace arbutusgate::gateway
