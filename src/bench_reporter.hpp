/// Benchmark reporter that collects the results by input size.
#pragma once

#include "bench_slope.hpp"

#include <benchmark/benchmark.h>

#include <map>
#include <string>
#include <vector>

namespace arbutusgate {

/// Prints the standard console table and stores the points of each quantity.
/// Runs that failed or have no size argument are not stored.
class bench_reporter final : public benchmark::ConsoleReporter
{
public:
    bench_reporter() : ConsoleReporter(OO_Tabular) {}

    void ReportRuns(const std::vector<Run>& runs) override;

    /// Points keyed by "benchmark/quantity", such as "route/ns".
    const std::map<std::string, std::vector<slope_point>>& series() const
    {
        return series_;
    }

private:
    std::map<std::string, std::vector<slope_point>> series_;
};

/// Markdown table of the fitted slopes, for docs/CAPACITY.md.
std::string
slope_table(const std::map<std::string, std::vector<slope_point>>& series);

/// Self-contained HTML page with one plot per quantity.
std::string
slope_report(const std::map<std::string, std::vector<slope_point>>& series);

} // namespace arbutusgate
