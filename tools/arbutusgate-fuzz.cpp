// Stateful fuzzing of the node core under faults, in virtual time.
#include "fuzz_runner.hpp"

#include <cstdlib>
#include <iostream>
#include <string_view>

#include <getopt.h>

using namespace arbutusgate;

namespace {

constexpr int exit_usage = 2;

constexpr std::string_view usage =
    "Usage: arbutusgate-fuzz [OPTION]...\n"
    "Runs random fault scenarios against node cores and checks the "
    "guarantees.\n\n"
    "  -n, --runs N         number of scenarios (1000)\n"
    "  -s, --seed S         seed of the scenarios (1)\n"
    "  -d, --disable GUARD  switch a safety rule off\n"
    "  -t, --threads N      1 to 3 (3)\n"
    "  -l, --list-guards    print the names of the safety rules\n"
    "  -h, --help           print this help\n\n"
    "Exit status: 0 no violation, 1 violation, 2 usage error.\n";

bool read_number(const char* text, std::uint64_t& out)
{
    char* end = nullptr;
    out       = std::strtoull(text, &end, 10);
    return *text >= '0' && *text <= '9' && *end == '\0';
}

bool disable(std::string_view name, node_guards& guards)
{
    for (std::size_t n = 0; n < static_cast<std::size_t>(node_guard::count);
         ++n) {
        if (to_string(static_cast<node_guard>(n)) != name)
            continue;
        guards.disable(static_cast<node_guard>(n));
        return true;
    }
    return false;
}

int list_guards()
{
    for (std::size_t n = 0; n < static_cast<std::size_t>(node_guard::count);
         ++n)
        std::cout << to_string(static_cast<node_guard>(n)) << "\n";
    return EXIT_SUCCESS;
}

int usage_error(std::string_view message)
{
    std::cerr << "arbutusgate-fuzz: " << message << "\n" << usage;
    return exit_usage;
}

int report(const fuzz_summary& it)
{
    std::cout << "runs=" << it.runs << " violations=" << it.violations << "\n";
    if (!it.first)
        return EXIT_SUCCESS;
    std::cout << "run " << it.first->run << ": " << it.first->rule << " ("
              << it.first->shrinks << " shrink steps)\n"
              << it.first->scenario;
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    static const option options[] = {
        {"runs", required_argument, nullptr, 'n'},
        {"seed", required_argument, nullptr, 's'},
        {"disable", required_argument, nullptr, 'd'},
        {"threads", required_argument, nullptr, 't'},
        {"list-guards", no_argument, nullptr, 'l'},
        {"help", no_argument, nullptr, 'h'},
        {},
    };
    fuzz_options  it;
    std::uint64_t threads = it.threads;
    for (int c = 0;
         (c = getopt_long(argc, argv, "n:s:d:t:lh", options, nullptr)) != -1;)
    {
        bool ok = true;
        if (c == 'n')
            ok = read_number(optarg, it.runs);
        else if (c == 's')
            ok = read_number(optarg, it.seed);
        else if (c == 't')
            ok = read_number(optarg, threads) && threads >= 1 && threads <= 3;
        else if (c == 'd')
            ok = disable(optarg, it.guards);
        else if (c == 'l')
            return list_guards();
        else if (c == 'h')
            return std::cout << usage, EXIT_SUCCESS;
        else
            return std::cerr << usage, exit_usage;
        if (!ok)
            return usage_error("invalid value: " + std::string(optarg));
    }
    if (optind != argc)
        return usage_error("unexpected argument: " + std::string(argv[optind]));
    it.threads = static_cast<std::uint32_t>(threads);
    return report(run_fuzz(it));
}
