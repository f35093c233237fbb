/// Long command-line options, parsed with getopt_long.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {

/// Exit statuses of the programs.
namespace exit_status {
inline constexpr int ok          = 0;
inline constexpr int failed      = 1; ///< The run failed.
inline constexpr int usage_error = 2;
} // namespace exit_status

/// Options of one program with their help texts. `--help`, `--version` and
/// `--log-level` are always included.
class option_table
{
public:
    /// \param usage synopsis in the first line of the help.
    explicit option_table(std::string usage);

    /// \param value name of the value in the help; empty for a flag.
    /// \param set returns false when the value is invalid.
    void add(std::string name, std::string value, std::string help,
             std::function<bool(const std::string&)> set);
    void add_flag(std::string name, std::string help, bool& flag);
    void add_text(std::string name, std::string value, std::string help,
                  std::string& text);
    /// Adds a number between `min` and the largest value of its type.
    template <class Number>
    requires std::integral<Number> || std::floating_point<Number>
    void add_number(std::string name, std::string value, std::string help,
                    Number& number, double min = 0)
    {
        add(std::move(name), std::move(value), std::move(help),
            [&number, min](const std::string& text) {
                return parse_number(text, min, number);
            });
    }
    /// Adds a number that stays empty unless the option is given.
    template <class Number>
    void add_number(std::string name, std::string value, std::string help,
                    std::optional<Number>& number, double min = 0)
    {
        add(std::move(name), std::move(value), std::move(help),
            [&number, min](const std::string& text) {
                return parse_number(text, min, number.emplace());
            });
    }
    /// Adds a non-negative whole number in the duration's unit.
    template <class Rep, class Period>
    void add_time(std::string name, std::string value, std::string help,
                  std::chrono::duration<Rep, Period>& time)
    {
        add(std::move(name), std::move(value), std::move(help),
            [&time](const std::string& text) {
                std::uint32_t n = 0;
                if (!parse_number(text, 0, n))
                    return false;
                time = std::chrono::duration<Rep, Period>{n};
                return true;
            });
    }

    /// Parses the arguments and prints help, version or errors.
    /// \return exit status when the program must end, otherwise empty.
    std::optional<int> parse(int argc, char** argv);
    const std::string& log_level() const { return log_level_; }

private:
    struct entry
    {
        std::string name;
        std::string value; ///< Name in the help; empty for a flag.
        std::string help;
        std::function<bool(const std::string&)> set;
    };

    static bool parse_double(const std::string& text, double& number);
    template <class Number>
    static bool parse_number(const std::string& text, double min,
                             Number& number);
    void        print_help() const;

    std::string        usage_;
    std::string        log_level_ = "info";
    std::vector<entry> entries_;
};

template <class Number>
bool option_table::parse_number(const std::string& text, double min,
                                Number& number)
{
    double parsed = 0;
    if (!parse_double(text, parsed) || parsed < min)
        return false;
    if constexpr (std::integral<Number>) {
        // A double represents whole numbers exactly only up to 2^53.
        constexpr double max_exact = 9007199254740992.0; // 2^53
        const auto       max_value = std::min(
                  max_exact, static_cast<double>(std::numeric_limits<Number>::max()));
        if (parsed != std::floor(parsed) || parsed > max_value)
            return false;
    }
    number = static_cast<Number>(parsed);
    return true;
}

/// Splits a comma-separated list; empty items are omitted.
std::vector<std::string> split_list(const std::string& text);

} // namespace arbutusgate
