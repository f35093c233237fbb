/// Voter side of claims: grants, recovery after a restart, and hand-off when
/// the daemon drains.
#pragma once

#include "node_context.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {

/// Claims of the shards for which this slot votes. A voter grants claims of a
/// shard only when the shard is settled: its claims are recovered, or none can
/// be missing that a caller may still retry.
class claim_store
{
public:
    claim_store(node_context& context, time_point t);

    void tick(time_point t);
    /// Stops grants until enough other voters have replied.
    void on_pause(time_point t);
    /// Restarts recovery under the context's new incarnation.
    void restart(time_point t);

    void on_request(slot_id from, const pb::ClaimRequest& request,
                    time_point t);
    void on_release(slot_id from, const pb::ClaimRelease& release,
                    time_point t);
    void on_record(slot_id from, const pb::ClaimRecord& record, time_point t);
    void on_recover_request(slot_id from, std::uint64_t incarnation,
                            const pb::RecoverRequest& request, time_point t);
    void on_recover_reply(slot_id from, std::uint64_t incarnation,
                          const pb::RecoverReply& reply, time_point t);
    void on_handoff(slot_id from, const pb::ClaimHandoff& handoff,
                    time_point t);
    void on_handoff_ack(slot_id from, const pb::HandoffAck& ack);

    /// Sends all claims to the other voters.
    void begin_drain(time_point t);
    /// True when enough voters have acknowledged the claims, when
    /// limits::claim_delivery_timeout has passed, or without a drain.
    bool handed_off(time_point t) const;
    /// True when every shard of this voter is settled.
    bool settled() const;
    /// True when a shard of this process has been settled at any time.
    bool ever_settled() const { return ever_settled_; }

private:
    struct stored_claim
    {
        std::uint64_t                  body_hash = 0;
        pb::ClaimToken                 token;
        time_point                     granted;
        bool                           released = false;
        std::optional<recorded_answer> answer;
    };

    /// Progress of recovery from another voter.
    struct voter_recovery
    {
        std::uint64_t incarnation = 0;
        time_point    first_reply; ///< Since then it knows this incarnation.
        time_point    last_reply;
        std::uint64_t nonce    = 0;
        bool          complete = false; ///< All its claims were received.
        bool          settled  = false; ///< It was settled when it sent them.
        std::string   after;            ///< Last claim key received.
    };

    enum class shard_state
    {
        recovering,
        confirming, ///< Has its claims, but the process was paused.
        settled,
    };

    struct shard
    {
        std::uint32_t                                    id = 0;
        shard_state                                      state{};
        std::map<std::string, std::vector<stored_claim>> claims;
        std::map<slot_id, voter_recovery>                recoveries;
    };

    struct handoff_part
    {
        pb::ClaimHandoff     message;
        std::vector<slot_id> unacknowledged; ///< By these voters.
        std::size_t          required_acks = 0;
    };

    shard* find(std::uint32_t id);
    /// Number of other voters that recovery, confirmation and hand-off need.
    std::size_t required_voters(const shard& it) const;
    /// \param all Also send to the voters whose claims were received
    /// completely.
    void          request_recovery(shard& it, bool all);
    void          try_settle(shard& it, time_point t);
    bool          recovered(const shard& it, time_point t) const;
    bool          settle_window_passed(const shard& it, time_point t) const;
    std::size_t   confirmations(const shard& it) const;
    bool          is_newest(slot_id slot, const voter_recovery& recovery) const;
    stored_claim* find_token(std::vector<stored_claim>& claims,
                             const pb::ClaimToken&      token);
    void          merge(shard& it, const pb::Claim& claim, time_point t);
    void merge_answer(stored_claim& it, const pb::RecordedAnswer& answer);
    void to_message(const std::string& key, const stored_claim& it,
                    time_point t, pb::Claim& claim) const;
    void add_voters(
        const shard&                                              it,
        google::protobuf::RepeatedPtrField<pb::VoterIncarnation>& voters) const;
    /// Adds claims with keys above \p after, up to limits::recover_part_bytes.
    /// \return true when more remain.
    bool add_claims(const shard& it, const std::string& after, time_point t,
                    google::protobuf::RepeatedPtrField<pb::Claim>& out) const;
    void expire(shard& it, time_point t);
    void send_handoff(time_point t);

    node_context&             context_;
    std::vector<shard>        shards_;
    std::vector<handoff_part> handoff_;
    time_point                recovery_start_;
    time_point                next_recovery_request_;
    time_point                next_handoff_;
    time_point                next_expiry_;
    std::size_t               expiry_shard_ = 0;
    std::optional<time_point> drain_start_;
    std::uint64_t             nonce_        = 1;
    std::size_t               entries_      = 0;
    std::size_t               answer_bytes_ = 0;
    bool                      ever_settled_ = false;
};

} // namespace arbutusgate
