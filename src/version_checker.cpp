#include "version_checker.hpp"

#include "config_check.hpp"
#include "sha256.hpp"

namespace arbutusgate {

checked_config version_checker::check(const config_documents& documents,
                                      std::uint64_t           version)
{
    digests now;
    for (const auto& [name, text] : documents)
        now.emplace(name, sha256(text));
    // Parsing the base takes most of the time of a check.
    auto                      base = load_document(documents, base_document);
    std::vector<config_issue> issues;
    for (const auto& it : other_sites(documents, now)) {
        auto other = check_site(documents, base, it, version, false);
        issues.insert(issues.end(), other.issues.begin(), other.issues.end());
    }
    auto out = check_site(documents, std::move(base), site_, version, false);
    out.issues.insert(out.issues.end(), issues.begin(), issues.end());
    sort_issues(out.issues);
    if (out.issues.empty())
        valid_ = std::move(now);
    return out;
}

/// \return the sites that have to be checked besides the own one.
std::vector<std::string>
version_checker::other_sites(const config_documents& documents,
                             const digests&          now) const
{
    const auto unchanged = [&](std::string_view name) {
        const auto before = valid_.find(std::string(name));
        const auto after  = now.find(std::string(name));
        return before != valid_.end() && after != now.end() &&
               before->second == after->second;
    };
    auto       sites     = config_sites(documents);
    const bool same_base = unchanged(base_document);
    std::erase_if(sites, [&](const std::string& it) {
        return it == site_ || (same_base && unchanged(overlay_document(it)));
    });
    return sites;
}

} // namespace arbutusgate
