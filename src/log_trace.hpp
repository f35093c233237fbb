/// Collects the events of one request from the logs of several daemons.
#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// One line of a daemon's log.
struct log_trace_line
{
    std::string         time; ///< ISO 8601, as in the log.
    std::string         node; ///< Daemon; empty when the line has none.
    boost::json::object fields;
};

/// Selects the log lines of one request, and the lines that show the state that
/// its daemons assumed at that time.
class log_trace
{
public:
    explicit log_trace(std::string request) : request_(std::move(request)) {}

    /// Adds a line of any daemon's log; text before the JSON object is skipped.
    /// \return false when the text contains no log line.
    bool add(std::string_view line);

    /// \return sorted by time: all lines of the request and, of the daemons
    /// that handled it, the lines on their own state (configuration, store,
    /// peers, start, drain) and on changes of the targets that the request was
    /// sent to. Of the state lines before the request's first line, only the
    /// latest of each kind is included; none after its last line is.
    std::vector<log_trace_line> lines() const;

private:
    std::string                 request_;
    std::vector<log_trace_line> request_lines_;
    /// Lines on the state of any daemon or target.
    std::vector<log_trace_line> state_lines_;
};

} // namespace arbutusgate
