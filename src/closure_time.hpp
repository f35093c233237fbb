/// Computes when a target that asked for no work for a time gets work again.
#pragma once

#include "arbutusgate/types.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace arbutusgate {

/// Bounds of a closure, the time in which a target gets no work.
struct closure_times
{
    /// A target that asks for a longer closure is taken to be in error.
    milliseconds most{600'000};
    /// A closure is extended by a random time of up to this fraction of its
    /// length, so that daemons that a target turned away together do not all
    /// return at the same moment.
    double       spread = 0.25;
    milliseconds max_spread{500}; ///< Upper bound of the extension.
};

/// \param length of the closure that the target asked for at \p now.
template <class Random>
time_point closure_end(time_point now, milliseconds length, Random& random,
                       const closure_times& times = {})
{
    length            = std::min(length, times.most);
    const auto spread = std::min(
        std::chrono::duration_cast<milliseconds>(length * times.spread),
        times.max_spread);
    return now + length +
           milliseconds{std::uniform_int_distribution<std::int64_t>(
               0, spread.count())(random)};
}

} // namespace arbutusgate
