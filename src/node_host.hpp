/// Runs the node core: ticks it periodically, passes messages and events on,
/// and waits for the results of claims.
#pragma once

#include "arbutusgate/node_core.hpp"

#include "claim_service.hpp"
#include "daemon_clock.hpp"

#include <boost/fiber/future/promise.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <type_traits>
#include <unordered_map>
#include <vector>

namespace arbutusgate {

class peer_link;

/// Parameters of a node_host. The functions are called on any thread without
/// locks held and must not block.
struct node_host_init
{
    node_init  node;
    peer_link* link = nullptr; ///< Must outlive the host.
    std::function<void(config_event)>                    on_config;
    std::function<void(const std::string& target)>       on_leaving;
    std::function<void(const target_limit_event& event)> on_limit;
    std::function<void(std::uint32_t daemons)>           on_daemons;
    /// Called when the set of suspect or dead slots has changed.
    std::function<void(const std::vector<slot_id>& slots)> on_unreachable;
};

/// Thread-safe. Owns the tick thread and serializes the calls to the core.
class node_host final : public claim_service
{
public:
    explicit node_host(node_host_init init);
    ~node_host() override;

    node_host(const node_host&)            = delete;
    node_host& operator=(const node_host&) = delete;

    void deliver(const pb::PeerMessage& message);

    claim_event obtain(std::string_view account, std::string_view key,
                       std::uint64_t body_hash) override;
    bool        use(std::uint64_t claim) override;
    void        release(std::uint64_t claim) override;
    void        record(std::uint64_t claim, recorded_answer answer) override;

    /// True when the configuration in force may be served and this process was
    /// not paused recently. Takes no lock.
    bool ready() const;

    /// Calls the action with the core and the current time under the lock, then
    /// sends the resulting messages and handles the events.
    template <class Action>
    auto apply(Action action)
    {
        std::unique_lock lock(mutex_);
        const auto       now = daemon_now();
        if constexpr (std::is_void_v<decltype(action(core_, now))>) {
            action(core_, now);
            flush(lock);
        }
        else {
            auto result = action(core_, now);
            flush(lock);
            return result;
        }
    }

private:
    using claim_promise = boost::fibers::promise<claim_event>;

    void run();
    /// Takes messages and events from the core, releases the lock, then sends
    /// the messages and handles the events.
    void flush(std::unique_lock<std::mutex>& lock);
    void handle(const claim_event& event);
    void handle(config_event event);
    void handle(const target_leaving_event& event);
    void handle(const target_limit_event& event);
    void handle(const config_conflict_event& event);

    node_host_init init_;
    std::mutex     mutex_;
    node_core      core_;
    std::unordered_map<std::uint64_t, std::shared_ptr<claim_promise>>
        pending_claims_;

    std::atomic<bool>                   ready_{false};
    std::atomic<core_clock::time_point> last_tick_;
    std::condition_variable             stop_changed_;
    bool                                stop_ = false;
    std::thread                         thread_;
};

} // namespace arbutusgate
