#include "peer_mesh.hpp"

#include "http_server.hpp"
#include "io_thread.hpp"
#include "log.hpp"
#include "owner_probe.hpp"
#include "report_pace.hpp"
#include "stage_scheduler.hpp"
#include "target_directory.hpp"
#include "time_left.hpp"

#include <algorithm>
#include <utility>

namespace arbutusgate::gateway {

namespace {

constexpr const char* gossip_path  = "/v1/gossip";
constexpr const char* order_path   = "/v1/orders";
constexpr const char* release_path = "/v1/releases";
constexpr const char* state_path   = "/v1/state";
constexpr const char* changes_path = "/v1/changes";
constexpr const char* permits_path = "/v1/permits";
constexpr const char* trials_path  = "/v1/trials";
/// Reports of where streams began, and queries for it.
constexpr const char* origins_path      = "/v1/origins";
constexpr const char* origin_query_path = "/v1/origins/query";
constexpr const char* reach_path        = "/v1/reach";
/// Name under which the reading of the store has an owner in each failure
/// domain.
constexpr std::string_view reader_work = "published state";

constexpr milliseconds connect_timeout{300};
/// Retry-After of an order whose permitted domains have no shard.
constexpr milliseconds no_shard_retry_after{1000};
/// Most bytes of a response of another daemon that holds no published state.
constexpr std::size_t  max_message_bytes = 256 * 1024;
constexpr milliseconds gossip_timeout{500};
constexpr milliseconds release_timeout{1000};
/// The daemon that is asked may probe targets first.
constexpr milliseconds reach_timeout{400};
/// Daemons of a large fleet that are asked whether they reach targets.
constexpr std::size_t  max_reach_queries = 8;
constexpr milliseconds state_timeout{500};
/// Smallest interval between copies of the published state for other daemons.
constexpr milliseconds state_copy_interval{30};
constexpr milliseconds changes_timeout{400};
/// Delay before the next query to a reader that gave no changes.
constexpr milliseconds reader_retry_delay{3000};
/// Daemons that are queried in turn for the published state; the first one may
/// be cut off from the store as well.
constexpr std::size_t max_state_queries = 2;
/// Interval between checks of the owners with orders in flight.
constexpr milliseconds watch_interval{100};
/// Delay during which releases for the same owner are collected.
constexpr milliseconds release_delay{5};
/// Most attempts to send an order to an owner, before this daemon runs it.
constexpr int max_owner_attempts = 2;
/// Interval between an owner's reports of its queueing times.
constexpr milliseconds queue_report_interval{300};
/// Reports in one message.
constexpr std::size_t max_limit_reports    = 12;
constexpr std::size_t max_part_reports     = 12;
constexpr std::size_t max_lifetime_reports = 12;
/// Results of at least this size wait for result memory at their targets.
constexpr std::uint64_t large_result_bytes = 200'000;
/// Reports of queueing times that are older are ignored.
constexpr seconds queue_report_lifetime{3};
/// Added to an order's limit for the transfer of its response.
constexpr milliseconds response_margin{100};
/// First id of tickets for remote orders; the ids of the stage scheduler are
/// lower.
constexpr std::uint64_t first_remote_id = 1ULL << 62;

} // namespace

peer_mesh::peer_mesh(boost::asio::io_context& io, peer_table table,
                     stage_scheduler& scheduler, target_directory& targets,
                     part_quarantine& quarantine,
                     std::function<const std::vector<stage_shard>&()> shards)
    : table_(std::move(table)), scheduler_(scheduler), targets_(targets),
      quarantine_(quarantine), shards_(std::move(shards)), pool_(io),
      next_id_(first_remote_id),
      permits_(table_, targets.limits(),
               [this](const std::string& address, std::string body,
                      milliseconds timeout) {
                   const fiber_group::guest guest(fibers_);
                   return call(address, permits_path, std::move(body), timeout);
               }),
      trials_(table_, quarantine,
              [this](const std::string& address, std::string body,
                     milliseconds timeout) {
                  const fiber_group::guest guest(fibers_);
                  return call(address, trials_path, std::move(body), timeout);
              }),
      origins_(
          table_, fibers_,
          [this](const std::string& address, std::string body,
                 milliseconds timeout) {
              return call(address, origins_path, std::move(body), timeout);
          },
          [this](const std::string& address, std::string body,
                 milliseconds timeout) {
              return call(address, origin_query_path, std::move(body), timeout);
          })
{
    quarantine_.on_news(
        [this](part_quarantine::source from) { on_part_news(from); });
    targets_.limits().on_change([this](limit_change          change,
                                       const target_limit&   it,
                                       target_limits::source from) {
        on_limit_change(change, it, from);
    });
    fibers_.spawn([this] {
        while (!fibers_.stopping()) {
            run_heartbeat();
            fibers_.sleep_until(daemon_now() + table_.heartbeat_interval());
        }
    });
    fibers_.spawn([this] { run_queue_reports(); });
    fibers_.spawn([this] { join(); });
}

peer_mesh::~peer_mesh()
{
    targets_.limits().on_change(nullptr);
    quarantine_.on_news(nullptr);
}

// Membership -----------------------------------------------------------------

void peer_mesh::run_heartbeat()
{
    ++stats_.rounds;
    const auto now = daemon_now();
    table_.advance_heartbeat(now);
    quarantine_.set_hearing_time(report_spread_time(table_));
    if (table_.round_due(now)) {
        run_round();
        return;
    }
    for (const auto& it : table_.random_alive(1, now))
        fibers_.spawn([this, it] { gossip_with(it); });
}

/// Services with a single shard. Every daemon sends gossip to their owners,
/// since every daemon uses them; the owners of sharded services are too many
/// for that.
std::vector<std::string> peer_mesh::unsharded_services() const
{
    std::vector<std::string> out;
    for (const auto& it : shards_()) {
        if (it.key() == it.service)
            out.push_back(it.service);
    }
    return out;
}

std::string peer_mesh::owner_of(const stage_shard& it) const
{
    return table_.owner_of(it.key(), daemon_now(), it.failure_domain);
}

void peer_mesh::run_round()
{
    for (const auto& it :
         table_.round_recipients(unsharded_services(), daemon_now()))
    {
        fibers_.spawn([this, it] { gossip_with(it); });
    }
}

void peer_mesh::join()
{
    auto interval = peer_table_params{}.join_interval;
    while (!fibers_.stopping() && table_.joining(daemon_now())) {
        for (const auto& it : table_.uncontacted_seeds(daemon_now())) {
            // In a large fleet, all daemons contact a seed at once, so that it
            // may be slow to respond.
            if (!contacting_.insert(it).second)
                continue;
            fibers_.spawn([this, it] {
                gossip_with(it);
                contacting_.erase(it);
            });
        }
        fibers_.sleep_until(daemon_now() + interval);
        interval *= 2;
    }
}

void peer_mesh::announce_leaving()
{
    leaving_ = true;
    update_refusal();
    announce_change();
}

void peer_mesh::set_ready(bool ready)
{
    ready_ = ready;
    if (update_refusal())
        announce_change();
}

void peer_mesh::set_may_own(bool may_own)
{
    may_own_ = may_own;
    if (update_refusal())
        announce_change();
    for (auto* it : serving_)
        it->notify();
}

bool peer_mesh::update_refusal()
{
    return table_.set_refuses_orders(leaving_ || !ready_ || !may_own_);
}

std::vector<std::string> peer_mesh::reach_recipients()
{
    const auto now = daemon_now();
    return table_.large() ? table_.random_alive(max_reach_queries, now)
                          : table_.alive(now);
}

std::optional<reach_report> peer_mesh::ask_reach(const std::string& address)
{
    const fiber_group::guest guest(fibers_);
    const auto               body =
        call(address, reach_path, encode_reach_query(), reach_timeout);
    return body ? decode_reach_report(*body) : std::nullopt;
}

/// Announces a change of this daemon's entry without waiting for the next
/// round.
void peer_mesh::announce_change()
{
    table_.advance_heartbeat(daemon_now());
    for (const auto& it :
         table_.announcement_recipients(unsharded_services(), daemon_now()))
    {
        fibers_.spawn([this, it] { gossip_with(it); });
    }
}

/// In a small fleet, the daemon that learned the change from the target tells
/// all others itself.
void peer_mesh::on_limit_change(limit_change change, const target_limit& it,
                                target_limits::source from)
{
    if (from == target_limits::source::report) {
        if (change == limit_change::ended)
            log(log_level::info, "target no longer limits its calls",
                {{"target", it.target}, {"call", "report of a daemon"}});
        else
            log(log_level::info, "target limits its calls",
                {{"target", it.target},
                 {"calls_per_s", *it.rate},
                 {"call", "report of a daemon"}});
        if (!table_.large())
            return;
    }
    start_spreading();
}

void peer_mesh::on_part_news(part_quarantine::source from)
{
    if (from == part_quarantine::source::own || table_.large())
        start_spreading();
}

void peer_mesh::start_spreading()
{
    reports_changed_ = true;
    if (!std::exchange(spreading_, true))
        fibers_.spawn([this] { spread_reports(); });
}

void peer_mesh::spread_reports()
{
    report_pace pace;
    while (std::exchange(reports_changed_, false) && !fibers_.stopping()) {
        const auto now = daemon_now();
        for (const auto& it : report_recipients(table_, now))
            fibers_.spawn([this, it] { exchange_reports(it); });
        fibers_.sleep_until(now + pace.next_interval());
    }
    spreading_ = false;
}

void peer_mesh::exchange_reports(const std::string& address)
{
    const auto body =
        call(address, gossip_path, encode(make_gossip(true), daemon_now()),
             gossip_timeout);
    const auto response =
        body ? decode_gossip(*body, daemon_now()) : std::nullopt;
    if (response)
        apply_gossip(*response);
}

void peer_mesh::gossip_with(const std::string& address)
{
    const auto body = call(address, gossip_path,
                           encode(make_gossip(), daemon_now()), gossip_timeout);
    const auto response =
        body ? decode_gossip(*body, daemon_now()) : std::nullopt;
    if (!response) {
        on_missed_response(address, false);
        return;
    }
    apply_gossip(*response);
    table_.record_response(address, daemon_now());
}

/// Detects owners that died with orders in flight. Their connections may stay
/// open without any error.
void peer_mesh::watch_owners()
{
    while (!fibers_.stopping() && !remote_orders_.empty()) {
        const auto now = daemon_now();
        for (const auto& [id, it] : remote_orders_) {
            if (it->sent_at == time_point{} ||
                contacting_.contains(it->owner) ||
                !table_.needs_probe(it->owner, it->sent_at, now))
                continue;
            contacting_.insert(it->owner);
            fibers_.spawn([this, owner = it->owner] { probe(owner); });
        }
        fibers_.sleep_until(now + watch_interval);
    }
    watching_owners_ = false;
}

void peer_mesh::probe(const std::string& address)
{
    const auto it      = std::make_shared<owner_probe>(daemon_now());
    const auto changed = std::make_shared<fiber_signal>();
    fibers_.spawn([this, address, it, changed] {
        const auto body =
            call(address, gossip_path, encode(make_gossip(), daemon_now()),
                 remaining_until(it->response_deadline()));
        it->first_ended(body.has_value());
        changed->notify();
    });
    std::optional<probe_verdict> verdict;
    bool                         second_sent = false;
    while (!fibers_.stopping()) {
        const auto now = daemon_now();
        verdict        = it->verdict(now);
        if (verdict)
            break;
        if (!second_sent && it->needs_second(now)) {
            second_sent = true;
            fibers_.spawn([this, address, it, changed] {
                probe_on_new_connection(address, *it);
                changed->notify();
            });
        }
        changed->wait_until(it->next_at(now), [&] {
            const auto at = daemon_now();
            return fibers_.stopping() || it->verdict(at) ||
                   (!second_sent && it->needs_second(at));
        });
    }
    contacting_.erase(address);
    if (verdict == probe_verdict::gone) {
        on_missed_response(address, true);
    }
    else if (verdict) {
        table_.record_response(address, daemon_now());
        stats_.slow += second_sent && verdict == probe_verdict::alive ? 1 : 0;
        if (verdict == probe_verdict::lost_connection)
            replace_connections(address);
    }
}

void peer_mesh::probe_on_new_connection(const std::string& address,
                                        owner_probe&       it)
{
    const auto client = pool_.create();
    const bool open   = !client->connect(address, it.connect_limit());
    it.connected(open);
    if (!open)
        return;
    const auto body =
        call_on(*client, address, gossip_path,
                encode(make_gossip(), daemon_now()), it.response_deadline());
    it.second_ended(body.has_value(), daemon_now());
}

void peer_mesh::replace_connections(const std::string& address)
{
    ++stats_.reconnected;
    log(log_level::warning, "peer connection unresponsive, reconnecting",
        {{"peer", address}});
    pool_.drop(address);
    for (auto& [id, it] : remote_orders_) {
        if (it->owner != address || !it->client)
            continue;
        it->resend = true;
        it->client->cancel();
    }
}

peer_gossip peer_mesh::make_gossip(bool queues_only)
{
    const auto  now = daemon_now();
    peer_gossip out;
    out.queues_only = queues_only;
    if (queues_only)
        out.members = {table_.self()};
    else
        out.members = table_.entries(now);
    if (!queues_only && table_.large())
        out.candidates = table_.candidates(now);
    for (const auto& it : shards_()) {
        if (owner_of(it) == table_.self().address)
            out.queues[it.key()] = scheduler_.queue(it.key());
    }
    out.limits    = targets_.limits().reports(max_limit_reports, now);
    out.parts     = quarantine_.reports(max_part_reports, now);
    out.lifetimes = quarantine_.lifetime_reports(max_lifetime_reports, now);
    return out;
}

void peer_mesh::apply_gossip(const peer_gossip& it)
{
    const auto now    = daemon_now();
    const auto before = table_.alive(now).size();
    for (auto& address : table_.merge_members(it.members, now))
        fibers_.spawn([this, address] { gossip_with(address); });
    for (const auto& candidate : it.candidates)
        table_.merge(candidate, now);
    for (const auto& [shard, queue] : it.queues)
        record_queue(shard, {queue, now});
    for (const auto& limit : it.limits) {
        if (!table_.resuming(now))
            targets_.limits().merge(limit, now);
    }
    for (const auto& part : it.parts)
        quarantine_.merge(part, now);
    // A message that waited during a pause would show a target as alive later
    // than it was.
    for (const auto& lifetime : it.lifetimes) {
        if (!table_.resuming(now))
            quarantine_.merge(lifetime, now);
    }
    const auto after = table_.alive(now).size();
    if (before != after)
        log(log_level::info, "peers changed",
            {{"alive", after}, {"before", before}});
}

// Queueing times of shards ---------------------------------------------------

void peer_mesh::run_queue_reports()
{
    while (!fibers_.stopping()) {
        const bool owner = send_queue_reports();
        // A daemon without shards checks less often whether it has become an
        // owner.
        fibers_.sleep_until(daemon_now() + (owner ? queue_report_interval
                                                  : 3 * queue_report_interval));
    }
}

/// \return true if this daemon owns a shard of a sharded service.
bool peer_mesh::send_queue_reports()
{
    std::set<std::string> own_services;
    for (const auto& it : shards_()) {
        if (it.key() != it.service && owner_of(it) == table_.self().address)
            own_services.insert(it.service);
    }
    std::set<std::string> recipients;
    for (const auto& it : shards_()) {
        if (own_services.contains(it.service))
            recipients.insert(owner_of(it));
    }
    recipients.erase(table_.self().address);
    for (const auto& it : recipients) {
        // No second report while the previous one is in flight.
        if (!reporting_to_.insert(it).second)
            continue;
        fibers_.spawn([this, it] {
            exchange_reports(it);
            reporting_to_.erase(it);
        });
    }
    return !own_services.empty();
}

void peer_mesh::record_queue(const std::string& shard, const reported_queue& it)
{
    auto& known = queue_reports_[shard];
    if (it.reported_at >= known.reported_at)
        known = it;
}

stage_queue peer_mesh::known_queue(const std::string& shard,
                                   const std::string& owner,
                                   time_point         now) const
{
    if (owner == table_.self().address)
        return scheduler_.queue(shard);
    const auto it = queue_reports_.find(shard);
    if (it == queue_reports_.end() ||
        now - it->second.reported_at > queue_report_lifetime)
        return {};
    return it->second.queue;
}

std::vector<const stage_shard*>
peer_mesh::shards_of(const std::string&            service,
                     std::vector<shard_candidate>& candidates) const
{
    const auto                      now = daemon_now();
    std::vector<const stage_shard*> out;
    for (const auto& it : shards_()) {
        if (it.service != service)
            continue;
        out.push_back(&it);
        candidates.push_back(
            {it.failure_domain, known_queue(it.key(), owner_of(it), now)});
    }
    return out;
}

/// \return null if the service is unknown.
const stage_shard* peer_mesh::shard_for(const stage_order& order) const
{
    std::vector<shard_candidate> candidates;
    auto                         list = shards_of(order.service, candidates);
    if (order.permitted_domains) {
        for (auto n = list.size(); n-- > 0;) {
            if (order.permitted_domains->contains(list[n]->failure_domain))
                continue;
            const auto at = static_cast<std::ptrdiff_t>(n);
            list.erase(list.begin() + at);
            candidates.erase(candidates.begin() + at);
        }
    }
    if (list.empty())
        return nullptr;
    shard_preference preference;
    preference.failure_domain = order.group.failure_domain;
    preference.input_bytes    = order.cross_domain_bytes;
    preference.own_domain     = table_.self().failure_domain;
    preference.on_time        = order.group.goal > daemon_now();
    preference.large_results  = order.group.result_bytes >= large_result_bytes;
    preference.lot            = next_id_;
    return list[choose_shard(candidates, preference)];
}

/// Queueing times of the other shards of the order's service, as far as known.
std::map<std::string, reported_queue>
peer_mesh::other_queues(const stage_order& order) const
{
    std::map<std::string, reported_queue> out;
    if (order.shard.empty())
        return out;
    const auto now = daemon_now();
    for (const auto& it : shards_()) {
        const auto key = it.key();
        if (it.service != order.service || key == order.shard)
            continue;
        const auto known = queue_reports_.find(key);
        if (owner_of(it) == table_.self().address)
            out[key] = {scheduler_.queue(key), now};
        else if (known != queue_reports_.end() &&
                 now - known->second.reported_at < queue_report_lifetime)
            out[key] = known->second;
    }
    return out;
}

void peer_mesh::on_missed_response(const std::string& address, bool certain)
{
    if (!table_.record_missed_response(address, certain, daemon_now()))
        return;
    ++stats_.suspected;
    log(log_level::warning, "peer does not respond", {{"peer", address}});
    pool_.drop(address);
    for (auto& [id, it] : remote_orders_) {
        if (it->owner == address && it->client)
            it->client->cancel();
    }
}

std::optional<std::string> peer_mesh::call(const std::string& address,
                                           const char* path, std::string body,
                                           milliseconds  timeout,
                                           http_client** in_use)
{
    const auto deadline = daemon_now() + timeout;
    auto       client   = pool_.take(address);
    if (!client) {
        client = pool_.create();
        if (client->connect(address, std::min(connect_timeout, timeout)))
            return std::nullopt;
    }
    if (in_use)
        *in_use = client.get();
    auto out = call_on(*client, address, path, std::move(body), deadline);
    if (in_use)
        *in_use = nullptr;
    if (out)
        pool_.put(address, std::move(client));
    return out;
}

std::optional<std::string>
peer_mesh::call_on(http_client& client, const std::string& address,
                   const char* path, std::string body, time_point deadline)
{
    const fiber_group::use use(fibers_, client);
    http_request           request(http::verb::post, path, 11);
    request.set(http::field::host, address);
    request.body() = std::move(body);
    request.prepare_payload();
    auto                   ec = client.send(request, remaining_until(deadline));
    std::string            out;
    const std::string_view to(path);
    if (!ec)
        out = client.read_all(remaining_until(deadline), ec,
                              to == state_path || to == changes_path
                                  ? http_client::max_body_bytes
                                  : max_message_bytes);
    if (ec || client.head().result() != http::status::ok)
        return std::nullopt;
    return out;
}

// Orders ---------------------------------------------------------------------

std::shared_ptr<stage_ticket>
peer_mesh::submit(stage_order order, std::shared_ptr<fiber_signal> changed)
{
    const auto  now   = daemon_now();
    const auto* shard = shard_for(order);
    if (!shard && order.permitted_domains) {
        auto ticket         = std::make_shared<stage_ticket>();
        ticket->state       = order_state::refused;
        ticket->retry_after = no_shard_retry_after;
        ticket->changed     = std::move(changed);
        return ticket;
    }
    if (shard && shard->key() != shard->service) {
        order.shard = shard->key();
        // All targets of a shard are in its failure domain, so the domain of
        // the inputs makes no difference among them.
        order.group.failure_domain = shard->failure_domain;
    }
    const std::string domain = shard ? shard->failure_domain : "";
    const auto        owner  = table_.owner_of(order.pool(), now, domain);
    if (owner == table_.self().address && table_.settled(now))
        return scheduler_.submit(std::move(order), std::move(changed));
    auto it             = std::make_shared<remote_order>();
    it->order           = std::move(order);
    it->failure_domain  = domain;
    it->ticket          = std::make_shared<stage_ticket>();
    it->ticket->changed = std::move(changed);
    it->ticket->id      = next_id_++;
    remote_orders_.emplace(it->ticket->id, it);
    ++stats_.orders_sent;
    if (!std::exchange(watching_owners_, true))
        fibers_.spawn([this] { watch_owners(); });
    fibers_.spawn([this, it] { run_remote(it); });
    return it->ticket;
}

/// Delays an order until the owners are known. A daemon that knows only some of
/// the others would take itself for the owner of too many shards and send small
/// batches, and a call to a target takes long however few pieces it holds.
void peer_mesh::wait_until_settled(const remote_order& it)
{
    constexpr milliseconds poll_interval{20};
    while (!it.withdrawn && !fibers_.stopping() &&
           !table_.settled(daemon_now()))
        fibers_.sleep_until(daemon_now() + poll_interval);
}

void peer_mesh::run_remote(const remote_ptr& it)
{
    wait_until_settled(*it);
    for (int n = 0;
         n < max_owner_attempts && !it->withdrawn && !fibers_.stopping(); ++n)
    {
        it->owner =
            table_.owner_of(it->order.pool(), daemon_now(), it->failure_domain);
        if (it->owner == table_.self().address)
            break;
        auto outcome = send_to_owner(it);
        if (outcome) {
            finish(it, *std::move(outcome));
            return;
        }
        if (it->withdrawn)
            break;
        if (daemon_now() >= it->order.group.limit) {
            stage_outcome late;
            late.state = order_state::late;
            late.queue = known_queue(it->order.pool(), it->owner, daemon_now());
            finish(it, std::move(late));
            return;
        }
        if (std::exchange(it->resend, false))
            continue;
        ++stats_.orders_reassigned;
        log(log_level::warning, "stage order reassigned to another owner",
            {{"request", it->order.source->attempt},
             {"shard", it->order.pool()},
             {"owner", it->owner}});
        on_missed_response(it->owner, true);
    }
    if (fibers_.stopping())
        finish(it, {});
    else if (!it->withdrawn && may_run_locally(*it))
        run_locally(it);
    else if (!it->withdrawn)
        finish(it, {});
    else
        remote_orders_.erase(it->ticket->id);
}

/// In a large fleet, daemons that run orders of their own would fill the
/// targets with small batches. There, a daemon runs an order only if the table
/// names it as the owner, because it knows no other candidate that responds.
bool peer_mesh::may_run_locally(const remote_order& it) const
{
    return !table_.large() ||
           table_.owner_of(it.order.pool(), daemon_now(), it.failure_domain) ==
               table_.self().address;
}

std::optional<stage_outcome> peer_mesh::send_to_owner(const remote_ptr& it)
{
    const auto now  = daemon_now();
    it->sent_at     = now;
    const auto body = call(
        it->owner, order_path, encode(it->order, now),
        remaining_until(it->order.group.limit) + response_margin, &it->client);
    it->sent_at = {};
    if (body)
        table_.record_response(it->owner, daemon_now());
    return body ? decode_outcome(*body, daemon_now()) : std::nullopt;
}

void peer_mesh::run_locally(const remote_ptr& it)
{
    auto changed     = std::make_shared<fiber_signal>();
    it->owner        = table_.self().address;
    it->local_ticket = scheduler_.submit(it->order, changed);
    changed->wait_until(it->order.group.limit + response_margin, [&] {
        return it->withdrawn || it->local_ticket->state != order_state::waiting;
    });
    if (it->local_ticket->state == order_state::waiting)
        scheduler_.withdraw(it->local_ticket);
    const auto state = it->local_ticket->state == order_state::waiting
                           ? order_state::late
                           : it->local_ticket->state;
    finish(it, {state,
                it->local_ticket->handles,
                it->local_ticket->retry_after,
                scheduler_.queue(it->order.pool()),
                {}});
}

void peer_mesh::finish(const remote_ptr& it, stage_outcome outcome)
{
    remote_orders_.erase(it->ticket->id);
    if (it->withdrawn) {
        release(it->order.service, outcome.handles);
        return;
    }
    record_queue(it->order.pool(), {outcome.queue, daemon_now()});
    for (const auto& [shard, report] : outcome.others)
        record_queue(shard, report);
    it->ticket->state       = outcome.state;
    it->ticket->handles     = std::move(outcome.handles);
    it->ticket->retry_after = outcome.retry_after;
    it->ticket->changed->notify();
}

void peer_mesh::withdraw(const std::shared_ptr<stage_ticket>& ticket)
{
    const auto found = remote_orders_.find(ticket->id);
    if (found == remote_orders_.end()) {
        scheduler_.withdraw(ticket);
        return;
    }
    auto it       = found->second;
    it->withdrawn = true;
    if (it->client)
        it->client->cancel();
    if (it->local_ticket)
        it->local_ticket->changed->notify();
}

void peer_mesh::release(const std::string&              service,
                        const std::vector<std::string>& handles)
{
    if (handles.empty())
        return;
    const bool flushing = !pending_releases_.empty();
    for (const auto& it : handles) {
        const auto owner = owner_of_result(service, it);
        if (owner == table_.self().address)
            scheduler_.release(service, {it});
        else
            pending_releases_[owner].push_back(it);
    }
    if (pending_releases_.empty())
        return;
    if (flushing)
        return;
    fibers_.spawn([this] {
        fibers_.sleep_until(daemon_now() + release_delay);
        flush_releases();
    });
}

/// The daemon that ordered a result and accounts for the result memory that it
/// takes.
std::string peer_mesh::owner_of_result(const std::string& service,
                                       const std::string& handle) const
{
    const auto* maker = targets_.find_by_address(
        std::string_view(handle).substr(0, handle.find('/')));
    for (const auto& it : shards_()) {
        if (it.service == service && (!maker || it.holds(*maker)))
            return owner_of(it);
    }
    return table_.self().address;
}

void peer_mesh::flush_releases()
{
    for (auto& [owner, handles] : std::exchange(pending_releases_, {})) {
        fibers_.spawn([this, owner = owner, handles = std::move(handles)] {
            const auto done = call(owner, release_path, encode_release(handles),
                                   release_timeout);
            if (!done)
                scheduler_.release("", handles);
        });
    }
}

stage_queue peer_mesh::queue(const std::string& service) const
{
    std::vector<shard_candidate> candidates;
    if (shards_of(service, candidates).empty())
        return {};
    shard_preference preference;
    preference.own_domain = table_.self().failure_domain;
    return candidates[choose_shard(candidates, preference)].queue;
}

// Requests of other daemons ---------------------------------------------------

void peer_mesh::serve(http_exchange& exchange)
{
    const auto    path = exchange.request().target();
    const auto&   body = exchange.request().body();
    http_response out(http::status::ok, 11);
    if (path == order_path) {
        serve_order(exchange);
        return;
    }
    if (path == state_path) {
        serve_state(exchange);
        return;
    }
    if (path == changes_path) {
        serve_changes(exchange);
        return;
    }
    if (path == gossip_path) {
        if (const auto it = decode_gossip(body, daemon_now())) {
            apply_gossip(*it);
            if (!it->members.empty())
                table_.record_response(it->members.front().address,
                                       daemon_now());
            out.body() = encode(make_gossip(it->queues_only), daemon_now());
            exchange.respond(std::move(out));
            return;
        }
    }
    else if (path == release_path) {
        if (const auto it = decode_release(body)) {
            scheduler_.release("", *it);
            exchange.respond(std::move(out));
            return;
        }
    }
    else if (path == permits_path) {
        if (auto response = permits_.serve(body)) {
            out.body() = *std::move(response);
            exchange.respond(std::move(out));
            return;
        }
    }
    else if (path == trials_path) {
        if (auto response = trials_.serve(body)) {
            out.body() = *std::move(response);
            exchange.respond(std::move(out));
            return;
        }
    }
    else if (path == reach_path) {
        if (report_reach_) {
            out.body() = encode(report_reach_());
            exchange.respond(std::move(out));
            return;
        }
    }
    else if (path == origins_path || path == origin_query_path) {
        auto response = path == origins_path ? origins_.serve_report(body)
                                             : origins_.serve_query(body);
        if (response) {
            out.body() = *std::move(response);
            exchange.respond(std::move(out));
            return;
        }
    }
    log(log_level::warning, "invalid message from a peer",
        {{"path", std::string_view(path.data(), path.size())}});
    out.result(http::status::bad_request);
    exchange.respond(std::move(out));
}

std::optional<state_copy> peer_mesh::fetch_state(const state_revision& revision)
{
    for (const auto& it : table_.random_alive(max_state_queries, daemon_now()))
    {
        const auto body =
            call(it, state_path, encode_state_query(revision), state_timeout);
        auto found = body ? decode_state(*body) : std::nullopt;
        if (found && newer(found->revision, revision))
            return found;
    }
    return std::nullopt;
}

void peer_mesh::serve_state(http_exchange& exchange)
{
    const auto asked = decode_state_query(exchange.request().body());
    const auto now   = daemon_now();
    // Copying the state of a large deployment takes milliseconds, and many
    // daemons may request it at once.
    const bool copy_allowed = now - last_state_copy_ >= state_copy_interval;
    std::optional<state_copy> known;
    if (asked && copy_allowed && copy_state_) {
        known            = copy_state_();
        last_state_copy_ = now;
    }
    http_response out(http::status::ok, 11);
    if (!asked)
        out.result(http::status::bad_request);
    else
        out.body() = encode(
            known && newer(known->revision, *asked) ? *known : state_copy{});
    exchange.respond(std::move(out));
}

std::string peer_mesh::store_reader() const
{
    return table_.owner_of(reader_work, daemon_now(),
                           table_.self().failure_domain);
}

bool peer_mesh::has_reader() const
{
    return table_.large() && daemon_now() >= reader_retry_at_ &&
           store_reader() != table_.self().address;
}

std::optional<relayed_changes>
peer_mesh::fetch_changes(const state_revision& revision)
{
    if (!has_reader())
        return std::nullopt;
    const auto from = store_reader();
    const auto body =
        call(from, changes_path, encode_state_query(revision), changes_timeout);
    auto out = body ? decode_changes(*body) : std::nullopt;
    // A reader whose version has no eras may serve changes of another one.
    if (out && same_history(out->changes.revision, revision)) {
        table_.record_response(from, daemon_now());
        return out;
    }
    reader_retry_at_ = daemon_now() + reader_retry_delay;
    log(log_level::info, "reader gave no changes, reading the store directly",
        {{"reader", from}, {"answered", body.has_value()}});
    if (!body)
        on_missed_response(from, false);
    return std::nullopt;
}

void peer_mesh::serve_changes(http_exchange& exchange)
{
    const auto    asked = decode_state_query(exchange.request().body());
    http_response out(http::status::ok, 11);
    if (!asked)
        out.result(http::status::bad_request);
    else
        out.body() = encode(changes_ ? changes_(*asked) : std::nullopt);
    exchange.respond(std::move(out));
}

void peer_mesh::serve_order(http_exchange& exchange)
{
    auto order = decode_order(exchange.request().body(), daemon_now());
    if (!order) {
        log(log_level::warning, "invalid stage order from a peer");
        exchange.respond(http_response(http::status::bad_request, 11));
        return;
    }
    if (!may_own_) {
        exchange.respond(http_response(http::status::service_unavailable, 11));
        return;
    }
    ++stats_.orders_served;
    const auto limit   = order->group.limit;
    const auto asked   = *order;
    auto       changed = std::make_shared<fiber_signal>();
    bool       gone    = false;
    exchange.on_client_gone([&gone, changed] {
        gone = true;
        changed->notify();
    });
    const auto ticket = scheduler_.submit(*std::move(order), changed);
    serving_.insert(changed.get());
    changed->wait_until(limit + response_margin, [&] {
        return gone || !may_own_ || ticket->state != order_state::waiting;
    });
    serving_.erase(changed.get());
    exchange.on_client_gone(nullptr);
    // The sender turns to the next owner.
    if (!may_own_ && ticket->state == order_state::waiting) {
        scheduler_.withdraw(ticket);
        exchange.respond(http_response(http::status::service_unavailable, 11));
        return;
    }
    if (ticket->state == order_state::waiting) {
        scheduler_.withdraw(ticket);
        ticket->state = order_state::late;
    }
    if (gone) {
        scheduler_.release("", ticket->handles);
        exchange.abort();
        return;
    }
    http_response out(http::status::ok, 11);
    out.body() = encode(
        stage_outcome{ticket->state, ticket->handles, ticket->retry_after,
                      scheduler_.queue(asked.pool()), other_queues(asked)},
        daemon_now());
    exchange.respond(std::move(out));
}

} // namespace arbutusgate::gateway
