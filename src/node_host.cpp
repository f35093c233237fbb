#include "node_host.hpp"

#include "log.hpp"
#include "peer_link.hpp"

#include <utility>

namespace arbutusgate {

namespace {

constexpr auto tick_interval = milliseconds{100};
// The core reports the result of each claim within limits::claim_timeout; the
// additional time allows for a busy machine.
constexpr auto claim_result_timeout = seconds{3};

} // namespace

node_host::node_host(node_host_init init)
    : init_(std::move(init)), core_(init_.node, daemon_now()),
      last_tick_(daemon_now()), thread_([this] { run(); })
{
}

node_host::~node_host()
{
    {
        std::lock_guard lock(mutex_);
        stop_ = true;
    }
    stop_changed_.notify_all();
    thread_.join();
}

void node_host::run()
{
    std::vector<slot_id> last_unreachable;
    for (std::uint32_t last = 0;;) {
        std::uint32_t        daemons = 0;
        std::vector<slot_id> unreachable;
        apply([&](node_core& core, time_point now) {
            core.tick(now);
            ready_      = core.ready(now);
            daemons     = core.alive_count(now);
            unreachable = core.unresponsive_slots(now);
            last_tick_  = now;
        });
        if (init_.on_daemons && daemons != last)
            init_.on_daemons(daemons);
        last = daemons;
        if (init_.on_unreachable && unreachable != last_unreachable)
            init_.on_unreachable(unreachable);
        last_unreachable = std::move(unreachable);
        std::unique_lock lock(mutex_);
        if (stop_changed_.wait_for(lock, tick_interval,
                                   [this] { return stop_; }))
            return;
    }
}

void node_host::deliver(const pb::PeerMessage& message)
{
    apply([&](node_core& core, time_point now) {
        core.on_message(message, now);
    });
}

claim_event node_host::obtain(std::string_view account, std::string_view key,
                              std::uint64_t body_hash)
{
    auto       promise = std::make_shared<claim_promise>();
    auto       result  = promise->get_future();
    const auto claim   = apply([&](node_core& core, time_point now) {
        const auto id = core.begin_claim(account, key, body_hash, now);
        pending_claims_.emplace(id, promise);
        return id;
    });
    if (result.wait_for(claim_result_timeout) ==
        boost::fibers::future_status::ready)
        return result.get();
    log(log_level::error, "no result for a claim before the timeout",
        {{"claim", claim}});
    std::lock_guard lock(mutex_);
    pending_claims_.erase(claim);
    claim_event lost;
    lost.claim = claim;
    return lost;
}

bool node_host::use(std::uint64_t claim)
{
    return apply([=](node_core& core, time_point now) {
        return core.use_claim(claim, now);
    });
}

void node_host::release(std::uint64_t claim)
{
    apply([=](node_core& core, time_point now) {
        core.release_claim(claim, now);
    });
}

void node_host::record(std::uint64_t claim, recorded_answer answer)
{
    apply([&](node_core& core, time_point now) {
        core.record_answer(claim, std::move(answer), now);
    });
}

bool node_host::ready() const
{
    return ready_ && daemon_now() - last_tick_.load() < limits::pause_threshold;
}

void node_host::flush(std::unique_lock<std::mutex>& lock)
{
    const auto messages = core_.take_outgoing();
    auto       events   = core_.take_events();
    lock.unlock();
    for (const auto& it : messages)
        init_.link->send(it.to, *it.message);
    for (auto& event : events)
        std::visit([this](auto& it) { handle(std::move(it)); }, event);
}

void node_host::handle(const claim_event& event)
{
    std::shared_ptr<claim_promise> promise;
    {
        std::lock_guard lock(mutex_);
        const auto      it = pending_claims_.find(event.claim);
        if (it == pending_claims_.end())
            return;
        promise = std::move(it->second);
        pending_claims_.erase(it);
    }
    promise->set_value(event);
}

void node_host::handle(config_event event)
{
    if (init_.on_config)
        init_.on_config(std::move(event));
}

void node_host::handle(const target_leaving_event& event)
{
    if (init_.on_leaving)
        init_.on_leaving(event.target);
}

void node_host::handle(const target_limit_event& event)
{
    if (init_.on_limit)
        init_.on_limit(event);
}

void node_host::handle(const config_conflict_event& event)
{
    log(log_level::error,
        "a peer has different documents for this configuration version",
        {{"version", event.version}, {"slot", event.peer.idx}});
}

} // namespace arbutusgate
