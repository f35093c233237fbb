#include "stage_run.hpp"

#include "daemon_clock.hpp"
#include "fiber_signal.hpp"
#include "route_table.hpp"
#include "target_directory.hpp"
#include "time_estimates.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

/// Stage service whose orders the test completes.
class mock_stages final : public stage_service
{
public:
    std::shared_ptr<stage_ticket> submit(stage_order order,
                                         std::shared_ptr<fiber_signal>) override
    {
        auto it = std::make_shared<stage_ticket>();
        if (refuses)
            it->state = order_state::refused;
        orders.push_back(std::move(order));
        tickets.push_back(it);
        return it;
    }
    void withdraw(const std::shared_ptr<stage_ticket>& it) override
    {
        CHECK(it->state == order_state::waiting);
        it->state = order_state::failed;
        ++withdrawn;
    }
    void release(const std::string&,
                 const std::vector<std::string>& handles) override
    {
        for (const auto& it : handles)
            ++releases.at(it);
    }
    stage_queue queue(const std::string&) const override { return {}; }

    /// Makes the results of the order with an index.
    void complete(std::size_t n)
    {
        auto& it = *tickets.at(n);
        it.state = order_state::done;
        for (std::uint32_t k = 0; k < orders[n].group.count; ++k) {
            it.handles.push_back("h/" + std::to_string(releases.size()));
            releases[it.handles.back()] = 0;
        }
    }
    std::size_t waiting() const
    {
        return static_cast<std::size_t>(
            std::count_if(tickets.begin(), tickets.end(), [](const auto& it) {
                return it->state == order_state::waiting;
            }));
    }

    bool                                       refuses   = false;
    int                                        withdrawn = 0;
    std::vector<stage_order>                   orders;
    std::vector<std::shared_ptr<stage_ticket>> tickets;
    std::map<std::string, int>                 releases; ///< By handle.
};

/// A route with the stages 0 -> 1 -> 2, of which 3 reads 0, too.
struct plan_fixture
{
    plan_fixture() : table(make_config()), path(table.config().routes[0])
    {
        call.pieces = {2, 1, 3, 1};
    }
    static configuration make_config()
    {
        configuration out;
        route         it;
        it.name   = "r";
        it.stages = {{"p", {}, 1000},
                     {"p", {0}, 1000},
                     {"p", {1}, 1000},
                     {"p", {0}, 1000}};
        out.routes.push_back(it);
        service p{"p", "", 10, stage_limits{}, {}};
        p.stage->result_retention = milliseconds{8000};
        out.services.push_back(p);
        return out;
    }
    std::unique_ptr<stage_run> make_run()
    {
        stage_plan plan{call, table, path, "s", 0, {}, {}, {}, [] {
                            return std::string();
                        }};
        plan.goal = plan.limit = daemon_now() + seconds{10};
        return std::make_unique<stage_run>(
            plan, stage_run_dependencies{stages, times, targets},
            std::make_shared<fiber_signal>());
    }

    request_head     call;
    route_table      table;
    const route&     path;
    mock_stages      stages;
    time_estimates   times;
    target_directory targets{milliseconds{0}};
};

} // namespace

// Guards against an attempt that gets no inputs, or those of a stage that
// others read.
TEST_CASE("a stage run gives the results of its final stages",
          "[gateway][stages]")
{
    plan_fixture f;
    auto         run = f.make_run();
    for (std::size_t n = 0; n < 4; ++n) {
        REQUIRE_FALSE(run->submit());
        REQUIRE(f.stages.orders.size() > n);
        CHECK_FALSE(run->complete());
        f.stages.complete(n);
        run->collect();
    }
    CHECK_FALSE(run->submit());
    CHECK(run->complete());
    CHECK(run->inputs().size() == 4);
    CHECK(run->result_bytes() == 4000); // Results that were read are released.
    CHECK(run->read_deadline() <= daemon_now() + milliseconds{8000});
    CHECK(run->read_deadline() > daemon_now() + milliseconds{7000});
    run.reset();
    for (const auto& [handle, n] : f.stages.releases)
        CHECK(n == 1);
}

// Guards against orders and results that outlive a run that is given up at any
// point, and against results that are released twice.
TEST_CASE("a stage run that is given up leaves no order and no result",
          "[gateway][stages]")
{
    const auto   seed = GENERATE(range(1, 200));
    std::mt19937 random(static_cast<unsigned>(seed));
    const auto   draw = [&](unsigned n) {
        return random() % n;
    };
    plan_fixture f;
    for (auto& it : f.call.pieces)
        it = draw(3);
    auto       run   = f.make_run();
    const auto steps = draw(12);
    for (unsigned k = 0; k < steps && !run->complete(); ++k) {
        f.stages.refuses = draw(12) == 0;
        if (run->submit())
            break;
        std::vector<std::size_t> open;
        for (std::size_t n = 0; n < f.stages.tickets.size(); ++n) {
            if (f.stages.tickets[n]->state == order_state::waiting)
                open.push_back(n);
        }
        if (open.empty())
            continue;
        const auto n = open[draw(static_cast<unsigned>(open.size()))];
        if (draw(12) == 0)
            f.stages.tickets[n]->state = order_state::late;
        else
            f.stages.complete(n);
        run->collect();
    }
    CAPTURE(seed, steps);
    run.reset();
    CHECK(f.stages.waiting() == 0);
    for (const auto& [handle, n] : f.stages.releases)
        CHECK(n == 1);
}

// Guards against orders of a run of which one stage has failed: nobody would
// read their results.
TEST_CASE("a stage run submits nothing after a failure", "[gateway][stages]")
{
    plan_fixture f;
    auto         run = f.make_run();
    REQUIRE_FALSE(run->submit());
    f.stages.complete(0);
    run->collect();
    REQUIRE_FALSE(run->submit());
    REQUIRE(f.stages.orders.size() == 3);
    f.stages.tickets[2]->state = order_state::input_gone;
    f.stages.complete(1);
    run->collect();
    const auto failed = run->submit();
    REQUIRE(failed);
    CHECK(failed->reason == refusal_reason::stage_failed);
    CHECK(f.stages.orders.size() == 3);
    CHECK_FALSE(run->complete());
}
