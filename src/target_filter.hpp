/// Selects the targets that may run one request.
///
/// Failure: a request reaches a target in a region that its route or account
/// excludes, or one that a part of its prompt would crash, or a stream goes on
/// at another software version than the one that began it.
#pragma once

#include "gateway_types.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutusgate::gateway {

struct prompt_key;
class part_quarantine;
class target_directory;

/// Belongs to one thread; does no I/O and reads no clock.
class target_filter
{
public:
    using domain_set = std::optional<std::set<std::string>>;

    /// \param targets, quarantine, prompt outlive the filter.
    target_filter(const target_directory& targets,
                  const part_quarantine& quarantine, const prompt_key& prompt)
        : targets_(targets), quarantine_(quarantine), prompt_(prompt)
    {
    }

    /// \param domains failure domains that may run the request; unset: all.
    void permit_domains(domain_set domains) { domains_ = std::move(domains); }
    const domain_set& permitted_domains() const { return domains_; }
    /// Leaves out the targets of the service that run other software.
    /// \param software software_key of the targets that remain.
    void require_software(std::string service, std::uint64_t software)
    {
        software_ = software_of_service{std::move(service), software};
    }
    /// \return software_key of the targets that remain; unset: of all.
    std::optional<std::uint64_t> required_software() const
    {
        return software_ ? std::optional(software_->key) : std::nullopt;
    }
    /// \param part in quarantine that does not keep the request from targets,
    /// since the request is its trial; unset: none.
    void set_trial(std::optional<std::uint64_t> part) { trial_ = part; }

    /// \return a target of the service that may run the request, apart from
    /// quarantines; null when there is none.
    const target* any_permitted(const std::string& service) const;
    /// \param pieces of each stage of the route.
    /// \return name of a service that the request needs and that has no target
    /// for it; null when there is none.
    const std::string*
         service_without_target(const service& last, const route& route,
                                const std::vector<std::uint32_t>& pieces) const;
    bool is_quarantined(const target& it, time_point now) const;
    /// Targets of the service that may get new work and may run the request.
    /// \return reference that is valid until the next call.
    const std::vector<const target*>& usable(const std::string& service,
                                             time_point         now);
    /// \param tried ids of targets to leave out.
    /// \return the target that opens first, and when; null when none will.
    std::pair<const target*, time_point>
    first_to_open(const std::string&              service,
                  const std::vector<std::string>& tried, time_point now);

private:
    struct software_of_service
    {
        std::string   service;
        std::uint64_t key = 0;
    };

    bool permits(const target& it) const;

    const target_directory& targets_;
    const part_quarantine&  quarantine_;
    const prompt_key&       prompt_;
    domain_set              domains_;
    /// Of the stream that the request continues.
    std::optional<software_of_service> software_;
    std::optional<std::uint64_t>       trial_;
    /// Last result of usable(), if that leaves targets out.
    std::vector<const target*> usable_;
};

} // namespace arbutusgate::gateway
