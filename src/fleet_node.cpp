#include "fleet_node.hpp"

#include "arbutusgate/policy.hpp"

#include "io_thread.hpp"
#include "limit_part.hpp"
#include "log.hpp"
#include "relay_grid.hpp"
#include "text.hpp"

#include <boost/fiber/future/promise.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <random>
#include <thread>

namespace arbutusgate {

namespace {

constexpr auto config_wait_time      = seconds{5};
constexpr auto config_check_interval = milliseconds{250};
constexpr auto platform_retry_delay  = seconds{1};
// The interval grows with the VM list, so that the load on the service and on
// each daemon stays constant. With a fixed interval of 5 s, 360 daemons would
// cause 72 reads/s at the service and 5.8 KB/s at each daemon.
constexpr auto min_vm_list_interval    = milliseconds{5000};
constexpr auto vm_list_interval_per_vm = milliseconds{140}; // per listed VM
constexpr auto stop_check_interval     = milliseconds{50};
// Number of older versions that are tried for a slot list when the published
// version is invalid.
constexpr std::uint64_t max_older_versions = 8;
constexpr std::size_t   max_logged_issues  = 5;

/// \return the Unix time in ms, followed by 20 random bits.
std::uint64_t make_incarnation(std::mt19937_64& random)
{
    constexpr unsigned random_bits = 20;
    const auto         now         = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return (static_cast<std::uint64_t>(now.count()) << random_bits) |
           (random() & ((1U << random_bits) - 1));
}

slot_id find_slot(const std::vector<slot_config>& slots,
                  const std::string&              name)
{
    const auto it = std::ranges::find(slots, name, &slot_config::name);
    if (it == slots.end())
        return {};
    return slot_id{static_cast<std::uint32_t>(it - slots.begin())};
}

void log_issues(std::uint64_t version, const std::vector<config_issue>& issues)
{
    for (std::size_t n = 0; n < std::min(issues.size(), max_logged_issues); ++n)
        log(log_level::error, "invalid configuration",
            {{"version", version},
             {"issues", issues.size()},
             {"document", issues[n].document},
             {"line", issues[n].line},
             {"column", issues[n].column},
             {"issue", issues[n].message}});
}

/// Runs the task on the worker while the calling fiber waits.
template <class Task>
auto run_on(worker_thread& worker, Task task)
{
    using result_type = decltype(task());
    auto promise      = std::make_shared<boost::fibers::promise<result_type>>();
    auto result       = promise->get_future();
    worker.post([promise, task] { promise->set_value(task()); });
    return result.get();
}

} // namespace

fleet_node::fleet_node(fleet_node_init init, io_thread& control)
    : init_(std::move(init)), control_(control),
      platform_(control.io(), init_.settings.platform),
      config_reader_(platform_), checker_(init_.settings.site),
      worker_(std::make_unique<worker_thread>())
{
    mesh_init mesh_values;
    mesh_values.listen     = init_.settings.peer;
    mesh_values.keys       = init_.settings.keys;
    mesh_values.on_message = [this](const pb::PeerMessage& it) {
        deliver(it);
    };
    mesh_ = std::make_unique<mesh>(std::move(mesh_values));
}

fleet_node::~fleet_node()
{
    stop();
}

absl::Status fleet_node::start()
{
    if (auto status = mesh_->start(); !status.ok())
        return status;
    const auto loop = [this](auto run) {
        ++running_loops_;
        control_.spawn([this, run] {
            (this->*run)();
            --running_loops_;
        });
    };
    loop(&fleet_node::config_loop);
    loop(&fleet_node::vm_list_loop);
    return absl::OkStatus();
}

void fleet_node::stop()
{
    if (stopping_.exchange(true))
        return;
    control_.spawn([this] { platform_.stop(); });
    while (running_loops_ > 0)
        std::this_thread::sleep_for(stop_check_interval);
    // Set after the platform_.stop() task above has run.
    std::promise<void> passed;
    control_.spawn([&passed] { passed.set_value(); });
    passed.get_future().get();
    // Other threads may hold the host for a while, and its threads use the
    // worker and the mesh. Wait until it is destroyed.
    const std::weak_ptr<node_host> last = host_.exchange(nullptr);
    while (!last.expired())
        std::this_thread::sleep_for(stop_check_interval);
    worker_.reset();
    mesh_.reset();
}

claim_event fleet_node::obtain(std::string_view account, std::string_view key,
                               std::uint64_t body_hash)
{
    const auto node = host();
    return node ? node->obtain(account, key, body_hash) : claim_event{};
}

bool fleet_node::use(std::uint64_t claim)
{
    const auto node = host();
    return node && node->use(claim);
}

void fleet_node::release(std::uint64_t claim)
{
    if (const auto node = host())
        node->release(claim);
}

void fleet_node::record(std::uint64_t claim, recorded_answer answer)
{
    if (const auto node = host())
        node->record(claim, std::move(answer));
}

std::optional<milliseconds> fleet_node::refused(const prompt_call& it)
{
    const auto node = host();
    return node ? node->apply([&](node_core& core, time_point now) {
        return core.prompt_refused(it, now);
    })
                : std::nullopt;
}

void fleet_node::answered(const prompt_call& it)
{
    if (const auto node = host())
        node->apply([&](node_core& core, time_point now) {
            core.on_prompt_answered(it, now);
        });
}

void fleet_node::broke_off(const prompt_call& it)
{
    log(log_level::warning, "engine call ended before its first token",
        {{"target", std::string(it.target)}, {"prefix", to_hex(it.prefix)}});
    if (const auto node = host())
        node->apply([&](node_core& core, time_point now) {
            core.on_prompt_broken(it, now);
        });
}

bool fleet_node::ready() const
{
    const auto node = host();
    return node && node->ready();
}

void fleet_node::note_leaving(std::string_view target)
{
    if (const auto node = host())
        node->apply([=](node_core& core, time_point now) {
            core.add_leaving_target(target, now);
        });
}

void fleet_node::note_limit(std::string_view target, const load_report& report)
{
    if (const auto node = host())
        node->apply([&](node_core& core, time_point now) {
            core.on_target_limit(target, report.call_limit, report.call_age,
                                 now);
        });
}

void fleet_node::begin_drain()
{
    if (const auto node = host())
        node->apply(
            [](node_core& core, time_point now) { core.begin_drain(now); });
}

bool fleet_node::drained() const
{
    const auto node = host();
    return !node || node->apply([](node_core& core, time_point now) {
        return core.drained(now);
    });
}

fleet_status fleet_node::status() const
{
    fleet_status it;
    it.config_rejected = rejected_versions_;
    if (mesh_)
        it.mesh = mesh_->stats();
    const auto node = host();
    if (!node)
        return it;
    const auto membership = membership_.load();
    it.joined             = true;
    it.incarnation        = membership->incarnation;
    it.slots              = membership->slots;
    node->apply([&it](node_core& core, time_point now) {
        it.config_version = core.config_version();
        it.alive          = core.alive_count(now);
        it.members        = core.members(now);
    });
    return it;
}

command_view fleet_node::view_for_commands() const
{
    command_view it;
    const auto   node = host();
    if (!node)
        return it;
    const auto membership = membership_.load();
    it.self               = init_.settings.slot;
    it.slots              = membership->slots.size();
    node->apply([&](node_core& core, time_point now) {
        it.confirmed = core.confirmed(now); // called first: detects a pause
        it.reachable = core.alive_count(now);
        for (const auto& member : core.members(now)) {
            if (member.current == member_view::state::alive &&
                member.slot.idx < membership->slots.size())
                it.alive.push_back(membership->slots[member.slot.idx].name);
        }
    });
    return it;
}

void fleet_node::send(slot_id to, const pb::PeerMessage& message)
{
    mesh_->send(to, message);
}

void fleet_node::deliver(const pb::PeerMessage& message)
{
    if (const auto node = host())
        node->deliver(message);
}

void fleet_node::config_loop()
{
    while (!stopping_) {
        const auto node = host();
        if (!node) {
            if (!join())
                sleep_unless_stopping(platform_retry_delay);
            continue;
        }
        const bool read_due = node->apply([](node_core& core, time_point now) {
            return core.should_read_config(now);
        });
        if (!read_due)
            sleep_unless_stopping(config_check_interval);
        else if (!read_config(*node))
            sleep_unless_stopping(platform_retry_delay);
    }
}

/// \return false when the configuration service could not be read.
bool fleet_node::read_config(node_host& node)
{
    const auto published =
        config_reader_.read(last_read_version_, config_wait_time);
    if (!published.ok() && stopping_)
        return false;
    if (!published.ok()) {
        log(log_level::warning, "cannot read the configuration service",
            {{"error", published.status().ToString()}});
        return false;
    }
    last_read_version_ = published->version;
    node.apply([&](node_core& core, time_point now) {
        core.on_config_read(published->version, published->documents, now);
    });
    return true;
}

/// Reads the slot list and starts the node core. Falls back to the slot list of
/// the settings when the platform cannot be read.
bool fleet_node::join()
{
    const auto& settings  = init_.settings;
    const auto  published = config_reader_.read(0, milliseconds{0});
    if (!published.ok()) {
        log(log_level::warning, "cannot read the slot list",
            {{"error", published.status().ToString()}});
        return !settings.slots.empty() &&
               start_host(settings.slots, limits::retry_window);
    }
    const auto config = find_slot_list(*published);
    if (!start_host(config.slots, config.retry_window))
        return false;
    const auto node = host();
    node->apply([&](node_core& core, time_point now) {
        core.on_config_read(published->version, published->documents, now);
    });
    last_read_version_ = published->version;
    return true;
}

/// \return the deployment with the slot list. When the published version is
/// invalid, the slots come from an older version, since they change rarely.
deployment fleet_node::find_slot_list(const published_config& published)
{
    const auto& site  = init_.settings.site;
    const auto  check = [&](const published_config& it) {
        return run_on(*worker_, [&it, &site] {
            return check_config(it.documents, site, it.version);
        });
    };
    auto checked = check(published);
    log_issues(published.version, checked.issues);
    for (std::uint64_t n = 1; !checked.issues.empty() &&
                              n <= max_older_versions && n < published.version;
         ++n)
    {
        const auto old = config_reader_.read_old(published.version - n, site);
        if (old.ok())
            checked = check(*old);
    }
    return checked.issues.empty() ? checked.effective : deployment{};
}

/// \return false when this daemon's slot is not in the list.
bool fleet_node::start_host(const std::vector<slot_config>& slots,
                            milliseconds                    retry_window)
{
    const auto self = find_slot(slots, init_.settings.slot);
    if (!self.valid()) {
        log(log_level::error, "this daemon's slot is not in the slot list",
            {{"slot", init_.settings.slot}, {"slots", slots.size()}});
        return false;
    }
    std::random_device device;
    std::mt19937_64    random((std::uint64_t{device()} << 32U) | device());
    const auto         incarnation = make_incarnation(random);
    node_host_init     values;
    values.node.self         = self;
    values.node.incarnation  = incarnation;
    values.node.seed         = random();
    values.node.slots        = slots;
    values.node.retry_window = retry_window;
    values.link              = this;
    values.on_leaving        = init_.on_leaving;
    std::vector<std::string> names;
    for (const auto& it : slots)
        names.push_back(it.name);
    values.on_limit = [this, names](const target_limit_event& event) {
        init_.on_limit(event, event.rate
                                  ? limit_part(event.target, *event.rate, names,
                                               init_.settings.slot)
                                  : 0);
    };
    values.on_daemons     = init_.on_daemons;
    values.on_unreachable = [this](const std::vector<slot_id>& slots) {
        mesh_->set_excluded_relays(slots);
    };
    values.on_config = [this](config_event event) {
        worker_->post(
            [this, event = std::move(event)] { apply_config(event); });
    };
    membership_.store(std::make_shared<const fleet_membership>(
        fleet_membership{slots, retry_window, incarnation}));
    mesh_->set_grid(self, relay_grid(slots.size()));
    set_peers(init_.settings.peers);
    host_.store(std::make_shared<node_host>(std::move(values)));
    log(log_level::info, "joined the fleet",
        {{"slot", init_.settings.slot},
         {"incarnation", incarnation},
         {"slots", slots.size()}});
    return true;
}

void fleet_node::set_peers(const std::vector<peer_address>& peers)
{
    const auto membership = membership_.load();
    for (const auto& it : peers) {
        const auto slot = find_slot(membership->slots, it.slot);
        if (slot.valid() && it.slot != init_.settings.slot)
            mesh_->set_peer(slot, it.address);
    }
}

void fleet_node::vm_list_loop()
{
    while (!stopping_) {
        const auto list =
            host() ? platform_.vms()
                   : absl::StatusOr<vm_list>(absl::UnavailableError("later"));
        if (!list.ok()) {
            sleep_unless_stopping(platform_retry_delay);
            continue;
        }
        std::vector<peer_address> peers;
        // Later entries win: VMs that are not leaving take precedence.
        for (const bool leaving : {true, false}) {
            for (const auto& it : list->vms) {
                if (it.leaving == leaving)
                    peers.push_back({it.slot, it.address});
            }
        }
        set_peers(peers);
        sleep_unless_stopping(
            std::max(min_vm_list_interval,
                     vm_list_interval_per_vm *
                         static_cast<std::int64_t>(list->vms.size())));
    }
}

/// Sleeps; returns early when the node stops. \return false when it stops.
bool fleet_node::sleep_unless_stopping(milliseconds time)
{
    for (; time > milliseconds{0} && !stopping_; time -= stop_check_interval)
        fiber_sleep(control_.io(), stop_check_interval);
    return !stopping_;
}

void fleet_node::apply_config(const config_event& event)
{
    const auto node = host();
    if (!node)
        return;
    auto checked = checker_.check(event.documents, event.version);
    if (!checked.issues.empty())
        return reject_config(event, checked.issues);
    if (rejoin(checked.effective, *node))
        return;
    const auto in_force = node->apply([&](node_core& core, time_point now) {
        core.accept_config(event.version, now);
        return core.config_version();
    });
    if (in_force != event.version)
        return;
    log(log_level::info, "configuration in force",
        {{"version", event.version}});
    init_.on_deployment(
        std::make_shared<const deployment>(std::move(checked.effective)));
}

/// Joins again when the slot list of the first configuration differs from the
/// one with which this process joined, which may be older. Other voters then
/// decide on claims, so the process must join again before it serves. \return
/// true when it joined again; the new node core reads the configuration itself.
bool fleet_node::rejoin(const deployment& config, node_host& node)
{
    const auto membership = membership_.load();
    if (membership->slots == config.slots &&
        membership->retry_window == config.retry_window)
        return false;
    const bool first = node.apply(
        [](node_core& core, time_point) { return core.config_version() == 0; });
    if (first && !stopping_)
        return start_host(config.slots, config.retry_window);
    log(log_level::warning,
        "changed slot list takes effect at the next restart",
        {{"version", config.version}});
    return false;
}

void fleet_node::reject_config(const config_event&              event,
                               const std::vector<config_issue>& issues)
{
    ++rejected_versions_;
    log_issues(event.version, issues);
    if (const auto node = host())
        node->apply([&](node_core& core, time_point now) {
            core.reject_config(event.version, now);
        });
}

} // namespace arbutusgate
