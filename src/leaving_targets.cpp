#include "leaving_targets.hpp"

#include <algorithm>
#include <vector>

namespace arbutusgate {

std::map<std::string, time_point>::iterator leaving_targets::oldest()
{
    return std::min_element(
        seen_.begin(), seen_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
}

void leaving_targets::send(
    google::protobuf::RepeatedPtrField<pb::LeavingTarget>& out,
    time_point                                             t) const
{
    if (!context_.enabled(node_guard::leaving_gossip))
        return;
    std::vector<std::pair<time_point, const std::string*>> newest;
    for (const auto& [name, first] : seen_)
        newest.emplace_back(first, &name);
    if (newest.size() > limits::max_leaving_sent) {
        std::partial_sort(
            newest.begin(), newest.begin() + limits::max_leaving_sent,
            newest.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
        newest.resize(limits::max_leaving_sent);
    }
    for (const auto& [first, name] : newest) {
        auto& entry = *out.Add();
        entry.set_name(*name);
        entry.set_age_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(t - first).count()));
    }
}

} // namespace arbutusgate
