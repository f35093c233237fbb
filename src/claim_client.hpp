/// Claimant side of claims: asking, use, release, recording.
#pragma once

#include "node_context.hpp"

#include <map>
#include <string>
#include <vector>

namespace arbutusgate {

/// Claims that this process began.
class claim_client
{
public:
    explicit claim_client(node_context& context) : context_(context) {}

    /// \param allowed false: the claim fails at once.
    std::uint64_t begin(std::string_view account, std::string_view key,
                        std::uint64_t body_hash, bool allowed, time_point t);
    bool          use(std::uint64_t id, time_point t);
    void          release(std::uint64_t id, time_point t);
    void record(std::uint64_t id, recorded_answer answer, time_point t);

    void tick(time_point t);
    /// Claims in progress fail; granted ones cannot be used any more.
    void on_pause(time_point t);
    void on_reply(slot_id from, std::uint64_t incarnation,
                  const pb::ClaimReply& reply, time_point t);
    void on_ack(slot_id from, const pb::ClaimAck& ack);

    /// True when no claim is in use and all releases and records are stored.
    bool drained() const;

private:
    enum class phase
    {
        asking,
        granted,
        releasing,
        recording,
    };

    struct vote
    {
        slot_id                voter;
        std::uint64_t          incarnation = 0;
        pb::ClaimReply::Result result      = pb::ClaimReply::UNSETTLED;
        bool                   stored      = false; ///< Of release or record.
    };

    struct claim
    {
        std::string       key;
        std::uint64_t     body_hash = 0;
        phase             current   = phase::asking;
        time_point        begun;
        time_point        ended; ///< When release or record began.
        time_point        next_send;
        bool              usable = false;
        recorded_answer   answer; ///< Own, or the one found.
        bool              answered = false;
        bool              reused   = false;
        std::vector<vote> votes;
    };

    using claim_map = std::map<std::uint64_t, claim>;

    pb::ClaimToken token(std::uint64_t id) const;
    claim*         find(const pb::ClaimToken& token);
    bool           counts(const vote& it) const;
    std::size_t    majority(const claim& it) const;
    void           send(std::uint64_t id, claim& it, time_point t);
    void           decide(std::uint64_t id, claim& it, bool last, time_point t);
    void           finish(std::uint64_t id, claim& it, claim_outcome outcome,
                          time_point t);
    void           begin_release(std::uint64_t id, claim& it, time_point t);
    bool           over(const claim& it, time_point t) const;

    node_context& context_;
    claim_map     claims_;
    std::uint64_t next_ = 0;
};

} // namespace arbutusgate
