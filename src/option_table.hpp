/// Long options of a program, parsed with getopt_long.
#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {

/// Exit status of the programs.
namespace exit_status {
inline constexpr int ok        = 0;
inline constexpr int failed    = 1; ///< The run failed.
inline constexpr int wrong_use = 2;
} // namespace exit_status

/// Options of one program with their help. `--help`, `--version` and
/// `--log-level` are always there.
class option_table
{
public:
    /// \param usage first line of the help.
    explicit option_table(std::string usage);

    /// \param set returns false for a wrong value.
    void add(std::string name, std::string value, std::string help,
             std::function<bool(const std::string&)> set);
    void add_flag(std::string name, std::string help, bool& flag);
    void add_text(std::string name, std::string value, std::string help,
                  std::string& text);
    /// Number from `min` up.
    template <class Number>
    requires std::integral<Number> || std::floating_point<Number>
    void add_number(std::string name, std::string value, std::string help,
                    Number& number, double min = 0)
    {
        add(std::move(name), std::move(value), std::move(help),
            [&number, min](const std::string& text) {
                double parsed = 0;
                if (!parse_number(text, parsed) || parsed < min)
                    return false;
                number = static_cast<Number>(parsed);
                return true;
            });
    }

    /// Prints help or an error where due.
    /// \return exit status when the program is to end at once.
    std::optional<int> parse(int argc, char** argv);
    const std::string& log_level() const { return log_level_; }

private:
    struct entry
    {
        std::string                             name;
        std::string                             value; ///< Empty: a flag.
        std::string                             help;
        std::function<bool(const std::string&)> set;
    };

    static bool parse_number(const std::string& text, double& number);
    void        print_help() const;

    std::string        usage_;
    std::string        log_level_ = "info";
    std::vector<entry> entries_;
};

/// Splits at commas; empty parts are left out.
std::vector<std::string> split_list(const std::string& text);

} // namespace arbutusgate
