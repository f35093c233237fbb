/// The way of one request through the logs of many daemons.
#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// One line of a daemon's log.
struct log_trace_line
{
    std::string         time; ///< ISO 8601, as written.
    std::string         node; ///< Daemon; empty in lines without it.
    boost::json::object fields;
};

/// Picks the lines about one request out of logs, and those that tell what its
/// daemons believed at that time.
class log_trace
{
public:
    explicit log_trace(std::string request) : request_(std::move(request)) {}

    /// Takes the next line of any log; text before the JSON object is skipped.
    /// \return false when the line holds no log line.
    bool add(std::string_view line);

    /// In the order of time: of each daemon that the request passed, the
    /// latest configuration and states of the store and the peers before its
    /// first line, later ones up to its last, changes of the targets it was
    /// sent to, and all of its own lines.
    std::vector<log_trace_line> lines() const;

private:
    std::string                 request_;
    std::vector<log_trace_line> own_;
    std::vector<log_trace_line> beliefs_; ///< Of all daemons.
};

} // namespace arbutusgate
