#include "replay_report.hpp"

#include "absl/strings/str_format.h"

#include <getopt.h>
#include <iostream>
#include <optional>

using namespace arbutusgate;

namespace {

constexpr int exit_missed = 1;
constexpr int exit_usage  = 2;

int usage()
{
    std::cerr << "usage: arbutusgate-replay TRACE [--policy NAME] "
                 "[--against NAME] [--json]\n"
                 "NAME: arbutusgate, random, round_robin, least_inflight\n"
                 "Exit status: 0 outcomes hold, 1 missed, 2 usage or input\n";
    return exit_usage;
}

std::string bound(const replay_check& it)
{
    return it.min > -1e299 ? absl::StrFormat(">= %g", it.min)
                           : absl::StrFormat("<= %g", it.max);
}

/// Prints the statistics of the replay and its expected outcomes.
/// \return true when all expected outcomes hold.
bool print(const replay_trace& trace, policy_strategy strategy, bool json)
{
    replay_report report(trace, strategy);
    const auto    name   = std::string(to_string(strategy));
    const auto&   result = report.result();
    const auto    checks = report.checks();
    bool          holds  = result.violations == 0;
    for (const auto& it : checks)
        holds = holds && it.holds();
    if (json) {
        std::cout << report.json(result, name, checks);
        return holds;
    }
    std::cout << report.text(result, name);
    for (const auto& it : checks)
        std::cout << absl::StreamFormat("  %s %s: %.5f, stated %s\n",
                                        it.holds() ? "holds" : "MISSED",
                                        it.text, it.value, bound(it));
    return holds;
}

} // namespace

int main(int argc, char** argv)
{
    static const option options[] = {
        {"policy", required_argument, nullptr, 'p'},
        {"against", required_argument, nullptr, 'a'},
        {"json", no_argument, nullptr, 'j'},
        {nullptr, 0, nullptr, 0}};
    auto                           strategy = policy_strategy::adaptive;
    std::optional<policy_strategy> against;
    bool                           json = false;
    for (int it = 0;
         (it = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        policy_strategy named{};
        if (it == 'j')
            json = true;
        else if (it == '?' || !parse_strategy(optarg, named))
            return usage();
        else if (it == 'p')
            strategy = named;
        else
            against = named;
    }
    if (optind + 1 != argc)
        return usage();
    const auto trace = load_trace(argv[optind]);
    if (!trace.ok()) {
        std::cerr << trace.status().message() << "\n";
        return exit_usage;
    }
    const bool holds = print(*trace, strategy, json);
    if (against)
        print(*trace, *against, json);
    return holds ? 0 : exit_missed;
}
