#include "target_filter.hpp"

#include "crash_report.hpp"
#include "part_quarantine.hpp"
#include "target_directory.hpp"

#include <algorithm>
#include <iterator>

namespace arbutusgate::gateway {

bool target_filter::permits(const target& it) const
{
    if (domains_ && !domains_->contains(it.failure_domain))
        return false;
    return !software_ || it.service != software_->service ||
           software_key(it) == software_->key;
}

const target* target_filter::any_permitted(const std::string& service) const
{
    const auto& all = targets_.usable(service);
    const auto  it =
        std::find_if(all.begin(), all.end(),
                     [this](const auto* it) { return permits(*it); });
    return it == all.end() ? nullptr : *it;
}

const std::string* target_filter::service_without_target(
    const service& last, const route& route,
    const std::vector<std::uint32_t>& pieces) const
{
    if (!any_permitted(last.name))
        return &last.name;
    const auto n = std::min(pieces.size(), route.stages.size());
    for (std::size_t k = 0; k < n; ++k) {
        if (pieces[k] > 0 && !any_permitted(route.stages[k].service))
            return &route.stages[k].service;
    }
    return nullptr;
}

bool target_filter::is_quarantined(const target& it, time_point now) const
{
    const auto found = quarantine_.find(prompt_, software_key(it), now);
    return found && found->part != trial_;
}

const std::vector<const target*>&
target_filter::usable(const std::string& service, time_point now)
{
    const auto& all        = targets_.usable(service);
    const bool  quarantine = quarantine_.active();
    if (!quarantine && !domains_ && !software_)
        return all;
    usable_.clear();
    std::copy_if(all.begin(), all.end(), std::back_inserter(usable_),
                 [&](const auto* it) {
                     return permits(*it) &&
                            !(quarantine && is_quarantined(*it, now));
                 });
    return usable_;
}

std::pair<const target*, time_point>
target_filter::first_to_open(const std::string&              service,
                             const std::vector<std::string>& tried,
                             time_point                      now)
{
    std::pair<const target*, time_point> out{nullptr, {}};
    for (const auto* it : usable(service, now)) {
        if (std::find(tried.begin(), tried.end(), it->id) != tried.end())
            continue;
        const auto at = targets_.opens_at(*it, now);
        if (at && (!out.first || *at < out.second))
            out = {it, *at};
    }
    return out;
}

} // namespace arbutusgate::gateway
