#include "brittle_services.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

/// A service without any response for so long is no longer taken for brittle.
constexpr seconds lifetime{10};
/// Responses that were on their way may still differ from those of the others.
constexpr seconds settle_time{1};
/// A fleet that is large for what a target bears would leave it alone for
/// minutes otherwise.
constexpr seconds max_pause{60};

} // namespace

bool brittle_services::apply(const std::string&                  service,
                             const std::optional<std::uint32_t>& rejections,
                             time_point                          now)
{
    if (rejections) {
        const bool known  = this->rejections(service, now).has_value();
        entries_[service] = {std::max(1U, *rejections), now};
        return !known;
    }
    const auto found = entries_.find(service);
    if (found == entries_.end() || now - found->second.named_at < settle_time)
        return false;
    entries_.erase(found);
    return true;
}

std::optional<std::uint32_t>
brittle_services::rejections(const std::string& service, time_point now) const
{
    const auto found = entries_.find(service);
    if (found == entries_.end() || now - found->second.named_at > lifetime)
        return std::nullopt;
    return found->second.rejections;
}

milliseconds brittle_services::pause(std::uint32_t rejections,
                                     std::uint32_t daemons)
{
    return std::min<milliseconds>(max_pause, milliseconds{seconds{1}} *
                                                 std::max(1U, daemons) /
                                                 std::max(1U, rejections));
}

} // namespace arbutusgate::gateway
