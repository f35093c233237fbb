#include "config_files.hpp"
#include "gateway.hpp"
#include "http_codec.hpp"
#include "log.hpp"
#include "option_table.hpp"
#include "store_client.hpp"

#include <google/protobuf/stubs/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace arbutusgate;

/// How often the settings file is checked for changes without a signal.
constexpr timespec settings_poll_interval{5, 0};

/// Reloads the settings after SIGHUP and when the text of their file has
/// changed. Returns after SIGTERM or SIGINT.
void watch_settings(gateway::gateway& daemon, const std::string& path,
                    const sigset_t& signals)
{
    auto current = read_file(path);
    for (;;) {
        const int signal =
            sigtimedwait(&signals, nullptr, &settings_poll_interval);
        const bool forced = signal == SIGHUP;
        if (signal > 0 && !forced)
            return;
        auto text = read_file(path);
        if (!text.ok() || (!forced && current.ok() && *text == *current))
            continue;
        current             = text;
        const auto settings = gateway::parse_gateway_settings(*text, path);
        if (settings.ok())
            daemon.reload(*settings);
        else
            log(log_level::error, "invalid settings; keeping the previous ones",
                {{"error", std::string(settings.status().message())}});
    }
}

/// Blocks the signals that watch_settings() waits for. Called before any thread
/// starts, so that all threads inherit the mask, and before anything that takes
/// time: a signal that arrives during the start is handled after it.
sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Ends the process without destroying the daemon, whose destructor waits for
/// calls to the store, and without joining the idle threads of log4cplus: at a
/// normal exit its thread pool may block the process until it is killed, which
/// also keeps a replacement from starting.
[[noreturn]] void finish(int code)
{
    log(log_level::info, "stopped");
    stop_log();
    std::quick_exit(code);
}

[[noreturn]] void run(const gateway::gateway_settings& settings,
                      const std::string& path, const sigset_t& signals)
{
    // protobuf's own log lines have no fixed format and no length limit. The
    // gateway logs malformed messages itself.
    google::protobuf::SetLogHandler(nullptr);
    const platform::http_codec codec;
    gateway::gateway           daemon(
                  {settings, codec, [&](boost::asio::io_context& io) {
             return std::make_unique<platform::store_client>(io,
                                                             settings.store);
         }});
    if (const auto status = daemon.start(); !status.ok()) {
        log(log_level::error, "cannot start", {{"error", status.ToString()}});
        finish(exit_status::failed);
    }
    log(log_level::info, "started",
        {{"version", ARBUTUSGATE_VERSION},
         {"listen", settings.listen},
         {"store", settings.store}});
    watch_settings(daemon, path, signals);
    daemon.drain();
    finish(exit_status::ok);
}

} // namespace

int main(int argc, char** argv)
{
    const auto   signals = block_signals();
    std::string  path;
    option_table options("Usage: arbutusgate-gateway --settings FILE");
    options.add_text("settings", "FILE", "settings of this daemon, in YAML",
                     path);
    if (const auto status = options.parse(argc, argv))
        return *status;
    const auto settings = gateway::load_gateway_settings(path);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exit_status::usage_error;
    }
    if (!start_log(settings->log_level, log_output::bounded_output,
                   settings->node)) {
        std::cerr << "unknown log level: " << settings->log_level << '\n';
        return exit_status::usage_error;
    }
    std::signal(SIGPIPE, SIG_IGN);
    run(*settings, path, signals);
}
