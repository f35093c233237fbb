/// Failure detector that distinguishes an owner that is dead or unreachable
/// from one that is slow.
///
/// Failure: a burst makes an owner respond late. If it is taken for dead, its
/// orders move to the next owner, which then becomes late as well.
#pragma once

#include "arbutusgate/types.hpp"

#include <optional>

namespace arbutusgate::gateway {

/// Timeouts of a probe, counted from its start unless stated otherwise.
struct probe_times
{
    /// For the response on an existing connection, before a second one is
    /// opened. A daemon that is not overloaded responds within about 50 ms.
    milliseconds first_response{250};
    /// For opening the second connection, from the attempt on. The operating
    /// system accepts connections for a slow process too, but not for one that
    /// no longer exists.
    milliseconds connect{200};
    /// For any response. Work that waits longer than this is late.
    milliseconds total{1000};
    /// Grace period after the response on the second connection. The response
    /// on the first connection normally arrives earlier, and counts as lost
    /// when this period ends.
    milliseconds reordering{50};
};

/// Result of a probe.
enum class probe_verdict
{
    alive,
    gone,
    lost_connection, ///< The owner is alive; its first connection is dead.
};

/// One probe of an owner that has orders but sends nothing. Does no I/O and
/// reads no clock: the caller sends the first probe message on an existing
/// connection, and a second one on a new connection when needs_second() says
/// so.
class owner_probe
{
public:
    explicit owner_probe(time_point started, probe_times times = {})
        : times_(times), started_(started)
    {
    }

    /// \param answered false when the first connection failed.
    void first_ended(bool answered);
    /// \param open false when the second connection was not established.
    void connected(bool open) { refused_ = !open; }
    /// \param answered false when the second connection failed.
    void second_ended(bool answered, time_point now);

    /// Whether a second connection should be opened.
    bool needs_second(time_point now) const;
    /// \return nothing while the probe is undecided.
    std::optional<probe_verdict> verdict(time_point now) const;
    /// When needs_second() or verdict() may change without a new event.
    time_point next_at(time_point now) const;
    /// Deadline for the responses on both connections.
    time_point   response_deadline() const { return started_ + times_.total; }
    milliseconds connect_limit() const { return times_.connect; }

private:
    probe_times         times_;
    time_point          started_;
    std::optional<bool> first_answered_;  ///< Empty while outstanding.
    std::optional<bool> second_answered_; ///< Empty while outstanding.
    time_point          second_ended_at_{};
    bool                refused_ = false; ///< The second connection failed.
};

} // namespace arbutusgate::gateway
