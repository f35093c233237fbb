#include "fuzz_runner.hpp"

#include "fuzz_world.hpp"

#include <atomic>
#include <mutex>
#include <thread>

#include <rapidcheck/Random.h>
#include <xxhash.h>

namespace arbutusgate {

namespace {

constexpr std::uint32_t max_shrinks = 2000;
constexpr std::uint64_t batch       = 16;

rc::Shrinkable<fuzz_scenario> scenario_of(std::uint64_t seed, std::uint64_t run)
{
    static const auto gen = fuzz_scenarios();
    return gen(rc::Random(XXH3_64bits_withSeed(&run, sizeof run, seed)), 100);
}

std::optional<std::string> violated(const fuzz_scenario& it,
                                    const node_guards&   guards)
{
    return fuzz_world(it, guards).run();
}

/// Replaces the scenario by the first smaller one that still violates a rule,
/// until there is none or the limit of shrink steps is reached.
void shrink(rc::Shrinkable<fuzz_scenario> from, const node_guards& guards,
            fuzz_violation& out)
{
    for (bool smaller = true; smaller && out.shrinks < max_shrinks;) {
        smaller     = false;
        auto shrunk = from.shrinks();
        for (auto next = shrunk.next(); next; next = shrunk.next()) {
            if (++out.shrinks >= max_shrinks)
                break;
            auto rule = violated(next->value(), guards);
            if (!rule)
                continue;
            out.rule     = *rule;
            out.scenario = next->value();
            from         = *next;
            smaller      = true;
            break;
        }
    }
}

} // namespace

fuzz_summary run_fuzz(const fuzz_options& options)
{
    std::atomic<std::uint64_t> next{0};
    std::atomic<std::uint64_t> runs{0};
    std::atomic<bool>          stop{false};
    std::mutex                 mutex;
    fuzz_summary               summary;
    const auto                 work = [&] {
        while (!stop) {
            const auto first = next.fetch_add(batch);
            for (auto n = first;
                 n < std::min(first + batch, options.runs) && !stop; ++n) {
                const auto it = scenario_of(options.seed, n);
                auto       rule = violated(it.value(), options.guards);
                ++runs;
                if (!rule)
                    continue;
                stop = true;
                std::lock_guard lock(mutex);
                ++summary.violations;
                if (!summary.first || n < summary.first->run)
                    summary.first = fuzz_violation{n, *rule, it.value(), 0};
            }
            if (first >= options.runs)
                return;
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t n = 0; n < options.threads; ++n)
        threads.emplace_back(work);
    for (auto& it : threads)
        it.join();
    summary.runs = runs;
    if (summary.first && options.shrink)
        shrink(scenario_of(options.seed, summary.first->run), options.guards,
               *summary.first);
    return summary;
}

} // namespace arbutusgate
