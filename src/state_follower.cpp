#include "state_follower.hpp"

#include <algorithm>
#include <utility>

namespace arbutusgate::gateway {

namespace {

// Parts of the bound; its last fifth is left for the calls themselves.
constexpr double pace_part    = 0.3;
constexpr double timeout_part = 0.45;
constexpr double retry_part   = 0.075;
/// A reader's answers come each pace; one may be a little late.
constexpr double reader_part = 0.375;

milliseconds part_of(milliseconds bound, double part)
{
    return std::chrono::duration_cast<milliseconds>(bound * part);
}

} // namespace

follow_times follow_times_for(milliseconds bound)
{
    follow_times out;
    out.pace        = part_of(bound, pace_part);
    out.wait        = out.pace / 2;
    out.timeout     = part_of(bound, timeout_part);
    out.retry_least = part_of(bound, retry_part);
    out.retry_most  = out.pace;
    out.reader_age  = part_of(bound, reader_part);
    return out;
}

follow_times follow_times_of_reader(follow_times it)
{
    it.pace /= 2;
    return it;
}

state_follower::state_follower(follow_times times, follow_events events,
                               target_directory& targets, time_point now)
    : times_(times), events_(std::move(events)), targets_(targets),
      answered_(now)
{
}

state_follower::step state_follower::next(time_point now)
{
    report(targets_.expire(now));
    if (now < not_before_)
        return {call::sleep, not_before_, "", 0};
    superseded_ = false;
    switch (phase_) {
    case phase::configuration:
        return {call::read_configuration, {}, "", 0};
    case phase::pages:
        return {call::read_targets, {}, page_, 0};
    case phase::watch:
        break;
    }
    not_before_ = now + times_.pace;
    return {call::watch, {}, "", revision_};
}

void state_follower::on_configuration(absl::StatusOr<configuration_read> it,
                                      time_point                         now)
{
    if (!it.ok()) {
        // Nothing was published yet, or nothing that can be read.
        if (!absl::IsUnavailable(it.status()) && events_.rejected)
            events_.rejected(it.status().ToString());
        failed(it.status(), now);
        return;
    }
    succeeded(now);
    if (superseded_)
        return;
    // What is read is no snapshot: changes since here are read again.
    first_revision_ = it->revision;
    apply_configuration(std::move(it->config));
    phase_ = phase::pages;
    page_.clear();
    listed_.clear();
}

void state_follower::on_page(absl::StatusOr<state_page> it, time_point now)
{
    if (!it.ok()) {
        failed(it.status(), now);
        return;
    }
    succeeded(now);
    if (superseded_)
        return;
    for (auto& entry : it->entries) {
        if (auto* found = std::get_if<target>(&entry))
            listed_.push_back(std::move(*found));
    }
    page_ = it->next_page;
    if (page_.empty())
        finish_pages(now);
}

void state_follower::finish_pages(time_point now)
{
    replace_targets(std::exchange(listed_, {}), now);
    revision_ = first_revision_;
    phase_    = phase::watch;
}

void state_follower::replace_targets(std::vector<target> list, time_point now)
{
    std::vector<std::pair<std::string, target_change>> news;
    for (const auto& it : list) {
        if (!targets_.find(it.id))
            news.emplace_back(it.id, it.leaving ? target_change::leaving
                                                : target_change::joined);
    }
    const auto gone = targets_.replace_all(std::move(list), now);
    for (const auto& [id, change] : news) {
        if (events_.target_changed)
            events_.target_changed(id, change);
    }
    report(gone);
    targets_known_ = true;
}

std::optional<state_copy> state_follower::copy() const
{
    if (!table_ || !targets_known_)
        return std::nullopt;
    return state_copy{revision_, table_->config().document,
                      targets_.published()};
}

bool state_follower::adopt(state_copy it, configuration config, time_point now)
{
    if (it.revision <= revision())
        return false;
    apply_configuration(std::move(config));
    replace_targets(std::move(it.targets), now);
    revision_   = it.revision;
    phase_      = phase::watch;
    superseded_ = true;
    return true;
}

void state_follower::on_changes(absl::StatusOr<state_changes> it,
                                time_point                    now)
{
    if (!it.ok()) {
        if (absl::IsOutOfRange(it.status())) {
            succeeded(now);
            resynchronize();
            return;
        }
        failed(it.status(), now);
        return;
    }
    succeeded(now);
    if (superseded_)
        return;
    for (auto& change : it->changes)
        apply(std::move(change), now);
    revision_ = std::max(revision_, it->revision);
}

void state_follower::apply(state_change it, time_point now)
{
    if (auto* config = std::get_if<configuration>(&it)) {
        apply_configuration(std::move(*config));
        return;
    }
    if (const auto* bad = std::get_if<configuration_unreadable>(&it)) {
        if (events_.rejected)
            events_.rejected(bad->reason);
        return;
    }
    auto        change = target_change::none;
    std::string id;
    if (auto* put = std::get_if<target>(&it)) {
        id     = put->id;
        change = targets_.put(std::move(*put));
    }
    else if (const auto* gone = std::get_if<target_removed>(&it)) {
        id     = gone->id;
        change = gone->unreadable ? targets_.reject(id, now)
                                  : targets_.remove(id, now);
    }
    if (change != target_change::none && events_.target_changed)
        events_.target_changed(id, change);
}

void state_follower::apply_configuration(configuration it)
{
    if (table_ && it.version <= table_->version())
        return;
    table_ = std::make_shared<const route_table>(std::move(it));
    if (events_.configured)
        events_.configured(*table_);
}

void state_follower::succeeded(time_point now)
{
    if (away_) {
        targets_.source_returned(now);
        if (events_.source_back)
            events_.source_back(
                std::chrono::duration_cast<milliseconds>(now - answered_));
    }
    away_     = false;
    answered_ = now;
    backoff_  = milliseconds{0};
}

void state_follower::failed(const absl::Status& why, time_point now)
{
    if (!away_ && now - answered_ >= times_.outage) {
        away_ = true;
        if (events_.source_lost)
            events_.source_lost(why.ToString());
    }
    unanswered_ = absl::IsUnavailable(why);
    backoff_ = std::clamp(2 * backoff_, times_.retry_least, times_.retry_most);
    not_before_ = now + backoff_;
}

void state_follower::resynchronize()
{
    phase_ = phase::configuration;
}

void state_follower::report(const std::vector<std::string>& gone)
{
    if (!events_.target_changed)
        return;
    for (const auto& it : gone)
        events_.target_changed(it, target_change::gone);
}

} // namespace arbutusgate::gateway
