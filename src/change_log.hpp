/// Recent changes of the published state, kept for daemons that follow it
/// through this one instead of the store.
///
/// Failure: several hundred daemons each watch the store, which is charged for
/// every call and sends every heartbeat of every target to each of them.
#pragma once

#include "state_reader.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace arbutusgate::gateway {

/// Changes that one daemon relays to another.
struct relayed_changes
{
    /// A configuration among them carries only its document, not yet parsed.
    state_changes changes;
    /// Time since the store last confirmed that there are no further changes.
    milliseconds age{0};
};

/// Belongs to one thread; does no I/O and reads no clock.
class change_log
{
public:
    /// Adds a response of the store, or of a daemon that relays it.
    /// \param after the revision of the request. If it is not the last revision
    /// of the log, changes are missing in between and the log starts anew. So
    /// it does if the response is of another era.
    /// \param confirmed when the store reported that there are no further
    /// changes.
    void append(const state_revision& after, const state_changes& response,
                time_point confirmed);
    /// Returns all changes after a revision.
    /// \return nothing when the log does not reach back to the revision, or
    /// holds changes of another era.
    std::optional<relayed_changes> since(const state_revision& revision,
                                         time_point            now) const;

private:
    struct entry
    {
        std::uint64_t revision = 0; ///< Of the response that contained it.
        state_change  change;
        time_point    confirmed{}; ///< Of that response.
    };

    /// Updates targets_.
    /// \return false for a target whose published fields are the same as
    /// before.
    bool update_targets(const state_change& change, time_point confirmed);

    std::uint64_t     start_ = 0; ///< The log holds all changes after this one.
    state_revision    revision_{}; ///< Last one of the log; number 0: empty.
    time_point        confirmed_{};
    std::deque<entry> entries_;
    struct known_target
    {
        target     value;
        time_point confirmed{}; ///< Of the response that contained it.
    };

    /// Targets as last logged, by id. The store reports an entry as changed
    /// with each heartbeat of its target.
    std::unordered_map<std::string, known_target> targets_;
};

} // namespace arbutusgate::gateway
