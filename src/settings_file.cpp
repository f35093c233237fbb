#include "settings_file.hpp"

#include "text.hpp"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace arbutusgate::gateway {

namespace {

bool has_end_marker(std::string_view text)
{
    return absl::EndsWith(absl::StripTrailingAsciiWhitespace(to_absl(text)),
                          "\n...");
}

bool is_part_of(const std::string& text, const std::string& whole)
{
    return text.size() < whole.size() && absl::StartsWith(whole, text);
}

} // namespace

settings_reading settings_file::update(const absl::StatusOr<std::string>& text,
                                       time_point now, bool forced)
{
    using state              = settings_reading::state;
    const std::string& known = text.ok() ? *text : "";
    if (known != latest_ || changed_at_ == time_point{}) {
        latest_     = known;
        changed_at_ = now;
        decided_    = false;
    }
    if (!text.ok())
        return {state::incomplete, std::string(text.status().message())};
    if (absl::StripAsciiWhitespace(latest_).empty())
        return {state::incomplete, concat(name_, ": the file is empty")};
    if (decided_ && !forced)
        return {};
    if (!has_end_marker(latest_) &&
        (has_end_marker(accepted_) || is_part_of(latest_, accepted_) ||
         now - changed_at_ < settle_time))
        return {state::incomplete,
                concat(name_, ": the file does not end with \"...\"")};
    decided_      = true;
    auto settings = parse_gateway_settings(latest_, name_);
    if (!settings.ok())
        return {state::rejected, std::string(settings.status().message())};
    accepted_ = latest_;
    return {state::accepted, "", *std::move(settings)};
}

} // namespace arbutusgate::gateway
