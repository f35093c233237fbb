#include "cli_options.hpp"

#include "config_reader.hpp"
#include "http_client.hpp"
#include "text.hpp"

#include <getopt.h>

#include <algorithm>
#include <array>

namespace arbutusgate {

namespace {

/// One subcommand and what it needs.
struct command_rule
{
    std::string_view name;
    std::size_t      operands;
    bool             admin;         ///< Needs --admin.
    bool             site;          ///< Needs --site.
    bool             files = false; ///< Takes files in place of --admin.
};

constexpr std::array<command_rule, 6> rules = {{
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

absl::Status wrong_use(const std::string& message)
{
    return absl::InvalidArgumentError(message);
}

template <class Names>
std::string hint(std::string_view name, const Names& names)
{
    return suggest(name,
                   std::vector<std::string_view>(names.begin(), names.end()));
}

void apply(int code, cli_options& out)
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
        return wrong_use(concat("unknown log level ", quote_text(it.log_level),
                                hint(it.log_level, log_levels)));
    std::string   host;
    std::uint16_t port = 0;
    if (!it.admin.empty() && !parse_address(it.admin, host, port))
        return wrong_use("--admin must be a numeric IP:port");
    return absl::OkStatus();
}

absl::Status check_command(const cli_options& it)
{
    if (it.command.empty())
        return wrong_use("a command is missing");
    const auto rule =
        std::find_if(rules.begin(), rules.end(), [&](const command_rule& rule) {
            return rule.name == it.command;
        });
    if (rule == rules.end()) {
        std::vector<std::string_view> names;
        for (const auto& known : rules)
            names.push_back(known.name);
        return wrong_use(concat("unknown command ", quote_text(it.command),
                                hint(it.command, names)));
    }
    const bool has_files =
        rule->files && it.admin.empty() && it.operands.size() > rule->operands;
    if (has_files)
        return absl::OkStatus();
    if (it.operands.size() != rule->operands)
        return wrong_use(concat(it.command, " takes ", rule->operands,
                                " operands, not ", it.operands.size()));
    if (rule->admin && it.admin.empty())
        return wrong_use(concat(it.command, " needs --admin IP:PORT"));
    if (rule->site && it.site.empty())
        return wrong_use(concat(it.command, " needs --site NAME"));
    return absl::OkStatus();
}

} // namespace

std::string cli_usage()
{
    return R"(Usage: arbutusgate [OPTION]... COMMAND [OPERAND]...

Commands on documents; DIR holds base.yaml and site/NAME.yaml:
  check DIR            check all sites
  render DIR           effective values of --site with file and line
  diff OLD NEW         changes from directory OLD to NEW, per site

Commands on a running daemon, at its --admin address:
  status               state of the daemon and of its peers and targets
  explain REQUEST_ID   what the daemon did for a request, and why
  drain                take no new requests, finish the running ones, exit

Commands on log files, plain or gzip, of any number of daemons:
  explain REQUEST_ID FILE...   the way of a request in the order of time

Options:
  --site NAME          site to render, or the only one to compare
  --admin IP:PORT      admin address of a daemon
  --json               print JSON instead of tables
  --log-level LEVEL    trace, debug, info, warn (default) or error
  --help               show this text
  --version            show the version

Exit code: 0 done, 1 failed run or documents with errors, 2 wrong use.
)";
}

absl::StatusOr<cli_options> parse_cli_options(int argc, char** argv)
{
    cli_options out;
    opterr = 0;
    optind = 0; // restarts the scan
    for (;;) {
        const int code = getopt_long(argc, argv, ":", long_options, nullptr);
        if (code == -1)
            break;
        if (code == ':' || code == '?')
            return wrong_use(
                concat(code == ':' ? "no value for " : "unknown option ",
                       quote_text(argv[optind - 1])));
        apply(code, out);
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
