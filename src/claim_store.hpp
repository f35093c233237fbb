/// Voter side of claims: grants, recovery, settling, hand-off.
#pragma once

#include "node_context.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {

/// Claims of the shards for which this slot votes.
class claim_store
{
public:
    claim_store(node_context& context, time_point t);

    void tick(time_point t);
    /// Shards grant again after a majority of the other voters answered.
    void on_pause(time_point t);
    /// Begins recovery anew under the context's new incarnation.
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

    void begin_drain(time_point t);
    bool handed_off(time_point t) const;
    /// True when every shard of this voter grants.
    bool settled() const;
    /// True when some shard of this process has ever granted.
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

    /// What another voter answered to this process.
    struct voter_answer
    {
        std::uint64_t incarnation = 0;
        time_point    first; ///< It knows this incarnation since then.
        time_point    last;
        std::uint64_t nonce    = 0;
        bool          complete = false; ///< All its claims are here.
        bool          settled  = false; ///< They come from a settled voter.
        std::string   after;
    };

    enum class shard_state
    {
        recovering,
        confirming, ///< Has its memory, but was paused.
        settled,
    };

    struct shard
    {
        std::uint32_t                                    id = 0;
        shard_state                                      state{};
        std::map<std::string, std::vector<stored_claim>> claims;
        std::map<slot_id, voter_answer>                  answers;
    };

    struct handoff_part
    {
        pb::ClaimHandoff     message;
        std::vector<slot_id> open; ///< Voters that have not confirmed it.
        std::size_t          wanted = 0;
    };

    shard*        find(std::uint32_t id);
    std::size_t   majority_of_others(const shard& it) const;
    void          ask(shard& it, bool all);
    void          try_settle(shard& it, time_point t);
    bool          recovered(const shard& it, time_point t) const;
    bool          window_passed(const shard& it, time_point t) const;
    std::size_t   confirmations(const shard& it) const;
    bool          is_newest(slot_id slot, const voter_answer& answer) const;
    stored_claim* find_token(std::vector<stored_claim>& claims,
                             const pb::ClaimToken&      token);
    void          merge(shard& it, const pb::Claim& claim, time_point t);
    void merge_answer(stored_claim& it, const pb::RecordedAnswer& answer);
    void to_message(const std::string& key, const stored_claim& it,
                    time_point t, pb::Claim& claim) const;
    void add_voters(
        const shard&                                              it,
        google::protobuf::RepeatedPtrField<pb::VoterIncarnation>& voters) const;
    bool add_claims(const shard& it, const std::string& after, time_point t,
                    google::protobuf::RepeatedPtrField<pb::Claim>& out) const;
    void expire(shard& it, time_point t);
    void send_handoff(time_point t);

    node_context&             context_;
    std::vector<shard>        shards_;
    std::vector<handoff_part> handoff_;
    time_point                start_;
    time_point                next_ask_;
    time_point                next_handoff_;
    time_point                next_expiry_;
    std::size_t               expiry_shard_ = 0;
    std::optional<time_point> drain_;
    std::uint64_t             nonce_        = 1;
    std::size_t               entries_      = 0;
    std::size_t               answer_bytes_ = 0;
    bool                      ever_settled_ = false;
};

} // namespace arbutusgate
