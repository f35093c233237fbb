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

/// Settings are read again this often, in case they changed without a signal.
constexpr timespec reread_time{5, 0};

/// Reads the settings again after SIGHUP and when their text has changed.
void follow_settings(gateway::gateway& process, const std::string& path,
                     const sigset_t& signals)
{
    auto known = read_file(path);
    for (;;) {
        const int  number = sigtimedwait(&signals, nullptr, &reread_time);
        const bool asked  = number == SIGHUP;
        if (number > 0 && !asked)
            return;
        auto text = read_file(path);
        if (!text.ok() || (!asked && known.ok() && *text == *known))
            continue;
        known               = text;
        const auto settings = gateway::parse_gateway_settings(*text, path);
        if (settings.ok())
            process.reload(*settings);
        else
            log(log_level::error, "settings not usable; the old ones stay",
                {{"error", std::string(settings.status().message())}});
    }
}

int run(const gateway::gateway_settings& settings, const std::string& path)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int it : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, it);
    // Before any thread starts, so that all inherit it.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Its lines have no form and no bound; malformed messages have lines of
    // our own.
    google::protobuf::SetLogHandler(nullptr);
    const platform::http_codec codec;
    gateway::gateway           process(
                  {settings, codec, [&](boost::asio::io_context& io) {
             return std::make_unique<platform::store_client>(io,
                                                             settings.store);
         }});
    if (const auto status = process.start(); !status.ok()) {
        log(log_level::error, "cannot start", {{"error", status.ToString()}});
        return exit_status::failed;
    }
    log(log_level::info, "started",
        {{"version", ARBUTUSGATE_VERSION},
         {"listen", settings.listen},
         {"store", settings.store}});
    follow_settings(process, path, signals);
    process.drain();
    return exit_status::ok;
}

} // namespace

int main(int argc, char** argv)
{
    std::string  path;
    option_table options("Usage: arbutusgate-gateway --settings FILE");
    options.add_text("settings", "FILE", "settings of this daemon, in YAML",
                     path);
    if (const auto status = options.parse(argc, argv))
        return *status;
    const auto settings = gateway::load_gateway_settings(path);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exit_status::wrong_use;
    }
    if (!start_log(settings->log_level, log_output::bounded_output,
                   settings->node)) {
        std::cerr << "unknown log level: " << settings->log_level << '\n';
        return exit_status::wrong_use;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const int code = run(*settings, path);
    log(log_level::info, "stopped");
    stop_log();
    // The idle threads of log4cplus are not waited for: at exit its pool may
    // keep the process until it is killed, and a replacement from starting.
    std::quick_exit(code);
}
