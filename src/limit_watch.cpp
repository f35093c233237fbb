#include "limit_watch.hpp"

#include "log.hpp"

namespace arbutusgate {

void limit_watch::on_report(const std::string& target,
                            const load_report& report)
{
    if (report.unreadable_limit) {
        log(log_level::warning, "target sent an invalid limit on its calls",
            {{"target", target}});
        return;
    }
    bool known = false;
    {
        std::lock_guard lock(mutex_);
        const auto      it = known_.find(target);
        known              = it != known_.end() && it->second.limited;
    }
    if (known || report.call_limit)
        init_.note_limit(target, report);
}

void limit_watch::on_limit(const target_limit_event& event, double part)
{
    {
        std::lock_guard lock(mutex_);
        auto&           it = known_[event.target];
        if (event.order < it.order)
            return;
        it = {event.rate.has_value(), event.order};
        init_.rules->set_call_rate(
            event.target, event.rate ? std::optional(part) : std::nullopt,
            init_.now());
    }
    if (event.rate)
        log(log_level::info, "target limits its calls",
            {{"target", event.target},
             {"calls_per_s", *event.rate},
             {"own_calls_per_s", part}});
    else
        log(log_level::info, "target no longer limits its calls",
            {{"target", event.target}});
}

} // namespace arbutusgate
