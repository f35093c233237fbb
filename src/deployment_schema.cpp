#include "deployment_schema.hpp"

#include <algorithm>
#include <initializer_list>
#include <set>

namespace arbutusgate {

namespace {

using namespace std::chrono_literals;

// These bounds are well above the design scale of section 1.5 (360 daemons, 600
// replicas, 7 pipelines, 9,000 accounts) but low enough to catch typing errors.
constexpr entry_count slots_count{1, 4096};
constexpr entry_count pools_count{1, 256};
constexpr entry_count targets_count{1, 4096};
constexpr entry_count pipelines_count{1, 256};
constexpr entry_count stages_count{1, 32};
constexpr entry_count accounts_count{1, 65536};
constexpr entry_count adapters_count{0, 64};
constexpr std::size_t min_account_key_length = 16; // characters

const choice_value<stage_kind> kind_codec{{{"encode", stage_kind::encode},
                                           {"retrieve", stage_kind::retrieve},
                                           {"rerank", stage_kind::rerank},
                                           {"generate", stage_kind::generate},
                                           {"service", stage_kind::service}}};

const choice_value<engine_role> role_codec{{{"mixed", engine_role::mixed},
                                            {"prefill", engine_role::prefill},
                                            {"decode", engine_role::decode}}};

schema<fleet_draft> fleet_schema()
{
    const schema<slot_config> slot{
        field<slot_config>("failure_domain", &slot_config::failure_domain,
                           name_value{.declared_as = "failure domain"}),
    };
    return {
        by_name("slots", &fleet_draft::slots, slot, "slot", slots_count),
        field<fleet_draft>("retry_window_ms", &fleet_draft::retry_window,
                           duration_value{10s, 1h}, presence::defaulted),
    };
}

schema<engine_config> engine_schema()
{
    return {
        field<engine_config>("model", &engine_config::model, text_value{},
                             presence::optional),
        field<engine_config>("version", &engine_config::version, text_value{},
                             presence::optional),
        list_of("adapters", &engine_config::adapters, text_value{},
                adapters_count),
        field<engine_config>("role", &engine_config::role, role_codec,
                             presence::defaulted),
    };
}

schema<pool_draft> pool_schema()
{
    const schema<target_config> target{
        field<target_config>("address", &target_config::address,
                             address_value{.unique_as = "target address"}),
        field<target_config>("failure_domain", &target_config::failure_domain,
                             name_value{.refers_to = "failure domain"}),
    };
    return {
        field<pool_draft>("kind", &pool_draft::kind, kind_codec),
        field<pool_draft>("slots_per_target", &pool_draft::slots_per_target,
                          number_value<std::uint32_t>{1, 65536},
                          presence::defaulted),
        field<pool_draft>("prefix_affinity", &pool_draft::prefix_affinity,
                          bool_value{}, presence::defaulted),
        field<pool_draft>("checks_fencing", &pool_draft::checks_fencing,
                          bool_value{}, presence::defaulted),
        optional_section<pool_draft>("engine", &pool_draft::engine,
                                     engine_schema()),
        by_name("targets", &pool_draft::replicas, target, "target",
                targets_count),
    };
}

schema<pipeline_config> pipeline_schema()
{
    const schema<stage_config> stage{
        field<stage_config>("name", &stage_config::name, name_value{}),
        field<stage_config>("pool", &stage_config::pool,
                            reference_value<pool_id>{"pool"}),
        field<stage_config>("idempotent", &stage_config::idempotent,
                            bool_value{}, presence::defaulted),
        field<stage_config>("expected_ms", &stage_config::expected,
                            duration_value{1ms, 24h}, presence::defaulted),
        field<stage_config>("cost", &stage_config::cost,
                            number_value<double>{0, 1e6}, presence::defaulted),
        field<stage_config>("model", &stage_config::model, text_value{},
                            presence::optional),
        field<stage_config>("max_tokens", &stage_config::max_tokens,
                            number_value<std::uint32_t>{1, 1'000'000},
                            presence::optional),
    };
    return {
        field<pipeline_config>("deadline_ms", &pipeline_config::deadline,
                               duration_value{10ms, 24h}, presence::defaulted),
        field<pipeline_config>("priority", &pipeline_config::priority,
                               number_value<std::int32_t>{-100, 100},
                               presence::defaulted),
        field<pipeline_config>("retries", &pipeline_config::retries,
                               number_value<std::uint32_t>{0, 10},
                               presence::defaulted),
        list_of_mappings<pipeline_config>("stages", &pipeline_config::stages,
                                          stage, stages_count),
    };
}

schema<account_config> account_schema()
{
    return {
        field<account_config>("key", &account_config::key,
                              text_value{.min_length = min_account_key_length,
                                         .unique_as  = "account key",
                                         .secret     = true}),
        field<account_config>("weight", &account_config::weight,
                              number_value<double>{0.001, 1e6},
                              presence::defaulted),
        list_of("pipelines", &account_config::pipelines,
                reference_value<pipeline_id>{"pipeline"}, pipelines_count),
    };
}

/// Returns the node at the path or, if it does not exist, its deepest existing
/// parent.
const config_node&
deepest_existing_node(const config_node&                      root,
                      std::initializer_list<std::string_view> path)
{
    const config_node* at = &root;
    for (auto key : path) {
        const auto* next = at->find(key);
        if (!next)
            break;
        at = next;
    }
    return *at;
}

/// Checks the rules of one pool.
void check_pool(config_reader& reader, const config_node& root,
                const pool_draft& pool)
{
    if (!pool.engine)
        return;
    const auto& node   = deepest_existing_node(root, {"pools", pool.name});
    const auto& engine = deepest_existing_node(node, {"engine"});
    const auto  path   = concat("pools.", pool.name, ".engine");
    // An unknown kind has already been reported when it was read.
    const auto* kind = node.find("kind");
    if (kind && kind->text == kind_codec.print(pool.kind) &&
        pool.kind != stage_kind::generate)
        reader.error(
            engine.key_position,
            concat(path, ": allowed only for a pool of kind generate"));
    std::set<std::string_view> names;
    for (const auto& it : pool.engine->adapters) {
        if (!names.insert(it).second)
            reader.error(
                deepest_existing_node(engine, {"adapters"}).key_position,
                concat(path, ".adapters: ", quote_text(it),
                       " is listed twice"));
    }
}

/// Checks the rules of one pipeline.
class pipeline_rules
{
public:
    pipeline_rules(config_reader& reader, const config_node& root,
                   const deployment_draft& draft, const pipeline_config& it)
        : reader_(reader),
          node_(deepest_existing_node(root, {"pipelines", it.name})),
          path_(join_path("pipelines", it.name)), draft_(draft), pipeline_(it)
    {
    }

    void check() const
    {
        check_deadline();
        check_stage_names();
        for (std::size_t i = 0; i < pipeline_.stages.size(); ++i)
            check_generate_keys(i);
    }

private:
    void check_deadline() const
    {
        milliseconds expected{0};
        for (const auto& it : pipeline_.stages)
            expected += it.expected;
        if (expected > pipeline_.deadline)
            error("deadline_ms",
                  concat("the stages are expected to take ", expected.count(),
                         " ms, longer than the deadline of ",
                         pipeline_.deadline.count(), " ms"));
        // A claim can be used only for this time after it was started.
        if (pipeline_.has_non_idempotent() &&
            pipeline_.deadline > limits::claim_use_limit)
            error(
                "deadline_ms",
                concat(
                    "a pipeline with a non-idempotent stage may take at most ",
                    milliseconds(limits::claim_use_limit).count(), " ms, is ",
                    pipeline_.deadline.count(), " ms"));
    }

    void check_stage_names() const
    {
        std::set<std::string_view> names;
        for (std::size_t i = 0; i < pipeline_.stages.size(); ++i) {
            const auto& name = pipeline_.stages[i].name;
            if (!name.empty() && !names.insert(name).second)
                stage_error(i, "name",
                            concat("another stage of the pipeline is named ",
                                   quote_text(name)));
        }
    }

    void check_generate_keys(std::size_t i) const
    {
        const auto& it = pipeline_.stages[i];
        if (!it.pool.valid())
            return;
        const bool is_generate =
            draft_.pools[it.pool.idx].kind == stage_kind::generate;
        if (is_generate && it.model.empty() && !stage_has(i, "model"))
            stage_error(i, "model", "missing; its pool is of kind generate");
        if (is_generate && it.max_tokens == 0 && !stage_has(i, "max_tokens"))
            stage_error(i, "max_tokens",
                        "missing; its pool is of kind generate");
        for (auto key : {"model", "max_tokens"}) {
            if (!is_generate && stage_has(i, key))
                stage_error(
                    i, key,
                    "allowed only for a stage whose pool is of kind generate");
        }
    }

    const config_node& stage(std::size_t i) const
    {
        return node_.find("stages")->children[i];
    }

    bool stage_has(std::size_t i, std::string_view key) const
    {
        return stage(i).find(key) != nullptr;
    }

    void stage_error(std::size_t i, std::string_view key,
                     std::string_view message) const
    {
        const auto path = concat(path_, ".stages.", i, ".", key);
        reader_.error(deepest_existing_node(stage(i), {key}).key_position,
                      concat(path, ": ", message));
    }

    void error(std::string_view key, std::string_view message) const
    {
        reader_.error(deepest_existing_node(node_, {key}).key_position,
                      concat(path_, ".", key, ": ", message));
    }

    config_reader&          reader_;
    const config_node&      node_;
    std::string             path_;
    const deployment_draft& draft_;
    const pipeline_config&  pipeline_;
};

} // namespace

std::string_view to_string(engine_role it)
{
    for (const auto& [name, value] : role_codec.choices) {
        if (value == it)
            return name;
    }
    return "mixed";
}

const schema<deployment_draft>& deployment_schema()
{
    // The sections are read in this order because each refers to names that
    // earlier ones declare: targets to the failure domains of slots, stages to
    // pools, accounts to pipelines.
    static const schema<deployment_draft> keys{
        section("fleet", &deployment_draft::fleet, fleet_schema()),
        by_name("pools", &deployment_draft::pools, pool_schema(), "pool",
                pools_count),
        by_name("pipelines", &deployment_draft::pipelines, pipeline_schema(),
                "pipeline", pipelines_count),
        by_name("accounts", &deployment_draft::accounts, account_schema(),
                "account", accounts_count),
    };
    return keys;
}

const schema_shape& overlay_shape()
{
    // Overlays must not change `fleet`: the claim voters are computed from the
    // slot list, so the daemons of all sites must have the same list.
    static const schema_shape shape = [] {
        auto out = make_shape("", deployment_schema());
        std::erase_if(out.children,
                      [](const schema_shape& it) { return it.key == "fleet"; });
        return out;
    }();
    return shape;
}

void check_rules(config_reader& reader, const config_node& root,
                 const deployment_draft& draft)
{
    for (const auto& it : draft.pools)
        check_pool(reader, root, it);
    bool has_non_idempotent = false;
    for (const auto& it : draft.pipelines) {
        has_non_idempotent = has_non_idempotent || it.has_non_idempotent();
        pipeline_rules(reader, root, draft, it).check();
    }
    const auto n = draft.fleet.slots.size();
    if (has_non_idempotent && n > 0 && n < limits::claim_voters)
        reader.error(
            deepest_existing_node(root, {"fleet", "slots"}).key_position,
            concat("fleet.slots: pipelines with non-idempotent stages "
                   "need at least ",
                   limits::claim_voters, " slots, has ", n));
}

deployment to_deployment(deployment_draft draft)
{
    deployment out;
    out.slots = std::move(draft.fleet.slots);
    // Daemons exchange slot indices, so an index must not depend on the order
    // of the slots in the document.
    std::sort(out.slots.begin(), out.slots.end(),
              [](const slot_config& a, const slot_config& b) {
                  return a.name < b.name;
              });
    out.retry_window = draft.fleet.retry_window;
    for (auto& pool : draft.pools) {
        const pool_id id{static_cast<std::uint32_t>(out.pools.size())};
        for (auto& target : pool.replicas) {
            pool.targets.push_back(
                {static_cast<std::uint32_t>(out.targets.size())});
            target.pool = id;
            out.targets.push_back(std::move(target));
        }
        out.pools.push_back(std::move(pool));
    }
    out.pipelines = std::move(draft.pipelines);
    for (auto& pipeline : out.pipelines) {
        for (auto& stage : pipeline.stages) {
            if (stage.pool.valid())
                stage.kind = out.pools[stage.pool.idx].kind;
        }
    }
    out.accounts = std::move(draft.accounts);
    return out;
}

} // namespace arbutusgate
