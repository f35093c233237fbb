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

constexpr unsigned      max_queued_lines     = 4096;
constexpr std::uint32_t max_lines_per_second = 1500;
constexpr std::size_t   max_buffered_bytes   = 512 * 1024;

std::atomic<bool> running{false};

/// Adds time, level and node to messages that are JSON objects.
class json_layout final : public log4cplus::Layout
{
public:
    explicit json_layout(const std::string& node)
        : node_member_(
              node.empty()
                  ? ""
                  : "\"node\":" +
                        boost::json::serialize(boost::json::value(node)) + ",")
    {
    }

    // NOLINTNEXTLINE(readability-identifier-naming): overrides log4cplus
    void
    formatAndAppend(log4cplus::tostream&                        output,
                    const log4cplus::spi::InternalLoggingEvent& event) override
    {
        output << R"({"time":")"
               << log4cplus::helpers::getFormattedTime(
                      "%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true)
               << R"(","level":")" << llmCache.toString(event.getLogLevel())
               << "\"," << node_member_
               << std::string_view(event.getMessage()).substr(1) << "\n";
    }

private:
    std::string node_member_; ///< JSON member with trailing comma, or empty.
};

log4cplus::LogLevel to_log4cplus_level(log_level it)
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

log4cplus::SharedAppenderPtr make_queued_appender(const std::string& node)
{
    log4cplus::SharedAppenderPtr console(
        new log4cplus::ConsoleAppender(true, true));
    console->setLayout(std::make_unique<json_layout>(node));
    return log4cplus::SharedAppenderPtr(
        new log4cplus::AsyncAppender(console, max_queued_lines));
}

log4cplus::SharedAppenderPtr make_bounded_appender(const std::string& node)
{
    log4cplus::SharedAppenderPtr out(new bounded_appender(
        STDOUT_FILENO, max_lines_per_second, max_buffered_bytes));
    out->setLayout(std::make_unique<json_layout>(node));
    return out;
}

} // namespace

bool start_log(std::string_view level, log_output output,
               const std::string& node)
{
    if (level == "off")
        return true;
    auto min_level = log_level::info;
    if (!parse_level(level, min_level))
        return false;
    log4cplus::initialize();
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders(); // In tests, run_cli() has added its own.
    root.addAppender(output == log_output::queued_error
                         ? make_queued_appender(node)
                         : make_bounded_appender(node));
    root.setLogLevel(to_log4cplus_level(min_level));
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
    if (!root.isEnabledFor(to_log4cplus_level(level)))
        return;
    boost::json::object line;
    line["message"] = message;
    for (auto& [name, value] : boost::json::object(fields))
        line[name] = std::move(value);
    root.forcedLog(to_log4cplus_level(level), boost::json::serialize(line));
}

} // namespace arbutusgate
