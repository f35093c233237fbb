/// Repeats that a daemon may send to a service, as its part of a budget that
/// all daemons share.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace arbutusgate::gateway {

/// The shared budget: in any window, repeats are at most ratio times the
/// requests, and slack more.
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
    /// Daemons that may send repeats, this one included; the slack is divided
    /// by it. Zero: not known yet, no slack is used.
    void set_daemons(std::uint32_t n) { daemons_ = n; }

    /// A caller's request for the service.
    void count_request(std::string_view service, time_point now);
    /// Takes one repeat. \return false when none is left.
    bool take(std::string_view service, time_point now);
    /// Repeats left at the moment.
    double left(std::string_view service, time_point now);

private:
    struct bucket
    {
        time_point    start{};
        std::uint32_t requests = 0;
        std::uint32_t repeats  = 0;
    };
    using history = std::deque<bucket>;

    history& at(std::string_view service, time_point now);
    double   left(const history& it, time_point now) const;

    retry_limits                             limits_;
    std::uint32_t                            daemons_ = 0;
    std::unordered_map<std::string, history> services_;
};

} // namespace arbutusgate::gateway
