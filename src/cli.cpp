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

// A daemon answers from memory; a longer wait means that it hangs.
constexpr milliseconds admin_timeout = 10s;

void set_up_log(const std::string& level)
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

/// True when the id can stand in a URL path as it is.
bool is_request_id(const std::string& it)
{
    return !it.empty() && std::all_of(it.begin(), it.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

void print_answer(const cli_options& options, const admin_answer& answer,
                  std::ostream& out)
{
    boost::system::error_code ec;
    const auto                value = json::parse(answer.body, ec);
    if (options.json || ec)
        out << answer.body << (answer.body.ends_with('\n') ? "" : "\n");
    else
        print_tables(out, value);
}

cli_exit run_admin(const cli_options& options, boost::beast::http::verb method,
                   const std::string& path, std::ostream& out,
                   std::ostream& err)
{
    LOG4CPLUS_DEBUG(cli_log(), "calling " << options.admin << path);
    const auto answer = call_admin(options.admin, method, path, admin_timeout);
    if (!answer.ok()) {
        err << "arbutusgate: " << answer.status().message() << '\n';
        return cli_exit::failed;
    }
    LOG4CPLUS_DEBUG(cli_log(), "status " << answer->status << ", "
                                         << answer->body.size() << " bytes");
    const bool success = answer->status >= 200 && answer->status < 300;
    if (!success)
        err << "arbutusgate: " << options.admin << " answered HTTP status "
            << answer->status << '\n';
    print_answer(options, *answer, success || options.json ? out : err);
    return success ? cli_exit::done : cli_exit::failed;
}

cli_exit wrong_use(const std::string& message, std::ostream& err)
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
        return run_admin(options, verb::get, "/admin/status", out, err);
    if (options.command == "drain")
        return run_admin(options, verb::post, "/admin/drain", out, err);
    if (options.operands.size() > 1)
        return run_trace(options, out, err);
    const auto& id = options.operands.at(0);
    if (!is_request_id(id))
        return wrong_use("REQUEST_ID consists of letters, digits, - and _",
                         err);
    return run_admin(options, verb::get, "/admin/explain/" + id, out, err);
}

} // namespace

cli_exit run_cli(int argc, char** argv, std::ostream& out, std::ostream& err)
{
    const auto options = parse_cli_options(argc, argv);
    if (!options.ok())
        return wrong_use(std::string(options.status().message()), err);
    if (options->help) {
        out << cli_usage();
        return cli_exit::done;
    }
    if (options->version) {
        out << "arbutusgate " << ARBUTUSGATE_VERSION << '\n';
        return cli_exit::done;
    }
    set_up_log(options->log_level);
    return run_command(*options, out, err);
}

} // namespace arbutusgate
