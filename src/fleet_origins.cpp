#include "fleet_origins.hpp"

#include "daemon_clock.hpp"
#include "fiber_group.hpp"
#include "peer_codec.hpp"
#include "peer_table.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace arbutusgate::gateway {

namespace {

/// Records of this time share a message.
constexpr milliseconds report_delay{20};
constexpr milliseconds report_timeout{300};
/// A client that takes its stream up waits for so long at the most.
constexpr milliseconds query_timeout{200};
constexpr milliseconds history_poll_interval{10};
/// A request waits for so long for a history that was read after it arrived.
constexpr milliseconds history_timeout{1500};
/// Between two reads, which cost the store more than other calls.
constexpr milliseconds history_interval{1000};
/// Records in one message to one daemon.
constexpr std::size_t max_records_sent = 512;

} // namespace

struct fleet_origins::inquiry
{
    fiber_signal changed;
    std::size_t  pending = 0;
    std::size_t  asked   = 0;
    std::size_t  failed  = 0; ///< Holders that did not answer.
    /// A holder answered whose state the store has confirmed lately.
    bool                         current = false;
    std::optional<std::uint64_t> software;
};

void fleet_origins::begun(std::uint64_t                   attempt,
                          const std::vector<std::string>& services,
                          std::uint64_t                   software)
{
    const auto          now = daemon_now();
    const stream_origin it{attempt, software, now};
    origins_.record(it, true);
    // Without a record, other daemons come to the same result.
    const auto only = origins_.only_software(
        services, now - limits::max_unrecorded_stream_age, now);
    if (!only || *only != software)
        queue_report(it);
}

void fleet_origins::queue_report(const stream_origin& it)
{
    origins_.mark_reported(it.attempt);
    outgoing_.push_back(it);
    if (!std::exchange(reporting_, true))
        fibers_.spawn([this] {
            while (!outgoing_.empty() && !fibers_.stopping()) {
                fibers_.sleep_until(daemon_now() + report_delay);
                send_reports();
            }
            reporting_ = false;
        });
}

void fleet_origins::send_reports()
{
    const auto now   = daemon_now();
    const auto count = std::min(outgoing_.size(), max_records_sent);
    std::map<std::string, origin_report> by_holder;
    for (std::size_t n = 0; n < count; ++n) {
        for (const auto& to : peers_.holders_of(outgoing_[n].attempt, now))
            by_holder[to].origins.push_back(outgoing_[n]);
    }
    outgoing_.erase(outgoing_.begin(),
                    outgoing_.begin() + static_cast<std::ptrdiff_t>(count));
    for (auto& [to, report] : by_holder) {
        stats_.reported += report.origins.size();
        fibers_.spawn([this, to = to, body = encode(report, now)] {
            report_(to, body, report_timeout);
        });
    }
}

std::optional<std::uint64_t>
fleet_origins::only_software(const origin_query& it) const
{
    const auto now = daemon_now();
    return origins_.only_software(it.services, now - it.max_age, now);
}

std::optional<std::uint64_t> fleet_origins::find(const origin_query& it)
{
    const fiber_group::guest guest(fibers_);
    if (const auto known = origins_.find(it.attempt))
        return known;
    const auto asked_at = daemon_now();
    const auto asked    = ask_holders(it);
    if (asked->software) {
        ++stats_.told;
        origins_.record({it.attempt, *asked->software, daemon_now()}, false);
        return asked->software;
    }
    // This daemon may have been paused or cut off while new software joined,
    // for less time than it takes its state for current. Another daemon or the
    // store has to confirm now what it knows.
    const bool alone = peers_.daemons() <= 1 && current_ && current_();
    // While the store is away, no holder is current; then all must answer, as a
    // part of the fleet may be out of step together.
    const bool all_answered =
        asked->asked > 0 && asked->pending == 0 && asked->failed == 0;
    if (!asked->current && !all_answered && !alone &&
        !read_history(it.max_age, asked_at))
        return std::nullopt;
    auto only = only_software(it);
    if (!only && !origins_.covers(it.services, daemon_now() - it.max_age)) {
        read_history(it.max_age, daemon_now() - history_interval);
        only = only_software(it);
    }
    stats_.unrecorded += only ? 1 : 0;
    return only;
}

std::shared_ptr<fleet_origins::inquiry>
fleet_origins::ask_holders(const origin_query& it)
{
    const auto now  = daemon_now();
    const auto out  = std::make_shared<inquiry>();
    const auto body = encode(it);
    ++stats_.asked;
    for (const auto& to : peers_.holders_of(it.attempt, now)) {
        ++out->asked;
        ++out->pending;
        fibers_.spawn([this, out, to, body, services = it.services,
                       max_age = it.max_age] {
            const auto text = ask_(to, body, query_timeout);
            const auto at   = daemon_now();
            const auto response =
                text ? decode_origin_response(*text, at) : std::nullopt;
            if (response) {
                out->current =
                    out->current || response->known_since.has_value();
                for (const auto& seen : response->served)
                    origins_.note(seen, at);
                // The response names what served within the age.
                if (response->known_since)
                    origins_.extend(services, std::max(*response->known_since,
                                                       at - max_age));
                if (response->software)
                    out->software = response->software;
            }
            out->failed += response ? 0 : 1;
            --out->pending;
            out->changed.notify();
        });
    }
    out->changed.wait_until(now + query_timeout, [&] {
        return out->software || out->pending == 0 || fibers_.stopping();
    });
    return out;
}

/// Clients come back at the same time after a restart of all daemons; one of
/// their requests reads the history, the others wait for it.
bool fleet_origins::read_history(milliseconds max_age, time_point not_before)
{
    if (!history_)
        return false;
    const auto deadline = daemon_now() + history_timeout;
    for (;;) {
        const auto now = daemon_now();
        if (!reading_history_ && history_began_at_ >= not_before)
            return history_succeeded_;
        if (now >= deadline || fibers_.stopping())
            return false;
        if (reading_history_ || now < history_began_at_ + history_interval) {
            fibers_.sleep_until(now + history_poll_interval);
            continue;
        }
        reading_history_   = true;
        history_began_at_  = now;
        const auto found   = history_(max_age);
        reading_history_   = false;
        history_succeeded_ = found.has_value();
        if (!found)
            return false;
        for (const auto& seen : found->served)
            origins_.note(seen, daemon_now());
        origins_.extend_all(found->known_since);
    }
}

void fleet_origins::update(stream_origins::software_map published,
                           time_point                   now)
{
    if (!origins_.update(std::move(published), now))
        return;
    for (const auto& it : origins_.unreported())
        queue_report(it);
}

std::optional<std::string> fleet_origins::serve_report(const std::string& body)
{
    const auto now = daemon_now();
    const auto it  = decode_origin_report(body, now);
    if (!it)
        return std::nullopt;
    for (const auto& origin : it->origins)
        origins_.record(origin, false);
    return std::string{};
}

std::optional<std::string> fleet_origins::serve_query(const std::string& body)
{
    const auto now = daemon_now();
    const auto it  = decode_origin_query(body);
    if (!it)
        return std::nullopt;
    origin_response out;
    out.software = origins_.find(it->attempt);
    out.served   = origins_.served(it->services, now - it->max_age, now);
    if (current_ && current_())
        out.known_since = origins_.known_since(it->services);
    return encode(out, now);
}

} // namespace arbutusgate::gateway
