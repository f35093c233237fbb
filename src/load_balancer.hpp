/// Chooses a daemon for each request in the way the platform's load balancer
/// does.
#pragma once

#include "arbutusgate/types.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

namespace arbutusgate {

/// Round robin over the daemons that are not excluded.
class load_balancer
{
public:
    using clock = std::chrono::steady_clock;

    explicit load_balancer(std::size_t daemons) : excluded_until_(daemons) {}

    /// \param avoided is chosen only when it is the only daemon.
    /// \return the index of the next daemon or, when all are excluded, of the
    /// one whose exclusion ends first.
    std::size_t pick(clock::time_point now, std::size_t avoided);
    /// Excludes the daemon until the given time.
    void exclude(std::size_t daemon, clock::time_point until)
    {
        excluded_until_[daemon] = until;
    }

    static constexpr auto none = static_cast<std::size_t>(-1);

private:
    /// Time at which the exclusion of each daemon ends.
    std::vector<clock::time_point> excluded_until_;
    std::size_t                    next_ = 0;
};

} // namespace arbutusgate
