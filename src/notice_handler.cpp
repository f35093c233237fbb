#include "notice_handler.hpp"

#include "log.hpp"
#include "target_directory.hpp"
#include "wire_codec.hpp"

namespace arbutusgate::gateway {

void handle_notice(target_directory& targets, const target& from,
                   const response_head& head, const notice_source& source,
                   time_point now)
{
    const auto& notice = head.notice;
    if (notice.unreadable_time)
        log(log_level::warning, "target sent an invalid closure time",
            {{"target", from.id},
             {"status", head.status},
             {"request", source.request}});
    if (targets.brittle().apply(from.service, notice.rejections_borne, now))
        log(log_level::info,
            notice.rejections_borne ? "targets of a service are brittle"
                                    : "targets of a service are not brittle "
                                      "any more",
            {{"service", from.service},
             {"rejections_per_s", notice.rejections_borne.value_or(0)}});
    switch (targets.gate().apply(from, notice, now)) {
    case gate_change::none:
        break;
    case gate_change::leaving:
        log(log_level::info, "target reports that it is leaving",
            {{"target", from.id},
             {"service", from.service},
             {"status", head.status},
             {"call", source.call},
             {"request", source.request}});
        break;
    case gate_change::closed:
        log(log_level::info, "target accepts no work for a time",
            {{"target", from.id},
             {"service", from.service},
             {"for_ms", notice.closed_for->count()},
             {"call", source.call},
             {"request", source.request}});
        break;
    }
}

void handle_rejection(target_directory& targets, const target& from,
                      std::uint32_t daemons, const notice_source& source,
                      time_point now)
{
    const auto rejections = targets.brittle().rejections(from.service, now);
    if (!rejections)
        return;
    target_notice closure;
    closure.closed_for = brittle_services::pause(*rejections, daemons);
    if (targets.gate().apply(from, closure, now) == gate_change::closed)
        log(log_level::info, "brittle target rejected a request",
            {{"target", from.id},
             {"for_ms", closure.closed_for->count()},
             {"call", source.call},
             {"request", source.request}});
}

void handle_limit(target_directory& targets, const target& from,
                  const response_head& head, const notice_source& source,
                  time_point sent_at, time_point now)
{
    const auto& notice = head.notice;
    if (notice.unreadable_limit)
        log(log_level::warning, "target sent an invalid limit on its calls",
            {{"target", from.id},
             {"status", head.status},
             {"request", source.request}});
    if (notice.cold_for)
        targets.note_cold(from, *notice.cold_for, now);
    switch (targets.limits().apply(from, notice, sent_at, now)) {
    case limit_change::none:
        break;
    case limit_change::named:
    case limit_change::changed:
        log(log_level::info, "target limits its calls",
            {{"target", from.id},
             {"service", from.service},
             {"calls_per_s", *notice.call_limit},
             {"call", source.call},
             {"request", source.request}});
        break;
    case limit_change::ended:
        log(log_level::info, "target no longer limits its calls",
            {{"target", from.id},
             {"service", from.service},
             {"call", source.call},
             {"request", source.request}});
        break;
    }
}

} // namespace arbutusgate::gateway
