#include "fuzz_oracle.hpp"

#include "arbutusgate/config.hpp"

#include <algorithm>

namespace arbutusgate {

namespace {

// Longest time between a call and its execution. A claim may be used until
// claim_use_limit after it began; a pause below the detection threshold and the
// transit of the message, up to 500 ms, can add to that.
constexpr auto latest_execution =
    limits::claim_use_limit + limits::pause_threshold + milliseconds{500};

} // namespace

std::uint32_t fuzz_oracle::on_call(std::uint32_t key, bool other_body,
                                   time_point now)
{
    const auto id = static_cast<std::uint32_t>(calls_.size());
    auto&      it =
        keys_.try_emplace(key, key_state{now, {}, 0, {}, false}).first->second;
    it.calls.push_back(id);
    calls_.push_back({key, other_body, now});
    return id;
}

std::string fuzz_oracle::on_execution(std::uint32_t call, time_point now)
{
    auto& it  = calls_[call];
    auto& key = keys_.at(it.key);
    ++executions_;
    if (++key.executions > 1)
        violation("key " + std::to_string(it.key) + " ran twice");
    if (it.answer == fuzz_answer::not_run)
        violation("work ran after its caller was told not run");
    if (now - it.sent > latest_execution)
        violation("work ran long after its claim began");
    it.ran         = true;
    key.other_body = it.other_body;
    key.result     = "result " + std::to_string(executions_);
    return key.result;
}

void fuzz_oracle::on_answer(std::uint32_t call, fuzz_answer answer,
                            const std::string& body)
{
    auto& it  = calls_[call];
    it.answer = answer;
    if (answer == fuzz_answer::not_run && it.ran)
        violation("caller was told not run after its work ran");
    if (answer != fuzz_answer::done)
        return;
    const auto& key = keys_.at(it.key);
    if (key.executions == 0 || body != key.result)
        violation("caller received an answer that is not its key's");
    if (it.other_body != key.other_body)
        violation("a key's answer was given for another body");
}

void fuzz_oracle::on_version(std::uint64_t before, std::uint64_t after,
                             bool content_ok)
{
    if (after < before)
        violation("version " + std::to_string(after) + " replaced " +
                  std::to_string(before));
    if (!content_ok)
        violation("a version came into force with another content");
}

void fuzz_oracle::violation(const std::string& rule)
{
    if (!violation_)
        violation_ = rule;
}

std::optional<time_point> fuzz_oracle::first_use(std::uint32_t key) const
{
    const auto it = keys_.find(key);
    if (it == keys_.end())
        return {};
    return it->second.first;
}

bool fuzz_oracle::only_not_run(std::uint32_t key) const
{
    const auto it = keys_.find(key);
    return it != keys_.end() &&
           std::all_of(it->second.calls.begin(), it->second.calls.end(),
                       [&](std::uint32_t call) {
                           return calls_[call].answer == fuzz_answer::not_run;
                       });
}

std::optional<std::uint32_t> fuzz_oracle::done_call(std::uint32_t key) const
{
    const auto it = keys_.find(key);
    if (it == keys_.end())
        return {};
    for (const auto call : it->second.calls) {
        if (calls_[call].answer == fuzz_answer::done)
            return call;
    }
    return {};
}

} // namespace arbutusgate
