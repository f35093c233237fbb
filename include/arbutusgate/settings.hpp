/// Settings of one daemon, read from its YAML file at start.
#pragma once

#include "arbutusgate/deployment.hpp"
#include "arbutusgate/types.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate {

/// CURVE keys for the connections between daemons, as Z85 text.
struct peer_keys
{
    std::string              public_key;
    std::string              secret_key;
    std::vector<std::string> allowed; ///< Public keys that may connect.
};

/// Where a peer listens before the VM list is known; the list wins.
struct peer_address
{
    std::string slot;
    std::string address; ///< "IP:port".
};

/// Settings of one daemon. Addresses are "IP:port".
struct daemon_settings
{
    std::string               slot; ///< Name in the configuration's slots.
    std::string               site;
    std::string               failure_domain;
    std::string               listen;   ///< Callers.
    std::string               admin;    ///< Operators and metrics.
    std::string               peer;     ///< Other daemons.
    std::string               platform; ///< Configuration service, VM list.
    peer_keys                 keys;
    std::vector<peer_address> peers;
    /// Copy of the configuration's slots, in its order, for a start while the
    /// configuration service is down. Empty: such a start waits for it.
    std::vector<slot_config> slots;
    std::uint32_t            threads   = 2;
    std::string              log_level = "info";
};

/// Checks the text of a settings file.
/// \param name stands before line and column of each error.
/// \return InvalidArgument with one line for each error.
absl::StatusOr<daemon_settings> parse_settings(const std::string& text,
                                               const std::string& name);

/// Reads and checks a settings file.
/// \return errors of parse_settings; NotFound or DataLoss when the file
/// cannot be read.
absl::StatusOr<daemon_settings> load_settings(const std::string& path);

} // namespace arbutusgate
