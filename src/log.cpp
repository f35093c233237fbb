#include "log.hpp"

#include "bounded_appender.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>

namespace arbutusgate {

namespace {

constexpr unsigned      queue_length  = 4096;       // lines
constexpr std::uint32_t bounded_lines = 1500;       // a second
constexpr std::size_t   bounded_bytes = 512 * 1024; // unread

std::atomic<bool> running{false};

/// Takes messages that are JSON objects and adds time and level.
class json_layout final : public log4cplus::Layout
{
public:
    explicit json_layout(const std::string& node)
        : node_(node.empty()
                    ? ""
                    : "\"node\":" +
                          boost::json::serialize(boost::json::value(node)) +
                          ",")
    {
    }

    // NOLINTNEXTLINE(readability-identifier-naming): name of the base class
    void
    formatAndAppend(log4cplus::tostream&                        output,
                    const log4cplus::spi::InternalLoggingEvent& event) override
    {
        output << R"({"time":")"
               << log4cplus::helpers::getFormattedTime(
                      "%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true)
               << R"(","level":")" << llmCache.toString(event.getLogLevel())
               << "\"," << node_
               << std::string_view(event.getMessage()).substr(1) << "\n";
    }

private:
    std::string node_; ///< Member of each line, with its comma.
};

log4cplus::LogLevel native(log_level it)
{
    switch (it) {
    case log_level::trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

bool parse_level(std::string_view text, log_level& level)
{
    constexpr std::pair<std::string_view, log_level> names[] = {
        {"trace", log_level::trace}, {"debug", log_level::debug},
        {"info", log_level::info},   {"warn", log_level::warning},
        {"error", log_level::error},
    };
    for (const auto& [name, value] : names) {
        if (name == text) {
            level = value;
            return true;
        }
    }
    return false;
}

log4cplus::SharedAppenderPtr queued_error(const std::string& node)
{
    log4cplus::SharedAppenderPtr console(
        new log4cplus::ConsoleAppender(true, true));
    console->setLayout(std::make_unique<json_layout>(node));
    return log4cplus::SharedAppenderPtr(
        new log4cplus::AsyncAppender(console, queue_length));
}

log4cplus::SharedAppenderPtr bounded_output(const std::string& node)
{
    log4cplus::SharedAppenderPtr out(
        new bounded_appender(STDOUT_FILENO, bounded_lines, bounded_bytes));
    out->setLayout(std::make_unique<json_layout>(node));
    return out;
}

} // namespace

bool start_log(std::string_view level, log_output output,
               const std::string& node)
{
    if (level == "off")
        return true;
    auto lowest = log_level::info;
    if (!parse_level(level, lowest))
        return false;
    log4cplus::initialize();
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders(); // Such as the command line's, in tests.
    root.addAppender(output == log_output::queued_error ? queued_error(node)
                                                        : bounded_output(node));
    root.setLogLevel(native(lowest));
    running = true;
    return true;
}

void stop_log()
{
    if (running.exchange(false))
        log4cplus::Logger::shutdown();
}

void log(log_level level, std::string_view message, log_fields fields)
{
    if (!running)
        return;
    const auto root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(native(level)))
        return;
    boost::json::object line;
    line["message"] = message;
    for (auto& [name, value] : boost::json::object(fields))
        line[name] = std::move(value);
    root.forcedLog(native(level), boost::json::serialize(line));
}

} // namespace arbutusgate
