#include "option_table.hpp"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <getopt.h>

#include <array>
#include <cmath>
#include <cstdio>

namespace arbutusgate {

namespace {

constexpr const char* version_text = ARBUTUSGATE_VERSION;
constexpr std::array  log_levels   = {"trace", "debug", "info",
                                      "warn",  "error", "off"};
// getopt_long returns '?' for an invalid option, so that the options' own codes
// start above all characters.
constexpr int first_option_code = 256;

} // namespace

option_table::option_table(std::string usage) : usage_(std::move(usage))
{
    add("help", "", "print this help", {});
    add("version", "", "print the version", {});
    add("log-level", "LEVEL", "trace, debug, info, warn, error or off",
        [this](const std::string& text) {
            for (const auto* it : log_levels) {
                if (text == it) {
                    log_level_ = text;
                    return true;
                }
            }
            return false;
        });
}

void option_table::add(std::string name, std::string value, std::string help,
                       std::function<bool(const std::string&)> set)
{
    entries_.push_back(
        {std::move(name), std::move(value), std::move(help), std::move(set)});
}

void option_table::add_flag(std::string name, std::string help, bool& flag)
{
    add(std::move(name), "", std::move(help), [&flag](const std::string&) {
        flag = true;
        return true;
    });
}

void option_table::add_text(std::string name, std::string value,
                            std::string help, std::string& text)
{
    add(std::move(name), std::move(value), std::move(help),
        [&text](const std::string& it) {
            text = it;
            return true;
        });
}

bool option_table::parse_double(const std::string& text, double& number)
{
    return absl::SimpleAtod(text, &number) && std::isfinite(number);
}

void option_table::print_help() const
{
    std::printf("usage: %s\n\n", usage_.c_str());
    for (const auto& it : entries_) {
        const auto name =
            "--" + it.name + (it.value.empty() ? "" : " " + it.value);
        std::printf("  %-28s %s\n", name.c_str(), it.help.c_str());
    }
}

std::optional<int> option_table::parse(int argc, char** argv)
{
    std::vector<option> options;
    for (std::size_t n = 0; n < entries_.size(); ++n)
        options.push_back(
            {entries_[n].name.c_str(),
             entries_[n].value.empty() ? no_argument : required_argument,
             nullptr, first_option_code + static_cast<int>(n)});
    options.push_back({});
    optind = 1;
    for (;;) {
        const int code = getopt_long(argc, argv, "", options.data(), nullptr);
        if (code == -1)
            break;
        if (code < first_option_code)
            return exit_status::usage_error;
        const auto& it =
            entries_[static_cast<std::size_t>(code - first_option_code)];
        if (it.name == "help") {
            print_help();
            return exit_status::ok;
        }
        if (it.name == "version") {
            std::printf("%s\n", version_text);
            return exit_status::ok;
        }
        if (!it.set(optarg ? optarg : "")) {
            std::fprintf(stderr, "%s: invalid value for --%s\n", argv[0],
                         it.name.c_str());
            return exit_status::usage_error;
        }
    }
    if (optind == argc)
        return std::nullopt;
    std::fprintf(stderr, "%s: unexpected argument: %s\n", argv[0],
                 argv[optind]);
    return exit_status::usage_error;
}

std::vector<std::string> split_list(const std::string& text)
{
    return absl::StrSplit(text, ',', absl::SkipEmpty());
}

} // namespace arbutusgate
