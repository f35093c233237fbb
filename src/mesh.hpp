/// Connections between daemons: ZeroMQ with CURVE, one protobuf message a
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

/// Start values of a mesh.
struct mesh_init
{
    std::string listen; ///< "IP:port"
    peer_keys   keys;
    /// Runs on the mesh's thread for each message of a known peer.
    std::function<void(const pb::PeerMessage&)> on_message;
};

/// Counts since start.
struct mesh_stats
{
    std::uint64_t sent      = 0;
    std::uint64_t received  = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t bytes_in  = 0;
    std::uint64_t dropped   = 0; ///< No address or full queue.
    std::uint64_t malformed = 0;
    std::uint64_t rejected  = 0; ///< Handshakes with an unknown key.
    std::uint64_t relayed   = 0; ///< Passed on for other daemons.
};

/// Delivers messages at most once and may lose them without notice. One
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
    /// Address after start, "IP:port"; differs from listen for port 0.
    std::string bound_address() const;
    /// Address of the slot's current VM, "IP:port"; replaces an older one.
    void set_peer(slot_id slot, std::string address);
    /// Sets how messages reach slots without a direct link; until then all
    /// links are direct.
    void set_grid(slot_id self, const relay_grid& grid);
    /// Slots that are not to relay, since they are believed dead. Replaces
    /// the earlier list.
    void       set_silent(const std::vector<slot_id>& slots);
    void       send(slot_id to, const pb::PeerMessage& message);
    mesh_stats stats() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace arbutusgate
