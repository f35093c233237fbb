/// Limits the retries that a daemon sends to a service to its share of a
/// budget that all daemons have in common.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace arbutusgate::gateway {

/// The common budget: in any window, all daemons together send at most
/// ratio * requests + slack retries.
struct retry_limits
{
    double       ratio = 0.2;
    double       slack = 0;
    milliseconds window{10'000};
};

/// Belongs to one thread.
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits) : limits_(limits) {}

    void set_limits(retry_limits limits) { limits_ = limits; }
    /// \param n daemons that may send retries, including this one; the slack is
    /// divided by it. Zero: not known yet, no slack is used.
    void set_daemons(std::uint32_t n) { daemons_ = n; }

    /// Counts a caller's request for the service.
    void count_request(std::string_view service, time_point now);
    /// Takes one retry from the budget. \return false when none is left.
    bool take(std::string_view service, time_point now);
    /// \return retries that may be sent now.
    double left(std::string_view service, time_point now);

private:
    /// Counts of one short interval.
    struct bucket
    {
        time_point    start{};
        std::uint32_t requests = 0;
        std::uint32_t retries  = 0;
    };
    using bucket_list = std::deque<bucket>; ///< The oldest first.

    /// Drops the buckets before the window and appends a new one when due.
    bucket_list& update(std::string_view service, time_point now);
    double       left(const bucket_list& buckets, time_point now) const;

    retry_limits                                 limits_;
    std::uint32_t                                daemons_ = 0;
    std::unordered_map<std::string, bucket_list> services_;
};

} // namespace arbutusgate::gateway
