/// Interface for sending messages to the other daemons.
#pragma once

#include "arbutusgate/types.hpp"

namespace arbutusgate {

namespace pb {
class PeerMessage;
}

/// Thread-safe. Messages may be lost without an error.
class peer_link
{
public:
    virtual ~peer_link() = default;

    virtual void send(slot_id to, const pb::PeerMessage& message) = 0;
};

} // namespace arbutusgate
