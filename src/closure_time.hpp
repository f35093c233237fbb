/// When a target that asked for no work for a time gets work again.
#pragma once

#include "arbutusgate/types.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace arbutusgate {

/// Bounds of such a time.
struct closure_times
{
    /// Of what a target asks for; a longer time is a mistake of the target.
    milliseconds most{600'000};
    /// Closures end later by a random part of their time, up to the most:
    /// daemons that were turned away together do not come back together.
    double       spread = 0.25;
    milliseconds spread_most{500};
};

/// \param time that the target asked for at \p now.
template <class Random>
time_point closure_end(time_point now, milliseconds time, Random& random,
                       const closure_times& times = {})
{
    time = std::min(time, times.most);
    const auto spread =
        std::min(std::chrono::duration_cast<milliseconds>(time * times.spread),
                 times.spread_most);
    return now + time +
           milliseconds{std::uniform_int_distribution<std::int64_t>(
               0, spread.count())(random)};
}

} // namespace arbutusgate
