/// Collects the messages that the parts of a node core send.
#pragma once

#include "arbutusgate/node_core.hpp"

#include "peer.pb.h"

#include <google/protobuf/arena.h>

#include <utility>
#include <vector>

namespace arbutusgate {

/// A message with the memory of its parts, in one allocation for most.
class arena_message
{
public:
    arena_message()
        : arena_(first_block_, sizeof first_block_),
          message_(
              google::protobuf::Arena::CreateMessage<pb::PeerMessage>(&arena_))
    {
    }

    pb::PeerMessage* get() { return message_; }

private:
    alignas(8) char first_block_[1536];
    google::protobuf::Arena arena_;
    pb::PeerMessage*        message_;
};

/// Messages to the own slot are kept apart; the node core handles them itself.
class message_sink
{
public:
    message_sink(slot_id self, std::uint64_t incarnation)
        : self_(self), incarnation_(incarnation)
    {
    }

    /// \return the new message, with its sender set, for the caller to fill.
    pb::PeerMessage& add(slot_id to)
    {
        const auto memory = std::make_shared<arena_message>();
        auto message = std::shared_ptr<pb::PeerMessage>(memory, memory->get());
        message->set_from_slot(self_.idx);
        message->set_from_incarnation(incarnation_);
        auto& queue = to == self_ ? local_ : outgoing_;
        queue.push_back({to, std::move(message)});
        return *queue.back().message;
    }

    void set_incarnation(std::uint64_t it) { incarnation_ = it; }

    std::vector<outgoing_message> take_outgoing()
    {
        return std::exchange(outgoing_, {});
    }
    std::vector<outgoing_message> take_local()
    {
        return std::exchange(local_, {});
    }

private:
    slot_id                       self_;
    std::uint64_t                 incarnation_;
    std::vector<outgoing_message> outgoing_;
    std::vector<outgoing_message> local_;
};

} // namespace arbutusgate
