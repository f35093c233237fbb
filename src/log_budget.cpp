#include "log_budget.hpp"

#include <algorithm>
#include <utility>

namespace arbutusgate {

namespace {

/// Part of the budget that only warnings and errors may use.
constexpr double reserved_share = 0.3;

} // namespace

bool log_budget::admit(log_level level, time_point now)
{
    const auto passed = std::chrono::duration<double>(now - filled_).count();
    filled_           = now;
    left_             = std::min(lines_, left_ + passed * lines_);
    const auto least =
        level >= log_level::warning ? 1 : 1 + reserved_share * lines_;
    if (left_ < least) {
        ++dropped_;
        return false;
    }
    left_ -= 1;
    return true;
}

std::uint64_t log_budget::take_dropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace arbutusgate
