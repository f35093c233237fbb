/// Settings of one gateway daemon, parsed from its YAML file.
#pragma once

#include "region_map.hpp"

#include "arbutusgate/types.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// Bounds that operators state for the whole deployment.
struct gateway_bounds
{
    milliseconds drain_grace{8000}; ///< From SIGTERM to SIGKILL.
    /// From the store's acknowledgement of a configuration until all daemons
    /// use it.
    milliseconds config_in_force{2000};
    /// From the announcement of a target that it leaves until it gets no more
    /// work.
    milliseconds target_drain{2000};
    milliseconds target_heartbeat{1200}; ///< Between two entries of a target.
    double       retry_ratio = 0.2;      ///< Retries per request.
    milliseconds retry_window{10'000}; ///< Window in which retries are counted.
    /// Retries per window beyond the ratio, of all daemons together.
    double retry_slack = 0;
};

/// Settings of one daemon. Addresses are "IP:port".
struct gateway_settings
{
    std::string node;
    std::string failure_domain;
    std::string listen;  ///< Listening address for callers.
    std::string ready;   ///< Listening address for readiness checks.
    std::string peer;    ///< Listening address for other daemons.
    std::string metrics; ///< Listening address for metrics.
    /// Address of the store; empty: the state is only learned from peers.
    std::string              store;
    std::vector<std::string> seeds; ///< Peers to contact at start.
    std::string              ready_path      = "/readyz";
    std::uint32_t            max_descriptors = 1024;
    double processor_share = 1; ///< In cores; may be a fraction.
    /// Memory of the machine for this process, in MiB; 0: the default.
    std::uint32_t memory_mb = 0;
    std::string   log_level = "info";
    /// Model targets are chosen by the expected cost of the request, and
    /// reported slowdowns count.
    bool           work_estimates = true;
    gateway_bounds bounds;
    /// Regions of the failure domains; a domain that is not named is in none.
    std::vector<domain_region> regions;
    /// A line for each unknown key of the file, which has no effect: a newer
    /// template may have keys that this version does not know.
    std::vector<std::string> ignored_keys;
};

/// Parses and validates the text of a settings file.
/// \param name file name for error messages, before line and column.
/// \return InvalidArgument with one line per error.
absl::StatusOr<gateway_settings>
parse_gateway_settings(const std::string& text, const std::string& name);

} // namespace arbutusgate::gateway
