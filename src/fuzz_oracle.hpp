/// Rules of the guarantees, checked on what targets ran and callers received.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusgate {

/// What a caller received.
enum class fuzz_answer
{
    none, ///< Nothing yet, or its connection closed.
    not_run,
    unknown,
    failed,
    done,
};

/// Keeps the first violation. Times are true times, not those of a process.
class fuzz_oracle
{
public:
    /// \return the number of the call.
    std::uint32_t on_call(std::uint32_t key, bool other_body, time_point now);
    /// A target ran the work of a call.
    /// \return the result that the target gives.
    std::string on_execution(std::uint32_t call, time_point now);
    void        on_answer(std::uint32_t call, fuzz_answer answer,
                          const std::string& body);
    /// A process put a version in force.
    void on_version(std::uint64_t before, std::uint64_t after, bool content_ok);
    void violation(const std::string& rule);

    const std::optional<std::string>& violated() const { return violation_; }
    std::optional<time_point>         first_use(std::uint32_t key) const;
    fuzz_answer answer(std::uint32_t call) const { return calls_[call].answer; }
    /// True when every call of the key was answered "not run".
    bool only_not_run(std::uint32_t key) const;
    /// A call of the key that was answered as done.
    std::optional<std::uint32_t> done_call(std::uint32_t key) const;
    std::uint32_t                executions() const { return executions_; }

private:
    struct call_state
    {
        std::uint32_t key        = 0;
        bool          other_body = false;
        time_point    sent;
        fuzz_answer   answer = fuzz_answer::none;
        bool          ran    = false;
    };

    struct key_state
    {
        time_point                 first;
        std::vector<std::uint32_t> calls;
        std::uint32_t              executions = 0;
        std::string                result;
        bool                       other_body = false; ///< Of the execution.
    };

    std::vector<call_state>            calls_;
    std::map<std::uint32_t, key_state> keys_;
    std::uint32_t                      executions_ = 0;
    std::optional<std::string>         violation_;
};

} // namespace arbutusgate
