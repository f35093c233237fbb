#include "leaving_watch.hpp"

#include "http_client.hpp"
#include "load_report_header.hpp"
#include "log.hpp"

#include <optional>

namespace arbutusgate {

namespace {

constexpr auto poll_timeout = milliseconds{500};

std::optional<load_report> fetch_load_report(boost::asio::io_context& io,
                                             const std::string&       address)
{
    http_client  client(io);
    http_request request(http::verb::get, "/load", 11);
    request.set(http::field::host, address);
    if (client.connect(address, poll_timeout) ||
        client.send(request, poll_timeout))
        return std::nullopt;
    const auto value = client.head()["Load-Report"];
    return parse_load_report({value.data(), value.size()});
}

} // namespace

// A report that was sent before the target began to leave must not end the
// leaving state; only the response to a later poll does.
void leaving_watch::on_report(const std::string& target, load_report report)
{
    if (report.leaving) {
        mark(target);
        init_.note_leaving(target);
    }
    report.leaving = report.leaving || is_leaving(target);
    init_.rules->on_load_report(target, report, init_.now());
}

void leaving_watch::on_peer_report(const std::string& target)
{
    mark(target);
    init_.rules->set_leaving(target, true);
}

void leaving_watch::poll(boost::asio::io_context& io)
{
    const auto names  = leaving();
    const auto config = init_.rules->current();
    for (const auto& it : config->targets) {
        if (!names.contains(it.name))
            continue;
        if (const auto report = fetch_load_report(io, it.address))
            on_poll(it.name, *report);
    }
}

// A report made within limits::leaving_bound of the mark may come from the
// process that is leaving, so the policy ignores it. Such a report must not end
// the polls either: without them no later report would arrive.
void leaving_watch::on_poll(const std::string& target,
                            const load_report& report)
{
    if (report.leaving)
        return;
    const auto now = init_.now();
    {
        std::lock_guard lock(mutex_);
        const auto      it = leaving_.find(target);
        if (it == leaving_.end() ||
            now - report.lag - it->second <= limits::leaving_bound)
            return;
        leaving_.erase(it);
    }
    log(log_level::info, "target serves again", {{"target", target}});
    init_.rules->set_leaving(target, false);
    init_.rules->on_load_report(target, report, now);
}

std::set<std::string> leaving_watch::leaving() const
{
    std::set<std::string> names;
    std::lock_guard       lock(mutex_);
    for (const auto& it : leaving_)
        names.insert(it.first);
    return names;
}

bool leaving_watch::is_leaving(const std::string& target) const
{
    std::lock_guard lock(mutex_);
    return leaving_.contains(target);
}

void leaving_watch::mark(const std::string& target)
{
    {
        std::lock_guard lock(mutex_);
        if (!leaving_.emplace(target, init_.now()).second)
            return;
    }
    log(log_level::info, "target is leaving", {{"target", target}});
}

} // namespace arbutusgate
