/// Tells an owner that is gone from one that is slow.
///
/// Pattern: a burst makes an owner answer late. Taken for dead, it loses its
/// orders to the next one, which is late in turn.
#pragma once

#include "arbutusgate/types.hpp"

#include <optional>

namespace arbutusgate::gateway {

/// Times of a probe.
struct probe_times
{
    /// For an answer on a connection that is there: a daemon that is not
    /// behind answers within some 50 ms.
    milliseconds answer{250};
    /// For a new connection, which the system accepts for a slow process, and
    /// none for one that is gone.
    milliseconds connect{200};
    /// For an answer in all. Work that waits for longer is late.
    milliseconds slow{1000};
    /// The answer on the first connection comes before the one on the second,
    /// or is lost.
    milliseconds order{50};
};

/// What came of a probe.
enum class probe_verdict
{
    alive,
    gone,
    lost_connection, ///< The owner is alive; its first connection is silent.
};

/// One question to an owner that says nothing while it has orders. Does no I/O
/// and reads no clock: the owner of the probe asks on a connection that is
/// there, and on a second one when it is told so.
class owner_probe
{
public:
    explicit owner_probe(time_point asked, probe_times times = {})
        : times_(times), asked_(asked)
    {
    }

    /// The first question was answered, or its connection failed.
    void first_ended(bool answered);
    /// The second connection is open, or was refused.
    void connected(bool open) { refused_ = !open; }
    /// The second question was answered, or its connection failed.
    void second_ended(bool answered, time_point now);

    /// A second connection is to be opened now.
    bool needs_second(time_point now) const;
    /// \return nothing while it is open.
    std::optional<probe_verdict> verdict(time_point now) const;
    /// When the next call of the two above may differ without an event.
    time_point next_at(time_point now) const;
    /// Limits of the two connections.
    time_point   answer_by() const { return asked_ + times_.slow; }
    milliseconds connect_limit() const { return times_.connect; }

private:
    probe_times         times_;
    time_point          asked_;
    std::optional<bool> first_;  ///< Answered.
    std::optional<bool> second_; ///< Answered.
    time_point          second_at_{};
    bool                refused_ = false;
};

} // namespace arbutusgate::gateway
