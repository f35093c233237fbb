/// Counts requests that could not be read, and limits their log lines.
#pragma once

#include "http_server.hpp"

#include "arbutusgate/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace arbutusgate {

/// Hostile clients cause such errors at any rate, so that each kind of error
/// gets one log line in a second. Used by one thread.
class read_errors
{
public:
    static constexpr seconds log_interval{1};

    /// Counts an error.
    /// \return 0 if it gets no log line; otherwise how many errors of its kind
    ///         the line stands for.
    std::uint64_t add(http_error error, time_point now)
    {
        auto& it = kinds_[static_cast<std::size_t>(error)];
        ++it.count;
        if (it.logged > 0 && now < it.next_line)
            return 0;
        const auto out = it.count - it.logged;
        it.logged      = it.count;
        it.next_line   = now + log_interval;
        return out;
    }
    std::uint64_t count(http_error error) const
    {
        return kinds_[static_cast<std::size_t>(error)].count;
    }

private:
    struct kind
    {
        std::uint64_t count  = 0;
        std::uint64_t logged = 0; ///< Of these, by lines.
        time_point    next_line{};
    };

    std::array<kind, static_cast<std::size_t>(http_error::count)> kinds_;
};

} // namespace arbutusgate
