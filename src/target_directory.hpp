/// Directory of the published targets; selects those that may get work.
#pragma once

#include "brittle_services.hpp"
#include "gateway_types.hpp"
#include "target_gate.hpp"
#include "target_limits.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// Effect of an update on a target.
enum class target_change
{
    none,
    joined,  ///< New, or restarted under the same id.
    leaving, ///< Marked as leaving: it gets no new work.
    gone,    ///< Its entry was removed.
};

/// Belongs to one thread.
class target_directory
{
public:
    /// \param lapse_grace how long targets whose entries lapsed while the
    /// source was unreachable stay usable after it is reachable again.
    explicit target_directory(milliseconds lapse_grace,
                              target_gate  gate = target_gate{})
        : lapse_grace_(lapse_grace), gate_(std::move(gate))
    {
    }

    /// Handles a written entry.
    target_change put(target it);
    /// Handles a removed entry.
    target_change remove(const std::string& id, time_point now);
    /// Handles an entry that is unreadable or names no service: it counts as
    /// removed.
    target_change reject(const std::string& id, time_point now)
    {
        const auto out = remove(id, now);
        // The target may be alive, with an entry that another writer damaged.
        removed_.erase(id);
        return out;
    }
    /// The source is reachable again after an outage. Entries that are removed
    /// within lapse_grace from now only count as lapsed.
    void source_returned(time_point now) { lapse_until_ = now + lapse_grace_; }
    /// Corrects a list of a store that was restored from an older copy, which
    /// shows targets as they were. What is known of the same or a later
    /// lifetime of a target holds: that it is leaving, was removed or replaced,
    /// or is no longer cold.
    void correct_restored(std::vector<target>& list, time_point now) const;
    /// Handles a complete list: entries that are not in it are removed.
    /// \return ids of the removed targets.
    std::vector<std::string> replace_all(std::vector<target> list,
                                         time_point          now);
    /// Removes lapsed entries once lapse_grace has passed.
    /// \return ids of the removed targets.
    std::vector<std::string> expire(time_point now);

    /// Sets whether a failure domain is evacuated. Its targets get no new work,
    /// including those that are published later.
    /// \return false when nothing changed.
    bool set_evacuated(const std::string& failure_domain, bool active);
    /// \return the evacuated failure domains.
    const std::set<std::string>& evacuated() const { return evacuated_; }
    bool                         evacuated(const target& it) const
    {
        return evacuated_.contains(it.failure_domain);
    }

    /// Sets the limits of cold targets by service.
    void
    set_cold_limits(std::map<std::string, cold_limits, std::less<>> by_service)
    {
        cold_limits_ = std::move(by_service);
    }
    /// Applies that a target is cold for a time. Without limits for cold
    /// targets of its service, nothing changes.
    void note_cold(const target& it, milliseconds time, time_point now);
    /// Applies that the evacuation of a failure domain ended: its targets may
    /// have restarted meanwhile, or become cold.
    void note_evacuation_end(const std::string& failure_domain, time_point now);

    /// \return null when the target is unknown.
    const target* find(const std::string& id) const;
    /// \return the target last published with the address; null when there is
    /// none.
    const target* find_by_address(std::string_view address) const;
    /// Targets of the service that may get new work according to the published
    /// state, which all daemons share.
    const std::vector<const target*>& usable(std::string_view service) const;
    /// The usable targets of all services.
    std::vector<const target*> all_usable() const;
    /// The usable targets that may get work from this daemon now.
    /// \return reference that is valid until the next call.
    const std::vector<const target*>& open(std::string_view service,
                                           time_point       now);
    /// The targets of \p all that may get work from this daemon now.
    /// \return reference that is valid until the next call; \p all itself when
    /// the gate holds back no target.
    const std::vector<const target*>&
    open(const std::vector<const target*>& all, time_point now);
    /// As open(), without targets that limit their calls.
    const std::vector<const target*>&
    open_without_limit(const std::vector<const target*>& all, time_point now);
    /// Earliest time, not before \p now, at which a target of \p all may get
    /// work.
    /// \return nullopt when all are leaving or the list is empty.
    std::optional<time_point> opens_at(const std::vector<const target*>& all,
                                       time_point now) const;
    /// Earliest time, not before \p now, at which the target may get work.
    /// \return nullopt when it is leaving.
    std::optional<time_point> opens_at(const target& to, time_point now) const;
    /// What the targets announced themselves.
    target_gate&       gate() { return gate_; }
    const target_gate& gate() const { return gate_; }
    /// Services whose targets are brittle.
    brittle_services&       brittle() { return brittle_; }
    const brittle_services& brittle() const { return brittle_; }
    /// The limits that the targets named.
    target_limits&       limits() { return limits_; }
    const target_limits& limits() const { return limits_; }
    std::size_t          size() const { return targets_.size(); }
    /// Increases with each change of the usable targets.
    std::uint64_t generation() const { return generation_; }
    /// \return software_key of all known targets, by service.
    std::map<std::string, std::set<std::uint64_t>> software() const;
    /// \return all targets whose entries have not lapsed, with the cold times
    /// that remain.
    std::vector<target> published(time_point now) const;

private:
    struct entry
    {
        target value;
        bool   lapsed = false; ///< Removed, but usable during the grace.
    };

    using entry_map = std::map<std::string, entry>;

    struct removal
    {
        std::int64_t started_at = 0; ///< Lifetime of the target.
        time_point   at{};
    };

    void rebuild(const std::string& service);
    void erase(entry_map::iterator it);
    void record_removal(const target& it, time_point now);

    milliseconds     lapse_grace_;
    target_gate      gate_;
    target_limits    limits_;
    brittle_services brittle_;
    time_point       lapse_until_{};
    entry_map        targets_;
    /// Targets that were removed lately, by id.
    std::map<std::string, removal> removed_;
    std::set<std::string>          evacuated_; ///< Failure domains.
    /// By service.
    std::map<std::string, cold_limits, std::less<>> cold_limits_;
    /// Id of the latest target that was published with an address.
    std::map<std::string, std::string, std::less<>>             by_address_;
    std::uint64_t                                               generation_ = 0;
    std::unordered_map<std::string, std::vector<const target*>> usable_;
    std::vector<const target*> open_; ///< Last result of open().
};

} // namespace arbutusgate::gateway
