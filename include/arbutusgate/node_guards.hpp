/// Names of the node core's safety rules. Tests switch single rules off to
/// show that the fuzzer notices their absence.
#pragma once

#include <bitset>
#include <cstddef>
#include <string_view>

namespace arbutusgate {

/// One safety rule of the node core.
enum class node_guard
{
    write_once,         ///< A voter holds one unreleased claim for each key.
    majority,           ///< A claim needs a majority of grants.
    newest_incarnation, ///< Only the newest process of a voter's slot counts.
    settled_voter,      ///< A voter that has not recovered grants nothing.
    recovery_union,     ///< Recovery takes the other voters' claims over.
    settle_window,      ///< After a loss of memory the retry window passes.
    settle_by_all,      ///< Such settling needs an answer from every voter.
    settle_margin,      ///< It also waits for calls sent at the window's end.
    all_claims,         ///< A competing claim does not replace another one.
    release_token,      ///< A release removes only the claim of its token.
    tombstone,          ///< A claim that arrives after its release is void.
    answer_kept,        ///< A recorded answer is merged into every copy.
    use_limit,          ///< A claim is not used long after it began.
    pause_drop,         ///< Claims are not used after a pause.
    pause_hold,         ///< Calls buffered during a pause are refused.
    pause_confirm,      ///< A peer confirms the configuration after a pause.
    gap_limit,          ///< Clock jumps do not age claims.
    config_monotonic,   ///< An older version is never put in force.
    config_digest,      ///< Documents match their digests.
    fresh_majority,     ///< A fresh process hears a majority first.
    fresh_highest,      ///< It takes no less than the highest version heard.
    fresh_echo,         ///< Only answers to its own questions count.
    rejected_version,   ///< A rejected version is not offered again.
    leaving_gossip,     ///< Leaving targets are passed on.
    count,
};

/// Stable name of a guard, as given to `arbutusgate-fuzz --disable`.
std::string_view to_string(node_guard);

/// Rules in force; all by default.
struct node_guards
{
    std::bitset<static_cast<std::size_t>(node_guard::count)> disabled;

    bool on(node_guard it) const
    {
        return !disabled[static_cast<std::size_t>(it)];
    }
    void disable(node_guard it) { disabled.set(static_cast<std::size_t>(it)); }
};

} // namespace arbutusgate
