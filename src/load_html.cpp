#include "load_report.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace arbutusgate {

namespace {

using point_list = std::vector<std::pair<double, double>>;

constexpr double     width   = 640;
constexpr double     height  = 220;
constexpr double     margin  = 44;
constexpr std::array colours = {"#1b6ca8", "#c8553d", "#3a7d44", "#8e5572",
                                "#e0a100", "#00798c", "#555b6e"};

std::string escape(std::string_view text)
{
    std::string out;
    for (const char it : text) {
        if (it == '<')
            out += "&lt;";
        else if (it == '>')
            out += "&gt;";
        else if (it == '&')
            out += "&amp;";
        else
            out += it;
    }
    return out;
}

std::string label(double x, double y, std::string_view text,
                  const char* anchor = "start")
{
    return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" "
                           "text-anchor=\"%s\">%s</text>",
                           x, y, anchor, escape(text));
}

std::string line(const point_list& points, const char* colour)
{
    std::string text = "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"";
    absl::StrAppend(&text, colour, "\" points=\"");
    for (const auto& [x, y] : points)
        absl::StrAppendFormat(&text, "%.1f,%.1f ", x, y);
    return text + "\"/>";
}

std::string svg(double svg_height, const std::string& content)
{
    return absl::StrFormat("<svg width=\"%.0f\" height=\"%.0f\" "
                           "viewBox=\"0 0 %.0f %.0f\">%s</svg>",
                           width, svg_height, width, svg_height, content);
}

std::string frame()
{
    return absl::StrFormat("<rect x=\"%.0f\" y=\"10\" width=\"%.0f\" "
                           "height=\"%.0f\" fill=\"none\" stroke=\"#999\"/>",
                           margin, width - margin - 10, height - 40);
}

double plot_x(double share)
{
    return margin + share * (width - margin - 10);
}

double plot_y(double share)
{
    return 10 + (1 - share) * (height - 40);
}

/// Cumulative latency distribution of complete responses, one curve for
/// each pipeline.
std::string latency_plot(const std::vector<load_group>& groups)
{
    constexpr double min_exponent = 0; // log10 of 1 ms
    constexpr double max_exponent = 5; // log10 of 100 s
    std::string      text         = frame();
    for (int n = 0; n <= 5; ++n) {
        const auto x =
            plot_x((n - min_exponent) / (max_exponent - min_exponent));
        text += line({{x, plot_y(0)}, {x, plot_y(1)}}, "#ddd");
        text += label(x, height - 14, absl::StrCat("1e", n, " ms"), "middle");
    }
    text += label(4, plot_y(1) + 10, "1") + label(4, plot_y(0), "0");
    for (std::size_t n = 0; n < groups.size(); ++n) {
        const auto* colour = colours[n % colours.size()];
        point_list  points;
        for (const auto& [at, share] :
             groups[n].latency.cumulative_distribution())
            points.emplace_back(
                plot_x(std::clamp((std::log10(at) - min_exponent) /
                                      (max_exponent - min_exponent),
                                  0.0, 1.0)),
                plot_y(share));
        const auto y = 26 + 14.0 * static_cast<double>(n);
        text += line(points, colour);
        text += line({{margin + 8, y - 4}, {margin + 24, y - 4}}, colour);
        text += label(margin + 28, y, groups[n].name);
    }
    return svg(height, text);
}

/// Requests, and those of them completed on time, by second of arrival.
std::string timeline_plot(const std::vector<timeline_second>& seconds)
{
    std::uint64_t max_value = 1;
    for (const auto& it : seconds)
        max_value = std::max(max_value, it.requests);
    point_list requests;
    point_list whole;
    for (std::size_t n = 0; n < seconds.size(); ++n) {
        const auto x = plot_x((static_cast<double>(n) + 0.5) /
                              static_cast<double>(seconds.size()));
        const auto y = [&](std::uint64_t value) {
            return plot_y(static_cast<double>(value) /
                          static_cast<double>(max_value));
        };
        requests.emplace_back(x, y(seconds[n].requests));
        whole.emplace_back(x, y(seconds[n].whole));
    }
    return svg(height,
               frame() + line(requests, colours[1]) + line(whole, colours[0]) +
                   label(4, 20, absl::StrCat(max_value, "/s")) +
                   label(margin, height - 14, "0 s") +
                   label(width - 10, height - 14,
                         absl::StrCat(seconds.size(), " s"), "end") +
                   label(width / 2, height - 14,
                         "red: requests, blue: whole in time", "middle"));
}

struct bar
{
    std::string name;
    double      value     = 0; ///< Length of the first segment.
    double      secondary = 0; ///< Length of the segment appended to the first.
    std::string text;
};

std::string bar_plot(const std::vector<bar>& bars)
{
    constexpr double row       = 18;
    constexpr double at        = 240;
    double           max_value = 1e-9; // avoids a division by zero
    for (const auto& it : bars)
        max_value = std::max(max_value, it.value + it.secondary);
    std::string text;
    for (std::size_t n = 0; n < bars.size(); ++n) {
        const auto& it   = bars[n];
        const auto  y    = row * static_cast<double>(n);
        const auto  unit = (width - at - 120) / max_value;
        text += label(at - 6, y + 13, it.name, "end");
        text += absl::StrFormat("<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                                "height=\"13\" fill=\"%s\"/>",
                                at, y + 2, it.value * unit, colours[0]);
        text += absl::StrFormat("<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                                "height=\"13\" fill=\"%s\"/>",
                                at + it.value * unit, y + 2,
                                it.secondary * unit, colours[1]);
        text +=
            label(at + (it.value + it.secondary) * unit + 4, y + 13, it.text);
    }
    return svg(row * static_cast<double>(bars.size()) + 4, text);
}

std::string attainment_plot(const std::vector<load_group>& groups)
{
    std::vector<bar> bars;
    for (const auto& it : groups)
        bars.push_back(
            {it.name, it.attainment(), 0,
             absl::StrFormat("%.3f of %d", it.attainment(), it.requests)});
    return bar_plot(bars);
}

std::string cost_plot(const std::vector<stage_cost>& stages)
{
    std::vector<bar> bars;
    for (const auto& it : stages)
        bars.push_back({it.pipeline + " / " + it.stage, it.useful, it.wasted,
                        absl::StrFormat("%.0f + %.0f", it.useful, it.wasted)});
    return bar_plot(bars);
}

} // namespace

std::string html_report(const load_summary& summary)
{
    std::string text =
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>"
        "Load report</title><style>body{font:14px sans-serif;max-width:60em;"
        "margin:2em auto}svg text{font-size:11px}pre{background:#f4f4f4;"
        "padding:1em;overflow:auto}</style><body>";
    const auto add = [&](std::string_view title, const std::string& content) {
        absl::StrAppend(&text, "<h2>", std::string(title), "</h2>", content);
    };
    absl::StrAppend(&text, "<h1>Load report: ", escape(summary.name),
                    "</h1><p><code>", result_line(summary), "</code></p>");
    add("Requests by second of arrival", timeline_plot(summary.timeline));
    add("Attainment by pipeline", attainment_plot(summary.pipelines));
    add("Attainment by account", attainment_plot(summary.accounts));
    add("Attainment by daemon", attainment_plot(summary.daemons));
    add("Share of complete answers by time", latency_plot(summary.pipelines));
    add("Cost by stage (useful + wasted)", cost_plot(summary.stages));
    add("Figures", "<pre>" + escape(text_report(summary)) + "</pre>");
    return text + "</body></html>\n";
}

} // namespace arbutusgate
