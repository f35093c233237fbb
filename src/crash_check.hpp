/// Tells targets that ended from targets that only broke off a call.
#pragma once

#include "crash_report.hpp"

#include "fiber_group.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace arbutusgate::gateway {

class part_quarantine;
class target_connections;

/// Belongs to one thread.
class crash_check
{
public:
    /// \param connections, quarantine outlive the object.
    crash_check(target_connections& connections, part_quarantine& quarantine)
        : connections_(connections), quarantine_(quarantine)
    {
    }

    /// Handles a call whose connection ended before an event arrived. The
    /// quarantine learns of it unless the target still accepts connections.
    void broke_off(const prompt_key& prompt, const target& at, time_point when);

private:
    using broken_call = std::pair<prompt_key, time_point>;

    void check(const target& it);

    target_connections& connections_;
    part_quarantine&    quarantine_;
    /// Calls whose targets are being checked, by the target's id.
    std::map<std::string, std::vector<broken_call>> pending_;
    fiber_group                                     fibers_;
};

} // namespace arbutusgate::gateway
