/// Executes the pieces of stage orders: batches them into calls to targets and
/// passes the results to the waiting requests.
#pragma once

#include "call_permit.hpp"
#include "reuse_check.hpp"
#include "stage_batcher.hpp"
#include "stage_service.hpp"
#include "stage_shards.hpp"
#include "wire_codec.hpp"

#include "fiber_group.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

class permit_source;
class state_follower;
class target_connections;
class target_directory;

/// Dependencies of a stage scheduler; all outlive it.
struct stage_scheduler_init
{
    boost::asio::io_context& io;
    const wire_codec&        codec;
    state_follower&          state;
    target_directory&        targets;
    target_connections&      connections;
};

/// Counts since start.
struct stage_scheduler_stats
{
    std::uint64_t calls         = 0;
    std::uint64_t pieces        = 0;
    std::uint64_t results       = 0;
    std::uint64_t refused_calls = 0;
    std::uint64_t failed_calls  = 0;
    std::uint64_t overdue_calls = 0;
    std::uint64_t duplicates    = 0;
    std::uint64_t unmeetable    = 0; ///< Late orders refused after waiting.
};

/// Belongs to one thread.
class stage_scheduler final : public stage_service
{
public:
    explicit stage_scheduler(stage_scheduler_init init);
    ~stage_scheduler() override = default;

    stage_scheduler(const stage_scheduler&)            = delete;
    stage_scheduler& operator=(const stage_scheduler&) = delete;

    /// Sets the source of permits for limited targets. Without one, they get no
    /// calls.
    void set_permits(permit_source* permits) { permits_ = permits; }

    std::shared_ptr<stage_ticket>
    submit(stage_order order, std::shared_ptr<fiber_signal> changed) override;
    void withdraw(const std::shared_ptr<stage_ticket>& ticket) override;
    /// Ignores the service: a handle contains the address of its target.
    void release(const std::string&              service,
                 const std::vector<std::string>& handles) override;
    /// \param key of a shard, or the name of a service that is not split.
    stage_queue queue(const std::string& key) const override;

    /// Drops what is known of a target that is gone or was restarted.
    void forget(const std::string& target);

    stage_scheduler_stats stats() const { return stats_; }

private:
    struct group_entry
    {
        stage_order                   order;
        std::shared_ptr<stage_ticket> ticket;
        std::vector<std::string>      handles; ///< By piece; empty: no result.
        std::uint32_t                 missing  = 0; ///< Pieces without result.
        std::uint32_t                 failures = 0; ///< Of pieces.
    };

    /// Targets of one shard, with the orders that wait for them.
    struct shard_pool
    {
        shard_pool(stage_shard its_shard, const stage_limits& limits)
            : shard(std::move(its_shard)), batcher(limits)
        {
        }

        stage_shard                                    shard;
        stage_batcher                                  batcher;
        std::unordered_map<std::uint64_t, group_entry> groups;
        std::vector<const target*> targets; ///< Usable ones, cached.
        /// Of the target directory when the targets were cached.
        std::uint64_t generation = 0;
    };

    /// A result that a target holds until it is released.
    struct held_result
    {
        std::string   pool;
        std::string   target;
        std::uint64_t bytes = 0;
    };

    /// Creates the pool if needed and updates its limits.
    /// \return null when no stage service has the key.
    shard_pool* find_pool(const std::string& key);
    /// \return the usable targets of the pool's shard.
    const std::vector<const target*>& targets_of(shard_pool& pool) const;
    /// When a pool's targets may get work, and how many of them by then.
    struct availability
    {
        std::size_t targets = 0;
        time_point  from{};
    };
    /// \return nothing when the pool has no target that may get work.
    std::optional<availability> availability_of(shard_pool& pool,
                                                time_point  now) const;
    /// Starts all calls that the batcher has ready.
    void start_calls(const std::string& key, shard_pool& pool);
    void run_call(const std::string& key, const stage_call& call);
    /// How a call ended.
    enum class call_outcome
    {
        answered,
        target_failed, ///< No usable response.
        not_sent, ///< The target accepts no work or is gone, or an order ended.
    };
    std::vector<piece_result> exchange(const stage_call& call, shard_pool& pool,
                                       call_outcome& outcome);
    /// Number of targets that the calls allowed by their limits keep busy.
    std::size_t busy_targets(const std::vector<const target*>& list,
                             const shard_pool&                 pool) const;
    /// Gets a permit for one call if the target limits them.
    /// \return nothing without a permit.
    std::optional<call_permit> acquire_permit(const target& to,
                                              milliseconds  max_wait);
    bool may_send(const target& to, const call_permit& permit) const;
    /// \return nothing when the order of a piece has ended.
    std::vector<stage_piece> collect_pieces(const stage_call& call,
                                            shard_pool&       pool) const;
    std::vector<piece_outcome>
                  apply_results(const std::string& key, shard_pool& pool,
                                const stage_call&                call,
                                const std::vector<piece_result>& results);
    piece_outcome apply_result(const std::string& key, shard_pool& pool,
                               const stage_call&    call,
                               const batched_piece& piece,
                               const piece_result&  result);
    void finish_order(shard_pool& pool, std::uint64_t group, order_state state);
    /// Refuses late orders that can no longer finish before their limit.
    void       refuse_unmeetable(shard_pool& pool, time_point now);
    void       run_timers();
    time_point check_queues();
    void       flush_releases();
    void       send_release(const target&                   to,
                            const std::vector<std::string>& handles);
    /// Sends the release when the closed or limited target takes a call.
    void defer_release(const target& to, std::vector<std::string> handles);

    stage_scheduler_init init_;
    permit_source*       permits_ = nullptr;
    /// By the key of the shard.
    std::unordered_map<std::string, std::unique_ptr<shard_pool>> pools_;
    /// By handle.
    std::unordered_map<std::string, held_result> held_results_;
    reuse_check                                  reuse_check_;
    using handle_lists =
        std::unordered_map<std::string, std::vector<std::string>>;
    /// Handles to be released, by the address of the target.
    handle_lists releases_;
    /// Handles to be released when their closed or limited target takes a call,
    /// by target.
    handle_lists          deferred_releases_;
    std::uint64_t         next_group_ = 1;
    stage_scheduler_stats stats_;
    time_point            wake_at_{};     ///< When run_timers() wakes next.
    bool                  rearm_ = false; ///< A timer is due before wake_at_.
    fiber_group           fibers_;
};

} // namespace arbutusgate::gateway
