#include "arbutusgate/settings.hpp"

#include "daemon.hpp"
#include "log.hpp"
#include "process_signals.hpp"

#include <getopt.h>

#include <array>
#include <csignal>
#include <iostream>
#include <string>

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage  = 2;

constexpr const char* usage =
    "Usage: arbutusgated --settings FILE [--log-level LEVEL]\n"
    "Serves pipelines to callers.\n"
    "\n"
    "  --settings FILE    settings of this daemon, in YAML\n"
    "  --log-level LEVEL  trace, debug, info, warn or error; overrides the\n"
    "                     settings\n"
    "  --help             print this text\n"
    "  --version          print the version\n"
    "\n"
    "SIGTERM and SIGINT drain the daemon; SIGHUP has no effect. Exit status:\n"
    "0 after a drain, 1 on a failed start, 2 on a usage error.\n";

struct options
{
    std::string settings;
    std::string log_level;
    int         exit_code = -1; ///< If not negative, exit with it at once.
};

options parse_arguments(int argc, char** argv)
{
    constexpr std::array<option, 5> long_options{{
        {"settings", required_argument, nullptr, 's'},
        {"log-level", required_argument, nullptr, 'l'},
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'v'},
        {nullptr, 0, nullptr, 0},
    }};
    options                         it;
    int                             c = 0;
    while ((c = getopt_long(argc, argv, "", long_options.data(), nullptr)) !=
           -1) {
        if (c == 's') {
            it.settings = optarg;
        }
        else if (c == 'l') {
            it.log_level = optarg;
        }
        else if (c == 'h' || c == 'v') {
            std::cout << (c == 'h' ? usage : "arbutusgated 0.1.0\n");
            it.exit_code = 0;
            return it;
        }
        else {
            it.exit_code = exit_usage;
        }
    }
    if (optind != argc || it.settings.empty())
        it.exit_code = exit_usage;
    if (it.exit_code == exit_usage)
        std::cerr << usage;
    return it;
}

int run(const arbutusgate::daemon_settings& settings)
{
    arbutusgate::daemon process(settings);
    process.drain_on_signals();
    if (const auto status = process.start(); !status.ok()) {
        arbutusgate::log(arbutusgate::log_level::error, "daemon cannot start",
                         {{"error", status.ToString()}});
        return exit_failed;
    }
    process.wait();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // The settings are read once. By default SIGHUP would end the process and
    // all its requests.
    std::signal(SIGHUP, SIG_IGN);
    arbutusgate::ignore_unused_signals();
    const auto arguments = parse_arguments(argc, argv);
    if (arguments.exit_code >= 0)
        return arguments.exit_code;
    const auto settings = arbutusgate::load_settings(arguments.settings);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exit_usage;
    }
    const auto level =
        arguments.log_level.empty() ? settings->log_level : arguments.log_level;
    if (!arbutusgate::start_log(level)) {
        std::cerr << "unknown log level: " << level << '\n';
        return exit_usage;
    }
    const int code = run(*settings);
    arbutusgate::stop_log();
    return code;
}
