#include "daemon.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace arbutusgate {

namespace json = boost::json;

namespace {

std::string_view state_name(enum member_view::state it)
{
    switch (it) {
    case member_view::state::alive:
        return "alive";
    case member_view::state::suspect:
        return "suspect";
    case member_view::state::dead:
        return "dead";
    case member_view::state::leaving:
        return "leaving";
    case member_view::state::unknown:
        break;
    }
    return "unknown";
}

json::array members_json(const fleet_status& fleet)
{
    json::array all;
    for (const auto& it : fleet.members) {
        json::object member{{"state", state_name(it.current)},
                            {"incarnation", it.incarnation}};
        if (it.slot.idx < fleet.slots.size()) {
            member["slot"]           = fleet.slots[it.slot.idx].name;
            member["failure_domain"] = fleet.slots[it.slot.idx].failure_domain;
        }
        all.push_back(std::move(member));
    }
    return all;
}

json::array targets_json(const deployment& config)
{
    json::array all;
    for (const auto& it : config.targets) {
        json::object target{{"name", it.name},
                            {"address", it.address},
                            {"failure_domain", it.failure_domain}};
        if (it.pool.idx < config.pools.size())
            target["pool"] = config.pools[it.pool.idx].name;
        all.push_back(std::move(target));
    }
    return all;
}

json::array leaving_json(const std::set<std::string>& names)
{
    json::array all;
    for (const auto& it : names)
        all.emplace_back(it);
    return all;
}

template <class Reason>
json::object reasons_json(const reason_counters& reasons)
{
    json::object all;
    for (std::size_t n = 0; n < static_cast<std::size_t>(Reason::count); ++n) {
        const auto it    = static_cast<Reason>(n);
        const auto count = reasons.get(it);
        if (count > 0)
            all[to_string(it)] = count;
    }
    return all;
}

json::array engines_json(const std::vector<engine_report>& engines)
{
    json::array all;
    for (const auto& it : engines)
        all.push_back({{"pool", it.pool},
                       {"target", it.target},
                       {"readable", it.known},
                       {"fence", it.fence},
                       {"current", it.current},
                       {"ready", it.ready},
                       {"reverted", it.reverted}});
    return all;
}

double to_double(std::uint64_t it)
{
    return static_cast<double>(it);
}

} // namespace

std::string daemon::metrics_text() const
{
    const auto fleet    = fleet_.status();
    const auto commands = commands_.stats();
    return metrics_.text({
        {"requests_running", "Requests being served.",
         to_double(gate_.running())},
        {"connections", "Open connections of callers.",
         to_double(caller_server_->connections())},
        {"ready", "1 when new requests may come.",
         not_ready_reason().empty() ? 1.0 : 0.0},
        {"draining", "1 after a drain has begun.", draining_ ? 1.0 : 0.0},
        {"daemons_alive", "Daemons believed alive.", to_double(fleet.alive)},
        {"config_version", "Configuration version in force.",
         to_double(fleet.config_version)},
        {"config_rejected_total", "Versions rejected as invalid.",
         to_double(fleet.config_rejected), true},
        {"peer_sent_messages_total", "Messages sent to daemons.",
         to_double(fleet.mesh.sent), true},
        {"peer_received_messages_total", "Messages received from daemons.",
         to_double(fleet.mesh.received), true},
        {"peer_sent_bytes_total", "Bytes sent to daemons.",
         to_double(fleet.mesh.bytes_out), true},
        {"peer_received_bytes_total", "Bytes received from daemons.",
         to_double(fleet.mesh.bytes_in), true},
        {"peer_rejected_handshakes_total", "Handshakes with an unknown key.",
         to_double(fleet.mesh.rejected), true},
        {"peer_malformed_messages_total", "Messages that cannot be read.",
         to_double(fleet.mesh.malformed), true},
        {"peer_dropped_messages_total", "Messages without a way to the peer.",
         to_double(fleet.mesh.dropped), true},
        {"engine_reads_total", "Reads of the engines' states.",
         to_double(commands.reads), true},
        {"engine_reads_failed_total", "Reads without a usable answer.",
         to_double(commands.reads_failed), true},
        {"command_sent_total", "Commands sent to engines.",
         to_double(commands.sent), true},
        {"command_withheld_total",
         "Commands held back by the check before the send.",
         to_double(commands.withheld), true},
        {"command_refused_total", "Commands with an old fencing number.",
         to_double(commands.refused), true},
        {"command_failed_total", "Commands without a usable answer.",
         to_double(commands.failed), true},
        {"command_reverted_total", "Engines found in another state.",
         to_double(commands.reverted), true},
    });
}

std::string daemon::status_json() const
{
    const auto  fleet  = fleet_.status();
    const auto  config = catalog_.current();
    const auto  reason = not_ready_reason();
    const auto& counts = metrics_.reasons();
    return json::serialize(json::object{
        {"slot", settings_.slot},
        {"site", settings_.site},
        {"failure_domain", settings_.failure_domain},
        {"incarnation", fleet.incarnation},
        {"config_version", fleet.config_version},
        {"config_rejected", fleet.config_rejected},
        {"ready", reason.empty()},
        {"not_ready_reason", reason},
        {"draining", draining_.load()},
        {"running", gate_.running()},
        {"connections", caller_server_->connections()},
        {"daemons_alive", fleet.alive},
        {"members", members_json(fleet)},
        {"targets", targets_json(*config)},
        {"leaving", leaving_json(leaving_.leaving())},
        {"engines", engines_json(commands_.report())},
        {"wrong_results", metrics_.wrong_results()},
        {"refusals", reasons_json<refusal_reason>(counts)},
        {"retries", reasons_json<retry_reason>(counts)},
    });
}

} // namespace arbutusgate
