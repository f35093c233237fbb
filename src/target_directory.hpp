/// Which targets exist, as published, and which of them may get work.
#pragma once

#include "gateway_types.hpp"
#include "target_gate.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// Change of a target's entry that others act on.
enum class target_change
{
    none,
    joined,  ///< New, or started again under its id.
    leaving, ///< Gets no new work.
    gone,    ///< Its entry was removed.
};

/// Belongs to one thread.
class target_directory
{
public:
    /// \param lapse_grace time that targets whose entry lapsed while the
    /// source was unreachable stay usable after it is back.
    explicit target_directory(milliseconds lapse_grace,
                              target_gate  gate = target_gate{})
        : lapse_grace_(lapse_grace), gate_(std::move(gate))
    {
    }

    /// An entry was written.
    target_change put(target it);
    /// An entry was removed.
    target_change remove(const std::string& id, time_point now);
    /// Entries that are unreadable or name no service are as removed.
    target_change reject(const std::string& id, time_point now)
    {
        return remove(id, now);
    }
    /// The source answers again after an outage. Until the grace has passed,
    /// removed entries count as lapsed.
    void source_returned(time_point now) { lapse_until_ = now + lapse_grace_; }
    /// A whole list was read: entries that are not in it are removed.
    /// \return ids of the removed ones.
    std::vector<std::string> replace_all(std::vector<target> list,
                                         time_point          now);
    /// Ends the grace of lapsed entries.
    /// \return ids of the targets that are now gone.
    std::vector<std::string> expire(time_point now);

    /// \return null when no such target is known.
    const target* find(const std::string& id) const;
    /// \return null when no known target has the address.
    const target* find_by_address(std::string_view address) const;
    /// Targets of the service that may get new work as published; the same at
    /// all daemons.
    const std::vector<const target*>& usable(std::string_view service) const;
    /// Those of them that may get work of this daemon now.
    /// \return valid until the next call.
    const std::vector<const target*>& open(std::string_view service,
                                           time_point       now);
    /// Those of the list that may get work of this daemon now.
    /// \param all returned itself when all may.
    /// \return valid until the next call.
    const std::vector<const target*>&
    open(const std::vector<const target*>& all, time_point now);
    /// When the first of the list may get work, not before \p now.
    /// \return nothing when all leave or there is none.
    std::optional<time_point> opens_at(const std::vector<const target*>& all,
                                       time_point now) const;
    /// What targets said themselves.
    target_gate&       gate() { return gate_; }
    const target_gate& gate() const { return gate_; }
    std::size_t        size() const { return targets_.size(); }
    /// Grows with each change of the usable targets.
    std::uint64_t generation() const { return generation_; }
    /// All targets whose entries stand.
    std::vector<target> published() const;

private:
    struct entry
    {
        target it;
        bool   lapsed = false;
    };

    using entry_map = std::map<std::string, entry>;

    void rebuild(const std::string& service);
    void erase(entry_map::iterator it);

    milliseconds lapse_grace_;
    target_gate  gate_;
    time_point   lapse_until_{};
    entry_map    targets_;
    /// Id of the latest target that was published with an address.
    std::map<std::string, std::string, std::less<>>             by_address_;
    std::uint64_t                                               generation_ = 0;
    std::unordered_map<std::string, std::vector<const target*>> usable_;
    std::vector<const target*> open_; ///< As last returned.
};

} // namespace arbutusgate::gateway
