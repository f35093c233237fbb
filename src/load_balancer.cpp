#include "load_balancer.hpp"

namespace arbutusgate {

std::size_t load_balancer::pick(clock::time_point now, std::size_t avoided)
{
    std::size_t first_to_return = none;
    for (std::size_t n = 0; n < excluded_until_.size(); ++n) {
        const auto it = (next_ + n) % excluded_until_.size();
        if (it == avoided && excluded_until_.size() > 1)
            continue;
        if (excluded_until_[it] <= now) {
            next_ = it + 1;
            return it;
        }
        if (first_to_return == none ||
            excluded_until_[it] < excluded_until_[first_to_return])
            first_to_return = it;
    }
    return first_to_return;
}

} // namespace arbutusgate
