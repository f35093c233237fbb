#include "load_balancer.hpp"

namespace arbutusgate {

std::size_t load_balancer::pick(clock::time_point now, std::size_t except)
{
    std::size_t soonest = none;
    for (std::size_t n = 0; n < until_.size(); ++n) {
        const auto it = (next_ + n) % until_.size();
        if (it == except && until_.size() > 1)
            continue;
        if (until_[it] <= now) {
            next_ = it + 1;
            return it;
        }
        if (soonest == none || until_[it] < until_[soonest])
            soonest = it;
    }
    return soonest;
}

} // namespace arbutusgate
