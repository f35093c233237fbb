/// Decides to whom and how often news are sent without waiting for the next
/// round of messages.
#pragma once

#include "peer_table.hpp"

#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// A small fleet is told at once. In a large one, a daemon tells a few others,
/// and each of them tells others in turn.
inline std::vector<std::string> report_recipients(peer_table& fleet,
                                                  time_point  now)
{
    constexpr std::size_t fanout = 4;
    return fleet.large() ? fleet.random_alive(fanout, now) : fleet.alive(now);
}

/// Time within which all daemons hear of news.
inline milliseconds report_spread_time(const peer_table& fleet)
{
    constexpr milliseconds small_fleet{400};
    constexpr milliseconds large_fleet{900};
    return fleet.large() ? large_fleet : small_fleet;
}

/// Intervals between messages while there are news. They grow when news do not
/// end, which bounds the traffic between daemons.
class report_pace
{
public:
    milliseconds next_interval()
    {
        constexpr milliseconds fast{200};
        constexpr milliseconds slow{1000};
        constexpr int          fast_rounds = 15;
        return rounds_++ < fast_rounds ? fast : slow;
    }

private:
    int rounds_ = 0;
};

} // namespace arbutusgate::gateway
