#include "retry_budget.hpp"

namespace arbutusgate::gateway {

namespace {

constexpr milliseconds bucket_length{250};
/// Fraction of its share that a daemon uses; the rest is a margin for delays.
/// The common budget counts the requests of all daemons, including those that
/// send no retries and leave their share unused.
constexpr double usable_share = 0.9;

} // namespace

retry_budget::bucket_list& retry_budget::update(std::string_view service,
                                                time_point       now)
{
    auto& buckets = services_[std::string(service)];
    while (!buckets.empty() &&
           now - buckets.front().start > limits_.window + bucket_length)
        buckets.pop_front();
    if (buckets.empty() || now - buckets.back().start >= bucket_length)
        buckets.push_back({now, 0, 0});
    return buckets;
}

double retry_budget::left(const bucket_list& buckets, time_point now) const
{
    std::uint32_t requests = 0;
    std::uint32_t retries  = 0;
    // Retries count for one bucket longer than requests.
    for (const auto& entry : buckets) {
        retries += entry.retries;
        if (now - entry.start <= limits_.window)
            requests += entry.requests;
    }
    const auto slack = daemons_ == 0 ? 0 : limits_.slack / daemons_;
    return usable_share * (limits_.ratio * requests + slack) - retries;
}

void retry_budget::count_request(std::string_view service, time_point now)
{
    ++update(service, now).back().requests;
}

bool retry_budget::take(std::string_view service, time_point now)
{
    auto& buckets = update(service, now);
    if (left(buckets, now) < 1)
        return false;
    ++buckets.back().retries;
    return true;
}

double retry_budget::left(std::string_view service, time_point now)
{
    return left(update(service, now), now);
}

} // namespace arbutusgate::gateway
