/// Exchanges messages with the other gateway daemons and sends stage orders to
/// the owners of their shards.
#pragma once

#include "connection_pool.hpp"
#include "fleet_origins.hpp"
#include "fleet_permits.hpp"
#include "fleet_trials.hpp"
#include "peer_codec.hpp"
#include "peer_table.hpp"
#include "stage_service.hpp"
#include "stage_shards.hpp"

#include "fiber_group.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusgate {
class http_exchange;
}

namespace arbutusgate::gateway {

class owner_probe;
class stage_scheduler;
class target_directory;

/// Counters since start.
struct peer_mesh_stats
{
    std::uint64_t suspected   = 0; ///< Peers that became suspect.
    std::uint64_t slow        = 0; ///< Probed owners that were alive but slow.
    std::uint64_t reconnected = 0; ///< Owners whose connections were replaced.
    std::uint64_t orders_sent = 0; ///< To other daemons.
    std::uint64_t orders_served = 0; ///< For other daemons.
    std::uint64_t orders_reassigned =
        0;                    ///< Reassigned after their owner failed.
    std::uint64_t rounds = 0; ///< Heartbeats of the periodic loop.
};

/// Must be used from one thread only.
class peer_mesh final : public stage_service
{
public:
    /// \param shards returns the current shards of all stage services.
    /// \param targets, quarantine must outlive the mesh.
    peer_mesh(boost::asio::io_context& io, peer_table table,
              stage_scheduler& scheduler, target_directory& targets,
              part_quarantine&                                 quarantine,
              std::function<const std::vector<stage_shard>&()> shards);
    ~peer_mesh() override;

    peer_mesh(const peer_mesh&)            = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    std::shared_ptr<stage_ticket>
    submit(stage_order order, std::shared_ptr<fiber_signal> changed) override;
    void        withdraw(const std::shared_ptr<stage_ticket>& ticket) override;
    void        release(const std::string&              service,
                        const std::vector<std::string>& handles) override;
    stage_queue queue(const std::string& service) const override;

    /// Requests the published state from other daemons that are alive.
    /// \param revision that this daemon already has.
    /// \return nothing if no daemon responds with newer state.
    std::optional<state_copy> fetch_state(const state_revision& revision);
    /// \param copy returns this daemon's copy of the published state, for the
    /// requests of other daemons.
    void set_state(std::function<std::optional<state_copy>()> copy)
    {
        copy_state_ = std::move(copy);
    }

    /// Requests the changes after the revision from the reader, which is the
    /// daemon that reads the store on behalf of this failure domain.
    /// \return nothing when this daemon has to read the store itself: the fleet
    /// is small, this daemon is the reader, or the reader gave no changes.
    std::optional<relayed_changes>
    fetch_changes(const state_revision& revision);
    /// \param changes returns the changes after a revision as known to this
    /// daemon, for the requests of other daemons.
    void set_changes(
        std::function<std::optional<relayed_changes>(const state_revision&)>
            changes)
    {
        changes_ = std::move(changes);
    }
    /// Whether this daemon currently gets the published state from another one.
    bool has_reader() const;

    /// Permits for calls to targets that limit them.
    fleet_permits&       permits() { return permits_; }
    const fleet_permits& permits() const { return permits_; }
    /// Trials of parts in quarantine.
    fleet_trials& trials() { return trials_; }
    /// Software at which streams began.
    fleet_origins&       origins() { return origins_; }
    const fleet_origins& origins() const { return origins_; }

    /// \param report returns what this daemon says of itself when others ask
    /// whether it reaches targets; it may suspend the fiber.
    void set_reach(std::function<reach_report()> report)
    {
        report_reach_ = std::move(report);
    }
    /// Asks a daemon whether it reaches targets.
    std::optional<reach_report> ask_reach(const std::string& address);
    /// Daemons to ask that: all of a small fleet, some of a large one.
    std::vector<std::string> reach_recipients();
    /// Sets whether this daemon may own shards as far as its links to targets
    /// are concerned. Orders of other daemons are refused while it may not.
    void set_may_own(bool may_own);

    /// Handles an HTTP request of another daemon.
    void serve(http_exchange& exchange);
    /// Announces to the other daemons that this one is shutting down, so that
    /// it loses the ownership of its shards.
    void announce_leaving();
    /// Sets whether this daemon has the configuration and the targets. Only a
    /// daemon that is ready owns shards.
    void set_ready(bool ready);

    void set_seeds(std::vector<std::string> seeds)
    {
        table_.set_seeds(std::move(seeds));
    }

    const peer_table& table() const { return table_; }
    peer_mesh_stats   stats() const { return stats_; }

private:
    /// An order whose shard another daemon owned when it was submitted.
    struct remote_order
    {
        stage_order                   order;
        std::string                   failure_domain; ///< Of the order's shard.
        std::shared_ptr<stage_ticket> ticket;
        std::shared_ptr<stage_ticket>
                     local_ticket;     ///< Set if run by this daemon.
        http_client* client = nullptr; ///< While in use.
        std::string  owner;            ///< Address.
        time_point   sent_at{};        ///< Zero: not in flight.
        bool         withdrawn = false;
        /// The owner is alive, but the order's connection was lost.
        bool resend = false;
    };
    using remote_ptr = std::shared_ptr<remote_order>;

    void                     run_heartbeat();
    void                     run_round();
    std::vector<std::string> unsharded_services() const;
    std::string              owner_of(const stage_shard& it) const;
    /// Reports the queueing times of this daemon's shards periodically to the
    /// owners of the other shards of the same services.
    void run_queue_reports();
    bool send_queue_reports();
    void record_queue(const std::string& shard, const reported_queue& it);
    stage_queue known_queue(const std::string& shard, const std::string& owner,
                            time_point now) const;
    /// The shards of a service; each is added to candidates with its
    /// queueing times.
    std::vector<const stage_shard*>
                       shards_of(const std::string&            service,
                                 std::vector<shard_candidate>& candidates) const;
    const stage_shard* shard_for(const stage_order& order) const;
    std::string        owner_of_result(const std::string& service,
                                       const std::string& handle) const;
    std::map<std::string, reported_queue>
         other_queues(const stage_order& order) const;
    void announce_change();
    /// Applies whether this daemon takes orders. \return true if that has
    /// changed.
    bool update_refusal();
    void on_limit_change(limit_change change, const target_limit& it,
                         target_limits::source from);
    void on_part_news(part_quarantine::source from);
    /// Sends news of limits and parts to other daemons, without waiting for the
    /// next round.
    void spread_reports();
    void start_spreading();
    /// Sends a message without members.
    void exchange_reports(const std::string& address);
    /// Contacts seeds that are not known to be alive, while joining.
    void join();
    void gossip_with(const std::string& address);
    void watch_owners();
    void probe(const std::string& address);
    void probe_on_new_connection(const std::string& address, owner_probe& it);
    /// Closes the connections to an owner and resends its orders on new ones.
    void replace_connections(const std::string& address);
    void flush_releases();
    void wait_until_settled(const remote_order& it);
    void run_remote(const remote_ptr& it);
    /// \return nothing if the owner gave no valid response.
    std::optional<stage_outcome> send_to_owner(const remote_ptr& it);
    bool                         may_run_locally(const remote_order& it) const;
    void                         run_locally(const remote_ptr& it);
    void finish(const remote_ptr& it, stage_outcome outcome);
    /// Sends one message. A response that is too large is discarded.
    /// \param in_use is set to the client while the call is in flight.
    /// \return body of the response if its status is 200.
    std::optional<std::string> call(const std::string& address,
                                    const char* path, std::string body,
                                    milliseconds  timeout,
                                    http_client** in_use = nullptr);
    std::optional<std::string> call_on(http_client&       client,
                                       const std::string& address,
                                       const char* path, std::string body,
                                       time_point deadline);
    void        on_missed_response(const std::string& address, bool certain);
    peer_gossip make_gossip(bool queues_only = false);
    void        apply_gossip(const peer_gossip& it);
    void        serve_order(http_exchange& exchange);
    void        serve_state(http_exchange& exchange);
    void        serve_changes(http_exchange& exchange);
    /// Address of the daemon that reads the store for this failure domain.
    std::string store_reader() const;

    peer_table                                       table_;
    stage_scheduler&                                 scheduler_;
    target_directory&                                targets_;
    part_quarantine&                                 quarantine_;
    std::function<const std::vector<stage_shard>&()> shards_;
    std::function<std::optional<state_copy>()>       copy_state_;
    std::function<std::optional<relayed_changes>(const state_revision&)>
        changes_;
    /// The reader is not queried before this time, because a query failed.
    time_point                            reader_retry_at_{};
    connection_pool                       pool_;
    std::map<std::uint64_t, remote_ptr>   remote_orders_; ///< By ticket id.
    std::map<std::string, reported_queue> queue_reports_; ///< By shard key.
    /// Handles to release, by the address of the owner.
    std::map<std::string, std::vector<std::string>> pending_releases_;
    /// Addresses with a probe or a join message in flight.
    std::set<std::string> contacting_;
    /// Addresses with a queue report in flight.
    std::set<std::string> reporting_to_;
    bool                  watching_owners_ = false; ///< A fiber runs for it.
    std::uint64_t         next_id_;
    peer_mesh_stats       stats_;
    bool                  leaving_ = false;
    bool                  ready_   = false;
    bool                  may_own_ = true;
    /// Of orders of other daemons that are being served.
    std::set<fiber_signal*>       serving_;
    std::function<reach_report()> report_reach_;
    time_point    last_state_copy_{};       ///< When the state was last copied.
    bool          reports_changed_ = false; ///< Since they were last spread.
    bool          spreading_       = false; ///< A fiber runs for it.
    fleet_permits permits_;
    fleet_trials  trials_;
    fleet_origins origins_;
    fiber_group   fibers_;
};

} // namespace arbutusgate::gateway
