#include "cli.hpp"

#include "cli_admin.hpp"
#include "cli_config.hpp"
#include "cli_table.hpp"
#include "cli_trace.hpp"
#include "text.hpp"

#include <boost/json/parse.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <memory>
#include <ostream>

#ifndef ARBUTUSGATE_VERSION
#error "ARBUTUSGATE_VERSION is set by CMakeLists.txt"
#endif

namespace arbutusgate {

namespace json = boost::json;

namespace {

using namespace std::chrono_literals;

// A daemon serves admin requests from memory, so one that takes longer hangs.
constexpr milliseconds admin_timeout = 10s;

void configure_log(const std::string& level)
{
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(true, true)); // to stderr
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("%-5p %m%n")));
    root.addAppender(appender);
    std::string name = level;
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::toupper(c); });
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(name));
}

log4cplus::Logger cli_log()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("cli"));
}

/// \return true when the id needs no escaping in a URL path.
bool is_request_id(const std::string& it)
{
    return !it.empty() && std::all_of(it.begin(), it.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

void print_response(const cli_options& options, const admin_response& response,
                    std::ostream& out)
{
    boost::system::error_code ec;
    const auto                value = json::parse(response.body, ec);
    if (options.json || ec)
        out << response.body << (response.body.ends_with('\n') ? "" : "\n");
    else
        print_tables(out, value);
}

cli_exit run_admin_command(const cli_options&       options,
                           boost::beast::http::verb method,
                           const std::string& path, std::ostream& out,
                           std::ostream& err)
{
    LOG4CPLUS_DEBUG(cli_log(), "calling " << options.admin << path);
    const auto response =
        call_admin(options.admin, method, path, admin_timeout);
    if (!response.ok()) {
        err << "arbutusgate: " << response.status().message() << '\n';
        return cli_exit::failed;
    }
    LOG4CPLUS_DEBUG(cli_log(), "status " << response->status << ", "
                                         << response->body.size() << " bytes");
    const bool success = response->status >= 200 && response->status < 300;
    if (!success)
        err << "arbutusgate: " << options.admin << " returned HTTP status "
            << response->status << '\n';
    print_response(options, *response, success || options.json ? out : err);
    return success ? cli_exit::done : cli_exit::failed;
}

cli_exit usage_error(const std::string& message, std::ostream& err)
{
    err << "arbutusgate: " << message
        << "\nTry 'arbutusgate --help' for more information.\n";
    return cli_exit::usage;
}

cli_exit run_command(const cli_options& options, std::ostream& out,
                     std::ostream& err)
{
    using boost::beast::http::verb;
    if (options.command == "check")
        return run_check(options, out, err);
    if (options.command == "render")
        return run_render(options, out, err);
    if (options.command == "diff")
        return run_diff(options, out, err);
    if (options.command == "status")
        return run_admin_command(options, verb::get, "/admin/status", out, err);
    if (options.command == "drain")
        return run_admin_command(options, verb::post, "/admin/drain", out, err);
    if (options.operands.size() > 1)
        return run_trace(options, out, err);
    const auto& id = options.operands.at(0);
    if (!is_request_id(id))
        return usage_error("REQUEST_ID consists of letters, digits, - and _",
                           err);
    return run_admin_command(options, verb::get, "/admin/explain/" + id, out,
                             err);
}

} // namespace

cli_exit run_cli(int argc, char** argv, std::ostream& out, std::ostream& err)
{
    const auto options = parse_cli_options(argc, argv);
    if (!options.ok())
        return usage_error(std::string(options.status().message()), err);
    if (options->help) {
        out << cli_usage();
        return cli_exit::done;
    }
    if (options->version) {
        out << "arbutusgate " << ARBUTUSGATE_VERSION << '\n';
        return cli_exit::done;
    }
    configure_log(options->log_level);
    return run_command(*options, out, err);
}

} // namespace arbutusgate
