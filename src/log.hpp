/// Log of the programs: one JSON object a line.
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

/// Where a program logs.
enum class log_output
{
    /// Standard error, by a thread of the log, so that a slow reader does not
    /// block the callers until 4,096 lines wait.
    queued_error,
    /// Standard output, by the calling thread; bounded in lines and bytes. A
    /// reader that stalls costs lines and never blocks.
    bounded_output,
};

/// Starts logging.
/// \param level "trace", "debug", "info", "warn", "error", or "off", with
///              which nothing is written.
/// \param node named in each line, so that logs of many processes can be
///             mixed; empty: no name.
/// \return false when the level is none of them.
bool start_log(std::string_view   level,
               log_output         output = log_output::queued_error,
               const std::string& node   = "");
/// Writes out what is queued and stops.
void stop_log();

/// Writes one line: time, level, message and the fields. Thread-safe; does
/// nothing before start_log.
void log(log_level level, std::string_view message, log_fields fields = {});

} // namespace arbutusgate
