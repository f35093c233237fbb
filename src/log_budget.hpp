/// Rate limit of log lines.
#pragma once

#include "log.hpp"

#include "arbutusgate/types.hpp"

#include <cstdint>

namespace arbutusgate {

/// Token bucket for log lines. Part of it is reserved for warnings and errors,
/// so that lines up to info are dropped first. Not thread-safe.
class log_budget
{
public:
    /// \param lines per second; also the largest burst after a pause.
    explicit log_budget(std::uint32_t lines)
        : lines_per_second_(lines), available_(lines)
    {
    }

    /// \return false when the line must be dropped; it is then counted as
    /// dropped.
    bool admit(log_level level, time_point now);
    /// \return the number of lines dropped since the last call.
    std::uint64_t take_dropped();
    /// Counts a line that was admitted but could not be buffered.
    void count_dropped() { ++dropped_; }

private:
    double        lines_per_second_;
    double        available_;
    time_point    refilled_at_{};
    std::uint64_t dropped_ = 0;
};

} // namespace arbutusgate
