#include "load_main.hpp"

#include "http_client.hpp"
#include "load_check.hpp"
#include "load_mix.hpp"
#include "load_plan.hpp"
#include "load_report.hpp"
#include "load_run.hpp"
#include "load_summary.hpp"
#include "log.hpp"
#include "option_table.hpp"

#include "absl/strings/str_cat.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <optional>
#include <thread>

namespace arbutusgate {

namespace {

constexpr double        max_rate       = 20000;
constexpr std::uint32_t max_duration_s = 3600;
constexpr double        max_requests   = 1e6;
// Time for the stand-ins to record work that was cancelled at the end of the
// run, before their records are read.
constexpr milliseconds cancel_settle_time{300};

struct load_options
{
    std::vector<std::string> targets;
    std::string              mix;
    double                   rate         = 0;
    std::uint32_t            duration_s   = 0; ///< Duration of the run.
    std::uint64_t            seed         = 1;
    std::uint32_t            threads      = 2;
    double                   deadly_share = 0; ///< Of requests to engines.
    std::string              json;
    std::string              html;
    std::vector<std::string> controls;
    std::vector<std::string> may_die;
};

bool parse_addresses(const std::string& text, std::vector<std::string>& all)
{
    all = split_list(text);
    return !all.empty() && std::all_of(all.begin(), all.end(), [](auto& it) {
        std::string   host;
        std::uint16_t port = 0;
        return parse_address(it, host, port);
    });
}

void add_options(option_table& table, load_options& it)
{
    const auto addresses = [](std::vector<std::string>& all) {
        return [&all](const std::string& text) {
            return parse_addresses(text, all);
        };
    };
    table.add("target", "IP:PORT[,...]", "daemons", addresses(it.targets));
    table.add_text("mix", "NAME|FILE", "kestrelveld, brazos or a YAML file",
                   it.mix);
    table.add_number("rate", "R", "requests/s", it.rate);
    table.add_number("seconds", "S", "length of the run", it.duration_s);
    table.add_number("seed", "N", "of the arrivals and requests", it.seed);
    table.add_number("deadly-share", "S",
                     "requests to engines that crash stand-in engines",
                     it.deadly_share);
    table.add_number("threads", "N", "threads that send", it.threads, 1);
    table.add_text("json", "FILE", "write the figures", it.json);
    table.add_text("html", "FILE", "write a page with plots", it.html);
    table.add("check-executions", "IP:PORT[,...]",
              "control listeners of the stand-ins", addresses(it.controls));
    table.add("may-die", "IP:PORT[,...]",
              "a request lost by any other daemon is a violation",
              addresses(it.may_die));
}

int usage_error(const std::string& text)
{
    std::fprintf(stderr, "arbutusgate-load: %s\n", text.c_str());
    return exit_status::usage_error;
}

bool write_file(const std::string& path, const std::string& text)
{
    if (path.empty())
        return true;
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    return !file.fail();
}

/// Returns a run id from the seed and the time, so that two runs within the
/// retry window of the daemons use different idempotency keys.
std::string make_run_id(std::uint64_t seed)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return absl::StrCat(seed, "-",
                        std::chrono::duration_cast<milliseconds>(now).count() %
                            1000000000);
}

/// Returns the indices in `daemons` of the addresses that are listed.
std::vector<std::size_t> find_indices(const std::vector<std::string>& addresses,
                                      const std::vector<std::string>& daemons)
{
    std::vector<std::size_t> found;
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (std::find(addresses.begin(), addresses.end(), daemons[n]) !=
            addresses.end())
            found.push_back(n);
    }
    return found;
}

int report(const load_options& options, const load_summary& summary)
{
    std::printf("%s", text_report(summary).c_str());
    const bool written =
        write_file(options.json,
                   boost::json::serialize(json_report(summary)) + "\n") &&
        write_file(options.html, html_report(summary));
    std::printf("%s\n", result_line(summary).c_str());
    if (!written) {
        log(log_level::error, "cannot write a report",
            {{"json", options.json}, {"html", options.html}});
        return exit_status::failed;
    }
    return summary.violations.empty() ? exit_status::ok : exit_status::failed;
}

int run(const load_options& options, const load_mix& mix)
{
    const auto plan =
        make_plan(mix, options.rate, seconds{options.duration_s}, options.seed,
                  make_run_id(options.seed), options.deadly_share);
    log(log_level::info, "run begins",
        {{"mix", mix.name},
         {"requests", plan.size()},
         {"daemons", options.targets.size()},
         {"seed", options.seed}});
    const auto results = run_plan(mix, plan, options.targets, options.threads);
    log(log_level::info, "run ended", {{"results", results.size()}});
    std::optional<std::vector<executed_work>> executions;
    standin_counters                          counters;
    if (!options.controls.empty()) {
        std::this_thread::sleep_for(cancel_settle_time);
        auto read = read_executions(options.controls);
        if (!read.ok()) {
            log(log_level::error, "cannot read the executions",
                {{"error", std::string(read.status().message())}});
            return exit_status::failed;
        }
        executions      = *std::move(read);
        auto violations = read_counters(options.controls);
        if (!violations.ok()) {
            log(log_level::error, "cannot read the counters of the stand-ins",
                {{"error", std::string(violations.status().message())}});
            return exit_status::failed;
        }
        counters = *std::move(violations);
    }
    const check_input input{mix,
                            plan,
                            results,
                            executions,
                            options.targets,
                            find_indices(options.may_die, options.targets),
                            std::move(counters)};
    return report(options, summarize(input, find_violations(input)));
}

} // namespace

int load_main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    load_options options;
    option_table table("arbutusgate-load --target IP:PORT[,...] --mix NAME "
                       "--rate R --seconds S [options]");
    add_options(table, options);
    if (const auto status = table.parse(argc, argv))
        return *status;
    if (options.targets.empty() || options.mix.empty() || options.rate <= 0 ||
        options.duration_s == 0)
        return usage_error(
            "--target, --mix, --rate and --seconds are required");
    if (options.rate > max_rate || options.duration_s > max_duration_s ||
        options.rate * options.duration_s > max_requests)
        return usage_error(
            "the run exceeds 20000 requests/s, 3600 s or 1000000 "
            "requests");
    if (options.deadly_share < 0 || options.deadly_share > 1)
        return usage_error("--deadly-share is not from 0 to 1");
    const auto mix = read_mix(options.mix);
    if (!mix.ok())
        return usage_error(std::string(mix.status().message()));
    start_log(table.log_level());
    const int status = run(options, *mix);
    stop_log();
    return status;
}

} // namespace arbutusgate
