/// Effective configuration of one site, as plain structs. Made by the
/// configuration module, read by the policy and the daemon.
#pragma once

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// What kind of work a stage does; it selects the protocol of its targets.
enum class stage_kind
{
    encode,
    retrieve,
    rerank,
    generate, ///< Model engine: completions, streamed.
    service,  ///< Plain service.
};

/// One replica that runs stage work.
struct target_config
{
    std::string name;    ///< Unique in the deployment.
    std::string address; ///< "IP:port".
    std::string failure_domain;
    pool_id     pool;
};

/// Phases of a generation that an engine runs.
enum class engine_role
{
    mixed,
    prefill,
    decode,
};

/// Word of the configuration and of the engines' protocol.
std::string_view to_string(engine_role);

/// Desired state of the engines of a pool. An empty text leaves the choice to
/// the engine.
struct engine_config
{
    std::string              model;
    std::string              version;
    std::vector<std::string> adapters; ///< In the order of the document.
    engine_role              role = engine_role::mixed;

    bool operator==(const engine_config&) const = default;
};

/// Replicas that are interchangeable for a stage.
struct pool_config
{
    std::string            name;
    stage_kind             kind = stage_kind::service;
    std::vector<target_id> targets;
    std::uint32_t          slots_per_target = 8; ///< Concurrent calls served.
    /// Prefixes of the prompt decide the replica, so that its cache is used.
    bool prefix_affinity = false;
    /// The targets refuse an order with an old fencing number.
    bool checks_fencing = false;
    /// Engines of a pool without it get no commands.
    std::optional<engine_config> engine;
};

/// One step of a pipeline.
struct stage_config
{
    std::string name;
    pool_id     pool;
    stage_kind  kind       = stage_kind::service;
    bool        idempotent = true;
    /// Expected service time before anything was learned.
    milliseconds expected{100};
    /// Cost units per call; per 1,000 tokens for generate stages.
    double cost = 1.0;
    /// Model name for generate stages.
    std::string   model;
    std::uint32_t max_tokens = 0;
};

/// A chain of stages under one deadline.
struct pipeline_config
{
    std::string               name;
    milliseconds              deadline{6000};
    std::vector<stage_config> stages;
    /// Larger runs first when a pool is full.
    std::int32_t  priority = 0;
    std::uint32_t retries  = limits::request_retries;

    /// True when a stage may not be repeated.
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
    std::string key; ///< Bearer key.
    /// Weight of its share of cost when a pool is full.
    double                   weight = 1.0;
    std::vector<pipeline_id> pipelines; ///< Empty: all.
};

/// A place in the fleet that a VM fills. It outlives its VMs.
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
