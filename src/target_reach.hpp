/// Decides from connection attempts whether this daemon reaches any target.
#pragma once

#include "gateway_types.hpp"

#include "arbutusgate/types.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate::gateway {

/// Whether this daemon reaches targets.
enum class reach_state
{
    reachable,
    cut_off,   ///< It reaches no target, but other daemons do.
    returning, ///< It reaches targets again, and takes work gradually.
};

/// Stable identifier, as in logs.
std::string_view to_string(reach_state it);

/// Timing and size parameters of target_reach.
struct target_reach_params
{
    /// Failures of this many targets, with no success in between, cause a
    /// sample.
    std::size_t  suspicious_targets = 2;
    milliseconds failure_window{1000};
    std::size_t  sample_size = 6; ///< Targets that are probed at once.
    /// Between samples that found a target; doubled with each, up to the
    /// maximum, while failures go on.
    milliseconds min_sample_interval{500};
    milliseconds max_sample_interval{2000};
    /// A daemon that is cut off probes a few targets at this interval.
    milliseconds return_interval{250};
    std::size_t  return_sample_size = 2;
    /// How long a daemon is returning.
    milliseconds return_time{2000};
    /// Share of the requests that it sends to targets at first.
    double first_share = 0.2;
    /// A daemon that has returned owns no shards for so long.
    milliseconds owner_delay{1000};
};

/// Result of probing several targets at once.
struct reach_sample
{
    std::size_t probed   = 0;
    std::size_t accepted = 0;
    /// Whether another daemon says that it reaches targets.
    bool others_reach = false;
};

/// Does no I/O and reads no clock.
class target_reach
{
public:
    explicit target_reach(target_reach_params params = {}) : params_(params) {}

    /// Records that a target accepted a connection.
    void connected(time_point now);
    /// Records that a connection to a target failed.
    void failed(const std::string& target, time_point now);

    /// \return when targets have to be probed next; nothing: not now.
    std::optional<time_point> sample_due(time_point now) const;
    /// Number of targets of the sample that is due.
    std::size_t sample_size() const;
    /// Handles the result of a sample.
    /// \return true when the state has changed.
    bool sampled(const reach_sample& it, time_point now);
    /// Ends the time of returning. \return true when the state has changed.
    bool update(time_point now);

    reach_state state() const { return state_; }
    /// Share of new requests that this daemon sends to targets itself.
    double direct_share(time_point now) const;
    /// Whether this daemon may own stage shards.
    bool may_own(time_point now) const;
    /// When a target last accepted a connection.
    time_point connected_at() const { return connected_at_; }

private:
    bool suspected(time_point now) const;
    void set_state(reach_state it, time_point now);

    target_reach_params params_;
    reach_state         state_ = reach_state::reachable;
    time_point          changed_at_{};
    time_point          connected_at_{};
    time_point          sampled_at_{};
    milliseconds        interval_{0}; ///< Until the next sample.
    /// The latest small sample found a target, so that a whole one is due.
    bool confirming_ = false;
    /// Latest failure of each target since one accepted a connection.
    std::map<std::string, time_point> failures_;
};

/// \return up to \p count targets, of all failure domains and services in turn,
/// at random among those alike.
std::vector<target> choose_sample(std::vector<const target*> all,
                                  std::size_t count, std::mt19937_64& random);

} // namespace arbutusgate::gateway
