/// Tells which targets have been silent for so long, while calls run there,
/// that they may have ended without closing connections.
#pragma once

#include "crash_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace arbutusgate::gateway {

/// Identifies targets by target_lifetime(). Belongs to one thread; does no I/O
/// and reads no clock.
class waiting_calls
{
public:
    /// A call from when it is sent until it ends. The destructor removes the
    /// call.
    class entry
    {
    public:
        entry(waiting_calls& owner, std::uint64_t lifetime, std::uint64_t call)
            : owner_(owner), lifetime_(lifetime), call_(call)
        {
        }
        ~entry() { owner_.remove(lifetime_, call_); }

        /// The first event arrived.
        void begun(time_point now) { owner_.begun(lifetime_, call_, now); }

        entry(const entry&)            = delete;
        entry& operator=(const entry&) = delete;

    private:
        waiting_calls& owner_;
        std::uint64_t  lifetime_;
        std::uint64_t  call_;
    };

    struct silent_call
    {
        prompt_key      prompt;
        answer_progress progress = answer_progress::none;
    };

    /// \return number of the call, of which an entry is made.
    std::uint64_t add(const prompt_key& prompt, const target& at,
                      time_point now);
    void begun(std::uint64_t lifetime, std::uint64_t call, time_point now);
    void remove(std::uint64_t lifetime, std::uint64_t call);
    /// Bytes of the target arrived, or it accepted a connection.
    void heard(std::uint64_t lifetime, time_point now);
    /// \return when the target must be checked; nullopt when no call waits.
    std::optional<time_point> check_at(std::uint64_t lifetime) const;
    /// \return null when no call waits.
    const target* find(std::uint64_t lifetime) const;
    /// Removes and returns the calls that were sent before a time.
    std::vector<silent_call> take(std::uint64_t lifetime,
                                  time_point    sent_before);

private:
    struct call
    {
        prompt_key prompt;
        time_point sent_at{};
        /// First event; unset: none has arrived.
        std::optional<time_point> begun_at{};
    };
    struct silent_target
    {
        target                        info;
        time_point                    heard_at{};
        std::map<std::uint64_t, call> calls; ///< In the order of sending.
    };

    std::map<std::uint64_t, silent_target> targets_; ///< By lifetime.
    std::uint64_t                          last_call_ = 0;
};

/// Targets of the same failure domain as one that does not respond: if one of
/// them accepts a connection, the daemon is not cut off from the domain.
std::vector<target> reachability_witnesses(std::vector<target> published,
                                           const target&       of);

} // namespace arbutusgate::gateway
