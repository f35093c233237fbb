#include "cli_options.hpp"

#include "config_reader.hpp"
#include "http_client.hpp"
#include "text.hpp"

#include <getopt.h>

#include <algorithm>
#include <array>

namespace arbutusgate {

namespace {

/// One command with its operands and required options.
struct command_rule
{
    std::string_view name;
    std::size_t      operand_count;
    bool             needs_admin;           ///< Requires --admin.
    bool             needs_site;            ///< Requires --site.
    bool             accepts_files = false; ///< Log files replace --admin.
};

constexpr std::array<command_rule, 6> commands = {{
    {"check", 1, false, false},
    {"render", 1, false, true},
    {"diff", 2, false, false},
    {"status", 0, true, false},
    {"explain", 1, true, false, true},
    {"drain", 0, true, false},
}};

constexpr std::array<std::string_view, 5> log_levels = {
    "trace", "debug", "info", "warn", "error"};

enum option_code
{
    opt_help = 256,
    opt_version,
    opt_log_level,
    opt_json,
    opt_site,
    opt_admin,
};

const option long_options[] = {
    {"help", no_argument, nullptr, opt_help},
    {"version", no_argument, nullptr, opt_version},
    {"log-level", required_argument, nullptr, opt_log_level},
    {"json", no_argument, nullptr, opt_json},
    {"site", required_argument, nullptr, opt_site},
    {"admin", required_argument, nullptr, opt_admin},
    {nullptr, 0, nullptr, 0},
};

absl::Status usage_error(const std::string& message)
{
    return absl::InvalidArgumentError(message);
}

template <class Names>
std::string suggestion(std::string_view name, const Names& names)
{
    return suggest(name,
                   std::vector<std::string_view>(names.begin(), names.end()));
}

void apply_option(int code, cli_options& out)
{
    switch (code) {
    case opt_help:
        out.help = true;
        break;
    case opt_version:
        out.version = true;
        break;
    case opt_json:
        out.json = true;
        break;
    case opt_site:
        out.site = optarg;
        break;
    case opt_admin:
        out.admin = optarg;
        break;
    case opt_log_level:
        out.log_level = optarg;
        break;
    default:
        break;
    }
}

absl::Status check_values(const cli_options& it)
{
    if (std::find(log_levels.begin(), log_levels.end(), it.log_level) ==
        log_levels.end())
        return usage_error(concat("unknown log level ",
                                  quote_text(it.log_level),
                                  suggestion(it.log_level, log_levels)));
    std::string   host;
    std::uint16_t port = 0;
    if (!it.admin.empty() && !parse_address(it.admin, host, port))
        return usage_error("--admin must be a numeric IP:port");
    return absl::OkStatus();
}

absl::Status check_command(const cli_options& it)
{
    if (it.command.empty())
        return usage_error("no command given");
    const auto rule = std::find_if(
        commands.begin(), commands.end(),
        [&](const command_rule& rule) { return rule.name == it.command; });
    if (rule == commands.end()) {
        std::vector<std::string_view> names;
        for (const auto& known : commands)
            names.push_back(known.name);
        return usage_error(concat("unknown command ", quote_text(it.command),
                                  suggestion(it.command, names)));
    }
    const bool has_files = rule->accepts_files && it.admin.empty() &&
                           it.operands.size() > rule->operand_count;
    if (has_files)
        return absl::OkStatus();
    if (it.operands.size() != rule->operand_count)
        return usage_error(concat(it.command, " takes ", rule->operand_count,
                                  " operands, not ", it.operands.size()));
    if (rule->needs_admin && it.admin.empty())
        return usage_error(concat(it.command, " needs --admin IP:PORT"));
    if (rule->needs_site && it.site.empty())
        return usage_error(concat(it.command, " needs --site NAME"));
    return absl::OkStatus();
}

} // namespace

std::string cli_usage()
{
    return R"(Usage: arbutusgate [OPTION]... COMMAND [OPERAND]...

Commands on configuration; DIR contains base.yaml and site/NAME.yaml:
  check DIR            check all sites
  render DIR           print effective values of --site with file and line
  diff OLD NEW         compare the directories OLD and NEW, site by site

Commands on a running daemon, at its --admin address:
  status               show the state of the daemon, its peers and targets
  explain REQUEST_ID   show what the daemon did for a request, and why
  drain                accept no new requests, finish running ones and exit

Commands on log files, plain or gzip, of any number of daemons:
  explain REQUEST_ID FILE...   show the events of a request in time order

Options:
  --site NAME          site to render, or the only one to compare
  --admin IP:PORT      admin address of a daemon
  --json               print JSON instead of tables
  --log-level LEVEL    trace, debug, info, warn (default) or error
  --help               show this text
  --version            show the version

Exit code: 0 success, 1 failure or documents with errors, 2 invalid usage.
)";
}

absl::StatusOr<cli_options> parse_cli_options(int argc, char** argv)
{
    cli_options out;
    opterr = 0;
    optind = 0; // makes getopt_long start a new scan
    for (;;) {
        const int code = getopt_long(argc, argv, ":", long_options, nullptr);
        if (code == -1)
            break;
        if (code == ':' || code == '?')
            return usage_error(
                concat(code == ':' ? "no value for " : "unknown option ",
                       quote_text(argv[optind - 1])));
        apply_option(code, out);
    }
    if (optind < argc)
        out.command = argv[optind++];
    out.operands.assign(argv + std::min(optind, argc), argv + argc);
    if (auto status = check_values(out); !status.ok())
        return status;
    if (out.help || out.version)
        return out;
    if (auto status = check_command(out); !status.ok())
        return status;
    return out;
}

} // namespace arbutusgate
