#include "owner_probe.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

void owner_probe::first_ended(bool answered)
{
    if (!first_)
        first_ = answered;
}

void owner_probe::second_ended(bool answered, time_point now)
{
    if (second_)
        return;
    second_    = answered;
    second_at_ = now;
}

bool owner_probe::needs_second(time_point now) const
{
    return !first_.value_or(false) &&
           (first_.has_value() || now >= asked_ + times_.answer);
}

std::optional<probe_verdict> owner_probe::verdict(time_point now) const
{
    if (first_.value_or(false))
        return probe_verdict::alive;
    if (second_.value_or(false)) {
        if (!first_ && now < second_at_ + times_.order)
            return std::nullopt;
        return probe_verdict::lost_connection;
    }
    if (refused_ || second_.has_value() || now >= answer_by())
        return probe_verdict::gone;
    return std::nullopt;
}

time_point owner_probe::next_at(time_point now) const
{
    if (second_.value_or(false))
        return second_at_ + times_.order;
    const auto second = asked_ + times_.answer;
    return now < second ? second : answer_by();
}

} // namespace arbutusgate::gateway
