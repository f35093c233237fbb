#include "arbutusgate/node_guards.hpp"

#include <array>

namespace arbutusgate {

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(node_guard::count)>
    names = {
        "write_once",    "majority",         "newest_incarnation",
        "settled_voter", "recovery_union",   "settle_window",
        "settle_by_all", "settle_margin",    "all_claims",
        "release_token", "tombstone",        "answer_kept",
        "use_limit",     "pause_drop",       "pause_hold",
        "pause_confirm", "gap_limit",        "config_monotonic",
        "config_digest", "fresh_majority",   "fresh_highest",
        "fresh_echo",    "rejected_version", "leaving_gossip",
};

} // namespace

std::string_view to_string(node_guard it)
{
    return names[static_cast<std::size_t>(it)];
}

} // namespace arbutusgate
