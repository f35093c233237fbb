/// Choice of a daemon for each request, as the platform's balancer does.
#pragma once

#include "arbutusgate/types.hpp"

#include <chrono>
#include <cstddef>
#include <vector>

namespace arbutusgate {

/// Round robin over the daemons that are not left out.
class load_balancer
{
public:
    using clock = std::chrono::steady_clock;

    explicit load_balancer(std::size_t daemons) : until_(daemons) {}

    /// Index of the next daemon. When all others are left out, the one whose
    /// time ends first. \param except is chosen only when there is no other.
    std::size_t pick(clock::time_point now, std::size_t except);
    void        leave_out(std::size_t daemon, clock::time_point until)
    {
        until_[daemon] = until;
    }

    static constexpr auto none = static_cast<std::size_t>(-1);

private:
    std::vector<clock::time_point> until_;
    std::size_t                    next_ = 0;
};

} // namespace arbutusgate
