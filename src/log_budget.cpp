#include "log_budget.hpp"

#include <algorithm>
#include <utility>

namespace arbutusgate {

namespace {

/// Fraction of the budget that is reserved for warnings and errors.
constexpr double reserved_share = 0.3;

} // namespace

bool log_budget::admit(log_level level, time_point now)
{
    const auto elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    available_ =
        std::min(lines_per_second_, available_ + elapsed * lines_per_second_);
    const auto required = level >= log_level::warning
                              ? 1
                              : 1 + reserved_share * lines_per_second_;
    if (available_ < required) {
        ++dropped_;
        return false;
    }
    available_ -= 1;
    return true;
}

std::uint64_t log_budget::take_dropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace arbutusgate
