#include "standin_main.hpp"

#include "config_files.hpp"
#include "http_client.hpp"
#include "io_thread.hpp"
#include "log.hpp"
#include "option_table.hpp"
#include "standin_fleet.hpp"
#include "standin_platform.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <optional>

namespace arbutusgate {

namespace {

constexpr const char* usage =
    "arbutusgate-standin platform|engine|service [options]";
constexpr double engine_token_ms = 7;

/// Blocks SIGINT and SIGTERM in this thread and all threads started later, so
/// that sigwait receives them.
sigset_t block_termination_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

void wait_for_signal(const sigset_t& set)
{
    int number = 0;
    sigwait(&set, &number);
}

int fail(const absl::Status& status)
{
    log(log_level::error, "cannot start",
        {{"error", std::string(status.message())}});
    return exit_status::failed;
}

int usage_error(const char* text)
{
    std::fprintf(stderr, "arbutusgate-standin: %s\n", text);
    return exit_status::usage_error;
}

/// Parses "SLOT=IP:PORT" and adds the VM with the id "vm-SLOT".
bool add_vm(const std::string& text, std::vector<platform_vm>& vms)
{
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(text, absl::MaxSplits('=', 1));
    std::string   host;
    std::uint16_t port = 0;
    if (parts.first.empty() || !parse_address(parts.second, host, port))
        return false;
    vms.push_back({"vm-" + parts.first, parts.first, parts.second, false});
    return true;
}

int serve_platform(platform_init init, const sigset_t& signals)
{
    const std::string address = init.address;
    const auto        vms     = init.vms.size();
    io_thread         thread;
    standin_platform  platform(std::move(init), thread);
    if (const auto status = platform.start(); !status.ok())
        return fail(status);
    log(log_level::info, "started",
        {{"kind", "platform"}, {"listen", address}, {"vms", vms}});
    wait_for_signal(signals);
    log(log_level::info, "ends", {{"kind", "platform"}});
    platform.stop();
    return exit_status::ok;
}

int run_platform(int argc, char** argv)
{
    platform_init init;
    std::string   folder;
    option_table  table("arbutusgate-standin platform [options]");
    table.add_text("listen", "IP:PORT", "address for readers", init.address);
    table.add_text("control", "IP:PORT", "address for control", init.control);
    table.add_text("config", "DIR", "folder with base.yaml and site/*.yaml",
                   folder);
    table.add("vm", "SLOT=IP:PORT", "live VM; may be repeated",
              [&](const std::string& it) { return add_vm(it, init.vms); });
    table.add_time("list-lag-ms", "N", "age of the list of VMs", init.list_lag);
    table.add_time("latency-ms", "N", "time of each answer", init.latency);
    table.add_number("read-rate", "N", "calls/s of all readers", init.read_rate,
                     1);
    table.add_number("read-burst", "N", "calls at once", init.read_burst, 1);
    table.add_number("weight-rate", "N", "reads/s of weights", init.weight_rate,
                     0);
    table.add_number("weight-bytes", "N", "size of weights", init.weight_size);
    if (const auto status = table.parse(argc, argv))
        return *status;
    if (init.address.empty() || folder.empty())
        return usage_error("--listen and --config are required");
    const auto signals = block_termination_signals();
    start_log(table.log_level());
    auto documents = read_documents(folder);
    int  status    = exit_status::failed;
    if (documents.ok()) {
        init.documents = *std::move(documents);
        status         = serve_platform(std::move(init), signals);
    }
    else {
        fail(documents.status());
    }
    stop_log();
    return status;
}

/// Options of the stand-ins for targets.
struct replica_options
{
    std::string listen;
    std::string replicas;
    std::string deployment;
    std::string control;
    std::size_t threads    = 1;
    bool        no_fencing = false;
    /// When empty, the values of the deployment or the defaults apply.
    std::optional<double>        latency_ms;
    std::optional<std::uint32_t> slots;
    replica_init                 replica;
    engine_init                  engine;
};

void add_replica_options(option_table& table, replica_options& it)
{
    auto& faults = it.replica.behaviour;
    table.add_text("listen", "IP:PORT[,...]", "one replica for each address",
                   it.listen);
    table.add_text("replicas", "FILE", "lines: engine|service NAME IP:PORT",
                   it.replicas);
    table.add_text("deployment", "FILE", "base document that lists targets",
                   it.deployment);
    table.add_text("control", "IP:PORT", "address for control", it.control);
    table.add_number("threads", "N", "threads for the replicas", it.threads, 1);
    table.add_number("slots", "N", "calls that run at once in a replica",
                     it.slots, 1);
    table.add_number("queue", "N", "calls that wait in a replica",
                     it.replica.queue);
    table.add_time("report-lag-ms", "N", "age of load reports",
                   it.replica.report_lag);
    table.add_number("latency-ms", "X",
                     "median time of a call, or between tokens of an engine",
                     it.latency_ms);
    table.add_number("spread", "X", "sigma of the log-normal times",
                     faults.spread);
    table.add_number("fail-rate", "X", "share of calls that fail",
                     faults.fail_rate);
    table.add_number("not-run-rate", "X", "share of calls that are refused",
                     faults.not_run_rate);
    table.add_number("hang-rate", "X", "share of calls without an answer",
                     faults.hang_rate);
    table.add_number("silent-rate", "X", "share of answers that go silent",
                     faults.silent_rate);
    table.add_flag("leaving", "report the state leaving", faults.leaving);
    table.add_number("seed", "N", "of the random times and faults",
                     it.replica.seed);
}

void add_engine_options(option_table& table, replica_options& it)
{
    auto& engine = it.engine;
    table.add_number("batch-slope", "X", "growth of the token time per call",
                     engine.batch_slope);
    table.add_number("prefill-ms", "X", "prompt phase of an uncached prompt",
                     engine.prefill_ms);
    table.add_number("cached-ms", "X", "prompt phase of a cached prompt",
                     engine.cached_ms);
    table.add_number("cache-blocks", "N", "size of the prefix cache",
                     engine.cache_blocks);
    table.add_time("event-delay-ms", "N", "delay of cache events",
                   engine.event_delay);
    table.add_number("event-loss", "X", "share of cache events lost",
                     engine.event_loss);
    table.add_time("load-ms", "N", "time to carry out an order",
                   engine.load_time);
    table.add_flag("no-fencing", "carry out orders with an old fence",
                   it.no_fencing);
}

absl::StatusOr<std::vector<replica_init>>
list_replicas(const replica_options& options, const std::string& kind)
{
    std::vector<replica_init> all;
    for (const auto& address : split_list(options.listen)) {
        replica_init it;
        it.name    = absl::StrCat(kind, "-", all.size() + 1);
        it.address = address;
        all.push_back(std::move(it));
    }
    const auto append = [&](absl::StatusOr<std::vector<replica_init>> more) {
        if (more.ok())
            all.insert(all.end(), more->begin(), more->end());
        return more.status();
    };
    absl::Status status;
    if (!options.replicas.empty())
        status = append(read_replicas(options.replicas, kind));
    if (status.ok() && !options.deployment.empty())
        status = append(read_deployment(options.deployment, kind));
    if (!status.ok())
        return status;
    if (all.empty())
        return absl::InvalidArgumentError(
            "no replicas: give --listen, --replicas or --deployment");
    return all;
}

/// Applies the options that all replicas share.
void apply(const replica_options& options, const std::string& kind,
           std::size_t number, replica_init& it)
{
    const bool has_deployment = !options.deployment.empty();
    const auto latency        = it.behaviour.latency_ms;
    it.behaviour              = options.replica.behaviour;
    it.queue                  = options.replica.queue;
    it.report_lag             = options.replica.report_lag;
    it.seed                   = options.replica.seed * 1000 + number;
    it.behaviour.latency_ms   = options.latency_ms.value_or(
          kind == "engine" ? engine_token_ms : latency);
    if (options.slots || !has_deployment)
        it.slots = options.slots.value_or(options.replica.slots);
}

int serve_replicas(replica_options& options, const std::string& kind,
                   std::vector<replica_init> replicas, const sigset_t& signals)
{
    options.engine.checks_fencing = !options.no_fencing;
    replica_fleet fleet(options.threads);
    std::size_t   n = 0;
    for (auto& it : replicas) {
        apply(options, kind, n++, it);
        if (kind == "engine")
            fleet.add_engine(std::move(it), options.engine);
        else
            fleet.add_service(std::move(it));
    }
    if (const auto status = fleet.start(options.control); !status.ok())
        return fail(status);
    log(log_level::info, "started",
        {{"kind", kind},
         {"replicas", replicas.size()},
         {"control", options.control},
         {"seed", options.replica.seed}});
    wait_for_signal(signals);
    log(log_level::info, "ends", {{"kind", kind}});
    fleet.stop();
    return exit_status::ok;
}

int run_replicas(int argc, char** argv, const std::string& kind)
{
    replica_options options;
    option_table    table("arbutusgate-standin " + kind + " [options]");
    add_replica_options(table, options);
    if (kind == "engine")
        add_engine_options(table, options);
    if (const auto status = table.parse(argc, argv))
        return *status;
    auto replicas = list_replicas(options, kind);
    if (!replicas.ok())
        return usage_error(std::string(replicas.status().message()).c_str());
    const auto signals = block_termination_signals();
    start_log(table.log_level());
    const int status =
        serve_replicas(options, kind, *std::move(replicas), signals);
    stop_log();
    return status;
}

} // namespace

int standin_main(int argc, char** argv)
{
    const std::string kind = argc > 1 ? argv[1] : "";
    if (kind == "platform")
        return run_platform(argc - 1, argv + 1);
    if (kind == "engine" || kind == "service")
        return run_replicas(argc - 1, argv + 1, kind);
    option_table table(usage);
    if (const auto status = table.parse(argc, argv))
        return *status;
    return usage_error("expected platform, engine or service");
}

} // namespace arbutusgate
