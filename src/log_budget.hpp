/// Lines a second that a log may take.
#pragma once

#include "log.hpp"

#include "arbutusgate/types.hpp"

#include <cstdint>

namespace arbutusgate {

/// Lines up to info are dropped first: they leave a part of the budget to
/// warnings and errors. Belongs to one thread.
class log_budget
{
public:
    /// \param lines a second, and at once after a pause.
    explicit log_budget(std::uint32_t lines) : lines_(lines), left_(lines) {}

    /// \return false when the line is to be dropped; it is counted then.
    bool admit(log_level level, time_point now);
    /// Lines dropped since the last call.
    std::uint64_t take_dropped();
    /// A line that was admitted could not be kept.
    void count_dropped() { ++dropped_; }

private:
    double        lines_;
    double        left_;
    time_point    filled_{};
    std::uint64_t dropped_ = 0;
};

} // namespace arbutusgate
