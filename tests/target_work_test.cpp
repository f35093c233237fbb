#include "target_picker.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(double ms)
{
    return time_point{} + seconds{100} +
           microseconds{static_cast<std::int64_t>(ms * 1000)};
}

call_work work_of(std::uint32_t prompt, double output,
                  std::vector<prompt_prefix> prefixes = {})
{
    call_work out;
    out.output           = {std::log(output), 0.3, 4096};
    out.prompt_tokens    = prompt;
    out.prefixes         = std::move(prefixes);
    out.tokens_per_event = 4;
    out.cache_capacity   = 200'000;
    out.gap_goal         = milliseconds{300};
    return out;
}

struct fixture
{
    std::vector<target>        all;
    std::vector<const target*> list;
    target_picker              picker{42};

    explicit fixture(int n)
    {
        for (int k = 0; k < n; ++k)
            all.push_back({std::string(1, static_cast<char>('a' + k)), "s",
                           "10.0.0.1:1", "d1", 10, false, 0});
        for (const auto& it : all)
            list.push_back(&it);
        // Costs are compared where targets report their slowdown.
        picker.load_reported("a", target_load{0, 0, 10, 1.0}, at(-60'000));
    }

    std::string pick(double ms, const call_work* work,
                     std::uint64_t affinity = 0)
    {
        pick_hints hints;
        hints.work     = work;
        hints.affinity = affinity;
        hints.tokens   = work ? work->prompt_tokens : 0;
        return picker.pick(list, hints, at(ms))->id;
    }

    std::map<std::string, int> picks(double ms, const call_work* work)
    {
        std::map<std::string, int> out;
        for (int n = 0; n < 100; ++n)
            ++out[pick(ms, work)];
        return out;
    }

    void stream_at(const std::string& id, int n)
    {
        const auto work = work_of(100, 400);
        for (int k = 0; k < n; ++k) {
            const auto call = picker.start(id, 100, at(0), &work);
            picker.answered(id, call, at(2));
            picker.event(id, call, at(2));
        }
    }
};

} // namespace

// Failure: work goes on to a machine that says that it is slow, or it gets none
// long after.
TEST_CASE("a target that is slow for 600 ms is avoided meanwhile", "[gateway]")
{
    fixture    f{3};
    const auto work = work_of(2400, 100);
    for (const auto* it : {&work, static_cast<const call_work*>(nullptr)}) {
        f.picker.load_reported("a", {0, 0, 10, 2.5}, at(0));
        CHECK(f.picks(10, it).count("a") == 0);
        f.picker.load_reported("a", {0, 0, 10, 2.5}, at(200));
        CHECK(f.picks(300, it).count("a") == 0);
        CHECK(f.picks(720, it)["a"] > 10);
    }
}

// Failures: a slow target gets work that faster ones have room for, or none
// when they have not.
TEST_CASE("targets of lasting speeds 0.6, 1.0 and 1.6 share the work",
          "[gateway]")
{
    struct stream
    {
        std::string   id;
        std::uint64_t call = 0;
        double        next = 0; ///< ms.
        double        step = 0; ///< ms for an event.
        int           left = 0; ///< Events.
    };
    const std::map<std::string, double> factor{
        {"a", 0.6}, {"b", 1.0}, {"c", 1.6}};
    const auto work = work_of(1000, 200);
    // Together the targets complete a call every 37 ms, the two fast ones every
    // 45 ms.
    const auto calls_by_target = [&](int call_interval) {
        fixture                    f{3};
        std::map<std::string, int> out;
        std::vector<stream>        running;
        for (int ms = 0; ms < 30'000; ++ms) {
            for (auto& it : running) {
                if (it.next > ms)
                    continue;
                f.picker.event(it.id, it.call, at(ms));
                it.next += it.step;
                if (--it.left == 0)
                    f.picker.finish(it.id, it.call, call_outcome::done, at(ms));
            }
            std::erase_if(running, [](const auto& it) { return it.left == 0; });
            if (ms % call_interval != 0)
                continue;
            const auto id   = f.pick(ms, &work);
            const auto call = f.picker.start(id, 1000, at(ms), &work);
            f.picker.answered(id, call, at(ms));
            const auto slow = factor.at(id);
            running.push_back({id, call, ms + 12.5 * slow, 24 * slow, 50});
            out[id] += ms >= 10'000 ? 1 : 0;
        }
        return out;
    };
    auto low = calls_by_target(150);
    CHECK(low["a"] > 2 * low["b"]);
    CHECK(low["c"] < 10);
    auto high = calls_by_target(40);
    INFO(high["a"] << " " << high["b"] << " " << high["c"]);
    CHECK(high["a"] > 1.2 * high["b"]);
    CHECK(high["b"] > 1.2 * high["c"]);
    CHECK(high["c"] > 25);
}

// Failure: after one good report the daemons that got it all choose the same
// target.
TEST_CASE("pickers with the same old report choose different targets",
          "[gateway]")
{
    std::map<std::string, int> count;
    const auto                 work = work_of(2400, 200);
    for (std::uint64_t n = 0; n < 75; ++n) {
        fixture f{8};
        f.picker = target_picker{n};
        for (const auto& it : f.all)
            f.picker.load_reported(it.id, {it.id == "a" ? 3U : 4U, 0, 10, 1.0},
                                   at(0));
        ++count[f.pick(200, &work)];
    }
    CHECK(count.size() == 8);
    CHECK(count["a"] < 25);

    // One that is much better than 25 others does not get all calls either.
    count.clear();
    for (std::uint64_t n = 0; n < 75; ++n) {
        fixture f{26};
        f.picker = target_picker{n};
        for (const auto& it : f.all)
            f.picker.load_reported(it.id, {it.id == "a" ? 0U : 8U, 0, 10, 1.0},
                                   at(0));
        ++count[f.pick(200, &work)];
    }
    CHECK(count["a"] < 38);
    CHECK(count["a"] > 10);
}

// Failure: a long prompt makes the pauses of many streams longer than their
// goal, although another target runs none.
TEST_CASE("a long prompt avoids the target with running streams", "[gateway]")
{
    fixture f{2};
    f.stream_at("a", 5);
    // As many calls at the other target, which are nearly done.
    const auto brief = work_of(100, 4);
    for (int n = 0; n < 5; ++n)
        f.picker.start("b", 100, at(0), &brief);
    const auto long_prompt = work_of(20'000, 20);
    CHECK(f.picks(3, &long_prompt).count("a") == 0);

    // A long output avoids the target where a long prompt is read.
    fixture g{2};
    g.picker.start("a", 20'000, at(0), &long_prompt);
    g.stream_at("b", 2);
    const auto long_output = work_of(500, 800);
    CHECK(g.picks(3, &long_output).count("a") == 0);
}

// Failures: a prompt is read again at another target, or requests wait at the
// target that caches it although another is free.
TEST_CASE("cached prompt parts win unless the wait is longer", "[gateway]")
{
    fixture    f{4};
    const auto work = work_of(9200, 100, {{11, 2000}, {12, 8800}});
    const auto call = f.picker.start("c", 9200, at(0), &work);
    f.picker.event("c", call, at(115));
    f.picker.finish("c", call, call_outcome::done, at(600));
    for (std::uint64_t affinity = 1; affinity < 20; ++affinity)
        CHECK(f.pick(700, &work, affinity) == "c");
    // The whole prompt is new; only the shorter prefix is cached.
    const auto other = work_of(9200, 100, {{11, 2000}, {13, 8800}});
    CHECK(f.picks(700, &other).at("c") > 20);

    const auto long_prompt = work_of(20'000, 20);
    f.picker.start("c", 20'000, at(700), &long_prompt);
    CHECK(f.pick(701, &work, 1) != "c");
}

// Failures: a refused prompt counts as cached, a restarted target keeps its
// cache, or prompts fill the memory.
TEST_CASE("the memory of cached prompts is true and bounded", "[gateway]")
{
    target_work it;
    const auto  work = work_of(1000, 100, {{11, 500}, {12, 900}});
    it.started("a", 1, work, at(0));
    CHECK(it.cached_tokens("a", work, at(1)) == 900);
    it.finished("a", 1, false, at(2));
    CHECK(it.cached_tokens("a", work, at(3)) == 0);
    it.started("a", 2, work, at(4));
    it.finished("a", 2, true, at(5));
    CHECK(it.cached_tokens("a", work, at(6)) == 900);
    CHECK(it.cached_tokens("a", work, at(60'000)) == 0);
    it.forget("a");
    CHECK(it.cached_tokens("a", work, at(7)) == 0);
    for (std::uint64_t n = 0; n < 6000; ++n) {
        it.started("b", n, work_of(10, 10, {{n + 100, 5}}), at(8));
        it.finished("b", n, true, at(8));
    }
    CHECK(it.prefixes() <= target_work::max_prefixes);
}

// Guards against daemons that each send the requests of one session to another
// target, since none of them has seen enough requests to know its cache.
TEST_CASE("daemons agree on the target that caches a session", "[gateway]")
{
    constexpr std::uint64_t session = 77;
    fixture                 a(12);
    fixture                 b(12);
    auto                    work  = work_of(9000, 50, {{1, 2500}, {2, 6300}});
    const auto*             cache = a.picker.preferred(a.list, session);
    REQUIRE(cache);
    work.likely_cache = cache->id;
    CHECK(a.pick(0, &work, session) == cache->id);
    CHECK(b.pick(0, &work, session) == cache->id);
    // Half as many unread tokens there as it saves do not move the request.
    const auto short_prompt = work_of(2500, 50);
    b.picker.start(cache->id, 2500, at(0), &short_prompt);
    CHECK(b.pick(0, &work, session) == cache->id);
    // A queue of unread prompts there costs more than the cached part saves.
    const auto long_prompt = work_of(30'000, 50);
    a.picker.start(cache->id, 30'000, at(0), &long_prompt);
    CHECK(a.pick(0, &work, session) != cache->id);
}

// Guards against a new choice on deployments whose targets do not report their
// slowdown: there it sent requests away from the domain of their inputs.
TEST_CASE("without reported slowdowns the choice counts calls", "[gateway]")
{
    fixture    f(2);
    const auto work = work_of(9000, 50);
    f.picker.load_reported("a", {0, 0, 10}, at(0));
    const auto long_prompt = work_of(3000, 50);
    f.picker.start("a", 3000, at(0), &long_prompt);
    f.picker.start("b", 100, at(0));
    f.picker.start("b", 100, at(0));
    CHECK(f.pick(0, &work) == "a");
    f.picker.load_reported("a", {0, 0, 10, 1.0}, at(0));
    CHECK(f.pick(0, &work) == "b");
}
