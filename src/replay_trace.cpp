#include "replay_trace.hpp"

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace arbutusgate {

namespace {

namespace json = boost::json;

constexpr auto default_queue = 32U;

double number(const json::object& it, std::string_view key, double otherwise)
{
    const auto* value = it.if_contains(key);
    return value ? value->to_number<double>() : otherwise;
}

std::uint32_t count(const json::object& it, std::string_view key,
                    std::uint32_t otherwise)
{
    const auto* value = it.if_contains(key);
    return value ? value->to_number<std::uint32_t>() : otherwise;
}

bool flag(const json::object& it, std::string_view key, bool otherwise)
{
    const auto* value = it.if_contains(key);
    return value ? value->as_bool() : otherwise;
}

std::string text(const json::object& it, std::string_view key)
{
    const auto* value = it.if_contains(key);
    return value ? std::string(value->as_string()) : std::string();
}

void check_keys(const json::object&                     it,
                std::initializer_list<std::string_view> known)
{
    for (const auto& [key, value] : it) {
        if (std::find(known.begin(), known.end(), std::string_view(key)) ==
            known.end())
            throw std::invalid_argument(
                absl::StrCat("unknown key \"", std::string(key), "\""));
    }
}

/// Index of the entry with this name; invalid for an empty name.
template <class Handle, class List>
Handle find(const List& list, const std::string& name)
{
    if (name.empty())
        return {};
    for (std::uint32_t n = 0; n < list.size(); ++n) {
        if (list[n].name == name)
            return Handle{n};
    }
    throw std::invalid_argument(absl::StrCat("unknown name \"", name, "\""));
}

stage_kind parse_kind(const std::string& it)
{
    if (it == "encode")
        return stage_kind::encode;
    if (it == "retrieve")
        return stage_kind::retrieve;
    if (it == "rerank")
        return stage_kind::rerank;
    if (it == "generate")
        return stage_kind::generate;
    if (it == "service" || it.empty())
        return stage_kind::service;
    throw std::invalid_argument(absl::StrCat("unknown kind \"", it, "\""));
}

void parse_pool(replay_trace& trace, const json::object& it)
{
    check_keys(it, {"name", "kind", "targets", "slots", "queue", "order",
                    "token_ms", "batch_slope", "prefill_ms", "cached_ms",
                    "cache_prefixes", "prefix_affinity"});
    replay_pool model;
    model.slots          = count(it, "slots", model.slots);
    model.queue          = count(it, "queue", default_queue);
    model.priority_queue = text(it, "order") == "priority";
    model.token_ms       = number(it, "token_ms", 0);
    model.batch_slope    = number(it, "batch_slope", 0);
    model.prefill_ms     = number(it, "prefill_ms", 0);
    model.cached_ms      = number(it, "cached_ms", 0);
    model.cache_prefixes = count(it, "cache_prefixes", 0);
    const pool_id id{static_cast<std::uint32_t>(trace.pools.size())};
    pool_config   pool;
    pool.name             = text(it, "name");
    pool.kind             = parse_kind(text(it, "kind"));
    pool.slots_per_target = model.slots;
    pool.prefix_affinity  = flag(it, "prefix_affinity", false);
    const auto n          = count(it, "targets", 1);
    for (std::uint32_t i = 0; i < n; ++i) {
        target_config target;
        target.name           = absl::StrCat(pool.name, "-", i);
        target.failure_domain = trace.domains[i % trace.domains.size()];
        target.pool           = id;
        pool.targets.push_back(
            {static_cast<std::uint32_t>(trace.config.targets.size())});
        trace.config.targets.push_back(std::move(target));
    }
    trace.config.pools.push_back(std::move(pool));
    trace.pools.push_back(model);
}

void parse_stage(const replay_trace& trace, const json::object& it,
                 pipeline_config& pipeline, replay_pipeline& model)
{
    check_keys(it, {"name", "pool", "service_ms", "expected_ms", "spread",
                    "tokens", "cost", "idempotent"});
    replay_stage work;
    work.service_ms = number(it, "service_ms", work.service_ms);
    work.spread     = number(it, "spread", work.spread);
    work.tokens     = number(it, "tokens", 0);
    stage_config stage;
    stage.pool       = find<pool_id>(trace.config.pools, text(it, "pool"));
    stage.name       = text(it, "name");
    stage.kind       = trace.config.pools.at(stage.pool.idx).kind;
    stage.idempotent = flag(it, "idempotent", true);
    stage.cost       = number(it, "cost", 1);
    const auto& pool = trace.pools[stage.pool.idx];
    if (stage.kind == stage_kind::generate)
        work.service_ms = pool.cached_ms + work.tokens * pool.token_ms;
    stage.expected = milliseconds{
        static_cast<int>(number(it, "expected_ms", work.service_ms))};
    pipeline.stages.push_back(std::move(stage));
    model.stages.push_back(work);
}

void parse_pipeline(replay_trace& trace, const json::object& it)
{
    check_keys(it, {"name", "deadline_ms", "priority", "mix", "stages"});
    pipeline_config pipeline;
    replay_pipeline model;
    pipeline.name     = text(it, "name");
    pipeline.deadline = milliseconds{count(it, "deadline_ms", 6000)};
    pipeline.priority = static_cast<std::int32_t>(number(it, "priority", 0));
    model.mix         = number(it, "mix", 1);
    for (const auto& stage : it.at("stages").as_array())
        parse_stage(trace, stage.as_object(), pipeline, model);
    trace.config.pipelines.push_back(std::move(pipeline));
    trace.pipelines.push_back(std::move(model));
}

void parse_deployment(replay_trace& trace, const json::object& it)
{
    check_keys(it, {"site", "domains", "client_ms", "domain_ms", "prefixes",
                    "pools", "pipelines", "accounts"});
    trace.config.site = text(it, "site");
    for (const auto& domain : it.at("domains").as_array())
        trace.domains.emplace_back(domain.as_string());
    if (trace.domains.empty())
        throw std::invalid_argument("trace has no failure domain");
    trace.client_ms = number(it, "client_ms", trace.client_ms);
    trace.domain_ms = number(it, "domain_ms", trace.domain_ms);
    trace.prefixes  = count(it, "prefixes", trace.prefixes);
    for (const auto& pool : it.at("pools").as_array())
        parse_pool(trace, pool.as_object());
    for (const auto& pipeline : it.at("pipelines").as_array())
        parse_pipeline(trace, pipeline.as_object());
    for (const auto& entry : it.at("accounts").as_array()) {
        const auto& account = entry.as_object();
        check_keys(account, {"name", "weight", "share"});
        account_config config;
        config.name   = text(account, "name");
        config.weight = number(account, "weight", 1);
        trace.account_shares.push_back(number(account, "share", config.weight));
        trace.config.accounts.push_back(std::move(config));
    }
}

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream      file(path);
    std::ostringstream buf;
    if (!file || !(buf << file.rdbuf()))
        throw std::invalid_argument(
            absl::StrCat("cannot read ", path.string()));
    return buf.str();
}

void parse_header(replay_trace& trace, const json::object& it,
                  const std::filesystem::path& folder)
{
    check_keys(it, {"trace", "seed", "seconds", "daemons", "deployment"});
    trace.name    = text(it, "trace");
    trace.seed    = it.at("seed").to_number<std::uint64_t>();
    trace.seconds = number(it, "seconds", trace.seconds);
    trace.daemons = count(it, "daemons", trace.daemons);
    if (trace.daemons == 0)
        throw std::invalid_argument("trace needs at least one daemon");
    const auto& source = it.at("deployment");
    if (source.is_string())
        parse_deployment(
            trace, json::parse(read_file(folder / source.as_string().c_str()))
                       .as_object());
    else
        parse_deployment(trace, source.as_object());
}

template <class Entry>
void parse_window(const replay_trace& trace, const json::object& it,
                  Entry& entry)
{
    entry.from = number(it, "from_s", 0);
    entry.to   = number(it, "to_s", trace.seconds);
}

void parse_arrivals(replay_trace& trace, const json::object& it)
{
    check_keys(it, {"arrivals", "load", "times", "from_s", "to_s", "account"});
    replay_arrivals entry;
    parse_window(trace, it, entry);
    entry.name  = text(it, "arrivals");
    entry.load  = number(it, "load", 0);
    entry.times = number(it, "times", 1);
    entry.account =
        find<account_id>(trace.config.accounts, text(it, "account"));
    trace.arrivals.push_back(std::move(entry));
}

void parse_fault(replay_trace& trace, const json::object& it)
{
    check_keys(it, {"fault", "from_s", "to_s", "factor", "every_s", "domain",
                    "daemons_of", "pool", "share"});
    static constexpr std::string_view kinds[] = {
        "slow", "fail",    "refuse", "silent",    "down",
        "lost", "leaving", "parted", "cold_cache"};
    replay_fault entry;
    parse_window(trace, it, entry);
    entry.kind = text(it, "fault");
    if (std::find(std::begin(kinds), std::end(kinds), entry.kind) ==
        std::end(kinds))
        throw std::invalid_argument(
            absl::StrCat("unknown fault \"", entry.kind, "\""));
    entry.factor = number(it, "factor", 1);
    entry.every  = number(it, "every_s", 0);
    entry.domain = text(it, "domain");
    entry.other  = text(it, "daemons_of");
    entry.pool   = find<pool_id>(trace.config.pools, text(it, "pool"));
    entry.share  = number(it, "share", 1);
    trace.faults.push_back(std::move(entry));
}

void parse_expect(replay_trace& trace, const json::object& it)
{
    check_keys(it, {"expect", "from_s", "to_s", "min", "max", "pipeline",
                    "account", "account_not", "pool_not", "without"});
    static constexpr std::string_view kinds[] = {
        "attainment",        "of_capacity",   "wasted_cost", "retry_load",
        "cost_vs_baselines", "cost_same_mix", "loss_without"};
    replay_expect entry;
    parse_window(trace, it, entry);
    entry.kind = text(it, "expect");
    if (std::find(std::begin(kinds), std::end(kinds), entry.kind) ==
        std::end(kinds))
        throw std::invalid_argument(
            absl::StrCat("unknown outcome \"", entry.kind, "\""));
    if (!it.contains("min") && !it.contains("max"))
        throw std::invalid_argument("an expected outcome needs min or max");
    entry.min         = number(it, "min", entry.min);
    entry.max         = number(it, "max", entry.max);
    const auto& all   = trace.config;
    entry.pipeline    = find<pipeline_id>(all.pipelines, text(it, "pipeline"));
    entry.account     = find<account_id>(all.accounts, text(it, "account"));
    entry.account_not = find<account_id>(all.accounts, text(it, "account_not"));
    entry.pool_not    = find<pool_id>(all.pools, text(it, "pool_not"));
    entry.without     = text(it, "without");
    trace.expects.push_back(std::move(entry));
}

void parse_line(replay_trace& trace, const std::string& line, bool header,
                const std::filesystem::path& folder)
{
    const auto  value = json::parse(line);
    const auto& it    = value.as_object();
    if (header)
        parse_header(trace, it, folder);
    else if (it.contains("arrivals"))
        parse_arrivals(trace, it);
    else if (it.contains("fault"))
        parse_fault(trace, it);
    else if (it.contains("expect"))
        parse_expect(trace, it);
    else
        throw std::invalid_argument(
            "entry is neither arrivals, fault nor expect");
}

} // namespace

absl::StatusOr<replay_trace> load_trace(const std::string& path)
{
    replay_trace  trace;
    std::ifstream file(path);
    if (!file)
        return absl::InvalidArgumentError(absl::StrCat("cannot read ", path));
    std::string line;
    bool        header = true;
    for (int n = 1; std::getline(file, line); ++n) {
        if (line.empty())
            continue;
        try {
            parse_line(trace, line, header,
                       std::filesystem::path(path).parent_path());
        }
        catch (const std::exception& e) {
            return absl::InvalidArgumentError(
                absl::StrCat(path, ":", n, ": ", e.what()));
        }
        header = false;
    }
    if (header)
        return absl::InvalidArgumentError(absl::StrCat(path, ": no header"));
    return trace;
}

double pool_demand(const replay_trace& trace, pipeline_id pipeline,
                   pool_id pool)
{
    const auto& model = trace.pools[pool.idx];
    const auto  n     = trace.config.pools[pool.idx].targets.size();
    const auto  rate  = 1000.0 * static_cast<double>(n) * model.slots /
                      (1 + model.batch_slope * (model.slots - 1));
    double      work   = 0;
    const auto& stages = trace.config.pipelines[pipeline.idx].stages;
    for (std::size_t n = 0; n < stages.size(); ++n) {
        if (stages[n].pool == pool)
            work += trace.pipelines[pipeline.idx].stages[n].service_ms;
    }
    return work / rate;
}

double mix_capacity(const replay_trace& trace)
{
    double total   = 0;
    double busiest = 0;
    for (const auto& it : trace.pipelines)
        total += it.mix;
    for (std::uint32_t pool = 0; pool < trace.pools.size(); ++pool) {
        double demand = 0;
        for (std::uint32_t n = 0; n < trace.pipelines.size(); ++n)
            demand += trace.pipelines[n].mix / total *
                      pool_demand(trace, {n}, {pool});
        busiest = std::max(busiest, demand);
    }
    return 1 / busiest;
}

std::vector<double> allowed_rates(const replay_trace&        trace,
                                  const std::vector<double>& offered)
{
    auto              rates = offered;
    std::vector<bool> frozen(offered.size(), false);
    for (;;) {
        // Finds the pool that is full first when all rates that are not yet
        // frozen are scaled alike.
        double  scale = 1;
        pool_id full;
        for (std::uint32_t pool = 0; pool < trace.pools.size(); ++pool) {
            double frozen_demand = 0;
            double scaled_demand = 0;
            for (std::uint32_t n = 0; n < rates.size(); ++n)
                (frozen[n] ? frozen_demand : scaled_demand) +=
                    (frozen[n] ? rates[n] : offered[n]) *
                    pool_demand(trace, {n}, {pool});
            if (scaled_demand > 0 &&
                (1 - frozen_demand) / scaled_demand < scale) {
                scale = std::max(0.0, (1 - frozen_demand) / scaled_demand);
                full  = {pool};
            }
        }
        if (!full.valid())
            return rates;
        for (std::uint32_t n = 0; n < rates.size(); ++n) {
            if (!frozen[n] && pool_demand(trace, {n}, full) > 0) {
                rates[n]  = offered[n] * scale;
                frozen[n] = true;
            }
        }
    }
}

} // namespace arbutusgate
