/// Benchmarks of the configuration: time and memory to check and merge
/// documents.
#include "arbutusgate/configuration.hpp"
#include "bench_heap.hpp"
#include "config_check.hpp"
#include "version_checker.hpp"

#include <benchmark/benchmark.h>

#include "absl/strings/str_format.h"

namespace arbutusgate {

namespace {

std::string make_base(std::int64_t targets, std::int64_t accounts)
{
    std::string out = "open:\n  - pipelines.*.deadline_ms\n"
                      "fleet:\n  slots:\n";
    for (char it = 'a'; it < 'f'; ++it)
        absl::StrAppendFormat(&out, "    %c1: { failure_domain: %c }\n", it,
                              it);
    out += "pools:\n  models:\n    kind: generate\n    targets:\n";
    for (std::int64_t n = 0; n < targets; ++n)
        absl::StrAppendFormat(
            &out, "      m%d: { address: 127.0.0.1:%d, failure_domain: %c }\n",
            n, 10000 + n, char('a' + n % 5));
    out += "pipelines:\n  draft:\n    deadline_ms: 5000\n    stages:\n"
           "      - { name: write, pool: models, model: m, max_tokens: 9 }\n"
           "accounts:\n";
    for (std::int64_t n = 0; n < accounts; ++n)
        absl::StrAppendFormat(&out, "  c%d: { key: example-key-%08d }\n", n, n);
    return out;
}

/// Check of one site's configuration, by the number of sites: a daemon merges
/// only the overlay of its own site, however many sites there are.
void config_merge(benchmark::State& state)
{
    config_documents documents{{"base", make_base(45, 5)}};
    for (std::int64_t n = 0; n < state.range(0); ++n)
        documents[absl::StrFormat("site/s%d", n)] = absl::StrFormat(
            "pipelines:\n  draft:\n    deadline_ms: %d\n", 4000 + n);
    for (auto _ : state) {
        auto it = check_config(documents, "s0", 1);
        if (!it.issues.empty())
            state.SkipWithError(it.issues.front().message.c_str());
    }
}
BENCHMARK(config_merge)->Arg(10)->Arg(50)->Arg(200)->Arg(1000);

void config_check_accounts(benchmark::State& state)
{
    const config_documents documents{
        {"base", make_base(45, state.range(0))},
        {"site/s0", "pipelines:\n  draft:\n    deadline_ms: 4000\n"}};
    for (auto _ : state) {
        auto it = check_config(documents, "s0", 1);
        if (!it.issues.empty())
            state.SkipWithError(it.issues.front().message.c_str());
    }
    state.counters["document_bytes"] =
        static_cast<double>(documents.at("base").size());
}
BENCHMARK(config_check_accounts)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(3000)
    ->Arg(9000)
    ->Unit(benchmark::kMillisecond);

void config_check_targets(benchmark::State& state)
{
    const config_documents documents{
        {"base", make_base(state.range(0), 5)},
        {"site/s0", "pipelines:\n  draft:\n    deadline_ms: 4000\n"}};
    for (auto _ : state) {
        auto it = check_config(documents, "s0", 1);
        if (!it.issues.empty())
            state.SkipWithError(it.issues.front().message.c_str());
    }
}
BENCHMARK(config_check_targets)
    ->Arg(10)
    ->Arg(60)
    ->Arg(200)
    ->Arg(600)
    ->Unit(benchmark::kMillisecond);

config_documents make_sites(std::int64_t sites)
{
    config_documents out{{"base", make_base(600, 9000)}};
    for (std::int64_t n = 0; n < sites; ++n)
        out[absl::StrFormat("site/s%d", n)] = absl::StrFormat(
            "pipelines:\n  draft:\n    deadline_ms: %d\n", 4000 + n);
    return out;
}

/// Check of a new version after a change of the base document. Each daemon
/// checks all sites, so that a version is refused by all daemons or by none.
void config_check_sites(benchmark::State& state)
{
    const auto documents = make_sites(state.range(0));
    for (auto _ : state) {
        auto it = check_version(documents, "s0", 1);
        if (!it.issues.empty())
            state.SkipWithError(it.issues.front().message.c_str());
    }
}
BENCHMARK(config_check_sites)
    ->Arg(1)
    ->Arg(3)
    ->Arg(8)
    ->Arg(20)
    ->Unit(benchmark::kMillisecond);

/// Check of a new version in which only the overlay of one site has changed.
void config_check_overlay(benchmark::State& state)
{
    auto            documents = make_sites(state.range(0));
    version_checker checker("s0");
    std::uint64_t   version = 0;
    checker.check(documents, ++version);
    for (auto _ : state) {
        documents["site/s1"] = absl::StrFormat(
            "pipelines:\n  draft:\n    deadline_ms: %d\n", 4000 + version % 2);
        auto it = checker.check(documents, ++version);
        if (!it.issues.empty())
            state.SkipWithError(it.issues.front().message.c_str());
    }
}
BENCHMARK(config_check_overlay)
    ->Arg(3)
    ->Arg(8)
    ->Arg(20)
    ->Arg(50)
    ->Unit(benchmark::kMillisecond);

/// Heap of the parsed base document and of one merged site, which are both in
/// memory while a version is checked.
void config_check_memory(benchmark::State& state)
{
    const config_documents documents{{"base", make_base(45, state.range(0))}};
    std::int64_t           bytes = 0;
    for (auto _ : state) {
        const auto before = heap_bytes();
        auto       base   = load_document(documents, base_document);
        auto       merged = base;
        benchmark::DoNotOptimize(merged);
        bytes = heap_bytes() - before;
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(config_check_memory)->Arg(100)->Arg(1000)->Arg(3000)->Arg(9000);

} // namespace

} // namespace arbutusgate
