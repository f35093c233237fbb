#include "load_report_header.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <cmath>

namespace arbutusgate {

namespace {

absl::string_view to_absl(std::string_view it)
{
    return {it.data(), it.size()};
}

/// Sets the field of the report.
/// \return false when the value is malformed.
bool set_field(load_report& report, absl::string_view name,
               absl::string_view value)
{
    if (name == "state") {
        report.leaving = value == "leaving";
        return report.leaving || value == "serving";
    }
    // A bad limit must not hide the rest of the report.
    if (name == "limit") {
        double calls = 0;
        if (absl::SimpleAtod(value, &calls) && std::isfinite(calls) &&
            calls >= 0)
            report.call_limit = calls;
        else
            report.unreadable_limit = true;
        return true;
    }
    std::uint32_t n = 0;
    if (name == "lag_ms") {
        if (!absl::SimpleAtoi(value, &n))
            return false;
        report.lag = milliseconds{n};
        return true;
    }
    if (name == "in_flight")
        return absl::SimpleAtoi(value, &report.in_flight);
    if (name == "queued")
        return absl::SimpleAtoi(value, &report.queued);
    if (name == "capacity")
        return absl::SimpleAtoi(value, &report.capacity);
    return true;
}

} // namespace

std::optional<load_report> parse_load_report(std::string_view text)
{
    load_report report;
    if (text.empty())
        return std::nullopt;
    for (const auto part : absl::StrSplit(to_absl(text), ',')) {
        const std::pair<absl::string_view, absl::string_view> it =
            absl::StrSplit(absl::StripAsciiWhitespace(part),
                           absl::MaxSplits('=', 1));
        if (!set_field(report, it.first, it.second))
            return std::nullopt;
    }
    return report;
}

} // namespace arbutusgate
