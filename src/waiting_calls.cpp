#include "waiting_calls.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace arbutusgate::gateway {

namespace {

/// Most targets send the first event sooner.
constexpr milliseconds max_silence{800};
constexpr std::size_t  max_witnesses = 3;

} // namespace

std::uint64_t waiting_calls::add(const prompt_key& prompt, const target& at,
                                 time_point now)
{
    auto& it = targets_[target_lifetime(at)];
    if (it.calls.empty()) {
        it.info     = at;
        it.heard_at = now;
    }
    it.calls[++last_call_] = {sample_parts(prompt), now};
    return last_call_;
}

void waiting_calls::begun(std::uint64_t lifetime, std::uint64_t call,
                          time_point now)
{
    const auto it = targets_.find(lifetime);
    if (it == targets_.end())
        return;
    const auto found = it->second.calls.find(call);
    if (found != it->second.calls.end())
        found->second.begun_at = now;
}

void waiting_calls::remove(std::uint64_t lifetime, std::uint64_t call)
{
    const auto it = targets_.find(lifetime);
    if (it == targets_.end())
        return;
    it->second.calls.erase(call);
    if (it->second.calls.empty())
        targets_.erase(it);
}

void waiting_calls::heard(std::uint64_t lifetime, time_point now)
{
    const auto it = targets_.find(lifetime);
    if (it != targets_.end())
        it->second.heard_at = now;
}

std::optional<time_point> waiting_calls::check_at(std::uint64_t lifetime) const
{
    const auto it = targets_.find(lifetime);
    if (it == targets_.end())
        return std::nullopt;
    const auto& oldest = it->second.calls.begin()->second;
    return std::max(oldest.sent_at, it->second.heard_at) + max_silence;
}

const target* waiting_calls::find(std::uint64_t lifetime) const
{
    const auto it = targets_.find(lifetime);
    return it == targets_.end() ? nullptr : &it->second.info;
}

std::vector<waiting_calls::silent_call>
waiting_calls::take(std::uint64_t lifetime, time_point sent_before)
{
    std::vector<silent_call> out;
    const auto               it = targets_.find(lifetime);
    if (it == targets_.end())
        return out;
    std::erase_if(it->second.calls, [&](auto& entry) {
        auto&      call  = entry.second;
        const bool taken = call.sent_at < sent_before;
        if (taken)
            out.push_back(
                {std::move(call.prompt),
                 call.begun_at
                     ? broken_progress(std::chrono::duration_cast<milliseconds>(
                           it->second.heard_at - *call.begun_at))
                     : answer_progress::none});
        return taken;
    });
    if (it->second.calls.empty())
        targets_.erase(it);
    return out;
}

std::vector<target> reachability_witnesses(std::vector<target> published,
                                           const target&       of)
{
    std::erase_if(published, [&](const target& it) {
        return it.id == of.id || it.address == of.address || it.leaving ||
               it.failure_domain != of.failure_domain;
    });
    // Different for each target, so that no witness serves for all.
    const auto rank = [&](const target& it) {
        return XXH3_64bits_withSeed(it.id.data(), it.id.size(),
                                    XXH3_64bits(of.id.data(), of.id.size()));
    };
    std::sort(published.begin(), published.end(),
              [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    published.resize(std::min(published.size(), max_witnesses));
    return published;
}

} // namespace arbutusgate::gateway
