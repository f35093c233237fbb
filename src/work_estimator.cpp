#include "work_estimator.hpp"

#include "gateway_types.hpp"
#include "wire_codec.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace arbutusgate::gateway {

namespace {

/// Least weight of a new sample: older ones lose half of theirs in 44 samples.
constexpr double min_sample_weight = 1.0 / 64;
/// The account's own samples outweigh those of the whole route from here.
constexpr double route_weight = 8;
/// Until there are samples: answers of about 100 tokens, within a factor of 2.7
/// for two thirds of them.
constexpr double default_log_median = 4.6;
constexpr double default_variance   = 1.0;
/// Hints are right at the median and often off by two or more.
constexpr double default_hint_variance = 0.6;
/// Few equal samples do not show that all answers are equal.
constexpr double min_variance = 0.04;
/// Samples that the assumed values above count for.
constexpr double default_weight = 4;
/// 90% quantile of the standard normal distribution.
constexpr double upper_quantile = 1.2816;

double normal_tail(double z)
{
    return 0.5 * std::erfc(z / std::numbers::sqrt2);
}

// Names hold no zero byte.
std::string key_of(const std::string& route, const std::string& account)
{
    return route + '\0' + account;
}

double cut(double tokens, double max_tokens)
{
    return max_tokens > 0 ? std::min(tokens, max_tokens) : tokens;
}

} // namespace

double output_estimate::expected() const
{
    return cut(std::exp(log_median + log_sd * log_sd / 2), max_tokens);
}

double output_estimate::upper() const
{
    return cut(std::exp(log_median + upper_quantile * log_sd), max_tokens);
}

double output_estimate::remaining(double sent) const
{
    if (sent < 1)
        return expected();
    const auto z    = (std::log(sent) - log_median) / log_sd;
    const auto tail = normal_tail(z);
    // The quotient of the tails loses its digits far out, where the mean excess
    // approaches the second expression.
    const auto out  = z < 5 ? std::exp(log_median + log_sd * log_sd / 2) *
                                     normal_tail(z - log_sd) / tail -
                                 sent
                            : sent * log_sd / (z - log_sd);
    const auto left = max_tokens > 0 ? max_tokens - sent : out;
    return std::max(0.0, std::min(out, left));
}

void work_estimator::moments::add(double sample)
{
    ++samples;
    const auto weight = std::max(min_sample_weight, 1.0 / samples);
    const auto off    = sample - mean;
    mean += weight * off;
    variance = (1 - weight) * (variance + weight * off * off);
}

work_estimator::moments work_estimator::moments::after(const moments& prior,
                                                       double weight) const
{
    const auto own = static_cast<double>(samples);
    const auto w   = own / (own + weight);
    const auto off = mean - prior.mean;
    moments    out = prior;
    out.mean       = prior.mean + w * off;
    out.variance   = w * variance + (1 - w) * (prior.variance + w * off * off);
    out.samples    = samples;
    return out;
}

const work_estimator::entry*
work_estimator::find(const std::string& route, const std::string& account) const
{
    const auto it = learned_.find(key_of(route, account));
    return it == learned_.end() ? nullptr : &it->second;
}

work_estimator::entry& work_estimator::find_or_add(const std::string& key)
{
    if (learned_.size() >= max_entries && !learned_.contains(key))
        learned_.erase(std::min_element(
            learned_.begin(), learned_.end(), [](const auto& a, const auto& b) {
                return a.second.updated < b.second.updated;
            }));
    auto& out   = learned_[key];
    out.updated = ++updates_;
    return out;
}

output_estimate work_estimator::estimate_output(const std::string& route,
                                                const std::string& account,
                                                std::uint32_t      hint,
                                                std::uint32_t max_tokens) const
{
    moments output{default_log_median, default_variance, 0};
    moments hint_error{0, default_hint_variance, 0};
    if (const auto* it = find(route, "")) {
        output     = it->output.after(output, default_weight);
        hint_error = it->hint.after(hint_error, default_weight);
    }
    if (const auto* it = account.empty() ? nullptr : find(route, account)) {
        output     = it->output.after(output, route_weight);
        hint_error = it->hint.after(hint_error, route_weight);
    }
    auto mean     = output.mean;
    auto variance = std::max(min_variance, output.variance);
    if (hint > 0) {
        // Both are uncertain: weighted by their precision.
        const auto v    = std::max(min_variance, hint_error.variance);
        const auto from = std::log(hint) + hint_error.mean;
        mean            = (mean * v + from * variance) / (v + variance);
        variance        = std::max(min_variance, v * variance / (v + variance));
    }
    return {mean, std::sqrt(variance), static_cast<double>(max_tokens)};
}

call_work work_estimator::estimate(const request_head& call, const route& route,
                                   const std::string&   account,
                                   const engine_limits& engine) const
{
    call_work out;
    out.route   = route.name;
    out.account = account;
    out.hint    = call.length_hint.value_or(0);
    out.output =
        estimate_output(route.name, account, out.hint, call.output_tokens);
    out.prompt_tokens    = call.prompt_tokens;
    out.tokens_per_event = std::max(1U, engine.tokens_per_event);
    out.cache_capacity   = engine.cache_capacity;
    out.gap_goal         = route.gap_goal;
    // The last part is the request's own.
    std::uint64_t hash   = 0;
    std::uint32_t tokens = 0;
    for (std::size_t n = 0; n + 1 < call.prompt.size(); ++n) {
        const auto& it = call.prompt[n];
        hash           = XXH3_64bits_withSeed(it.id.data(), it.id.size(), hash);
        tokens         = std::min(tokens + it.tokens, call.prompt_tokens);
        out.prefixes.push_back({hash, tokens});
    }
    return out;
}

void work_estimator::completed(const call_work& it, std::uint32_t events)
{
    if (events == 0)
        return;
    const auto tokens   = static_cast<double>(events) * it.tokens_per_event;
    const auto expected = it.output.expected();
    ++errors_.answers;
    errors_.estimated_tokens += expected;
    errors_.output_tokens += tokens;
    errors_.error_tokens += std::abs(expected - tokens);
    const auto add = [&](const std::string& account) {
        auto& entry = find_or_add(key_of(it.route, account));
        entry.output.add(std::log(tokens));
        if (it.hint > 0)
            entry.hint.add(std::log(tokens / it.hint));
    };
    add("");
    if (!it.account.empty())
        add(it.account);
}

} // namespace arbutusgate::gateway
