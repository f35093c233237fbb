/// Claimant side of claims: request, use, release, and recorded response.
#pragma once

#include "node_context.hpp"

#include <map>
#include <string>
#include <vector>

namespace arbutusgate {

/// Sends the claims that this process began to their voters.
class claim_client
{
public:
    explicit claim_client(node_context& context) : context_(context) {}

    /// \param allowed If false, the claim fails at once as unavailable.
    std::uint64_t begin(std::string_view account, std::string_view key,
                        std::uint64_t body_hash, bool allowed, time_point t);
    bool          use(std::uint64_t id, time_point t);
    void          release(std::uint64_t id, time_point t);
    void record(std::uint64_t id, recorded_answer answer, time_point t);

    void tick(time_point t);
    /// Fails the claims that wait for votes, and forbids the use of granted
    /// ones.
    void on_pause(time_point t);
    void on_reply(slot_id from, std::uint64_t incarnation,
                  const pb::ClaimReply& reply, time_point t);
    void on_ack(slot_id from, const pb::ClaimAck& ack);

    /// True when no claim is pending or granted, and a majority has
    /// acknowledged every release and record.
    bool drained() const;

private:
    enum class phase
    {
        requesting,
        granted,
        releasing,
        recording,
    };

    struct vote
    {
        slot_id                voter;
        std::uint64_t          incarnation = 0;
        pb::ClaimReply::Result result      = pb::ClaimReply::UNSETTLED;
        bool acknowledged = false; ///< The release or record was acknowledged.
    };

    struct claim
    {
        std::string       key;
        std::uint64_t     body_hash = 0;
        phase             current   = phase::requesting;
        time_point        started;
        time_point        finish_started; ///< Start of the release or record.
        time_point        next_send;
        bool              usable = false;
        recorded_answer   answer; ///< To be recorded, or received from a voter.
        bool              answered = false;
        bool              reused   = false;
        std::vector<vote> votes;
    };

    using claim_map = std::map<std::uint64_t, claim>;

    pb::ClaimToken token(std::uint64_t id) const;
    claim*         find(const pb::ClaimToken& token);
    /// True when the vote comes from the newest known process of its slot.
    bool        is_current(const vote& it) const;
    std::size_t majority(const claim& it) const;
    void        send(std::uint64_t id, claim& it, time_point t);
    void decide(std::uint64_t id, claim& it, bool timed_out, time_point t);
    void finish(std::uint64_t id, claim& it, claim_outcome outcome,
                time_point t);
    void begin_release(std::uint64_t id, claim& it, time_point t);
    bool can_discard(const claim& it, time_point t) const;

    node_context& context_;
    claim_map     claims_;
    std::uint64_t last_id_ = 0;
};

} // namespace arbutusgate
