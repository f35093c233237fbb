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

constexpr std::string_view target_message = "target changed";

/// Messages of which the latest one tells the state.
constexpr std::array<std::string_view, 6> state_messages = {
    "configuration in force", "store lost", "store regained",
    "peers changed",          "started",    "draining"};

std::string text_of(const json::object& fields, std::string_view name)
{
    const auto* it = fields.if_contains(name);
    return it && it->is_string() ? std::string(it->as_string()) : std::string();
}

bool before(const log_trace_line& a, const log_trace_line& b)
{
    return a.time < b.time;
}

/// States of one kind replace each other.
std::string_view kind_of(const std::string& message)
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
    const auto message = text_of(fields, "message");
    if (message.empty())
        return false;
    log_trace_line out{text_of(fields, "time"), text_of(fields, "node"),
                       fields};
    if (text_of(fields, "request") == request_)
        own_.push_back(std::move(out));
    else if (message == target_message ||
             std::find(state_messages.begin(), state_messages.end(), message) !=
                 state_messages.end())
        beliefs_.push_back(std::move(out));
    return true;
}

std::vector<log_trace_line> log_trace::lines() const
{
    if (own_.empty())
        return {};
    auto out     = own_;
    auto beliefs = beliefs_;
    std::stable_sort(out.begin(), out.end(), before);
    std::stable_sort(beliefs.begin(), beliefs.end(), before);
    const auto            first = out.front().time;
    const auto            last  = out.back().time;
    std::set<std::string> nodes;
    std::set<std::string> targets;
    for (const auto& it : out) {
        nodes.insert(it.node);
        targets.insert(text_of(it.fields, "target"));
    }
    // The latest state of each daemon and kind before the request.
    std::map<std::pair<std::string, std::string>, log_trace_line> latest;
    for (const auto& it : beliefs) {
        if (!nodes.contains(it.node) || it.time > last)
            continue;
        const auto message = text_of(it.fields, "message");
        const auto target  = text_of(it.fields, "target");
        if (message == target_message && !targets.contains(target))
            continue;
        if (it.time >= first)
            out.push_back(it);
        else
            latest.insert_or_assign(
                {it.node, std::string(kind_of(message)) + target}, it);
    }
    for (auto& [key, it] : latest)
        out.push_back(std::move(it));
    std::stable_sort(out.begin(), out.end(), before);
    return out;
}

} // namespace arbutusgate
