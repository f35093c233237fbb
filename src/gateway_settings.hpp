/// Settings of one gateway daemon, read from its YAML file.
#pragma once

#include "arbutusgate/types.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// Times and shares that operators promise or allow.
struct gateway_bounds
{
    milliseconds drain_grace{8000};     ///< From SIGTERM to SIGKILL.
    milliseconds config_in_force{2000}; ///< From the store's ack.
    milliseconds target_drain{2000}; ///< Until a leaving target gets no work.
    double       retry_ratio = 0.2;  ///< Repeats for each request.
    milliseconds retry_window{10'000};
    double       retry_slack = 0; ///< Repeats in a window, of all daemons.
};

/// Addresses are "IP:port".
struct gateway_settings
{
    std::string              node;
    std::string              failure_domain;
    std::string              listen;  ///< Callers.
    std::string              ready;   ///< Readiness checks.
    std::string              peer;    ///< Other daemons.
    std::string              metrics; ///< Counters and histograms.
    std::string              store;   ///< Published state.
    std::vector<std::string> seeds;   ///< Peers that may be known at start.
    std::string              ready_path      = "/readyz";
    std::uint32_t            max_descriptors = 1024;
    double                   processor_share = 1; ///< Of a core.
    std::string              log_level       = "info";
    gateway_bounds           bounds;
};

/// Checks the text of a settings file.
/// \param name stands before line and column of each error.
/// \return InvalidArgument with one line for each error.
absl::StatusOr<gateway_settings>
parse_gateway_settings(const std::string& text, const std::string& name);

/// Reads and checks a settings file.
/// \return errors of parse_gateway_settings; NotFound or DataLoss when the
/// file cannot be read.
absl::StatusOr<gateway_settings> load_gateway_settings(const std::string& path);

} // namespace arbutusgate::gateway
