/// Schema of the base document, merged with an overlay.
#pragma once

#include "config_schema.hpp"

#include "arbutusgate/deployment.hpp"

#include <string>
#include <vector>

namespace arbutusgate {

/// A pool as written, with its targets.
struct pool_draft : pool_config
{
    std::vector<target_config> replicas;
};

/// Section `fleet`.
struct fleet_draft
{
    std::vector<slot_config> slots;
    milliseconds             retry_window = limits::retry_window;
};

/// An effective document as written.
struct deployment_draft
{
    fleet_draft                  fleet;
    std::vector<pool_draft>      pools;
    std::vector<pipeline_config> pipelines;
    std::vector<account_config>  accounts;
};

/// Schema of the effective document, without `open`.
const schema<deployment_draft>& deployment_schema();

/// Keys that a base may open to overlays.
const schema_shape& overlay_shape();

/// Rules that concern several keys, each reported at the node of \p root.
void check_rules(config_reader& reader, const config_node& root,
                 const deployment_draft& draft);

/// \return the plain structs, with the targets numbered.
deployment to_deployment(deployment_draft draft);

} // namespace arbutusgate
