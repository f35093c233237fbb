/// Test oracle of the fuzzer: checks the guarantees against the work that
/// targets ran and the responses that callers received.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutusgate {

/// Response that a caller received.
enum class fuzz_answer
{
    none, ///< No response yet, or the connection closed.
    not_run,
    unknown,
    failed,
    done,
};

/// Records the first violation. Times are those of the simulation, not of a
/// process's own clock.
class fuzz_oracle
{
public:
    /// Records a new call of a key. \return the number of the call.
    std::uint32_t on_call(std::uint32_t key, bool other_body, time_point now);
    /// Records that a target ran the work of a call.
    /// \return the result of the target.
    std::string on_execution(std::uint32_t call, time_point now);
    void        on_answer(std::uint32_t call, fuzz_answer answer,
                          const std::string& body);
    /// Records that a process put a configuration version in force.
    void on_version(std::uint64_t before, std::uint64_t after, bool content_ok);
    void violation(const std::string& rule);

    const std::optional<std::string>& violated() const { return violation_; }
    std::optional<time_point>         first_use(std::uint32_t key) const;
    fuzz_answer answer(std::uint32_t call) const { return calls_[call].answer; }
    /// True when every call of the key got the response "not run".
    bool only_not_run(std::uint32_t key) const;
    /// A call of the key whose response was "done", if there is one.
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
        bool other_body = false; ///< The executed call had it.
    };

    std::vector<call_state>            calls_;
    std::map<std::uint32_t, key_state> keys_;
    std::uint32_t                      executions_ = 0;
    std::optional<std::string>         violation_;
};

} // namespace arbutusgate
