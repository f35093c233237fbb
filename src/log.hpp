/// Logging: one JSON object per line.
#pragma once

#include <boost/json/value_ref.hpp>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace arbutusgate {

/// Severity of a log line.
enum class log_level
{
    trace,
    debug,
    info,
    warning,
    error,
};

/// Typed fields of a log line.
using log_fields = std::initializer_list<
    std::pair<boost::json::string_view, boost::json::value_ref>>;

/// Destination of the log.
enum class log_output
{
    /// Standard error, written by a separate thread. A slow reader blocks the
    /// callers only once 4,096 lines are queued.
    queued_error,
    /// Standard output, written by the calling thread, with limits on lines per
    /// second and buffered bytes. With a stalled reader, lines are dropped; the
    /// callers never block.
    bounded_output,
};

/// Starts logging.
/// \param level "trace", "debug", "info", "warn", "error", or "off", which
///              disables logging.
/// \param node written in each line, so that the logs of several processes can
///             be merged; left out if empty.
/// \return false when the level is unknown.
bool start_log(std::string_view   level,
               log_output         output = log_output::queued_error,
               const std::string& node   = "");
/// Writes the queued lines and stops logging.
void stop_log();

/// Writes one line with time, level, message and the fields. Thread-safe; does
/// nothing before start_log().
void log(log_level level, std::string_view message, log_fields fields = {});

} // namespace arbutusgate
