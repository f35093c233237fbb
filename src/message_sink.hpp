/// Queue of the messages that the components of a node core send.
#pragma once

#include "arbutusgate/node_core.hpp"

#include "peer.pb.h"

#include <google/protobuf/arena.h>

#include <utility>
#include <vector>

namespace arbutusgate {

/// A message and the arena that holds its fields. A message that fits into the
/// first block takes a single allocation.
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

/// Queues outgoing messages. Messages to the daemon's own slot have a separate
/// queue, which the node core handles itself.
class message_sink
{
public:
    message_sink(slot_id self, std::uint64_t incarnation)
        : self_(self), incarnation_(incarnation)
    {
    }

    /// Adds a message with its sender set.
    /// \return the message, for the caller to fill.
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
