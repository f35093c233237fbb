/// Limits on the calls that all daemons together send to targets, as far as one
/// daemon knows them: those that targets name, and those of cold targets.
#pragma once

#include "gateway_types.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// What one response of a target said about its limit.
struct target_limit
{
    std::string  target;         ///< Id.
    std::int64_t started_at = 0; ///< Identifies the lifetime of the target.
    /// Calls a second of all daemons together; nullopt: no limit.
    std::optional<double> rate;
    time_point            named_at{}; ///< When the response arrived.
};

/// Limit on the calls to a target while it is cold.
struct cold_period
{
    std::int64_t started_at = 0; ///< Identifies the lifetime of the target.
    /// Calls a second of all daemons together.
    double     rate = 0;
    time_point until{}; ///< The limit ends by itself.
};

/// What a report changed.
enum class limit_change
{
    none,
    named,   ///< The target had no limit before.
    changed, ///< It had another limit.
    ended,   ///< It has no limit any more.
};

struct target_limit_params
{
    /// A target with a higher limit counts as one without a limit.
    double max_rate = 10'000;
    /// Reports of other daemons seem younger by the time that they took. Of two
    /// reports that are closer than this, the lower limit holds.
    milliseconds order_margin{250};
    /// Older reports of other daemons are ignored.
    milliseconds report_lifetime{30'000};
    /// How long the end of a limit is remembered. Longer than report_lifetime,
    /// so that no old report brings the limit back.
    milliseconds ended_retention{60'000};
    /// A limit that no response has confirmed for this long is forgotten.
    milliseconds retention{600'000};
    /// The longest unconfirmed limit makes place for a new one, and the cold
    /// time that ends first for a new one.
    std::size_t max_entries = 1024;
};

/// Counts since start.
struct target_limit_stats
{
    std::uint64_t named       = 0;
    std::uint64_t changed     = 0;
    std::uint64_t ended       = 0;
    std::uint64_t unreadable  = 0; ///< Responses with an unreadable limit.
    std::uint64_t turned_cold = 0; ///< Targets that became cold.
    std::uint64_t turned_warm = 0; ///< Targets whose cold time ended.
};

/// Belongs to one thread; does no I/O and reads no clock.
class target_limits
{
public:
    /// Longer cold times are reduced to this, so that a bad figure ends.
    static constexpr milliseconds max_cold_time{60'000};

    explicit target_limits(target_limit_params params = {}) : params_(params) {}

    /// Applies what a response of the target said, or did not say, about its
    /// limit. An unreadable limit changes nothing.
    /// \param sent_at when the call was sent. A response that names a higher
    /// limit, or none, may have been made just after that and have taken long,
    /// so that it only counts against what was known then.
    limit_change apply(const target& from, const target_notice& notice,
                       time_point sent_at, time_point now);
    /// Applies the report of another daemon.
    limit_change merge(target_limit report, time_point now);

    /// Applies that a target is cold. Nothing shortens the cold time of one
    /// lifetime: what is known later may be older.
    void set_cold(const std::string& id, const cold_period& period,
                  time_point now);
    /// \return null when the target is not known to be cold in this or a later
    /// lifetime.
    const cold_period* cold(const std::string& id, std::int64_t started_at,
                            time_point now) const;

    /// \return the limit in force, which is the lower one of the named limit
    /// and that of a cold target; null when the target has none. Valid until
    /// the next change of the limits.
    const target_limit* find(const target& of, time_point now) const;
    /// \return the latest report about the named limit of the target, also of
    /// its end; null when there is none.
    const target_limit* latest(const std::string& id) const;

    /// Records that the target takes no call of this daemon before a time.
    void hold(const std::string& id, time_point until);
    /// \return when the target may take a call, at the earliest \p now.
    time_point opens_at(const target& to, time_point now) const;

    /// Reports for a message to another daemon: those that changed in the last
    /// seconds, then others in turn.
    std::vector<target_limit> reports(std::size_t most, time_point now);
    /// Where a change comes from.
    enum class source
    {
        response, ///< A response of the target to this daemon.
        report,   ///< Another daemon.
    };
    using change_handler =
        std::function<void(limit_change, const target_limit&, source)>;
    /// Sets the function that is called after each change.
    void on_change(change_handler changed) { changed_ = std::move(changed); }
    /// \param period null: the cold time of the target ended.
    using cold_handler =
        std::function<void(const std::string& id, const cold_period* period)>;
    /// Sets the function that is called when a target turns cold, and by
    /// expire() when its cold time has ended.
    void on_cold(cold_handler changed) { cold_changed_ = std::move(changed); }
    /// Removes entries whose retention has passed.
    void expire(time_point now);

    /// \return true when no report and no cold target is remembered.
    bool empty() const { return entries_.empty() && cold_.empty(); }
    /// \return number of targets that name a limit.
    std::size_t size() const;
    /// \return number of cold targets.
    std::size_t        cold_size(time_point now) const;
    target_limit_stats stats() const { return stats_; }

private:
    struct entry
    {
        target_limit latest;
        time_point   changed_at{};
        time_point   held_until{};
    };

    struct cold_entry
    {
        cold_period  period;
        target_limit limit; ///< As find() returns it.
        time_point   held_until{};
    };

    bool         supersedes(const target_limit& report,
                            const target_limit& known) const;
    limit_change store(target_limit report, source from, time_point now);
    void         make_place();
    void         make_cold_place();
    void         end_cold(const std::string& id);
    /// \return the entry of cold(); null likewise.
    const cold_entry* find_cold(const std::string& id, std::int64_t started_at,
                                time_point now) const;

    target_limit_params               params_;
    std::map<std::string, entry>      entries_; ///< By target.
    std::map<std::string, cold_entry> cold_;    ///< By target.
    std::string        last_reported_;          ///< Target; for reports().
    change_handler     changed_;
    cold_handler       cold_changed_;
    target_limit_stats stats_;
};

} // namespace arbutusgate::gateway
