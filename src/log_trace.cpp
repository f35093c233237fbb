#include "log_trace.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace arbutusgate {

namespace json = boost::json;

namespace {

constexpr std::string_view target_changed_message = "target changed";

/// Messages that report a state of the daemon, valid until the next of its
/// kind.
constexpr std::array<std::string_view, 7> state_messages = {
    "configuration in force",
    "store lost",
    "store regained",
    "the published state is of another era; reading it again",
    "peers changed",
    "started",
    "draining"};

std::string string_field(const json::object& fields, std::string_view name)
{
    const auto* it = fields.if_contains(name);
    return it && it->is_string() ? std::string(it->as_string()) : std::string();
}

bool is_earlier(const log_trace_line& a, const log_trace_line& b)
{
    return a.time < b.time;
}

/// \return the kind of state that a message reports; a later line of the same
/// kind replaces an earlier one.
std::string_view state_kind(const std::string& message)
{
    return message.starts_with("store") ? "store" : std::string_view(message);
}

} // namespace

bool log_trace::add(std::string_view line)
{
    const auto start = line.find('{');
    if (start == std::string_view::npos)
        return false;
    boost::system::error_code ec;
    auto                      value = json::parse(line.substr(start), ec);
    if (ec || !value.is_object())
        return false;
    auto&      fields  = value.as_object();
    const auto message = string_field(fields, "message");
    if (message.empty())
        return false;
    log_trace_line out{string_field(fields, "time"),
                       string_field(fields, "node"), fields};
    if (string_field(fields, "request") == request_)
        request_lines_.push_back(std::move(out));
    else if (message == target_changed_message ||
             std::find(state_messages.begin(), state_messages.end(), message) !=
                 state_messages.end())
        state_lines_.push_back(std::move(out));
    return true;
}

std::vector<log_trace_line> log_trace::lines() const
{
    if (request_lines_.empty())
        return {};
    auto out    = request_lines_;
    auto states = state_lines_;
    std::stable_sort(out.begin(), out.end(), is_earlier);
    std::stable_sort(states.begin(), states.end(), is_earlier);
    const auto            first = out.front().time;
    const auto            last  = out.back().time;
    std::set<std::string> nodes;
    std::set<std::string> targets;
    for (const auto& it : out) {
        nodes.insert(it.node);
        targets.insert(string_field(it.fields, "target"));
    }
    // Latest state before the request, by daemon and kind.
    std::map<std::pair<std::string, std::string>, log_trace_line> latest;
    for (const auto& it : states) {
        if (!nodes.contains(it.node) || it.time > last)
            continue;
        const auto message = string_field(it.fields, "message");
        const auto target  = string_field(it.fields, "target");
        if (message == target_changed_message && !targets.contains(target))
            continue;
        if (it.time >= first)
            out.push_back(it);
        else
            latest.insert_or_assign(
                {it.node, std::string(state_kind(message)) + target}, it);
    }
    for (auto& [key, it] : latest)
        out.push_back(std::move(it));
    std::stable_sort(out.begin(), out.end(), is_earlier);
    return out;
}

} // namespace arbutusgate
