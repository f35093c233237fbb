/// Targets that a daemon of the fleet has seen leaving.
#pragma once

#include "node_context.hpp"

#include <map>
#include <string>

namespace arbutusgate {

/// Holds at most limits::max_leaving_entries; a new entry replaces the oldest.
class leaving_targets
{
public:
    explicit leaving_targets(node_context& context) : context_(context) {}

    /// Adds a target that was seen leaving \p age ago.
    /// \return false when the target is known already or the age is too high.
    bool add(std::string_view name, microseconds age, time_point t)
    {
        if (seen_.contains(std::string(name)) ||
            age >= limits::leaving_retention)
            return false;
        if (seen_.size() >= limits::max_leaving_entries)
            seen_.erase(oldest());
        seen_.emplace(name, t - age);
        return true;
    }

    void expire(time_point t)
    {
        std::erase_if(seen_, [&](const auto& it) {
            return t - it.second >= limits::leaving_retention;
        });
    }

    /// Adds the newest entries to \p out, at most limits::max_leaving_sent.
    void send(google::protobuf::RepeatedPtrField<pb::LeavingTarget>& out,
              time_point                                             t) const;

private:
    std::map<std::string, time_point>::iterator oldest();

    node_context&                     context_;
    std::map<std::string, time_point> seen_;
};

} // namespace arbutusgate
