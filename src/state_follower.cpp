#include "state_follower.hpp"

#include "text.hpp"

#include <algorithm>
#include <utility>

namespace arbutusgate::gateway {

namespace {

// Fractions of the bound; its last fifth is left for the calls themselves.
constexpr double interval_fraction    = 0.3;
constexpr double timeout_fraction     = 0.45;
constexpr double retry_delay_fraction = 0.075;
/// The relaying daemon gets a response of the store once per watch interval;
/// the excess over that interval allows for one response that is a little late.
constexpr double relay_age_fraction = 0.375;

milliseconds fraction_of(milliseconds bound, double fraction)
{
    return std::chrono::duration_cast<milliseconds>(bound * fraction);
}

} // namespace

follow_times follow_times_for(milliseconds bound)
{
    follow_times out;
    out.watch_interval  = fraction_of(bound, interval_fraction);
    out.wait            = out.watch_interval / 2;
    out.timeout         = fraction_of(bound, timeout_fraction);
    out.min_retry_delay = fraction_of(bound, retry_delay_fraction);
    out.max_retry_delay = out.watch_interval;
    out.max_relay_age   = fraction_of(bound, relay_age_fraction);
    return out;
}

follow_times relayed_follow_times(follow_times times)
{
    times.watch_interval /= 2;
    return times;
}

state_follower::state_follower(follow_times times, follow_events events,
                               target_directory& targets, time_point now)
    : times_(times), events_(std::move(events)), targets_(targets),
      answered_at_(now)
{
}

state_follower::step state_follower::next(time_point now)
{
    report_gone(targets_.expire(now));
    if (relist_at_ && now >= *relist_at_) {
        relist_at_.reset();
        resynchronize();
    }
    if (now < next_call_at_)
        return {step_kind::sleep, next_call_at_, "", {}};
    superseded_ = false;
    switch (phase_) {
    case phase::configuration:
        return {step_kind::read_configuration, {}, "", {}};
    case phase::pages:
        return {step_kind::read_targets, {}, page_, {}};
    case phase::watch:
        break;
    }
    next_call_at_ = now + times_.watch_interval;
    return {step_kind::watch, {}, "", revision_};
}

void state_follower::on_configuration(absl::StatusOr<configuration_read> result,
                                      time_point                         now)
{
    if (!result.ok()) {
        // No configuration was published yet, or it cannot be parsed.
        if (!absl::IsUnavailable(result.status()) && events_.rejected)
            events_.rejected(result.status().ToString());
        on_failure(result.status(), now);
        return;
    }
    if (!superseded_ && fail_outdated(result->revision, now))
        return;
    on_response(now);
    if (superseded_)
        return;
    note_era(result->revision);
    // Configuration and pages are no snapshot: the first watch asks for all
    // changes since this revision.
    first_revision_  = result->revision;
    listed_revision_ = result->revision;
    apply_configuration(std::move(result->config));
    phase_ = phase::pages;
    page_.clear();
    listed_.clear();
    listed_evacuations_.clear();
}

void state_follower::on_page(absl::StatusOr<state_page> result, time_point now)
{
    if (!result.ok()) {
        on_failure(result.status(), now);
        return;
    }
    if (!superseded_ && fail_outdated(result->revision, now))
        return;
    on_response(now);
    if (superseded_)
        return;
    if (!same_history(result->revision, first_revision_)) {
        note_era(result->revision);
        resynchronize();
        return;
    }
    for (auto& entry : result->entries) {
        if (auto* found = std::get_if<target>(&entry))
            listed_.push_back(std::move(*found));
        else if (const auto* it = std::get_if<domain_evacuation>(&entry))
            listed_evacuations_.insert(it->failure_domain);
    }
    if (newer(result->revision, listed_revision_))
        listed_revision_ = result->revision;
    page_ = result->next_page;
    if (page_.empty())
        finish_pages(now);
}

void state_follower::finish_pages(time_point now)
{
    replace_state(std::exchange(listed_, {}), listed_evacuations_,
                  first_revision_, now);
}

void state_follower::replace_state(std::vector<target>          targets,
                                   const std::set<std::string>& evacuated,
                                   const state_revision&        revision,
                                   time_point                   now)
{
    const bool correct = restored_ || relist_at_;
    if (restored_) {
        // Entries that were written after the copy are missing until their
        // targets write them again.
        targets_.source_returned(now);
        relist_at_ = now + times_.restoration_hold;
        restored_  = false;
    }
    if (correct)
        targets_.correct_restored(targets, now);
    // First, so that no target of an evacuated domain is usable for a moment.
    replace_evacuations(evacuated, correct, now);
    replace_targets(std::move(targets), now);
    revision_ = revision;
    phase_    = phase::watch;
}

void state_follower::replace_evacuations(
    const std::set<std::string>& failure_domains, bool hold, time_point now)
{
    const auto before = targets_.evacuated();
    for (const auto& it : failure_domains)
        set_evacuated({it, true}, now);
    for (const auto& it : before) {
        if (failure_domains.contains(it))
            continue;
        if (hold)
            held_evacuations_.insert(it);
        else
            set_evacuated({it, false}, now);
    }
}

void state_follower::set_evacuated(const domain_evacuation& it, time_point now)
{
    held_evacuations_.erase(it.failure_domain);
    if (!targets_.set_evacuated(it.failure_domain, it.active))
        return;
    if (!it.active)
        targets_.note_evacuation_end(it.failure_domain, now);
    if (events_.evacuation_changed)
        events_.evacuation_changed(it);
}

void state_follower::replace_targets(std::vector<target> list, time_point now)
{
    std::vector<std::pair<std::string, target_change>> added;
    for (const auto& item : list) {
        targets_.note_cold(item, item.cold_for, now);
        if (!targets_.find(item.id))
            added.emplace_back(item.id, item.leaving ? target_change::leaving
                                                     : target_change::joined);
    }
    const auto gone = targets_.replace_all(std::move(list), now);
    for (const auto& [id, change] : added) {
        if (events_.target_changed)
            events_.target_changed(id, change);
    }
    report_gone(gone);
    targets_known_ = true;
}

std::optional<state_copy> state_follower::copy(time_point now) const
{
    if (!table_ || !targets_known_)
        return std::nullopt;
    state_copy out{revision_, table_->config().document,
                   targets_.published(now), targets_.evacuated()};
    // The receiver would not learn of their end, which is not published.
    for (const auto& it : held_evacuations_)
        out.evacuated.erase(it);
    return out;
}

bool state_follower::adopt(state_copy copy, configuration config,
                           time_point now)
{
    if (!newer(copy.revision, revision()))
        return false;
    note_era(copy.revision);
    listed_revision_ = copy.revision;
    apply_configuration(std::move(config));
    replace_state(std::move(copy.targets), copy.evacuated, copy.revision, now);
    superseded_ = true;
    return true;
}

void state_follower::on_changes(absl::StatusOr<state_changes> result,
                                time_point                    now)
{
    if (!result.ok()) {
        if (absl::IsOutOfRange(result.status())) {
            on_response(now);
            resynchronize();
            return;
        }
        on_failure(result.status(), now);
        return;
    }
    if (!superseded_ && fail_outdated(result->revision, now))
        return;
    on_response(now);
    if (superseded_)
        return;
    // The changes of another era are not those after the known revision. Those
    // that cannot be outdated are in force at once.
    if (!same_history(result->revision, revision_)) {
        note_era(result->revision);
        std::erase_if(result->changes, [](const auto& change) {
            const auto* put = std::get_if<target>(&change);
            return !(put && put->leaving) &&
                   !std::holds_alternative<configuration>(change);
        });
        for (auto& change : result->changes)
            apply(std::move(change), now);
        resynchronize();
        next_call_at_ = now;
        return;
    }
    if (newer(listed_revision_, result->revision))
        return;
    for (auto& change : result->changes)
        apply(std::move(change), now);
    if (newer(result->revision, revision_))
        revision_ = result->revision;
}

void state_follower::apply(state_change published, time_point now)
{
    if (auto* config = std::get_if<configuration>(&published)) {
        apply_configuration(std::move(*config));
        return;
    }
    if (const auto* unreadable =
            std::get_if<configuration_unreadable>(&published)) {
        if (events_.rejected)
            events_.rejected(unreadable->reason);
        return;
    }
    if (const auto* evacuation = std::get_if<domain_evacuation>(&published)) {
        set_evacuated(*evacuation, now);
        return;
    }
    auto        change = target_change::none;
    std::string id;
    if (auto* put = std::get_if<target>(&published)) {
        id = put->id;
        targets_.note_cold(*put, put->cold_for, now);
        change = targets_.put(std::move(*put));
    }
    else if (const auto* removed = std::get_if<target_removed>(&published)) {
        id     = removed->id;
        change = removed->unreadable ? targets_.reject(id, now)
                                     : targets_.remove(id, now);
    }
    if (change != target_change::none && events_.target_changed)
        events_.target_changed(id, change);
}

void state_follower::apply_configuration(configuration config)
{
    if (table_ && config.version <= table_->version())
        return;
    std::map<std::string, cold_limits, std::less<>> cold;
    for (const auto& it : config.services) {
        if (it.cold)
            cold.emplace(it.name, *it.cold);
    }
    targets_.set_cold_limits(std::move(cold));
    table_ = std::make_shared<const route_table>(std::move(config));
    if (events_.configured)
        events_.configured(*table_);
}

void state_follower::on_response(time_point now)
{
    if (lost_) {
        targets_.source_returned(now);
        if (events_.source_restored)
            events_.source_restored(
                std::chrono::duration_cast<milliseconds>(now - answered_at_));
    }
    lost_        = false;
    answered_at_ = now;
    backoff_     = milliseconds{0};
}

void state_follower::on_failure(const absl::Status& error, time_point now)
{
    if (!lost_ && now - answered_at_ >= times_.outage) {
        lost_ = true;
        if (events_.source_lost)
            events_.source_lost(error.ToString());
    }
    unavailable_  = absl::IsUnavailable(error);
    backoff_      = std::clamp(2 * backoff_, times_.min_retry_delay,
                               times_.max_retry_delay);
    next_call_at_ = now + backoff_;
}

bool state_follower::fail_outdated(const state_revision& at, time_point now)
{
    if (!earlier_era(at, {0, era_}))
        return false;
    on_failure(absl::UnavailableError(
                   concat("the response is of era ", at.era,
                          ", but that of the known state is ", era_)),
               now);
    return true;
}

void state_follower::note_era(const state_revision& at)
{
    if (at.era == era_)
        return;
    era_ = at.era;
    if (!targets_known_)
        return;
    restored_ = true;
    if (events_.era_changed)
        events_.era_changed(revision_, at);
}

void state_follower::resynchronize()
{
    phase_ = phase::configuration;
}

void state_follower::report_gone(const std::vector<std::string>& ids)
{
    if (!events_.target_changed)
        return;
    for (const auto& id : ids)
        events_.target_changed(id, target_change::gone);
}

} // namespace arbutusgate::gateway
