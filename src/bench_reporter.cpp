#include "bench_reporter.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>

namespace arbutusgate {

namespace {

constexpr double ns_per_second = 1e9;
constexpr int    plot_width    = 420; // pixels
constexpr int    plot_height   = 200; // pixels
constexpr int    plot_margin   = 40;  // pixels

std::string format_plot(const std::vector<slope_point>& points)
{
    double max_size = 0, max_value = 0;
    for (const auto& it : points) {
        max_size  = std::max(max_size, it.size);
        max_value = std::max(max_value, it.value);
    }
    std::string line, marks;
    for (const auto& it : points) {
        const auto x =
            plot_margin + it.size / max_size * (plot_width - 2 * plot_margin);
        const auto y = plot_height - plot_margin -
                       it.value / max_value * (plot_height - 2 * plot_margin);
        absl::StrAppendFormat(&line, "%.1f,%.1f ", x, y);
        absl::StrAppendFormat(&marks, "<circle cx='%.1f' cy='%.1f' r='3'/>", x,
                              y);
    }
    return absl::StrFormat("<svg viewBox='0 0 %d %d' width='%d'>"
                           "<polyline points='%s' fill='none' stroke='#246'/>%s"
                           "<text x='%d' y='%d' text-anchor='end'>%.6g</text>"
                           "<text x='%d' y='20'>%.6g</text></svg>",
                           plot_width, plot_height, plot_width, line, marks,
                           plot_width - plot_margin, plot_height - 10, max_size,
                           plot_margin, max_value);
}

} // namespace

void bench_reporter::ReportRuns(const std::vector<Run>& runs)
{
    ConsoleReporter::ReportRuns(runs);
    for (const auto& it : runs) {
        if (it.error_occurred || it.run_type != Run::RT_Iteration)
            continue;
        const auto& name = it.run_name.function_name;
        const auto  args = it.run_name.args;
        if (args.empty())
            continue;
        const auto size = std::stod(args);
        const auto seconds =
            it.cpu_accumulated_time / static_cast<double>(it.iterations);
        series_[name + "/ns"].push_back({size, seconds * ns_per_second});
        for (const auto& [key, counter] : it.counters)
            series_[name + "/" + key].push_back({size, counter.value});
    }
}

std::string
slope_table(const std::map<std::string, std::vector<slope_point>>& series)
{
    std::string out = "| quantity | base | slope | growth | sizes: values |\n"
                      "|---|---|---|---|---|\n";
    for (const auto& [name, points] : series) {
        if (points.size() < 2)
            continue;
        const auto fit = fit_slope(points);
        absl::StrAppendFormat(&out, "| %s | %.4g | %.4g | %s |", name, fit.base,
                              fit.slope, fit.growth);
        for (const auto& it : points)
            absl::StrAppendFormat(&out, " %g: %.4g;", it.size, it.value);
        out.back() = ' ';
        out += "|\n";
    }
    return out;
}

std::string
slope_report(const std::map<std::string, std::vector<slope_point>>& series)
{
    std::string out = "<!doctype html><meta charset='utf-8'>"
                      "<title>arbutusgate slopes</title>"
                      "<style>body{font:14px sans-serif;margin:2em}"
                      "figure{display:inline-block;margin:1em}</style>"
                      "<h1>Slopes</h1>";
    for (const auto& [name, points] : series) {
        if (points.size() < 2)
            continue;
        const auto fit = fit_slope(points);
        absl::StrAppendFormat(
            &out,
            "<figure><figcaption>%s: %.4g + %.4g n, %s</figcaption>%s"
            "</figure>",
            name, fit.base, fit.slope, fit.growth, format_plot(points));
    }
    return out;
}

} // namespace arbutusgate
