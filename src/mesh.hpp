/// Connections between daemons: ZeroMQ with CURVE, one protobuf message per
/// frame.
#pragma once

#include "arbutusgate/settings.hpp"
#include "arbutusgate/types.hpp"

#include "absl/status/status.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutusgate {

class relay_grid;

namespace pb {
class PeerMessage;
}

/// Parameters of a mesh.
struct mesh_init
{
    std::string listen; ///< "IP:port"
    peer_keys   keys;
    /// Called on the mesh's thread for each message from an authenticated
    /// peer.
    std::function<void(const pb::PeerMessage&)> on_message;
};

/// Counters since start.
struct mesh_stats
{
    std::uint64_t sent      = 0;
    std::uint64_t received  = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t bytes_in  = 0;
    std::uint64_t dropped   = 0; ///< No peer address or full queue.
    std::uint64_t malformed = 0;
    std::uint64_t rejected  = 0; ///< Handshakes with an unknown key.
    std::uint64_t relayed   = 0; ///< Forwarded for other daemons.
};

/// Delivers messages at most once and may lose them without an error. One
/// thread owns all sockets; the public functions are thread-safe.
class mesh
{
public:
    explicit mesh(mesh_init init);
    ~mesh();

    mesh(const mesh&)            = delete;
    mesh& operator=(const mesh&) = delete;

    /// \return InvalidArgument for wrong keys, Unavailable when the address
    /// cannot be bound.
    absl::Status start();
    /// Bound address after start, "IP:port"; differs from listen for port 0.
    std::string bound_address() const;
    /// Sets the address of the slot's current VM, "IP:port".
    void set_peer(slot_id slot, std::string address);
    /// Sets the grid that determines the relays to slots without a direct
    /// link. Until this call all messages are sent directly.
    void set_grid(slot_id self, const relay_grid& grid);
    /// Sets the slots that are not used as relays because they are suspect or
    /// dead. Replaces the previous list.
    void       set_excluded_relays(const std::vector<slot_id>& slots);
    void       send(slot_id to, const pb::PeerMessage& message);
    mesh_stats stats() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusgate
