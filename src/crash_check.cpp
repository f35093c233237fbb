#include "crash_check.hpp"

#include "daemon_clock.hpp"
#include "log.hpp"
#include "part_quarantine.hpp"
#include "target_connections.hpp"
#include "target_directory.hpp"

#include <boost/asio/error.hpp>

#include <algorithm>
#include <utility>

namespace arbutusgate::gateway {

namespace {

/// A process that ends closes its connections one after another, the listening
/// one perhaps last.
constexpr milliseconds check_delay{50};
constexpr milliseconds connect_timeout{400};

} // namespace

std::unique_ptr<waiting_calls::entry>
crash_check::watch(const prompt_key& prompt, const target& at)
{
    if (prompt.shared.empty())
        return nullptr;
    const auto lifetime = target_lifetime(at);
    const auto call     = waiting_.add(prompt, at, daemon_now());
    if (watched_.insert(lifetime).second)
        fibers_.spawn([this, lifetime] { check_while_waiting(lifetime); });
    return std::make_unique<waiting_calls::entry>(waiting_, lifetime, call);
}

void crash_check::heard(const target& from, time_point connected_at)
{
    const auto now = daemon_now();
    waiting_.heard(target_lifetime(from), now);
    quarantine_.heard(from, connected_at, now);
}

void crash_check::broke_off(const prompt_key& prompt, const target& at,
                            answer_progress progress, time_point when)
{
    if (!is_leaving(at))
        add(at, {sample_parts(prompt), progress, when, false});
}

void crash_check::ended_with_connection(const prompt_key& prompt,
                                        const target&     at,
                                        answer_progress   progress,
                                        time_point        when)
{
    if (is_leaving(at))
        quarantine_.answered(prompt, at, when, answer_progress::whole);
    else
        add(at, {sample_parts(prompt), progress, when, true});
}

void crash_check::add(const target& at, ended_call it)
{
    auto&      calls   = pending_[at.id];
    const bool running = !calls.empty();
    calls.push_back(std::move(it));
    if (!running)
        fibers_.spawn([this, at] { check(at); });
}

void crash_check::fell_silent(const prompt_key& prompt, const target& at,
                              answer_progress progress, time_point when)
{
    if (!is_leaving(at))
        quarantine_.fell_silent(prompt, at, when, progress);
}

void crash_check::check(const target& it)
{
    fibers_.sleep_until(daemon_now() + check_delay);
    const bool ended = has_ended(it);
    const auto calls = std::exchange(pending_[it.id], {});
    pending_.erase(it.id);
    const auto broken =
        std::count_if(calls.begin(), calls.end(), [&](const auto& call) {
            return ended || !call.may_be_whole;
        });
    if (broken > 0)
        log(log_level::info,
            ended ? "target ended with calls that had no whole answer"
                  : "target goes on after calls broke off",
            {{"target", it.id}, {"service", it.service}, {"calls", broken}});
    for (const auto& call : calls) {
        if (ended)
            quarantine_.broke_off(call.prompt, it, call.when, call.progress);
        else if (call.may_be_whole)
            quarantine_.answered(call.prompt, it, call.when,
                                 answer_progress::whole);
    }
}

void crash_check::check_while_waiting(std::uint64_t lifetime)
{
    while (!fibers_.stopping()) {
        const auto at = waiting_.check_at(lifetime);
        if (!at)
            break;
        if (daemon_now() < *at)
            fibers_.sleep_until(*at);
        else
            check_silent(target{*waiting_.find(lifetime)});
    }
    watched_.erase(lifetime);
}

void crash_check::check_silent(const target& it)
{
    const auto lifetime   = target_lifetime(it);
    const auto started_at = daemon_now();
    const bool ended      = has_ended(it);
    const auto now        = daemon_now();
    if (!ended || is_leaving(it)) {
        waiting_.heard(lifetime, now);
        return;
    }
    const auto at = waiting_.check_at(lifetime);
    if (!at || *at > started_at) // It was heard meanwhile.
        return;
    const auto calls = waiting_.take(lifetime, started_at);
    log(log_level::info, "target ended with calls that had no whole answer",
        {{"target", it.id},
         {"service", it.service},
         {"calls", calls.size()},
         {"silent", true}});
    for (const auto& call : calls)
        quarantine_.broke_off(call.prompt, it, now, call.progress);
}

/// A target that does not respond may be cut off from this daemon, as others of
/// its failure domain are then.
bool crash_check::has_ended(const target& it)
{
    const auto ec = connections_.probe(it, connect_timeout);
    if (!ec)
        return false;
    if (ec == boost::asio::error::connection_refused)
        return true;
    const auto witnesses =
        reachability_witnesses(targets_.published(daemon_now()), it);
    const bool reachable = accepts_any(witnesses);
    // A cut may have ended in between.
    const bool ended = reachable && connections_.probe(it, connect_timeout);
    log(log_level::info, "target does not respond",
        {{"target", it.id},
         {"failure_domain", it.failure_domain},
         {"error", ec.message()},
         {"domain_responds", reachable},
         {"ended", ended}});
    return ended;
}

/// \return true as soon as one of the targets accepts a connection.
bool crash_check::accepts_any(const std::vector<target>& list)
{
    struct probe_state
    {
        std::size_t running  = 0;
        bool        accepted = false;
    };
    const auto shared = std::make_shared<probe_state>();
    shared->running   = list.size();
    for (const auto& it : list)
        fibers_.spawn([this, it, shared] {
            const bool accepted = !connections_.probe(it, connect_timeout);
            shared->accepted    = shared->accepted || accepted;
            --shared->running;
        });
    fibers_.sleep_until(daemon_now() + 2 * connect_timeout, [shared] {
        return shared->accepted || shared->running == 0;
    });
    return shared->accepted;
}

bool crash_check::is_leaving(const target& it) const
{
    const auto* known = targets_.find(it.id);
    return it.leaving || (known && known->leaving) ||
           targets_.gate().leaves(it);
}

} // namespace arbutusgate::gateway
