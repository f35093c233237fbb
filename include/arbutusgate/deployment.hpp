/// Effective configuration of one site as plain structs. The configuration
/// module creates it; the policy and the daemon read it.
#pragma once

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Kind of work that a stage does. It selects the protocol of the targets.
enum class stage_kind
{
    encode,
    retrieve,
    rerank,
    generate, ///< Model engine that streams completions.
    service,  ///< Any other service.
};

/// One replica that runs the work of stages.
struct target_config
{
    std::string name;    ///< Unique in the deployment.
    std::string address; ///< "IP:port".
    std::string failure_domain;
    pool_id     pool;
};

/// Phases of text generation that an engine runs.
enum class engine_role
{
    mixed,
    prefill,
    decode,
};

/// Name of the role in the configuration and in the protocol of the engines.
std::string_view to_string(engine_role);

/// Desired state of the engines of a pool. If a text is empty, the engine
/// chooses the value.
struct engine_config
{
    std::string              model;
    std::string              version;
    std::vector<std::string> adapters; ///< In the order of the document.
    engine_role              role = engine_role::mixed;

    bool operator==(const engine_config&) const = default;
};

/// A set of interchangeable targets that run the work of a stage.
struct pool_config
{
    std::string            name;
    stage_kind             kind = stage_kind::service;
    std::vector<target_id> targets;
    std::uint32_t slots_per_target = 8; ///< Calls that a target runs at a time.
    /// Targets are chosen by the prefix of the prompt, so that their prompt
    /// caches are reused.
    bool prefix_affinity = false;
    /// The targets reject an order with an outdated fencing number.
    bool checks_fencing = false;
    /// If absent, the engines of the pool get no commands.
    std::optional<engine_config> engine;
};

/// One step of a pipeline.
struct stage_config
{
    std::string name;
    pool_id     pool;
    stage_kind  kind       = stage_kind::service;
    bool        idempotent = true;
    /// Expected service time until one has been measured.
    milliseconds expected{100};
    /// Cost units per call; per 1,000 tokens for generate stages.
    double cost = 1.0;
    /// Model name for generate stages.
    std::string   model;
    std::uint32_t max_tokens = 0;
};

/// A sequence of stages with a common deadline.
struct pipeline_config
{
    std::string               name;
    milliseconds              deadline{6000};
    std::vector<stage_config> stages;
    /// When a pool is full, requests with a larger value run first.
    std::int32_t  priority = 0;
    std::uint32_t retries  = limits::request_retries;

    /// True when at least one stage must not be run again.
    bool has_non_idempotent() const
    {
        for (const auto& it : stages) {
            if (!it.idempotent)
                return true;
        }
        return false;
    }
};

/// One client account.
struct account_config
{
    std::string name;
    std::string key; ///< Sent by the client as a bearer token.
    /// Relative share of cost that the account gets when a pool is full.
    double                   weight = 1.0;
    std::vector<pipeline_id> pipelines; ///< Empty if all are allowed.
};

/// A position in the fleet that one VM at a time occupies. The slot stays when
/// its VM is replaced.
struct slot_config
{
    std::string name;
    std::string failure_domain;

    bool operator==(const slot_config&) const = default;
};

/// Effective configuration of one site.
struct deployment
{
    std::uint64_t                version = 0;
    std::string                  site;
    std::vector<pool_config>     pools;
    std::vector<target_config>   targets;
    std::vector<pipeline_config> pipelines;
    std::vector<account_config>  accounts;
    std::vector<slot_config>     slots;
    milliseconds                 retry_window = limits::retry_window;
};

} // namespace arbutusgate
