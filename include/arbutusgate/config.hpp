/// Limits and defaults of the library, with their units.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace arbutusgate::limits {

using namespace std::chrono_literals;

// Claims.
inline constexpr std::uint32_t claim_shards    = 64;
inline constexpr std::size_t   claim_voters    = 5;
inline constexpr std::size_t   claim_majority  = 3;
inline constexpr auto          claim_use_limit = 10s;
inline constexpr auto          retry_window    = 120s;
inline constexpr auto          claim_timeout   = 1s;
inline constexpr auto          claim_resend    = 200ms;
/// Time that a caller's call may take from its sending at the end of the
/// retry window to the last grant of its claim: request_read, a pause below
/// pause_threshold, claim_timeout and 2 s of transit.
inline constexpr auto        claim_settle_margin = 15s;
inline constexpr std::size_t claim_store_entries = 200'000;
inline constexpr std::size_t claim_answer_bytes  = 16 * 1024 * 1024;
inline constexpr std::size_t recover_part_bytes  = 256 * 1024;
/// Releases, records and hand-offs are resent this long.
inline constexpr auto        claim_delivery = 10s;
inline constexpr std::size_t recorded_body  = 64 * 1024; // bytes

// Membership and gossip.
inline constexpr auto gossip_interval = 1s;
/// Added in fleets of more than direct_links slots: the messages grow with the
/// fleet, and at 360 the controller of a pool needs 0.3 of its 4 KB/s.
inline constexpr auto        gossip_interval_per_slot = 500us;
inline constexpr std::size_t gossip_fanout            = 2;
/// Slots up to which each daemon may have a link to each other one; a link
/// takes 174 KB of both ends. Larger fleets relay (src/relay_grid.hpp).
inline constexpr std::size_t direct_links = 48;
/// Peers are taken from a window that moves slowly, since each link costs
/// memory and a handshake.
inline constexpr std::size_t gossip_window      = 16;
inline constexpr std::size_t gossip_window_step = 2; // per pass
inline constexpr std::size_t gossip_entries     = 8;
/// A heartbeat reaches 9 daemons within 5 s and 360 within 10 s; a constant
/// of 10 s left a small fleet too little of the 17 s for a configuration.
inline constexpr auto member_suspect          = 5s;
inline constexpr auto member_suspect_per_slot = 14ms;
inline constexpr auto member_dead             = 15s; // and 14 ms a slot
inline constexpr auto pause_threshold         = 2s;
/// Calls that waited in socket buffers during a pause are refused for this
/// time after it; their age is unknown.
inline constexpr auto        pause_hold   = 1s;
inline constexpr std::size_t hello_fanout = 8;

// Configuration.
inline constexpr std::size_t config_value_size = 1024 * 1024; // bytes
inline constexpr auto        config_in_force   = 17s;
inline constexpr auto        config_self_read  = 10s;
inline constexpr std::size_t config_sample     = 9;

// Targets.
inline constexpr auto        leaving_bound   = 5s;
inline constexpr auto        leaving_kept    = 300s;
inline constexpr std::size_t leaving_entries = 256;
inline constexpr std::size_t leaving_sent    = 32;

// Commands to engines.
inline constexpr auto command_poll = 5s;
/// An engine refuses work while it loads; a quarter of a pool may load.
inline constexpr std::size_t command_share = 4;
/// From the second reversion of an engine on, and doubled with each one.
inline constexpr auto command_backoff_least = 5s;
inline constexpr auto command_backoff_most  = 300s;
/// An engine that kept its state this long has no earlier reversion.
inline constexpr auto command_kept = 300s;

/// Connections idle for longer may have been dropped on the way unnoticed.
inline constexpr auto connection_idle = 10s;

// Streams. Callers leave when nothing comes for the longest of: this time, so
// many times the route's latency goal, so many times its gap goal (the users'
// protocol).
inline constexpr std::chrono::milliseconds stream_patience       = 2s;
inline constexpr int                       stream_patience_goals = 4;
inline constexpr int                       stream_patience_gaps  = 8;

/// Pieces of one stage of a request. Each takes memory at its owner; targets
/// take some 100 in a call.
inline constexpr std::uint32_t stage_pieces = 4096;

// Requests.
inline constexpr std::size_t   request_body     = 1024 * 1024; // bytes
inline constexpr std::size_t   request_header   = 16 * 1024;   // bytes
inline constexpr auto          request_read     = 10s;
inline constexpr std::size_t   idempotency_key  = 200; // bytes
inline constexpr std::uint32_t request_retries  = 2;
inline constexpr double        pool_retry_ratio = 0.1;
inline constexpr double        pool_retry_burst = 5; // per pool and daemon

} // namespace arbutusgate::limits
