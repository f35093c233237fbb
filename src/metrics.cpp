#include "metrics.hpp"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace arbutusgate {

namespace {

namespace bh = boost::histogram;

constexpr int    latency_bins        = 48;
constexpr double min_latency_seconds = 0.0005;
constexpr double max_latency_seconds = 600.0;
constexpr auto   shard_count         = 16;

using bin_counter = bh::accumulators::count<std::uint64_t, true>;
using log_axis    = bh::axis::regular<double, bh::axis::transform::log>;
using histogram =
    bh::histogram<std::tuple<log_axis>, bh::dense_storage<bin_counter>>;

/// Latency histogram of one series, with atomic counters.
struct latency_series
{
    histogram bins{std::tuple(log_axis(latency_bins, min_latency_seconds,
                                       max_latency_seconds, "seconds"))};
    std::atomic<std::uint64_t> sum_us{0};

    void observe(microseconds it)
    {
        bins(std::chrono::duration<double>(it).count());
        sum_us += static_cast<std::uint64_t>(it.count());
    }
};

struct cost_series
{
    std::atomic<double> value{0};
};

struct counter_series
{
    std::atomic<std::uint64_t> value{0};
};

/// Series by label text. Split into shards with one lock each to reduce
/// contention.
template <class Series>
class series_map
{
public:
    template <class Action>
    void apply(const std::string& labels, Action action)
    {
        auto& it = shards_[std::hash<std::string>{}(labels) % shard_count];
        std::lock_guard lock(it.mutex);
        auto&           series = it.series[labels];
        if (!series)
            series = std::make_unique<Series>();
        action(*series);
    }

    template <class Action>
    void for_each(Action action) const
    {
        std::map<std::string, const Series*> sorted;
        for (const auto& it : shards_) {
            std::lock_guard lock(it.mutex);
            for (const auto& [labels, series] : it.series)
                sorted.emplace(labels, series.get());
        }
        for (const auto& [labels, series] : sorted)
            action(labels, *series);
    }

private:
    struct shard
    {
        mutable std::mutex                             mutex;
        std::map<std::string, std::unique_ptr<Series>> series;
    };
    std::array<shard, shard_count> shards_;
};

/// Appends `name="value"`, preceded by a comma unless it is the first label.
void add_label(std::string& text, std::string_view name, std::string_view value)
{
    if (!text.empty())
        text += ',';
    text += name;
    text += "=\"";
    if (value.find_first_of("\"\\\n") == value.npos) {
        text += value;
    }
    else {
        for (const char c : value) {
            if (c == '"' || c == '\\')
                text += '\\';
            text += c == '\n' ? ' ' : c;
        }
    }
    text += '"';
}

/// \return an empty string that reuses its memory between calls on the same
/// thread.
std::string& reusable_label_buffer()
{
    thread_local std::string text;
    text.clear();
    return text;
}

void write_header(std::ostream& out, std::string_view name,
                  std::string_view type, std::string_view help)
{
    out << "# HELP arbutusgate_" << name << ' ' << help
        << "\n# TYPE arbutusgate_" << name << ' ' << type << '\n';
}

void write_latency(std::ostream& out, std::string_view name,
                   const std::string& labels, const latency_series& series)
{
    const auto&   axis = series.bins.axis();
    std::uint64_t sum  = series.bins.at(-1).value();
    for (int n = 0; n < axis.size(); ++n) {
        sum += series.bins.at(n).value();
        out << "arbutusgate_" << name << "_bucket{" << labels << ",le=\""
            << axis.bin(n).upper() << "\"} " << sum << '\n';
    }
    sum += series.bins.at(axis.size()).value();
    out << "arbutusgate_" << name << "_bucket{" << labels << ",le=\"+Inf\"} "
        << sum << "\narbutusgate_" << name << "_sum{" << labels << "} "
        << static_cast<double>(series.sum_us.load()) / 1e6 << "\narbutusgate_"
        << name << "_count{" << labels << "} " << sum << '\n';
}

template <class Reason>
void write_reasons(std::ostream& out, std::string_view name,
                   const reason_counters& reasons)
{
    for (std::size_t n = 0; n < static_cast<std::size_t>(Reason::count); ++n) {
        const auto it = static_cast<Reason>(n);
        out << "arbutusgate_" << name << "{reason=\"" << to_string(it) << "\"} "
            << reasons.get(it) << '\n';
    }
}

} // namespace

struct metrics::impl
{
    template <class Series>
    static void write_values(std::ostream& out, std::string_view name,
                             std::string_view          help,
                             const series_map<Series>& map)
    {
        write_header(out, name, "counter", help);
        map.for_each([&](const std::string& labels, const Series& it) {
            out << "arbutusgate_" << name << '{' << labels << "} " << it.value
                << '\n';
        });
    }

    static void write_latencies(std::ostream& out, std::string_view name,
                                std::string_view                  help,
                                const series_map<latency_series>& map)
    {
        write_header(out, name, "histogram", help);
        map.for_each([&](const std::string& labels, const latency_series& it) {
            write_latency(out, name, labels, it);
        });
    }

    series_map<counter_series> requests;
    series_map<counter_series> attempts;
    series_map<latency_series> request_latency;
    series_map<latency_series> attempt_latency;
    series_map<latency_series> first_text;
    series_map<cost_series>    cost;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::count_request(std::string_view pipeline, std::string_view outcome,
                            microseconds latency)
{
    auto& labels = reusable_label_buffer();
    add_label(labels, "pipeline", pipeline);
    impl_->request_latency.apply(labels,
                                 [&](auto& it) { it.observe(latency); });
    add_label(labels, "outcome", outcome);
    impl_->requests.apply(labels, [](auto& it) { ++it.value; });
}

void metrics::count_attempt(std::string_view pipeline, std::string_view stage,
                            std::string_view outcome, microseconds latency)
{
    auto& labels = reusable_label_buffer();
    add_label(labels, "pipeline", pipeline);
    add_label(labels, "stage", stage);
    impl_->attempt_latency.apply(labels,
                                 [&](auto& it) { it.observe(latency); });
    add_label(labels, "outcome", outcome);
    impl_->attempts.apply(labels, [](auto& it) { ++it.value; });
}

void metrics::observe_first_text(std::string_view pipeline,
                                 microseconds     latency)
{
    auto& labels = reusable_label_buffer();
    add_label(labels, "pipeline", pipeline);
    impl_->first_text.apply(labels, [&](auto& it) { it.observe(latency); });
}

void metrics::add_cost(std::string_view pipeline, std::string_view stage,
                       double cost, bool wasted)
{
    auto& labels = reusable_label_buffer();
    add_label(labels, "pipeline", pipeline);
    add_label(labels, "stage", stage);
    add_label(labels, "use", wasted ? "wasted" : "complete");
    impl_->cost.apply(labels, [&](auto& it) { it.value += cost; });
}

std::string
metrics::text(const std::initializer_list<metric_sample>& samples) const
{
    std::ostringstream out;
    for (const auto& it : samples) {
        write_header(out, it.name, it.counter ? "counter" : "gauge", it.help);
        out << "arbutusgate_" << it.name << ' ' << it.value << '\n';
    }
    write_header(out, "refusals_total", "counter",
                 "Requests without a complete answer by reason.");
    write_reasons<refusal_reason>(out, "refusals_total", reasons_);
    write_header(out, "retries_total", "counter",
                 "Repeated attempts by reason.");
    write_reasons<retry_reason>(out, "retries_total", reasons_);
    write_header(out, "responses_lost_total", "counter",
                 "Connections that ended before the response was complete.");
    write_reasons<response_loss>(out, "responses_lost_total", reasons_);
    write_header(out, "wrong_results_total", "counter",
                 "Results dropped because they belong to other work.");
    out << "arbutusgate_wrong_results_total " << wrong_results_ << '\n';
    impl::write_values(out, "requests_total", "Requests by outcome.",
                       impl_->requests);
    impl::write_values(out, "attempts_total", "Stage attempts by outcome.",
                       impl_->attempts);
    impl::write_values(out, "stage_cost_total",
                       "Cost units by stage and by use of the result.",
                       impl_->cost);
    impl::write_latencies(out, "request_seconds", "Latency of requests.",
                          impl_->request_latency);
    impl::write_latencies(out, "attempt_seconds", "Latency of stage attempts.",
                          impl_->attempt_latency);
    impl::write_latencies(out, "first_text_seconds",
                          "Time to the first text of streams.",
                          impl_->first_text);
    return out.str();
}

} // namespace arbutusgate
