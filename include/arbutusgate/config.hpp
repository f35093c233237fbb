/// Limits and default settings of the library.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace arbutusgate::limits {

using namespace std::chrono_literals;

// Claims. A claim is granted by a majority of its voters.
inline constexpr std::uint32_t claim_shards   = 64;
inline constexpr std::size_t   claim_voters   = 5;
inline constexpr std::size_t   claim_majority = 3;
/// Work is not sent under a claim that began longer ago.
inline constexpr auto claim_use_limit = 10s;
inline constexpr auto retry_window    = 120s;
/// A claim is decided by the votes received within this time.
inline constexpr auto claim_timeout = 1s;
inline constexpr auto claim_resend  = 200ms;
/// Longest time from a caller sending its last retry, at the end of the retry
/// window, to the last grant of its claim: request_read, a pause below
/// pause_threshold, claim_timeout and 2 s of transit.
inline constexpr auto        claim_settle_margin = 15s;
inline constexpr std::size_t claim_store_entries = 200'000;
/// Total bytes of the recorded response bodies in one claim store.
inline constexpr std::size_t claim_answer_bytes = 16 * 1024 * 1024;
/// Claims that a recovering voter reads are sent in parts of about this size.
inline constexpr std::size_t recover_part_bytes = 256 * 1024;
/// Releases, recorded responses and hand-offs are resent for this long.
inline constexpr auto claim_delivery_timeout = 10s;
/// Bytes; a larger response body is not recorded.
inline constexpr std::size_t max_recorded_body = 64 * 1024;

// Membership and gossip.
inline constexpr auto gossip_interval = 1s;
/// Added to gossip_interval for each slot in fleets of more than direct_links
/// slots, because messages grow with the fleet: with 360 daemons, the
/// controller of a pool needs 0.3 of its 4 KB/s.
inline constexpr auto        gossip_interval_per_slot = 500us;
inline constexpr std::size_t gossip_fanout            = 2;
/// Largest fleet, in slots, in which each daemon may connect to every other
/// one; a link takes 174 KB of memory at both ends. Larger fleets relay
/// messages (src/relay_grid.hpp).
inline constexpr std::size_t direct_links = 48;
/// Gossip peers are taken from a window over the list of peers. The window
/// moves slowly, since each new link costs memory and a handshake.
inline constexpr std::size_t gossip_window      = 16;
inline constexpr std::size_t gossip_window_step = 2; // per pass
inline constexpr std::size_t gossip_entries     = 8;
/// A daemon without a new heartbeat for this time counts as suspect. The time
/// grows with the fleet: a heartbeat reaches 9 daemons within 5 s and 360
/// within 10 s. With 10 s for every fleet, a small fleet had too little of the
/// 17 s of config_in_force left.
inline constexpr auto member_suspect          = 5s;
inline constexpr auto member_suspect_per_slot = 14ms;
inline constexpr auto member_dead = 15s; // plus member_suspect_per_slot
/// A longer gap between two readings of the clock counts as a pause of the
/// process.
inline constexpr auto pause_threshold = 2s;
/// Calls are refused for this time after a pause: they may have waited in
/// socket buffers meanwhile, and their age is unknown.
inline constexpr auto pause_hold = 1s;
/// Peers that a daemon contacts at once with a change or after a pause.
inline constexpr std::size_t hello_fanout = 8;

// Configuration.
inline constexpr std::size_t config_value_size = 1024 * 1024; // bytes
/// Time within which a published configuration is in force at all daemons.
inline constexpr auto config_in_force = 17s;
/// A daemon reads the configuration from the store itself when neither a read
/// nor a peer's digest has confirmed its own for this long.
inline constexpr auto config_confirmation_validity = 10s;
/// A new process asks this many daemons, itself included, for their version and
/// needs replies of a majority.
inline constexpr std::size_t config_sample = 9;

// Targets.
/// A target that was marked as leaving gets no new work after this time.
inline constexpr auto leaving_bound = 5s;
/// Daemons remember for this long that a target is leaving.
inline constexpr auto        leaving_retention   = 300s;
inline constexpr std::size_t max_leaving_entries = 256;
inline constexpr std::size_t max_leaving_sent    = 32; // newest; per message
/// Limits of targets on their calls in one message.
inline constexpr std::size_t max_limits_sent = 8;
/// Reports on prompts that crash targets in one message.
inline constexpr std::size_t max_prompt_reports_sent = 8;

// Commands to engines.
inline constexpr auto command_poll = 5s;
/// At most one in this many engines of a pool, but at least one engine, loads
/// at a time, since an engine refuses work while it loads.
inline constexpr std::size_t command_loading_divisor = 4;
/// Delay before the next command to an engine that reverted one: none after the
/// first reversion, this after the second, then doubled up to the maximum.
inline constexpr auto min_command_backoff = 5s;
inline constexpr auto max_command_backoff = 300s;
/// The reversions of an engine are forgotten once it has kept its commanded
/// state for this long.
inline constexpr auto command_stable_time = 300s;

/// Connections that were idle for longer are not reused: the network may have
/// dropped them unnoticed.
inline constexpr auto connection_idle = 10s;

// Streams. By the users' protocol, a caller leaves when it receives nothing for
// the longest of these: a fixed time, a multiple of the route's latency goal,
// and a multiple of its gap goal.
inline constexpr std::chrono::milliseconds stream_caller_timeout        = 2s;
inline constexpr int                       stream_timeout_latency_goals = 4;
inline constexpr int                       stream_timeout_gap_goals     = 8;

/// Most pieces of one stage of a request. Each piece takes memory at its owner;
/// a call to a target carries about 100 of them.
inline constexpr std::uint32_t max_stage_pieces = 4096;

/// How long a daemon remembers at which software a stream began. Streams last
/// seconds to a minute.
inline constexpr auto stream_origin_retention = 60s;
/// Records of one daemon; 64 bytes each.
inline constexpr std::size_t max_stream_origins = 32'768;
/// A stream without a record counts as younger. The store of the platform keeps
/// a history of 20 s, of which up to two heartbeats of the targets are lost.
inline constexpr std::chrono::milliseconds max_unrecorded_stream_age = 16s;

// Requests.
inline constexpr std::size_t request_body = 1024 * 1024; // bytes
/// Memory of all response bodies of targets that an I/O thread reads or passes
/// on. A machine has 160 MB.
inline constexpr std::size_t body_memory = 32 * 1024 * 1024;
/// A body up to this size is not counted, so that small responses do not fail
/// when large ones take all memory.
inline constexpr std::size_t unreserved_body = 16 * 1024; // bytes
inline constexpr std::size_t request_header  = 16 * 1024; // bytes
/// Bytes; Beast throws an exception for a header field of 64 KiB.
inline constexpr std::size_t   max_header_field = 60'000;
inline constexpr auto          request_read     = 10s;
inline constexpr std::size_t   idempotency_key  = 200; // bytes
inline constexpr std::uint32_t request_retries  = 2;
inline constexpr double        pool_retry_ratio = 0.1;
inline constexpr double        pool_retry_burst = 5; // per pool and daemon

} // namespace arbutusgate::limits
