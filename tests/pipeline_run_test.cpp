#include "arbutusgate/policy.hpp"
#include "reason_counters.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;

namespace {

std::shared_ptr<deployment> two_stage_deployment(bool idempotent)
{
    auto it = std::make_shared<deployment>();
    it->pools.resize(1);
    it->targets.resize(2);
    it->pools[0].targets = {target_id{0}, target_id{1}};
    pipeline_config pipeline;
    pipeline.stages.resize(2);
    for (auto& stage : pipeline.stages)
        stage.pool = pool_id{0};
    pipeline.stages[1].idempotent = idempotent;
    it->pipelines.push_back(pipeline);
    return it;
}

request_info make_info()
{
    return {1, pipeline_id{0}, account_id{0}, time_point{} + seconds{6}, 0, 0};
}

} // namespace

// Guards against an attempt being repeated after it may have run.
TEST_CASE("a non-idempotent stage that failed is not repeated")
{
    reason_counters  counters;
    policy           shared(two_stage_deployment(false), {}, counters);
    pipeline_run     run(shared, make_info(), time_point{});
    const time_point now{};

    REQUIRE(std::holds_alternative<obtain_claim>(run.start(now).at(0)));
    auto actions = run.on_claim(claim_outcome::granted, now);
    auto first   = std::get<start_attempt>(actions.at(0));
    actions      = run.on_attempt({first.attempt}, now);
    auto second  = std::get<start_attempt>(actions.at(0));
    actions = run.on_attempt({second.attempt, attempt_status::timeout}, now);

    const auto& end = std::get<finish>(actions.back());
    CHECK(end.result == execution::unknown);
    CHECK(actions.size() == 1); // the claim is not released
}

// Guards against a late result of an earlier attempt ending a later one.
TEST_CASE("a result of another attempt is ignored")
{
    reason_counters  counters;
    policy           shared(two_stage_deployment(true), {}, counters);
    pipeline_run     run(shared, make_info(), time_point{});
    const time_point now{};

    auto first = std::get<start_attempt>(run.start(now).at(0));
    auto actions =
        run.on_attempt({first.attempt, attempt_status::not_run}, now);
    auto second = std::get<start_attempt>(actions.at(0));
    CHECK(second.target != first.target);
    CHECK(run.on_attempt({first.attempt}, now).empty());
}

// Guards against targets that are ejected because a claim grew too old: three
// slow requests in the fuzzer left a pool without targets.
TEST_CASE("a lost claim ends the run as not run")
{
    reason_counters  counters;
    policy           shared(two_stage_deployment(false), {}, counters);
    pipeline_run     run(shared, make_info(), time_point{});
    const time_point now{};

    run.start(now);
    auto actions = run.on_claim(claim_outcome::granted, now);
    actions =
        run.on_attempt({std::get<start_attempt>(actions.at(0)).attempt}, now);
    const auto second = std::get<start_attempt>(actions.at(0)).attempt;
    actions = run.on_attempt({second, attempt_status::claim_lost}, now);

    CHECK(std::holds_alternative<release_claim>(actions.at(0)));
    const auto& end = std::get<finish>(actions.back());
    CHECK(end.result == execution::not_run);
    CHECK(end.reason == refusal_reason::claim_unavailable);
}
