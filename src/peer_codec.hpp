/// Protobuf encoding of the messages between gateway daemons.
#pragma once

#include "change_log.hpp"
#include "crash_report.hpp"
#include "origin_source.hpp"
#include "peer_table.hpp"
#include "permit_issuer.hpp"
#include "relay_peers.hpp"
#include "stage_service.hpp"
#include "state_reader.hpp"
#include "stream_origins.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate::pb {
class PartReport;
}

namespace arbutusgate::gateway {

/// Gossip message; the response has the same form.
struct peer_gossip
{
    std::vector<peer> members; ///< The sender is first.
    /// Queueing times of the shards that the sender owns, by shard key.
    std::map<std::string, stage_queue> queues;
    /// Daemons that may own shards; sent only in a large fleet.
    std::vector<peer> candidates;
    bool queues_only = false; ///< The response may omit the members.
    std::vector<target_limit>    limits;
    std::vector<part_report>     parts{};
    std::vector<lifetime_report> lifetimes{};
};

/// Answer to the request of a daemon for the trial of a part.
struct trial_response
{
    bool        granted = false;
    part_report part; ///< As known to the daemon that decided.
};

/// Queueing times of a shard, as reported by its owner.
struct reported_queue
{
    stage_queue queue;
    time_point  reported_at{};
};

/// Outcome of an order at its owner.
struct stage_outcome
{
    order_state              state = order_state::failed;
    std::vector<std::string> handles; ///< Of the results.
    milliseconds             retry_after{0};
    stage_queue              queue; ///< Of the order's shard, after the order.
    /// Queueing times of the service's other shards, by shard key.
    std::map<std::string, reported_queue> others;
};

/// \param now of the sender: times are sent as ages.
std::string encode(const peer_gossip& it, time_point now);
/// \param now of the receiver.
std::optional<peer_gossip> decode_gossip(const std::string& bytes,
                                         time_point         now);

std::string                   encode(const permit_request& it, time_point now);
std::optional<permit_request> decode_permit_request(const std::string& bytes,
                                                    time_point         now);
std::string                   encode(const permit_response& it, time_point now);
std::optional<permit_response> decode_permit_response(const std::string& bytes,
                                                      time_point         now);

/// Also part of the messages of the product's own daemons.
void        encode(const part_report& it, time_point now, pb::PartReport& out);
part_report decode(const pb::PartReport& it, time_point now);

/// Request for the trial of a part.
/// \param it as known to the sender.
std::string encode_trial_request(const part_report& it, time_point now);
std::optional<part_report>    decode_trial_request(const std::string& bytes,
                                                   time_point         now);
std::string                   encode(const trial_response& it, time_point now);
std::optional<trial_response> decode_trial_response(const std::string& bytes,
                                                    time_point         now);

std::string               encode(const state_copy& it);
std::optional<state_copy> decode_state(const std::string& bytes);
/// \param revision that the querying daemon already has.
std::string encode_state_query(const state_revision& revision);
std::optional<state_revision> decode_state_query(const std::string& bytes);

std::string encode(const std::optional<relayed_changes>& it);
/// \return nothing also when the sender does not know the changes.
std::optional<relayed_changes> decode_changes(const std::string& bytes);

/// \param now of the sender: times are sent as the time remaining.
std::string encode(const stage_order& it, time_point now);
/// \param now of the receiver.
std::optional<stage_order> decode_order(const std::string& bytes,
                                        time_point         now);

std::string                  encode(const stage_outcome& it, time_point now);
std::optional<stage_outcome> decode_outcome(const std::string& bytes,
                                            time_point         now);

/// Streams that began at the sender.
struct origin_report
{
    std::vector<stream_origin> origins;
};

/// Answer to the query for the origin of a stream.
struct origin_response
{
    std::optional<std::uint64_t>   software; ///< Unset: there is no record.
    std::vector<software_sighting> served;
    std::optional<time_point>      known_since;
};

std::string                  encode(const origin_report& it, time_point now);
std::optional<origin_report> decode_origin_report(const std::string& bytes,
                                                  time_point         now);
std::string                  encode(const origin_query& it);
std::optional<origin_query>  decode_origin_query(const std::string& bytes);
std::string                  encode(const origin_response& it, time_point now);
std::optional<origin_response> decode_origin_response(const std::string& bytes,
                                                      time_point         now);

std::string                 encode_reach_query();
std::string                 encode(const reach_report& it);
std::optional<reach_report> decode_reach_report(const std::string& bytes);

std::string encode_release(const std::vector<std::string>& handles);
std::optional<std::vector<std::string>>
decode_release(const std::string& bytes);

} // namespace arbutusgate::gateway
