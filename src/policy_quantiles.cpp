#include "policy_quantiles.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

// The histogram holds a weight of about 64 samples, so that a stage that became
// slow is noticed within half a minute at 2 requests/s, and within seconds at
// usual rates.
constexpr std::uint32_t decay_interval = 16;
constexpr double        decay_factor   = 0.75;
// Quantiles are read more often than samples are added, so they are cached.
constexpr std::uint32_t update_interval    = 4;
constexpr double        expected_weight    = 8;
constexpr double        median_probability = 0.5;
constexpr double        high_probability   = 0.95;
// 100 us to 2000 s in bins of 10%.
constexpr double   min_time_us = 1e2;
constexpr double   max_time_us = 2e9;
constexpr unsigned bin_count   = 176;

} // namespace

stage_quantiles::stage_quantiles(microseconds expected)
    : samples_(std::make_tuple(log_axis(bin_count, min_time_us, max_time_us)))
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

double stage_quantiles::quantile(double probability) const
{
    using boost::histogram::indexed;
    double total = 0;
    for (auto&& it : indexed(samples_))
        total += *it;
    double weight_below = 0;
    for (auto&& it : indexed(samples_)) {
        if (*it > 0 && weight_below + *it >= total * probability) {
            const auto fraction = (total * probability - weight_below) / *it;
            return it.bin().lower() +
                   fraction * (it.bin().upper() - it.bin().lower());
        }
        weight_below += *it;
    }
    return 0;
}

void stage_quantiles::update()
{
    median_ = static_cast<std::int64_t>(quantile(median_probability));
    high_   = static_cast<std::int64_t>(quantile(high_probability));
}

} // namespace arbutusgate
