/// Follows the published state: what to read next, and what an answer means.
#pragma once

#include "state_reader.hpp"
#include "target_directory.hpp"

#include "route_table.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusgate::gateway {

/// Times of a follower; sources are on the members.
struct follow_times
{
    /// Between the starts of two calls. A change must be known well within
    /// the time in which operators expect it in force, with one call lost.
    milliseconds pace{600};
    /// A watch without a change is answered after this time.
    milliseconds wait{300};
    /// An answer takes milliseconds; a slow store takes 60 times as long.
    milliseconds timeout{900};
    /// After a failed call, doubled up to the most.
    milliseconds retry_least{150};
    milliseconds retry_most{600};
    /// A source that answered nothing for this long was away: entries may
    /// have lapsed meanwhile.
    milliseconds outage{1500};
    /// Without an answer for this long other daemons are asked. After a restart
    /// of all, a store that refuses some of the calls answers sooner.
    milliseconds ask_others{800};
    /// What another daemon tells is used if the store confirmed it so lately.
    milliseconds reader_age{750};
};

/// Times with which a change is in force within the bound although one call
/// is lost: two paces, or a pace, a timeout and the call after it.
/// \param bound the shortest time in which a change must be in force.
follow_times follow_times_for(milliseconds bound);

/// The same for a daemon that asks another one in place of the store: it asks
/// twice as often, since the other one's pace is added to its own.
follow_times follow_times_of_reader(follow_times it);

/// What the follower believes changed; for logs and for the owners of
/// per-target state.
struct follow_events
{
    std::function<void(const route_table&)>                configured;
    std::function<void(const std::string&, target_change)> target_changed;
    std::function<void(const std::string& why)>            source_lost;
    std::function<void(milliseconds away)>                 source_back;
    std::function<void(const std::string& why)>            rejected;
};

/// Sans-I/O: the owner makes the call that next() names and hands in its
/// result. Belongs to one thread.
class state_follower
{
public:
    enum class call
    {
        sleep, ///< Until step::until.
        read_configuration,
        read_targets, ///< step::page
        watch,        ///< step::after
    };

    struct step
    {
        call          what = call::sleep;
        time_point    until{};
        std::string   page;
        std::uint64_t after = 0;
    };

    state_follower(follow_times times, follow_events events,
                   target_directory& targets, time_point now);

    void set_times(const follow_times& times) { times_ = times; }

    step next(time_point now);
    void on_configuration(absl::StatusOr<configuration_read> it,
                          time_point                         now);
    void on_page(absl::StatusOr<state_page> it, time_point now);
    void on_changes(absl::StatusOr<state_changes> it, time_point now);

    /// The source does not answer, so that other daemons may know more. One
    /// that refuses calls is only busy.
    bool source_failing(time_point now) const
    {
        return unanswered_ && backoff_ > milliseconds{0} &&
               now - answered_ >= times_.ask_others;
    }
    /// What is known, for other daemons; none before all was read once.
    std::optional<state_copy> copy() const;
    /// Takes what another daemon knows, if it is newer.
    /// \param config its document, read.
    /// \return false when nothing was taken.
    bool adopt(state_copy it, configuration config, time_point now);
    /// Revision of what is known; 0: nothing.
    std::uint64_t revision() const { return targets_known_ ? revision_ : 0; }

    /// The configuration in force; null until one was read.
    std::shared_ptr<const route_table> table() const { return table_; }
    /// All targets were read once.
    bool targets_known() const { return targets_known_; }
    bool source_away() const { return away_; }
    /// When the source last answered.
    time_point answered_at() const { return answered_; }

private:
    enum class phase
    {
        configuration,
        pages,
        watch,
    };

    void apply(state_change it, time_point now);
    void apply_configuration(configuration it);
    void succeeded(time_point now);
    void failed(const absl::Status& why, time_point now);
    void resynchronize();
    void finish_pages(time_point now);
    void replace_targets(std::vector<target> list, time_point now);
    void report(const std::vector<std::string>& gone);

    follow_times                       times_;
    follow_events                      events_;
    target_directory&                  targets_;
    phase                              phase_ = phase::configuration;
    std::shared_ptr<const route_table> table_;
    std::string                        page_;
    std::vector<target>                listed_;
    std::uint64_t                      revision_       = 0;
    std::uint64_t                      first_revision_ = 0;
    time_point                         not_before_{};
    time_point                         answered_;
    milliseconds                       backoff_{0};
    bool                               targets_known_ = false;
    bool                               away_          = false;
    bool unanswered_ = false; ///< The latest failure was no refusal.
    bool superseded_ = false; ///< The call that runs asks for older state.
};

} // namespace arbutusgate::gateway
