#include "gateway.hpp"

#include "body_memory.hpp"
#include "change_log.hpp"
#include "crash_check.hpp"
#include "forward_run.hpp"
#include "http_server.hpp"
#include "io_thread.hpp"
#include "log.hpp"
#include "metrics.hpp"
#include "part_quarantine.hpp"
#include "peer_mesh.hpp"
#include "prior_wait_estimator.hpp"
#include "problem.hpp"
#include "reach_monitor.hpp"
#include "read_errors.hpp"
#include "relay_peers.hpp"
#include "request_relay.hpp"
#include "retry_budget.hpp"
#include "stage_scheduler.hpp"
#include "stage_shards.hpp"
#include "state_follower.hpp"
#include "state_reader.hpp"
#include "store_history.hpp"
#include "target_directory.hpp"
#include "text.hpp"
#include "thread_watch.hpp"
#include "time_estimates.hpp"
#include "work_estimator.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <random>
#include <set>
#include <thread>

namespace arbutusgate::gateway {

namespace {

/// Targets whose entries expired during an outage of the store publish them
/// again within this time.
constexpr milliseconds lapse_grace{2000};
/// New callers keep arriving until the readiness check, made once a second,
/// has failed twice.
constexpr milliseconds drain_notice{2300};
/// Part of the drain grace that is reserved for the exit of the process.
constexpr milliseconds exit_margin{300};
constexpr milliseconds drain_poll_interval{20};
/// Requests that are open this long before the exit get an answer that says so.
constexpr milliseconds answer_margin{300};
/// How long a start waits for a listening port that is in use.
constexpr seconds      listen_retry_time{10};
constexpr milliseconds listen_retry_interval{100};
/// Peers exchange their capacity in thousandths of a core.
constexpr double capacity_per_core = 1000;
/// Published state that the store confirmed longer ago is taken for old.
constexpr milliseconds max_state_age{2000};
/// Between requests for the state of other daemons while the store does not
/// respond.
constexpr milliseconds peer_state_interval{300};

std::string_view to_string(target_change change)
{
    switch (change) {
    case target_change::none:
        return "none";
    case target_change::joined:
        return "joined";
    case target_change::leaving:
        return "leaving";
    case target_change::gone:
        break;
    }
    return "gone";
}

void log_verdict(bool quarantined, const part_verdict& it)
{
    log(log_level::warning,
        quarantined ? "part of prompts crashes targets, quarantined"
                    : "quarantine of a part ended",
        {{"part", to_hex(it.part)},
         {"crashes", it.crashes},
         {"requests", it.requests}});
}

refusal_reason reason_of(http_error error)
{
    switch (error) {
    case http_error::malformed:
        return refusal_reason::bad_request;
    case http_error::header_too_large:
    case http_error::trailer_too_large:
    case http_error::chunk_extension_too_large:
        return refusal_reason::header_too_large;
    case http_error::no_memory:
        return refusal_reason::overloaded;
    case http_error::body_too_large:
        return refusal_reason::too_large;
    case http_error::handler_failed:
        return refusal_reason::internal;
    case http_error::too_slow:
    case http_error::count:
        break;
    }
    return refusal_reason::too_slow;
}

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Maximum number of caller connections: half of the descriptors that are not
/// reserved, since each request needs a second one for its target, and each
/// stage order needs one.
std::uint32_t max_caller_connections(std::uint32_t descriptors)
{
    // For files; the platform keeps as many free.
    constexpr std::uint32_t reserved = 200;
    constexpr std::uint32_t min      = 16;
    return descriptors > reserved + 2 * min ? (descriptors - reserved) / 2
                                            : min;
}

/// Memory of all bodies of a process: a quarter of what it may use. The rest is
/// for the program, connections and their buffers, small bodies, the state and
/// what the allocator does not give back.
std::size_t body_memory_of(const gateway_settings& settings)
{
    constexpr std::size_t mib               = 1024 * 1024;
    constexpr std::size_t default_memory_mb = 128;
    constexpr std::size_t divisor           = 4;
    // One body of the largest size that users configure, twice.
    constexpr std::size_t min = 8 * mib;
    const std::size_t     total =
        settings.memory_mb > 0 ? settings.memory_mb : default_memory_mb;
    return std::max(min, total * mib / divisor);
}

void log_ignored_keys(const gateway_settings& settings)
{
    for (const auto& it : settings.ignored_keys)
        log(log_level::warning, "ignoring a key of the settings",
            {{"reason", it}});
}

/// Room for the headers that a daemon adds to a request that it relays.
constexpr std::uint32_t relay_header_bytes = 1024;
constexpr seconds       peer_idle_timeout{60};
/// Clients whose request did not fit may try again after this time.
constexpr seconds no_memory_retry_after{1};

/// Counts a request as open during its lifetime.
class open_request_count
{
public:
    explicit open_request_count(std::atomic<std::uint32_t>& n) : n_(n) { ++n_; }
    ~open_request_count() { --n_; }

    open_request_count(const open_request_count&)            = delete;
    open_request_count& operator=(const open_request_count&) = delete;

private:
    std::atomic<std::uint32_t>& n_;
};

/// Lists a run as open during its lifetime.
class open_run
{
public:
    open_run(std::set<forward_run*>& list, forward_run& run)
        : list_(list), run_(run)
    {
        list_.insert(&run_);
    }
    ~open_run() { list_.erase(&run_); }

    open_run(const open_run&)            = delete;
    open_run& operator=(const open_run&) = delete;

private:
    std::set<forward_run*>& list_;
    forward_run&            run_;
};

/// The process before this one may still hold the port.
absl::Status start_listening(http_server& server)
{
    const auto end    = daemon_now() + listen_retry_time;
    auto       status = server.start();
    while (!status.ok() && daemon_now() < end) {
        std::this_thread::sleep_for(listen_retry_interval);
        status = server.start();
    }
    return status;
}

retry_limits retry_limits_of(const gateway_bounds& bounds)
{
    return {bounds.retry_ratio, bounds.retry_slack, bounds.retry_window};
}

} // namespace

struct gateway::impl
{
    explicit impl(gateway_init init);

    void         start_on_thread();
    void         follow();
    follow_times store_follow_times() const;
    void         follow_peers();
    std::optional<state_changes>
    ask_peer_for_changes(const state_revision& after, const follow_times& times,
                         time_point& confirmed);
    follow_events events();
    /// Passes on the software of the published targets if that has changed.
    void note_software();
    /// Reads which software served before this daemon started.
    std::optional<fleet_origins::history> read_history(milliseconds max_age);
    void                                  configured(const route_table& table);
    void target_changed(const std::string& id, target_change change);
    /// \param period null: the cold time of the target ended.
    void log_cold(const std::string& id, const cold_period* period) const;
    /// \param relayed terms of a request that another daemon sent.
    void serve(http_exchange&             exchange,
               std::optional<relay_terms> relayed = std::nullopt);
    /// Runs a request for another daemon.
    void serve_relayed(http_exchange& exchange, const relay_terms& terms);
    /// Handles a change of whether targets are reached.
    void         reach_changed();
    reach_report report_reach();
    void response_lost(const http_exchange& exchange, response_loss why);
    void begin_drain(const drain_times& times);
    /// Ends all open requests with an answer.
    void       end_runs();
    void       serve_peer(http_exchange& exchange);
    void       serve_ready(http_exchange& exchange) const;
    void       serve_metrics(http_exchange& exchange) const;
    bool       ready() const;
    peer_table own_peers() const;
    const std::vector<stage_shard>& stage_shards();
    http_server_init                listener(std::string                         address,
                                             std::function<void(http_exchange&)> handler);

    gateway_settings  settings;
    const region_map  regions;
    const wire_codec& codec;
    std::function<std::unique_ptr<state_reader>(boost::asio::io_context&)>
        make_reader;

    io_thread    thread;
    thread_watch watch{thread};
    metrics      counters;

    // Used on that thread only.
    body_memory& bodies{boost::asio::use_service<body_memory>(thread.io())};
    read_errors  unread;

    // Used on that thread only.
    target_directory     targets{lapse_grace, target_gate{random_seed()}};
    target_picker        picker{random_seed()};
    part_quarantine      quarantine;
    change_log           changes;
    retry_budget         budget;
    time_estimates       estimates;
    time_estimates       stream_times;
    prior_wait_estimator prior_waits;
    work_estimator       work;
    std::mt19937_64      random{random_seed()};
    std::unique_ptr<state_follower>     state;
    std::unique_ptr<target_connections> connections;
    std::unique_ptr<crash_check>        crashes;
    std::unique_ptr<stage_scheduler>    stages;
    std::unique_ptr<peer_mesh>          peers;
    relay_peers relays{settings.failure_domain, random_seed()};
    std::unique_ptr<reach_monitor>        reach;
    std::unique_ptr<request_relay>        relay;
    std::unique_ptr<state_reader>         reader;
    std::unique_ptr<request_dependencies> parts;
    std::vector<stage_shard> shards; ///< Of the version and generation below.
    std::uint64_t            shards_version    = 0; ///< Of the configuration.
    std::uint64_t            shards_generation = 0; ///< Of the usable targets.
    /// Of the targets whose software was passed on.
    std::uint64_t       software_generation = 0;
    continuation_counts continuations;
    std::uint64_t evacuation_changes = 0; ///< Begun and ended, since start.
    std::uint64_t era_changes        = 0; ///< Of the published state.

    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> ready_server;
    std::unique_ptr<http_server> peer_server;
    std::unique_ptr<http_server> metrics_server;

    std::atomic<bool>          started{false};
    std::atomic<bool>          draining{false};
    std::atomic<bool>          stopping{false};
    std::atomic<std::uint32_t> open_requests{0};
    std::atomic<std::uint32_t> relayed_requests{0}; ///< For other daemons.
    /// Requests of callers; used on the thread only.
    std::set<forward_run*> open_runs;
    std::promise<void>     follower_ended;
    std::promise<void>     peer_follower_ended;
};

gateway::impl::impl(gateway_init init)
    : settings(std::move(init.settings)), regions(settings.regions),
      codec(init.codec), make_reader(std::move(init.make_reader)),
      budget(retry_limits_of(settings.bounds))
{
    picker.use_work_estimates(settings.work_estimates);
}

follow_events gateway::impl::events()
{
    follow_events out;
    out.configured = [this](const route_table& table) {
        configured(table);
    };
    out.target_changed = [this](const std::string& id, target_change change) {
        target_changed(id, change);
    };
    out.evacuation_changed = [this](const domain_evacuation& it) {
        ++evacuation_changes;
        log(log_level::info,
            it.active ? "failure domain is evacuated"
                      : "evacuation of a failure domain ended",
            {{"failure_domain", it.failure_domain}});
    };
    out.source_lost = [](const std::string& error) {
        log(log_level::warning, "store lost", {{"error", error}});
    };
    out.source_restored = [](milliseconds outage) {
        log(log_level::info, "store regained", {{"away_ms", outage.count()}});
    };
    out.era_changed = [this](const state_revision& known,
                             const state_revision& published) {
        // From an unknown era, this is no sign of a restoration.
        const bool restored = known.era != 0;
        era_changes += restored ? 1 : 0;
        log(restored ? log_level::warning : log_level::info,
            "the published state is of another era; reading it again",
            {{"era", published.era},
             {"revision", published.number},
             {"known_era", known.era},
             {"known_revision", known.number}});
    };
    out.rejected = [](const std::string& error) {
        log(log_level::warning, "failed to load the configuration",
            {{"error", error}});
    };
    return out;
}

void gateway::impl::configured(const route_table& table)
{
    const auto& callers = table.config().limits;
    peer_server->set_limits(
        std::max<std::uint32_t>(limits::request_header,
                                callers.header_bytes + relay_header_bytes),
        std::max<std::uint32_t>(limits::request_body, callers.body_bytes),
        limits::request_read, peer_idle_timeout);
    caller_server->set_limits(callers.header_bytes, callers.body_bytes,
                              callers.header_time, callers.idle_time);
    log(log_level::info, "configuration in force",
        {{"version", table.version()},
         {"routes", table.config().routes.size()},
         {"services", table.config().services.size()},
         {"accounts", table.config().accounts.size()}});
}

void gateway::impl::target_changed(const std::string& id, target_change change)
{
    const auto* found = targets.find(id);
    log(log_level::info, "target changed",
        {{"target", id},
         {"change", to_string(change)},
         {"service", found ? found->service : ""}});
    if (change == target_change::leaving)
        return;
    quarantine.target_changed(id, found, daemon_now());
    picker.forget(id);
    connections->drop(id);
    stages->forget(id);
}

void gateway::impl::log_cold(const std::string& id,
                             const cold_period* period) const
{
    if (!period) {
        log(log_level::info, "target is no longer cold", {{"target", id}});
        return;
    }
    const auto left =
        std::chrono::ceil<milliseconds>(period->until - daemon_now());
    log(log_level::info, "target is cold",
        {{"target", id},
         {"calls_per_s", period->rate},
         {"for_ms", left.count()}});
}

void gateway::impl::start_on_thread()
{
    auto& io = thread.io();
    state    = std::make_unique<state_follower>(store_follow_times(), events(),
                                             targets, daemon_now());
    connections = std::make_unique<target_connections>(io);
    crashes = std::make_unique<crash_check>(*connections, targets, quarantine);
    stages  = std::make_unique<stage_scheduler>(
        stage_scheduler_init{io, codec, *state, targets, *connections});
    peers = std::make_unique<peer_mesh>(
        io, own_peers(), *stages, targets,
        quarantine, [this]() -> const auto& { return stage_shards(); });
    stages->set_permits(&peers->permits());
    reach = std::make_unique<reach_monitor>(
        reach_monitor_init{targets, *connections, relays, random_seed(),
                           [this] { return peers->reach_recipients(); },
                           [this](const std::string& address) {
                               return peers->ask_reach(address);
                           },
                           [this] {
                               reach_changed();
                           }});
    relay = std::make_unique<request_relay>(io, codec, reach->reach(), relays,
                                            random_seed());
    peers->set_reach([this] { return report_reach(); });
    reader = make_reader(io);
    quarantine.on_verdict(log_verdict);
    targets.limits().on_cold(
        [this](const std::string& id, const cold_period* period) {
            log_cold(id, period);
        });
    peers->set_state([this] { return state->copy(daemon_now()); });
    peers->origins().set_state(
        [this] { return daemon_now() - state->answered_at() <= max_state_age; },
        [this](milliseconds max_age) { return read_history(max_age); });
    peers->set_changes([this](const state_revision& revision) {
        return changes.since(revision, daemon_now());
    });
    parts = std::make_unique<request_dependencies>(
        request_dependencies{codec,
                             *state,
                             targets,
                             picker,
                             *connections,
                             *peers,
                             peers->permits(),
                             quarantine,
                             *crashes,
                             peers->trials(),
                             peers->origins(),
                             continuations,
                             budget,
                             estimates,
                             stream_times,
                             prior_waits,
                             work,
                             *relay,
                             counters,
                             random,
                             regions,
                             settings.failure_domain});
    spawn_fiber([this] {
        follow();
        follower_ended.set_value();
    });
    spawn_fiber([this] {
        follow_peers();
        peer_follower_ended.set_value();
    });
}

void gateway::impl::note_software()
{
    peers->origins().expire(daemon_now());
    if (!state->targets_known() ||
        std::exchange(software_generation, targets.generation()) ==
            targets.generation())
        return;
    peers->origins().update(targets.software(), daemon_now());
}

/// In a large fleet most daemons read nothing of the store, which could not
/// bear the history for all of them at once.
std::optional<fleet_origins::history>
gateway::impl::read_history(milliseconds max_age)
{
    if (peers->has_reader())
        return std::nullopt;
    const auto history_reader = make_reader(thread.io());
    const auto found =
        read_store_history(*history_reader, state->revision(), targets.size(),
                           settings.bounds.target_heartbeat, max_age);
    log(log_level::info, "read the history of the targets",
        {{"covered_ms", found.covered.count()},
         {"software", found.software.size()}});
    if (!found.complete)
        return std::nullopt;
    fleet_origins::history out;
    const auto             now = daemon_now();
    // Part of the history may be of any time up to now.
    for (const auto& [service, software] : found.software)
        out.served.push_back({service, software, now});
    out.known_since = now - found.covered;
    return out;
}

/// Adopts the published state of other daemons while the store does not respond
/// to this one, such as after a start during an outage.
void gateway::impl::follow_peers()
{
    while (!stopping) {
        fiber_sleep(thread.io(), peer_state_interval);
        if (stopping || !state->source_failing(daemon_now()))
            continue;
        auto found = peers->fetch_state(state->revision());
        if (!found)
            continue;
        auto config = reader->parse_configuration(found->document);
        if (!config.ok()) {
            log(log_level::warning,
                "failed to parse the configuration of a peer",
                {{"error", config.status().ToString()}});
            continue;
        }
        const auto revision = found->revision;
        if (!state->adopt(*std::move(found), *std::move(config), daemon_now()))
            continue;
        note_software();
        peers->set_ready(ready());
        log(log_level::info, "adopted the published state of a peer",
            {{"revision", revision.number},
             {"era", revision.era},
             {"version", state->table()->version()},
             {"targets", targets.size()}});
    }
}

follow_times gateway::impl::store_follow_times() const
{
    return follow_times_for(std::min(settings.bounds.config_in_force,
                                     settings.bounds.target_drain));
}

/// Asks the daemon that reads the store for this failure domain for changes.
/// \return nothing when this daemon has to ask the store itself.
std::optional<state_changes>
gateway::impl::ask_peer_for_changes(const state_revision& after,
                                    const follow_times&   times,
                                    time_point&           confirmed)
{
    auto relayed = peers->fetch_changes(after);
    if (!relayed || relayed->age > times.max_relay_age)
        return std::nullopt;
    confirmed = daemon_now() - relayed->age;
    for (auto& change : relayed->changes.changes) {
        auto* config = std::get_if<configuration>(&change);
        if (!config)
            continue;
        auto parsed = reader->parse_configuration(config->document);
        if (!parsed.ok()) {
            log(log_level::warning,
                "failed to parse the configuration of a peer",
                {{"error", parsed.status().ToString()}});
            return std::nullopt;
        }
        *config = *std::move(parsed);
    }
    return std::move(relayed->changes);
}

void gateway::impl::follow()
{
    while (!stopping) {
        auto times = store_follow_times();
        if (peers->has_reader())
            times = relayed_follow_times(times);
        state->set_times(times);
        peers->set_ready(ready());
        for (const auto& id : targets.gate().expire(daemon_now()))
            log(log_level::info, "target accepts work again", {{"target", id}});
        targets.limits().expire(daemon_now());
        note_software();
        quarantine.expire(daemon_now());
        const auto step = state->next(daemon_now());
        switch (step.kind) {
        case state_follower::step_kind::sleep:
            fiber_sleep(thread.io(), step.wake_at - daemon_now());
            break;
        case state_follower::step_kind::read_configuration: {
            auto result = reader->read_configuration(times.timeout);
            state->on_configuration(std::move(result), daemon_now());
            break;
        }
        case state_follower::step_kind::read_targets: {
            auto result = reader->read_targets(step.page, times.timeout);
            state->on_page(std::move(result), daemon_now());
            break;
        }
        case state_follower::step_kind::watch: {
            time_point                    confirmed;
            absl::StatusOr<state_changes> result;
            if (auto relayed =
                    ask_peer_for_changes(step.after, times, confirmed)) {
                result = *std::move(relayed);
            }
            else {
                result    = reader->watch(step.after.number, times.wait,
                                          times.wait + times.timeout);
                confirmed = daemon_now();
            }
            if (result.ok())
                changes.append(step.after, *result, confirmed);
            state->on_changes(std::move(result), daemon_now());
            break;
        }
        }
    }
}

peer_table gateway::impl::own_peers() const
{
    peer self;
    self.address        = settings.peer;
    self.failure_domain = settings.failure_domain;
    self.refuses_orders = true; // Until this daemon is ready.
    self.capacity       = static_cast<std::uint32_t>(
        capacity_per_core * settings.processor_share + 0.5);
    self.incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    return peer_table(std::move(self), settings.seeds, random_seed());
}

/// The shards of all stage services of the configuration in force. They are
/// recomputed when the configuration or the usable targets have changed.
const std::vector<stage_shard>& gateway::impl::stage_shards()
{
    const auto table = state->table();
    if (!table || (table->version() == shards_version &&
                   targets.generation() == shards_generation))
        return shards;
    shards_version    = table->version();
    shards_generation = targets.generation();
    shards.clear();
    for (const auto& service : table->config().services) {
        if (!service.stage)
            continue;
        auto list = split_service(service.name, targets.usable(service.name),
                                  restricts_regions(table->config()));
        shards.insert(shards.end(), list.begin(), list.end());
    }
    return shards;
}

void gateway::impl::reach_changed()
{
    peers->set_may_own(reach->reach().may_own(daemon_now()));
    if (!relay->cut_off()) {
        picker.forget_failures();
        return;
    }
    // They would hang until their calls time out.
    connections->drop_all();
    for (auto* it : open_runs)
        it->divert();
}

reach_report gateway::impl::report_reach()
{
    reach_report out;
    out.reaches_targets = !draining && reach->confirm();
    out.open_requests   = open_requests;
    out.capacity        = peers->table().self().capacity;
    out.failure_domain  = settings.failure_domain;
    return out;
}

/// Callers that other daemons send here must leave room for those of this one.
void gateway::impl::serve_relayed(http_exchange&     exchange,
                                  const relay_terms& terms)
{
    const open_request_count count(relayed_requests);
    if (relayed_requests <=
        max_caller_connections(settings.max_descriptors) / 2)
        return serve(exchange, terms);
    auto response = problem_response(
        refusal(refusal_reason::overloaded, no_memory_retry_after),
        codec.decode_call(exchange.request()).attempt);
    mark_relay_refused(response);
    exchange.respond(std::move(response));
}

void gateway::impl::serve(http_exchange&             exchange,
                          std::optional<relay_terms> relayed)
{
    const open_request_count count(open_requests);
    const auto               daemons = peers->table().daemons();
    parts->daemons                   = std::max(1U, daemons);
    budget.set_daemons(daemons);
    forward_run    run(*parts, exchange, std::move(relayed));
    const open_run entry(open_runs, run);
    run.run();
}

void gateway::impl::response_lost(const http_exchange& exchange,
                                  response_loss        why)
{
    counters.reasons().add(why);
    log(why == response_loss::client_left ? log_level::info
                                          : log_level::warning,
        "connection ended before the response was complete",
        {{"request", codec.decode_call(exchange.request()).attempt},
         {"reason", arbutusgate::to_string(why)},
         {"draining", draining.load()}});
}

void gateway::impl::begin_drain(const drain_times& times)
{
    parts->drain = times;
    peers->announce_leaving();
}

void gateway::impl::end_runs()
{
    if (!open_runs.empty())
        log(log_level::warning, "ending open requests at the end of the grace",
            {{"requests", open_runs.size()}});
    for (auto* it : open_runs)
        it->end();
}

// A stage order of another daemon counts as an open request, so that this
// daemon does not exit while the order is in its queue.
void gateway::impl::serve_peer(http_exchange& exchange)
{
    if (const auto terms = relay_terms_of(exchange.request())) {
        ++relay->stats().served;
        serve_relayed(exchange, *terms);
        return;
    }
    const open_request_count count(open_requests);
    peers->serve(exchange);
}

bool gateway::impl::ready() const
{
    return !draining && state->table() && state->targets_known();
}

void gateway::impl::serve_ready(http_exchange& exchange) const
{
    const bool path_matches =
        exchange.request().target() == settings.ready_path;
    http_response out(!path_matches ? http::status::not_found
                      : ready()     ? http::status::ok
                                    : http::status::service_unavailable,
                      11);
    exchange.respond(std::move(out));
}

void gateway::impl::serve_metrics(http_exchange& exchange) const
{
    const auto now     = daemon_now();
    const auto calls   = stages->stats();
    const auto mesh    = peers->stats();
    const auto gate    = targets.gate().stats();
    const auto limit   = targets.limits().stats();
    const auto parts   = quarantine.stats();
    const auto permits = peers->permits().stats();
    const auto issued  = peers->permits().issued();
    const auto table   = state->table();
    const auto errors  = work.errors();
    const auto origins = peers->origins().stats();
    const auto relayed = relay->stats();
    const auto n       = [](auto count) {
        return static_cast<double>(count);
    };
    const auto age =
        std::chrono::duration<double>(now - state->answered_at()).count();
    http_response response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = counters.text({
        {"ready", "1: ready for callers.", ready() ? 1.0 : 0.0},
        {"requests_running", "Requests and orders being served.",
         n(open_requests.load())},
        {"config_version", "Version in force; 0: none.",
         table ? n(table->version()) : 0},
        {"store_age_seconds", "Since the store last answered.", age},
        {"store_era", "Of the known state; 0: not known.",
         n(state->revision().era)},
        {"store_revision", "Of the known state; 0: none.",
         n(state->revision().number)},
        {"store_era_changes_total",
         "Times that the published state was of another era.", n(era_changes),
         true},
        {"targets", "Targets that are known.", n(targets.size())},
        {"evacuated_domains", "Failure domains that are evacuated.",
         n(targets.evacuated().size())},
        {"evacuation_changes_total", "Evacuations begun and ended.",
         n(evacuation_changes), true},
        {"daemons_alive", "Daemons believed alive, this one included.",
         n(peers->table().alive(now).size() + 1)},
        {"target_connections_opened_total", "Connections to targets.",
         n(connections->opened()), true},
        {"target_connections_failed_total", "Connections that failed.",
         n(connections->failed()), true},
        {"target_connections_not_reused_total",
         "Connections closed after a response that does not name its call.",
         n(connections->not_reused()), true},
        {"target_connections_idle", "Idle connections to targets.",
         n(connections->idle())},
        {"targets_leaving_by_answer_total",
         "Targets that said in an answer that they leave.", n(gate.leaving),
         true},
        {"target_closures_total",
         "Times that targets asked for no work for a while.", n(gate.closed),
         true},
        {"target_closures_ended_total", "Such times that are over.",
         n(gate.reopened), true},
        {"target_closures_unreadable_total", "Such times that are no numbers.",
         n(gate.unreadable), true},
        {"targets_limited", "Targets that limit the calls of all daemons.",
         n(targets.limits().size())},
        {"target_limits_named_total", "Limits that targets began to name.",
         n(limit.named), true},
        {"target_limits_changed_total", "Limits that targets changed.",
         n(limit.changed), true},
        {"target_limits_ended_total", "Limits that targets no longer name.",
         n(limit.ended), true},
        {"target_limits_unreadable_total",
         "Responses with a limit that is no number of calls.",
         n(limit.unreadable), true},
        {"targets_cold", "Targets that are cold, which limits their calls.",
         n(targets.limits().cold_size(now))},
        {"targets_turned_cold_total", "Targets that became cold.",
         n(limit.turned_cold), true},
        {"targets_turned_warm_total", "Targets whose cold time ended.",
         n(limit.turned_warm), true},
        {"call_permits_granted_total",
         "Calls to limited targets that this daemon gave out.",
         n(issued.granted), true},
        {"body_memory_bytes", "Memory that bodies take.", n(bodies.used())},
        {"body_memory_limit_bytes", "Memory that bodies may take.",
         n(bodies.limit())},
        {"request_bodies_evicted_total",
         "Incomplete request bodies that made room for others.",
         n(bodies.evicted()), true},
        {"requests_without_memory_total",
         "Requests refused since no memory was left for their bodies.",
         n(unread.count(http_error::no_memory)), true},
        {"request_trailers_too_large_total", "Requests refused for trailers.",
         n(unread.count(http_error::trailer_too_large)), true},
        {"request_chunk_extensions_too_large_total",
         "Requests refused for chunk extensions.",
         n(unread.count(http_error::chunk_extension_too_large)), true},
        {"call_permits_refused_total",
         "Requests for such a call that came too early.", n(issued.refused),
         true},
        {"call_permits_disowned_total",
         "Requests for calls that another daemon gives out.",
         n(issued.disowned), true},
        {"call_permits_requested_total",
         "Requests for such calls to other daemons.", n(permits.requested),
         true},
        {"call_permits_unanswered_total",
         "Requests of these without an answer.", n(permits.unanswered), true},
        {"stream_origins_known", "Streams whose software is on record.",
         n(peers->origins().size())},
        {"stream_origin_reports_total", "Records sent to other daemons.",
         n(origins.reported), true},
        {"stream_origin_queries_total",
         "Streams whose software other daemons were asked for.",
         n(origins.asked), true},
        {"streams_resumed_total",
         "Broken streams that went on inside their answers.",
         n(continuations.resumed), true},
        {"streams_cut_total", "Broken streams that were not.",
         n(continuations.not_resumed), true},
        {"streams_taken_up_total", "Streams that clients took up again.",
         n(continuations.taken_up), true},
        {"streams_refused_unknown_total",
         "Streams not taken up since their software is not known.",
         n(continuations.refused_unknown), true},
        {"streams_refused_no_target_total",
         "Streams not taken up since no target has their software.",
         n(continuations.refused_no_target), true},
        {"prompt_parts_quarantined",
         "Parts of prompts that crash targets and keep requests from them.",
         n(quarantine.convicted())},
        {"prompt_parts_known",
         "Parts of prompts whose requests broke off lately.",
         n(quarantine.size())},
        {"calls_broken_unanswered_total",
         "Calls with a prompt whose connection ended before an event.",
         n(parts.accused), true},
        {"prompt_part_quarantines_total", "Quarantines that began.",
         n(parts.convicted), true},
        {"prompt_part_quarantines_ended_total", "Quarantines that ended.",
         n(parts.ended), true},
        {"prompt_part_trials_total",
         "Requests with a quarantined part that this daemon let pass.",
         n(parts.trials), true},
        {"targets_found_alive_total",
         "Targets that sent bytes after calls to them had broken off.",
         n(parts.refuted), true},
        {"prompt_parts_forgotten_total",
         "Parts that were forgotten to make place for others.",
         n(parts.forgotten), true},
        {"work_answers_total", "Complete streams with an estimate.",
         n(errors.answers), true},
        {"work_estimated_tokens_total", "Output that was expected of them.",
         errors.estimated_tokens, true},
        {"work_output_tokens_total", "Output that they had.",
         errors.output_tokens, true},
        {"work_error_tokens_total",
         "Sum of the absolute differences between both.", errors.error_tokens,
         true},
        {"stage_calls_total", "Calls to stage targets.", n(calls.calls), true},
        {"stage_pieces_total", "Pieces in these calls.", n(calls.pieces), true},
        {"stage_results_total", "Results of pieces.", n(calls.results), true},
        {"stage_calls_refused_total", "Calls that targets refused.",
         n(calls.refused_calls), true},
        {"stage_calls_failed_total", "Calls without a usable answer.",
         n(calls.failed_calls), true},
        {"stage_calls_overdue_total", "Calls taken for lost.",
         n(calls.overdue_calls), true},
        {"stage_duplicates_total", "Results that were not needed.",
         n(calls.duplicates), true},
        {"stage_orders_given_up_total",
         "Late orders that could not be made any more.", n(calls.unmeetable),
         true},
        {"targets_reached", "1: this daemon reaches targets.",
         relay->cut_off() ? 0.0 : 1.0},
        {"requests_relayed_total", "Requests sent to other daemons.",
         n(relayed.sent), true},
        {"requests_relay_failed_total",
         "Requests whose daemon gave no whole response.", n(relayed.failed),
         true},
        {"requests_relay_refused_total",
         "Requests that no other daemon answered.", n(relayed.refused), true},
        {"requests_relay_served_total", "Requests run for other daemons.",
         n(relayed.served), true},
        {"orders_sent_total", "Stage orders to other daemons.",
         n(mesh.orders_sent), true},
        {"orders_served_total", "Stage orders of other daemons.",
         n(mesh.orders_served), true},
        {"orders_moved_total", "Stage orders whose owner failed.",
         n(mesh.orders_reassigned), true},
        {"peers_suspected_total", "Times that a daemon did not answer.",
         n(mesh.suspected), true},
        {"owners_slow_total", "Owners that were late and not gone.",
         n(mesh.slow), true},
        {"owners_reconnected_total", "Owners on connections that went silent.",
         n(mesh.reconnected), true},
    });
    exchange.respond(std::move(response));
}

http_server_init
gateway::impl::listener(std::string                         address,
                        std::function<void(http_exchange&)> handler)
{
    http_server_init out;
    out.address  = std::move(address);
    out.handler  = std::move(handler);
    out.on_error = [this](http_error error) {
        const auto reason = reason_of(error);
        counters.reasons().add(reason);
        auto out   = refusal(reason);
        out.detail = limit_of(error);
        if (error == http_error::no_memory)
            out.retry_after = no_memory_retry_after;
        const auto lines = unread.add(error, daemon_now());
        if (error == http_error::handler_failed)
            out.result = execution::unknown;
        else if (lines > 0)
            log(log_level::info, "failed to read a request",
                {{"reason", arbutusgate::to_string(reason)},
                 {"limit", limit_of(error)},
                 {"requests", lines}});
        return problem_response(out, "");
    };
    return out;
}

gateway::gateway(gateway_init init)
    : impl_(std::make_unique<impl>(std::move(init)))
{
    auto*                   self = impl_.get();
    std::vector<io_thread*> threads{&self->thread};
    const auto&             settings    = self->settings;
    auto                    caller_init = self->listener(
                           settings.listen, [self](http_exchange& e) { self->serve(e); });
    caller_init.on_lost = [self](const http_exchange& e, response_loss why) {
        self->response_lost(e, why);
    };
    caller_init.max_connections =
        max_caller_connections(settings.max_descriptors);
    self->caller_server =
        std::make_unique<http_server>(std::move(caller_init), threads);
    self->bodies.set_limit(body_memory_of(settings));
    self->ready_server = std::make_unique<http_server>(
        self->listener(settings.ready,
                       [self](http_exchange& e) { self->serve_ready(e); }),
        threads);
    // Callers must not keep a daemon from the messages of others.
    auto peer_init = self->listener(
        settings.peer, [self](http_exchange& e) { self->serve_peer(e); });
    peer_init.charges = [](const http::fields& headers) {
        return relay_terms_of(headers).has_value();
    };
    self->peer_server =
        std::make_unique<http_server>(std::move(peer_init), threads);
    self->metrics_server = std::make_unique<http_server>(
        self->listener(settings.metrics,
                       [self](http_exchange& e) { self->serve_metrics(e); }),
        threads);
}

gateway::~gateway()
{
    impl_->stopping = true;
    if (impl_->started) {
        impl_->follower_ended.get_future().wait();
        impl_->peer_follower_ended.get_future().wait();
    }
    impl_->caller_server->stop();
    impl_->ready_server->stop();
    impl_->peer_server->stop();
    impl_->metrics_server->stop();
    std::promise<void> ended;
    impl_->thread.spawn([this, &ended] {
        impl_->parts.reset();
        impl_->reach.reset();
        impl_->relay.reset();
        impl_->stages->set_permits(nullptr);
        impl_->peers.reset();
        impl_->stages.reset();
        impl_->crashes.reset();
        impl_->connections.reset();
        impl_->reader.reset();
        ended.set_value();
    });
    ended.get_future().wait();
}

absl::Status gateway::start()
{
    log_ignored_keys(impl_->settings);
    std::promise<void> ready;
    impl_->thread.spawn([this, &ready] {
        impl_->start_on_thread();
        ready.set_value();
    });
    ready.get_future().wait();
    impl_->started = true;
    // Callers come last: a start that waits for a port does not handle signals.
    for (auto* server : {impl_->peer_server.get(), impl_->ready_server.get(),
                         impl_->caller_server.get()})
    {
        if (auto status = start_listening(*server); !status.ok())
            return status;
    }
    // Several daemons at one IP address share the metrics port; the first one
    // gets it.
    if (auto status = impl_->metrics_server->start(); !status.ok())
        log(log_level::warning, "metrics are not served",
            {{"error", status.ToString()}});
    return absl::OkStatus();
}

void gateway::reload(const gateway_settings& settings)
{
    log_ignored_keys(settings);
    const auto& old = impl_->settings;
    const bool  restart =
        settings.listen != old.listen || settings.ready != old.ready ||
        settings.peer != old.peer || settings.metrics != old.metrics ||
        settings.store != old.store ||
        settings.failure_domain != old.failure_domain;
    log(log_level::info, "settings reloaded", {{"restart_needed", restart}});
    impl_->thread.spawn([this, settings] {
        impl_->settings.bounds = settings.bounds;
        impl_->settings.seeds  = settings.seeds;
        impl_->picker.use_work_estimates(settings.work_estimates);
        impl_->bodies.set_limit(body_memory_of(settings));
        impl_->budget.set_limits(retry_limits_of(settings.bounds));
        impl_->peers->set_seeds(settings.seeds);
    });
}

std::uint16_t gateway::port() const
{
    return impl_->caller_server->port();
}

std::uint16_t gateway::peer_port() const
{
    return impl_->peer_server->port();
}

std::uint16_t gateway::ready_port() const
{
    return impl_->ready_server->port();
}

std::optional<milliseconds> gateway::stalled_for()
{
    return impl_->watch.check();
}

void gateway::drain()
{
    const auto now = daemon_now();
    const auto deadline =
        now + impl_->settings.bounds.drain_grace - exit_margin;
    impl_->draining = true;
    impl_->caller_server->announce_close();
    log(log_level::info, "draining",
        {{"open_requests", impl_->open_requests.load()}});
    const auto ends_at = deadline - answer_margin;
    impl_->thread.spawn([this, now, ends_at] {
        impl_->begin_drain({now + drain_notice, ends_at});
    });
    std::this_thread::sleep_for(drain_notice);
    impl_->caller_server->stop_accepting();
    // A connection without a request in progress may be about to carry one.
    const auto busy = [this] {
        return impl_->open_requests > 0 ||
               impl_->caller_server->connections() > 0;
    };
    while (busy() && daemon_now() < ends_at)
        std::this_thread::sleep_for(drain_poll_interval);
    if (busy())
        impl_->thread.spawn([this] { impl_->end_runs(); });
    while (busy() && daemon_now() < deadline)
        std::this_thread::sleep_for(drain_poll_interval);
    log(log_level::info, "stopping",
        {{"open_requests", impl_->open_requests.load()}});
}

} // namespace arbutusgate::gateway
