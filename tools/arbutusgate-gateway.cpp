#include "config_files.hpp"
#include "daemon_clock.hpp"
#include "fatal_errors.hpp"
#include "gateway.hpp"
#include "http_codec.hpp"
#include "log.hpp"
#include "option_table.hpp"
#include "process_signals.hpp"
#include "settings_file.hpp"
#include "store_client.hpp"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>

namespace {

using namespace arbutusgate;

/// How often the settings file is checked for changes without a signal.
constexpr milliseconds settings_poll_interval{5000};
/// The same while the file is incomplete.
constexpr milliseconds incomplete_poll_interval{100};
/// A service thread that runs no fiber for longer is reported.
constexpr milliseconds stall_limit{1000};
/// How long a start waits for a complete settings file.
constexpr milliseconds settings_start_timeout{10'000};

using reading_state = gateway::settings_reading::state;

/// \return the signal that arrived within the time; 0: none.
int wait_for_signal(const sigset_t& signals, milliseconds time)
{
    const auto     s  = std::chrono::duration_cast<seconds>(time);
    const auto     ns = std::chrono::nanoseconds(time - s).count();
    const timespec timeout{s.count(), ns};
    return std::max(0, sigtimedwait(&signals, nullptr, &timeout));
}

bool ends_process(int signal)
{
    return signal == SIGTERM || signal == SIGINT;
}

/// Waits until the settings file is complete: the platform may still be writing
/// it when the process starts.
/// \return the outcome rejected or accepted, or incomplete after the timeout;
/// nothing after SIGTERM or SIGINT.
std::optional<gateway::settings_reading>
read_first_settings(gateway::settings_file& file, const std::string& path,
                    const sigset_t& signals)
{
    const auto deadline = daemon_now() + settings_start_timeout;
    for (;;) {
        auto out = file.update(read_file(path), daemon_now());
        if (out.outcome != reading_state::incomplete ||
            daemon_now() >= deadline)
            return out;
        if (ends_process(wait_for_signal(signals, incomplete_poll_interval)))
            return std::nullopt;
    }
}

/// Reloads the settings after SIGHUP and when the text of their file has
/// changed. Returns after SIGTERM or SIGINT.
void watch_settings(gateway::gateway& daemon, gateway::settings_file& file,
                    const std::string& path, const sigset_t& signals)
{
    std::string last_error;
    for (;;) {
        const int signal = wait_for_signal(
            signals, file.settling(daemon_now()) ? incomplete_poll_interval
                                                 : settings_poll_interval);
        if (ends_process(signal))
            return;
        if (const auto stalled = daemon.stalled_for();
            stalled && *stalled >= stall_limit)
            log(log_level::error, "the service thread runs no fibers",
                {{"for_ms", stalled->count()}});
        const auto it =
            file.update(read_file(path), daemon_now(), signal == SIGHUP);
        if (it.outcome == reading_state::accepted)
            daemon.reload(*it.settings);
        else if (!it.error.empty() && it.error != last_error)
            log(log_level::error,
                it.outcome == reading_state::rejected
                    ? "invalid settings; keeping the previous ones"
                    : "incomplete settings; keeping the previous ones",
                {{"error", it.error}});
        if (it.outcome != reading_state::unchanged)
            last_error = it.error;
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
                      gateway::settings_file& file, const std::string& path,
                      const sigset_t& signals)
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
    watch_settings(daemon, file, path, signals);
    daemon.drain();
    finish(exit_status::ok);
}

} // namespace

int main(int argc, char** argv)
{
    const auto signals = block_signals();
    ignore_unused_signals();
    report_fatal_errors();
    const report_stack reports;
    std::string        path;
    option_table       options("Usage: arbutusgate-gateway --settings FILE");
    options.add_text("settings", "FILE", "settings of this daemon, in YAML",
                     path);
    if (const auto status = options.parse(argc, argv))
        return *status;
    gateway::settings_file file(path);
    const auto             read = read_first_settings(file, path, signals);
    if (!read)
        return exit_status::ok;
    if (!read->settings) {
        std::cerr << read->error << '\n';
        return exit_status::usage_error;
    }
    const auto& settings = *read->settings;
    if (!start_log(settings.log_level, log_output::bounded_output,
                   settings.node)) {
        std::cerr << "unknown log level: " << settings.log_level << '\n';
        return exit_status::usage_error;
    }
    run(settings, file, path, signals);
}
