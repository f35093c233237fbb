#include "load_plan.hpp"

#include "deadly_call_check.hpp"
#include "standin_text.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <random>

namespace arbutusgate {

namespace {

std::vector<std::string> make_contexts(const load_mix& mix)
{
    std::vector<std::string> all;
    for (std::uint32_t n = 0; n < mix.contexts; ++n) {
        auto text = engine_text(absl::StrCat(mix.name, " context ", n),
                                mix.context_bytes / 4);
        text.resize(mix.context_bytes);
        all.push_back(std::move(text));
    }
    return all;
}

std::string make_deadly_context(const load_mix& mix)
{
    auto text = std::string(deadly_mark) +
                engine_text("deadly context", mix.context_bytes / 4);
    text.resize(mix.context_bytes);
    return text;
}

bool generates(const mix_pipeline& pipeline)
{
    return std::any_of(pipeline.stages.begin(), pipeline.stages.end(),
                       [](const auto& it) { return it.generates; });
}

std::uint32_t pick_account(const load_mix& mix, const std::string& pipeline,
                           std::mt19937_64& rng)
{
    std::vector<double> weights;
    for (const auto& it : mix.accounts)
        weights.push_back(it.may_use(pipeline) ? it.share : 0);
    return std::discrete_distribution<std::uint32_t>(weights.begin(),
                                                     weights.end())(rng);
}

} // namespace

std::vector<planned_request> make_plan(const load_mix& mix, double rate,
                                       seconds duration, std::uint64_t seed,
                                       const std::string& run,
                                       double             deadly_share)
{
    std::mt19937_64                        rng(seed);
    std::exponential_distribution<double>  gap(rate);
    std::uniform_real_distribution<double> unit(0, 1);
    const auto                             contexts = make_contexts(mix);
    const auto          deadly_context              = make_deadly_context(mix);
    std::vector<double> weights;
    for (const auto& it : mix.pipelines)
        weights.push_back(it.share);
    std::discrete_distribution<std::uint32_t> pick_pipeline(weights.begin(),
                                                            weights.end());
    std::vector<planned_request>              plan;
    const auto end = static_cast<double>(duration.count());
    for (double at = gap(rng); at < end; at += gap(rng)) {
        planned_request it;
        it.number   = static_cast<std::uint32_t>(plan.size());
        it.arrival  = microseconds{static_cast<std::int64_t>(at * 1e6)};
        it.pipeline = pick_pipeline(rng);
        const auto& pipeline = mix.pipelines[it.pipeline];
        it.account           = pick_account(mix, pipeline.name, rng);
        it.stream            = unit(rng) < pipeline.stream_share;
        it.tag               = absl::StrCat(mix.name, "-", run, "-", it.number);
        if (pipeline.needs_key()) {
            it.key = absl::StrCat("key-", it.tag);
            if (unit(rng) < pipeline.repeat_share)
                it.repeat = unit(rng) < 0.5 ? key_repeat::after_response
                                            : key_repeat::concurrent;
        }
        // Without deadly requests, the same seed draws the same plan.
        it.deadly =
            deadly_share > 0 && generates(pipeline) && unit(rng) < deadly_share;
        it.input = absl::StrCat(it.deadly ? deadly_context
                                          : contexts[rng() % contexts.size()],
                                " [request ", it.tag, "]");
        plan.push_back(std::move(it));
    }
    return plan;
}

} // namespace arbutusgate
