/// Interface through which a request has its stages executed.
#pragma once

#include "entry_admission.hpp"
#include "stage_batcher.hpp"
#include "wire_codec.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {
class fiber_signal;
}

namespace arbutusgate::gateway {

/// All pieces of one stage of one request.
struct stage_order
{
    std::string service;
    /// Key of the shard of the service; empty: the service is not split.
    std::string shard;
    piece_group group; ///< Its id is assigned by the receiver.
    std::shared_ptr<const stage_source> source;
    /// Input bytes that cross failure domains when the order runs in another
    /// domain than the group's.
    std::uint64_t cross_domain_bytes = 0;
    /// Failure domains whose targets may execute it; unset: all.
    std::optional<std::set<std::string>> permitted_domains{};

    /// \return key of the pool of targets that executes the order.
    const std::string& pool() const { return shard.empty() ? service : shard; }
};

/// State of an order.
enum class order_state
{
    waiting,
    done,       ///< All pieces have results.
    refused,    ///< Cannot finish in time; it has no results.
    late,       ///< Its time limit passed.
    input_gone, ///< A result that it needs as input no longer exists.
    failed,     ///< The targets returned no result, or it was withdrawn.
};

/// \return the stable name used in logs and metrics.
std::string_view to_string(order_state state);

/// Handle of a submitted order. The service updates it; the fiber that waits
/// for the order reads it.
struct stage_ticket
{
    std::uint64_t            id    = 0;
    order_state              state = order_state::waiting;
    std::vector<std::string> handles; ///< Of each piece's result, when done.
    milliseconds             retry_after{0}; ///< Set when refused.
    std::shared_ptr<fiber_signal> changed;   ///< Notified on a new state.
};

/// Belongs to one thread.
class stage_service
{
public:
    virtual ~stage_service() = default;

    /// \param changed is notified when the ticket's state changes later.
    virtual std::shared_ptr<stage_ticket>
    submit(stage_order order, std::shared_ptr<fiber_signal> changed) = 0;
    /// Cancels the order; results that exist already are released.
    virtual void withdraw(const std::shared_ptr<stage_ticket>& ticket) = 0;
    /// Releases results at the targets that hold them, after a short delay.
    virtual void release(const std::string&              service,
                         const std::vector<std::string>& handles) = 0;
    /// \return last known queueing delays of the shard that an order for the
    /// service would go to.
    virtual stage_queue queue(const std::string& service) const = 0;
};

} // namespace arbutusgate::gateway
