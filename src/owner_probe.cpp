#include "owner_probe.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

void owner_probe::first_ended(bool answered)
{
    if (!first_answered_)
        first_answered_ = answered;
}

void owner_probe::second_ended(bool answered, time_point now)
{
    if (second_answered_)
        return;
    second_answered_ = answered;
    second_ended_at_ = now;
}

bool owner_probe::needs_second(time_point now) const
{
    return !first_answered_.value_or(false) &&
           (first_answered_.has_value() ||
            now >= started_ + times_.first_response);
}

std::optional<probe_verdict> owner_probe::verdict(time_point now) const
{
    if (first_answered_.value_or(false))
        return probe_verdict::alive;
    if (second_answered_.value_or(false)) {
        if (!first_answered_ && now < second_ended_at_ + times_.reordering)
            return std::nullopt;
        return probe_verdict::lost_connection;
    }
    if (refused_ || second_answered_.has_value() || now >= response_deadline())
        return probe_verdict::gone;
    return std::nullopt;
}

time_point owner_probe::next_at(time_point now) const
{
    if (second_answered_.value_or(false))
        return second_ended_at_ + times_.reordering;
    const auto second_due = started_ + times_.first_response;
    return now < second_due ? second_due : response_deadline();
}

} // namespace arbutusgate::gateway
