#include "retry_budget.hpp"

namespace arbutusgate::gateway {

namespace {

constexpr milliseconds bucket_time{250};
/// Other daemons' requests count in the whole budget but not in the parts of
/// those daemons that send no repeats, so a part leaves room for delays.
constexpr double part_used = 0.9;

} // namespace

retry_budget::history& retry_budget::at(std::string_view service,
                                        time_point       now)
{
    auto& it = services_[std::string(service)];
    while (!it.empty() && now - it.front().start > limits_.window + bucket_time)
        it.pop_front();
    if (it.empty() || now - it.back().start >= bucket_time)
        it.push_back({now, 0, 0});
    return it;
}

double retry_budget::left(const history& it, time_point now) const
{
    std::uint32_t requests = 0;
    std::uint32_t repeats  = 0;
    for (const auto& entry : it) {
        repeats += entry.repeats;
        if (now - entry.start <= limits_.window)
            requests += entry.requests;
    }
    const auto slack = daemons_ == 0 ? 0 : limits_.slack / daemons_;
    return part_used * (limits_.ratio * requests + slack) - repeats;
}

void retry_budget::count_request(std::string_view service, time_point now)
{
    ++at(service, now).back().requests;
}

bool retry_budget::take(std::string_view service, time_point now)
{
    auto& it = at(service, now);
    if (left(it, now) < 1)
        return false;
    ++it.back().repeats;
    return true;
}

double retry_budget::left(std::string_view service, time_point now)
{
    return left(at(service, now), now);
}

} // namespace arbutusgate::gateway
