#include "policy_quantiles.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

// About 64 samples count, so that at 2 requests/s a stage that became slow is
// noticed within its first half minute and at usual rates within seconds.
constexpr std::uint32_t decay_interval = 16;
constexpr double        decay_factor   = 0.75;
// The quantiles are read more often than samples come.
constexpr std::uint32_t update_interval = 4;
constexpr double        expected_weight = 8;
constexpr double        median_share    = 0.5;
constexpr double        high_share      = 0.95;
// 100 us to 2000 s in steps of 10%.
constexpr double   lowest  = 1e2;
constexpr double   highest = 2e9;
constexpr unsigned bins    = 176;

} // namespace

stage_quantiles::stage_quantiles(microseconds expected)
    : samples_(std::make_tuple(log_axis(bins, lowest, highest)))
{
    const auto it = static_cast<double>(expected.count());
    samples_(it, boost::histogram::weight(expected_weight));
    update();
}

void stage_quantiles::add(microseconds sample)
{
    std::lock_guard lock(mutex_);
    samples_(static_cast<double>(sample.count()));
    if (++since_decay_ == decay_interval) {
        since_decay_ = 0;
        samples_ *= decay_factor;
    }
    if (++since_update_ == update_interval) {
        since_update_ = 0;
        update();
    }
}

double stage_quantiles::quantile(double share) const
{
    using boost::histogram::indexed;
    double total = 0;
    for (auto&& it : indexed(samples_))
        total += *it;
    double below = 0;
    for (auto&& it : indexed(samples_)) {
        if (*it > 0 && below + *it >= total * share) {
            const auto part = (total * share - below) / *it;
            return it.bin().lower() +
                   part * (it.bin().upper() - it.bin().lower());
        }
        below += *it;
    }
    return 0;
}

void stage_quantiles::update()
{
    median_ = static_cast<std::int64_t>(quantile(median_share));
    high_   = static_cast<std::int64_t>(quantile(high_share));
}

} // namespace arbutusgate
