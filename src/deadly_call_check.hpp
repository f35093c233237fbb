/// Counts the calls whose prompt crashes stand-in engines.
#pragma once

#include "arbutusgate/types.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// A prompt with this text crashes the engine that begins to answer it.
inline constexpr std::string_view deadly_mark = "[deadly part]";

/// Shared by the engines of one process. Thread-safe.
class deadly_call_check
{
public:
    using time = std::chrono::steady_clock::time_point;

    /// The fleet must keep such calls from engines this long after so many
    /// crashes.
    static constexpr seconds       learning_time{3};
    static constexpr std::uint32_t learning_crashes = 5;

    void add_crash(time now)
    {
        std::lock_guard lock(mutex_);
        if (++crashes_ == learning_crashes)
            bound_ = now + learning_time;
    }
    /// \param tag of the request.
    void add_call(std::string_view tag, time now)
    {
        constexpr std::size_t max_tags = 1000;
        std::lock_guard       lock(mutex_);
        if (crashes_ >= learning_crashes && now > bound_ &&
            late_tags_.size() < max_tags)
            late_tags_.emplace_back(tag);
    }
    std::uint32_t crashes() const
    {
        std::lock_guard lock(mutex_);
        return crashes_;
    }
    /// Tags of the requests whose calls came too late.
    std::vector<std::string> late_tags() const
    {
        std::lock_guard lock(mutex_);
        return late_tags_;
    }

private:
    mutable std::mutex       mutex_;
    std::uint32_t            crashes_ = 0;
    time                     bound_{};
    std::vector<std::string> late_tags_;
};

} // namespace arbutusgate
