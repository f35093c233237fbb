#include "explain_ring.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace arbutusgate {

namespace {

boost::json::value to_json(const attempt_trace& it)
{
    return {{"attempt", it.attempt},    {"stage", it.stage},
            {"target", it.target},      {"start_us", it.start.count()},
            {"end_us", it.end.count()}, {"outcome", it.outcome},
            {"detail", it.detail}};
}

std::string to_json_text(const request_trace& it)
{
    boost::json::object body{{"request_id", it.request_id},
                             {"pipeline", it.pipeline},
                             {"account", it.account},
                             {"config_version", it.config_version},
                             {"execution", to_string(it.result)},
                             {"reason", to_string(it.reason)},
                             {"claim", it.claim},
                             {"latency_us", it.latency.count()}};
    boost::json::array  attempts;
    for (const auto& attempt : it.attempts)
        attempts.push_back(to_json(attempt));
    body["attempts"] = std::move(attempts);
    return boost::json::serialize(body);
}

} // namespace

std::size_t explain_ring::shard_of(std::string_view request_id)
{
    return std::hash<std::string_view>{}(request_id) % shard_count;
}

void explain_ring::add(request_trace trace)
{
    auto&           it = shards_[shard_of(trace.request_id)];
    std::lock_guard lock(it.mutex);
    if (it.traces.size() < shard_size)
        it.traces.push_back(std::move(trace));
    else
        it.traces[it.next] = std::move(trace);
    it.next = (it.next + 1) % shard_size;
}

std::string explain_ring::find(std::string_view request_id) const
{
    const auto&     it = shards_[shard_of(request_id)];
    std::lock_guard lock(it.mutex);
    for (const auto& trace : it.traces) {
        if (trace.request_id == request_id)
            return to_json_text(trace);
    }
    return {};
}

} // namespace arbutusgate
