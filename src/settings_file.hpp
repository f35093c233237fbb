/// Decides when the text of a settings file, which another program writes, is
/// complete and can be used.
///
/// Failure: a process that reads the file while it is written takes the keys
/// that are still missing for unset, and uses their defaults.
#pragma once

#include "gateway_settings.hpp"

#include <optional>
#include <string>

namespace arbutusgate::gateway {

/// Result of one reading of a settings file.
struct settings_reading
{
    enum class state
    {
        unchanged,  ///< Nothing to do.
        incomplete, ///< Has to be read again; error says what is missing.
        rejected,   ///< Complete, but invalid for the reason in error.
        accepted,   ///< Complete and valid.
    };

    state                           outcome = state::unchanged;
    std::string                     error{};
    std::optional<gateway_settings> settings{}; ///< Set when accepted.
};

/// Does no I/O: the owner reads the file and passes in its text. Belongs to one
/// thread.
class settings_file
{
public:
    /// A text that ends with the end marker of a YAML document, a line of three
    /// dots, is complete. One without is complete when it has not changed for
    /// this time, unless the accepted text ends with the marker or begins with
    /// this one.
    static constexpr milliseconds settle_time{1000};

    /// \param name of the file, for error messages.
    explicit settings_file(std::string name) : name_(std::move(name)) {}

    /// \param text the whole file, or the error of reading it.
    /// \param forced accepts or rejects a text again that has not changed.
    settings_reading update(const absl::StatusOr<std::string>& text,
                            time_point now, bool forced = false);

    /// Whether a text that was found incomplete may soon be complete.
    bool settling(time_point now) const
    {
        return !decided_ && now - changed_at_ <= settle_time;
    }

private:
    std::string name_;
    std::string latest_;   ///< Text of the last update.
    std::string accepted_; ///< Text of the settings in force.
    time_point  changed_at_{};
    bool        decided_ = false; ///< latest_ was accepted or rejected.
};

} // namespace arbutusgate::gateway
