/// Schema of the effective document, which results from merging an overlay into
/// the base.
#pragma once

#include "config_schema.hpp"

#include "arbutusgate/deployment.hpp"

#include <string>
#include <vector>

namespace arbutusgate {

/// A pool as it appears in the document, together with its targets.
struct pool_draft : pool_config
{
    std::vector<target_config> replicas; ///< Targets not yet numbered.
};

/// The section `fleet` of the document.
struct fleet_draft
{
    std::vector<slot_config> slots;
    milliseconds             retry_window = limits::retry_window;
};

/// Contents of an effective document, before targets are numbered and slots are
/// sorted.
struct deployment_draft
{
    fleet_draft                  fleet;
    std::vector<pool_draft>      pools;
    std::vector<pipeline_config> pipelines;
    std::vector<account_config>  accounts;
};

/// Schema of the effective document. It lacks the key `open`, which only the
/// base has.
const schema<deployment_draft>& deployment_schema();

/// Keys that the base may list in `open` for overlays to change.
const schema_shape& overlay_shape();

/// Checks the rules that involve several keys. Violations are reported at the
/// position of the key in \p root.
void check_rules(config_reader& reader, const config_node& root,
                 const deployment_draft& draft);

/// Converts the draft: numbers the targets across all pools and sorts the slots
/// by name.
deployment to_deployment(deployment_draft draft);

} // namespace arbutusgate
