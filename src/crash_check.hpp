/// Tells targets that ended from targets that only broke off a call.
#pragma once

#include "crash_report.hpp"
#include "waiting_calls.hpp"

#include "fiber_group.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

class part_quarantine;
class target_connections;
class target_directory;

/// Belongs to one thread.
class crash_check
{
public:
    /// \param connections, targets, quarantine outlive the object.
    crash_check(target_connections&     connections,
                const target_directory& targets, part_quarantine& quarantine)
        : connections_(connections), targets_(targets), quarantine_(quarantine)
    {
    }

    /// Watches a call: the quarantine learns of it when the target is silent
    /// and accepts no connection.
    /// \return an object that ends the watch; null when the prompt has no part
    /// that other requests may share.
    std::unique_ptr<waiting_calls::entry> watch(const prompt_key& prompt,
                                                const target&     at);
    /// Bytes of the target arrived on a connection.
    void heard(const target& from, time_point connected_at);
    /// Handles a call whose connection ended before the whole of its answer
    /// arrived. The quarantine learns of it unless the target still accepts
    /// connections.
    void broke_off(const prompt_key& prompt, const target& at,
                   answer_progress progress, time_point when);
    /// Handles an answer that ended with its connection, which names no other
    /// end. It is whole if the target still accepts connections.
    void ended_with_connection(const prompt_key& prompt, const target& at,
                               answer_progress progress, time_point when);
    /// Handles a call that ended at its timeout, or that was given up.
    void fell_silent(const prompt_key& prompt, const target& at,
                     answer_progress progress, time_point when);

private:
    struct ended_call
    {
        prompt_key      prompt;
        answer_progress progress = answer_progress::none;
        time_point      when{};
        bool            may_be_whole = false;
    };

    void add(const target& at, ended_call it);

    void check(const target& it);
    void check_while_waiting(std::uint64_t lifetime);
    void check_silent(const target& it);
    bool has_ended(const target& it);
    bool accepts_any(const std::vector<target>& list);
    /// A target that is leaving ends its connections, too.
    bool is_leaving(const target& it) const;

    target_connections&     connections_;
    const target_directory& targets_;
    part_quarantine&        quarantine_;
    /// Calls whose targets are being checked, by the target's id.
    std::map<std::string, std::vector<ended_call>> pending_;
    waiting_calls                                  waiting_;
    std::set<std::uint64_t>                        watched_; ///< Lifetimes.
    fiber_group                                    fibers_;
};

} // namespace arbutusgate::gateway
