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

/// Address of a peer until the VM list is known. The list takes precedence.
struct peer_address
{
    std::string slot;
    std::string address; ///< "IP:port".
};

/// Settings of one daemon. Addresses are "IP:port".
struct daemon_settings
{
    std::string               slot; ///< Name of a slot of the configuration.
    std::string               site;
    std::string               failure_domain;
    std::string               listen;   ///< Serves callers.
    std::string               admin;    ///< Serves operators and metrics.
    std::string               peer;     ///< Serves other daemons.
    std::string               platform; ///< Configuration service and VM list.
    peer_keys                 keys;
    std::vector<peer_address> peers;
    /// Copy of the slots of the configuration, in the same order. With it the
    /// daemon can start while the configuration service is down; if it is
    /// empty, the start waits for the service.
    std::vector<slot_config> slots;
    std::uint32_t            threads   = 2;
    std::string              log_level = "info";
};

/// Checks the text of a settings file.
/// \param name precedes the line and column in each error message.
/// \return InvalidArgument with one line for each error.
absl::StatusOr<daemon_settings> parse_settings(const std::string& text,
                                               const std::string& name);

/// Reads and checks a settings file.
/// \return the errors of parse_settings, or NotFound or DataLoss when the file
/// cannot be read.
absl::StatusOr<daemon_settings> load_settings(const std::string& path);

} // namespace arbutusgate
