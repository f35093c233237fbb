#include "bench_reporter.hpp"

#include <getopt.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace {

constexpr int exit_usage_error = 2;

constexpr const char* usage =
    "Usage: arbutusgate-bench [--filter REGEX] [--min-time S] [--report FILE]\n"
    "Measures the slopes of docs/CAPACITY.md.\n"
    "  --filter REGEX  run the matching benchmarks only\n"
    "  --min-time S    seconds for each size (default 0.2)\n"
    "  --report FILE   write an HTML page with one plot for each quantity\n"
    "  --help          print this text\n"
    "  --version       print the version\n";

struct bench_options
{
    std::string filter   = ".";
    std::string min_time = "0.2";
    std::string report;
};

/// \return exit code, or -1 if the benchmarks shall run.
int parse_options(int argc, char** argv, bench_options& out)
{
    static const std::array<option, 6> options{{
        {"filter", required_argument, nullptr, 'f'},
        {"min-time", required_argument, nullptr, 'm'},
        {"report", required_argument, nullptr, 'r'},
        {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'v'},
        {nullptr, 0, nullptr, 0},
    }};
    for (int it = 0;
         (it = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;)
    {
        switch (it) {
        case 'f':
            out.filter = optarg;
            break;
        case 'm':
            out.min_time = optarg;
            break;
        case 'r':
            out.report = optarg;
            break;
        case 'h':
            std::fputs(usage, stdout);
            return EXIT_SUCCESS;
        case 'v':
            std::puts("arbutusgate-bench " ARBUTUSGATE_VERSION);
            return EXIT_SUCCESS;
        default:
            std::fputs(usage, stderr);
            return exit_usage_error;
        }
    }
    return -1;
}

} // namespace

int main(int argc, char** argv)
{
    bench_options options;
    if (const auto code = parse_options(argc, argv, options); code >= 0)
        return code;
    std::vector<std::string> text{argv[0],
                                  "--benchmark_filter=" + options.filter,
                                  "--benchmark_min_time=" + options.min_time};
    std::vector<char*>       args;
    for (auto& it : text)
        args.push_back(it.data());
    auto n = static_cast<int>(args.size());
    benchmark::Initialize(&n, args.data());
    arbutusgate::bench_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    std::puts(arbutusgate::slope_table(reporter.series()).c_str());
    if (!options.report.empty()) {
        std::ofstream file(options.report);
        file << arbutusgate::slope_report(reporter.series());
        if (!file.flush()) {
            std::fprintf(stderr, "cannot write %s\n", options.report.c_str());
            return EXIT_FAILURE;
        }
    }
    return EXIT_SUCCESS;
}
