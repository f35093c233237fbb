/// Order of the states that a store publishes.
///
/// Failure: a store that is restored from an older copy gives out its latest
/// revisions again, for other changes. A daemon that compares revisions alone
/// takes the older state for the newer one and misses changes.
#pragma once

#include <cstdint>

namespace arbutusgate::gateway {

/// A revision of the published state. Configurations have versions of their
/// own, which never decrease and are compared apart from it.
struct state_revision
{
    std::uint64_t number = 0; ///< Increases with each change within an era.
    /// Increases each time the store is restored from an older copy. 0: not
    /// known, from a store or a daemon whose version has no eras.
    std::uint64_t era = 0;

    state_revision() = default;
    state_revision(std::uint64_t n, std::uint64_t in_era = 0)
        : number(n), era(in_era)
    {
    }

    friend bool operator==(const state_revision&,
                           const state_revision&) = default;
};

/// Whether both belong to one history, so that the changes after the smaller
/// number lead to the larger one.
inline bool same_history(const state_revision& a, const state_revision& b)
{
    return a.era == b.era;
}

/// Whether \p a is of an earlier era than \p b. An unknown era is not earlier
/// than any other one.
inline bool earlier_era(const state_revision& a, const state_revision& b)
{
    return a.era != 0 && a.era < b.era;
}

/// Whether \p a is a later state, which may replace \p b. State of an unknown
/// era cannot be compared with state of a known one and does not replace it:
/// it may precede a restoration.
inline bool newer(const state_revision& a, const state_revision& b)
{
    return a.era != b.era ? a.era > b.era : a.number > b.number;
}

} // namespace arbutusgate::gateway
