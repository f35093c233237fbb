/// Where a request has its stages made.
#pragma once

#include "entry_admission.hpp"
#include "stage_batcher.hpp"
#include "wire_codec.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {
class fiber_signal;
}

namespace arbutusgate::gateway {

/// All pieces of one stage of one call.
struct stage_order
{
    std::string service;
    std::string shard; ///< Key of the part of the service; empty: all of it.
    piece_group group; ///< Its id is set by the receiver.
    std::shared_ptr<const stage_source> source;
    /// Bytes that cross failure domains when it is made in another one than
    /// the group's.
    std::uint64_t near_bytes = 0;

    const std::string& pool() const { return shard.empty() ? service : shard; }
};

/// How an order stands.
enum class order_state
{
    waiting,
    done,       ///< All pieces have results.
    refused,    ///< Cannot be done in time; nothing was made.
    late,       ///< Its limit passed.
    input_gone, ///< An earlier result no longer exists.
    failed,     ///< Targets gave no result.
};

/// Stable identifier, as in logs and metrics.
std::string_view to_string(order_state it);

/// Filled by the service; read by the fiber that waits.
struct stage_ticket
{
    std::uint64_t                 id    = 0;
    order_state                   state = order_state::waiting;
    std::vector<std::string>      handles;        ///< Of each piece, when done.
    milliseconds                  retry_after{0}; ///< When refused.
    std::shared_ptr<fiber_signal> changed;
};

/// Belongs to one thread.
class stage_service
{
public:
    virtual ~stage_service() = default;

    /// \param changed is notified when the ticket's state changes later.
    virtual std::shared_ptr<stage_ticket>
    submit(stage_order order, std::shared_ptr<fiber_signal> changed) = 0;
    /// The results are not needed any more; made ones are given up.
    virtual void withdraw(const std::shared_ptr<stage_ticket>& ticket) = 0;
    /// Gives up results at their makers, a little later.
    virtual void release(const std::string&              service,
                         const std::vector<std::string>& handles) = 0;
    /// Waits in front of the service, as last known: of the part of it that
    /// such an order would go to.
    virtual stage_queue queue(const std::string& service) const = 0;
};

} // namespace arbutusgate::gateway
