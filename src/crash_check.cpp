#include "crash_check.hpp"

#include "daemon_clock.hpp"
#include "log.hpp"
#include "part_quarantine.hpp"
#include "target_connections.hpp"

namespace arbutusgate::gateway {

namespace {

/// A process that ends closes its connections one after another, the listening
/// one perhaps last.
constexpr milliseconds check_delay{50};
constexpr milliseconds connect_timeout{400};

} // namespace

void crash_check::broke_off(const prompt_key& prompt, const target& at,
                            time_point when)
{
    auto&      calls   = pending_[at.id];
    const bool running = !calls.empty();
    calls.emplace_back(sample_parts(prompt), when);
    if (!running)
        fibers_.spawn([this, at] { check(at); });
}

void crash_check::check(const target& it)
{
    fibers_.sleep_until(daemon_now() + check_delay);
    const bool alive = connections_.accepts(it, connect_timeout);
    const auto calls = std::exchange(pending_[it.id], {});
    pending_.erase(it.id);
    log(log_level::info,
        alive ? "target goes on after calls broke off"
              : "target ended with calls that had no answer",
        {{"target", it.id}, {"service", it.service}, {"calls", calls.size()}});
    if (alive)
        return;
    for (const auto& [prompt, when] : calls)
        quarantine_.broke_off(prompt, it, when);
}

} // namespace arbutusgate::gateway
