#include "limit_part.hpp"

#include <algorithm>
#include <xxhash.h>

namespace arbutusgate {

namespace {

/// Calls reach the target some time after they were sent, so that more may
/// arrive in a short time than were sent in it.
constexpr double usable_part = 0.9;
/// A target with a lower limit gets calls at this rate: without any, the end of
/// the limit would never be known. Calls a second.
constexpr double min_rate = 0.1;
/// Targets bear one and a half times their limit in 4 s and five calls more.
/// This many daemons, each with one call at once, use three of the five; the
/// rest is for daemons that did not hear of the limit yet.
constexpr double sharers_per_rate = 2.4;
constexpr double min_sharers      = 2;

std::uint64_t weight(std::string_view target, const std::string& daemon)
{
    return XXH3_64bits_withSeed(daemon.data(), daemon.size(),
                                XXH3_64bits(target.data(), target.size()));
}

} // namespace

double limit_part(std::string_view target, double limit,
                  const std::vector<std::string>& daemons,
                  std::string_view                self)
{
    const auto sharers =
        std::min(daemons.size(),
                 static_cast<std::size_t>(
                     std::min(1e6, min_sharers + sharers_per_rate * limit)));
    const auto own =
        std::find(daemons.begin(), daemons.end(), std::string(self));
    if (own == daemons.end())
        return 0;
    const auto own_weight = weight(target, *own);
    const auto before     = static_cast<std::size_t>(
        std::count_if(daemons.begin(), daemons.end(), [&](const auto& it) {
            return weight(target, it) > own_weight;
        }));
    if (before >= sharers)
        return 0;
    return std::max(min_rate, usable_part * limit) /
           static_cast<double>(sharers);
}

} // namespace arbutusgate
