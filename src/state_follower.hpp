/// Keeps a copy of the published state up to date: decides which call to make
/// next and applies its response.
#pragma once

#include "state_reader.hpp"
#include "target_directory.hpp"

#include "route_table.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace arbutusgate::gateway {

/// Intervals and timeouts of a follower.
struct follow_times
{
    /// Between the starts of two watches. A change must be known well within
    /// the time in which operators expect it in force, even if one call is
    /// lost.
    milliseconds watch_interval{600};
    /// Time after which the store responds to a watch even without a change.
    milliseconds wait{300};
    /// Limit for one call. A response usually takes milliseconds; that of a
    /// slow store takes 60 times as long.
    milliseconds timeout{900};
    /// Delay after the first failed call; doubled with each further failure, up
    /// to max_retry_delay.
    milliseconds min_retry_delay{150};
    milliseconds max_retry_delay{600};
    /// A source that has not responded for this long counts as lost: entries of
    /// running targets may have expired meanwhile.
    milliseconds outage{1500};
    /// Time without a response after which other daemons are asked. A store
    /// that refuses some of the calls after a restart of all daemons responds
    /// sooner.
    milliseconds ask_peers_after{800};
    /// After the store was restored from an older copy, what is known holds
    /// against what it publishes for this time, in which operators and targets
    /// repeat what was lost. Then everything is read again.
    milliseconds restoration_hold{10'000};
    /// Changes relayed by another daemon are used only if the store confirmed
    /// them at most this long ago.
    milliseconds max_relay_age{750};
};

/// Times with which a change is in force within the bound even if one call is
/// lost: that takes two watch intervals, or one interval, a timeout and the
/// next call.
///
/// \param bound the shortest time within which a change must be in force.
follow_times follow_times_for(milliseconds bound);

/// Times for a daemon that follows the state through another daemon. It asks
/// twice as often, since the other daemon's watch interval adds to its own.
follow_times relayed_follow_times(follow_times times);

/// Callbacks of the follower, for logging and for the owners of per-target
/// state. Each may be empty.
struct follow_events
{
    std::function<void(const route_table&)>                configured;
    std::function<void(const std::string&, target_change)> target_changed;
    std::function<void(const std::string& error)>          source_lost;
    /// \param outage time since the last response before the outage.
    std::function<void(milliseconds outage)> source_restored;
    /// The published configuration could not be read or parsed.
    std::function<void(const std::string& error)> rejected;
    /// A failure domain was evacuated, or its evacuation ended.
    std::function<void(const domain_evacuation&)> evacuation_changed{};
    /// The published state is of another era than the known one, which is read
    /// anew.
    std::function<void(const state_revision& known,
                       const state_revision& published)>
        era_changed{};
};

/// Does no I/O: the owner makes the call that next() returns and passes in its
/// result. Belongs to one thread.
class state_follower
{
public:
    enum class step_kind
    {
        sleep, ///< Until step::wake_at.
        read_configuration,
        read_targets, ///< Reads step::page.
        watch,        ///< Asks for the changes after step::after.
    };

    struct step
    {
        step_kind      kind = step_kind::sleep;
        time_point     wake_at{};
        std::string    page;
        state_revision after{};
    };

    state_follower(follow_times times, follow_events events,
                   target_directory& targets, time_point now);

    void set_times(const follow_times& times) { times_ = times; }

    /// Returns the call to make now, or a time until which to sleep. Also ends
    /// the grace of targets whose entries expired.
    step next(time_point now);
    void on_configuration(absl::StatusOr<configuration_read> result,
                          time_point                         now);
    void on_page(absl::StatusOr<state_page> result, time_point now);
    void on_changes(absl::StatusOr<state_changes> result, time_point now);

    /// Whether the source has not responded for so long that other daemons may
    /// have newer state. A source that refuses calls is only overloaded and
    /// does not count.
    bool source_failing(time_point now) const
    {
        return unavailable_ && backoff_ > milliseconds{0} &&
               now - answered_at_ >= times_.ask_peers_after;
    }
    /// The known state, for other daemons.
    /// \return nothing before configuration and targets were read once.
    std::optional<state_copy> copy(time_point now) const;
    /// Replaces the known state by that of another daemon if that is newer.
    /// \param config the configuration parsed from the document of the copy.
    /// \return false when the copy is not newer.
    bool adopt(state_copy copy, configuration config, time_point now);
    /// Revision of the known state; number 0: none is known.
    state_revision revision() const
    {
        return targets_known_ ? revision_ : state_revision{};
    }

    /// The configuration in force; null until one was read.
    std::shared_ptr<const route_table> table() const { return table_; }
    /// Whether all targets were read once.
    bool targets_known() const { return targets_known_; }
    bool source_lost() const { return lost_; }
    /// When the source last responded.
    time_point answered_at() const { return answered_at_; }

private:
    enum class phase
    {
        configuration,
        pages,
        watch,
    };

    void apply(state_change published, time_point now);
    void apply_configuration(configuration config);
    void on_response(time_point now);
    void on_failure(const absl::Status& error, time_point now);
    /// Fails a response of an earlier era than the known state.
    /// \return whether it was one.
    bool fail_outdated(const state_revision& at, time_point now);
    /// Applies that the published state is of this revision's era.
    void note_era(const state_revision& at);
    void resynchronize();
    void finish_pages(time_point now);
    /// Replaces targets and evacuations by those of a list or copy.
    void replace_state(std::vector<target>          targets,
                       const std::set<std::string>& evacuated,
                       const state_revision& revision, time_point now);
    void replace_targets(std::vector<target> list, time_point now);
    /// \param hold keeps the known evacuations that are missing.
    void replace_evacuations(const std::set<std::string>& failure_domains,
                             bool hold, time_point now);
    void set_evacuated(const domain_evacuation& it, time_point now);
    void report_gone(const std::vector<std::string>& ids);

    follow_times                       times_;
    follow_events                      events_;
    target_directory&                  targets_;
    phase                              phase_ = phase::configuration;
    std::shared_ptr<const route_table> table_;
    std::string                        page_; ///< Next page to read.
    std::vector<target> listed_;              ///< Targets of the pages so far.
    /// Evacuated failure domains of the pages so far.
    std::set<std::string> listed_evacuations_;
    state_revision        revision_{};
    /// Revision at which the configuration was read; the first watch asks for
    /// the changes after it.
    state_revision first_revision_{};
    /// Latest revision of a list or copy. Responses to a watch that are older
    /// are of a daemon that is behind; they would undo part of the list.
    state_revision listed_revision_{};
    std::uint64_t  era_ = 0; ///< Of the published state; 0: not known.
    /// The state being read is of another era than the known one.
    bool restored_ = false;
    /// When everything is read again after a restoration. Until then, lists are
    /// corrected by what is known.
    std::optional<time_point> relist_at_;
    /// Evacuations that are not published since the store was restored.
    std::set<std::string> held_evacuations_;
    time_point            next_call_at_{}; ///< No call before this time.
    time_point            answered_at_;
    milliseconds backoff_{0}; ///< Delay after the latest failure; 0: none.
    bool         targets_known_ = false;
    bool         lost_          = false;
    bool         unavailable_   = false; ///< The latest failure was no refusal.
    /// State was adopted during the current call, whose response is thus older.
    bool superseded_ = false;
};

} // namespace arbutusgate::gateway
