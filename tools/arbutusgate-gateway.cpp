#include "gateway.hpp"
#include "http_codec.hpp"
#include "log.hpp"
#include "option_table.hpp"
#include "store_client.hpp"

#include <csignal>
#include <iostream>

namespace {

using namespace arbutusgate;

/// Waits for the end or for changed settings.
/// \return the signal.
int wait_for_signal(const sigset_t& signals)
{
    int number = 0;
    while (sigwait(&signals, &number) != 0) {
    }
    return number;
}

int run(const gateway::gateway_settings& settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int it : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, it);
    // Before any thread starts, so that all inherit it.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
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
         {"node", settings.node},
         {"listen", settings.listen},
         {"store", settings.store}});
    while (wait_for_signal(signals) == SIGHUP)
        log(log_level::info, "reload asked for");
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
    if (const char* given = std::getenv("ARBUTUSGATE_CONFIG");
        path.empty() && given)
        path = given;
    const auto settings = gateway::load_gateway_settings(path);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exit_status::wrong_use;
    }
    if (!start_log(settings->log_level, log_output::bounded_output)) {
        std::cerr << "unknown log level: " << settings->log_level << '\n';
        return exit_status::wrong_use;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const int code = run(*settings);
    stop_log();
    return code;
}
