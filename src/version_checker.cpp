#include "version_checker.hpp"

#include "config_check.hpp"
#include "sha256.hpp"

namespace arbutusgate {

checked_config version_checker::check(const config_documents& documents,
                                      std::uint64_t           version)
{
    digests current;
    for (const auto& [name, text] : documents)
        current.emplace(name, sha256(text));
    // Parsing the base document takes most of the time, so it is done once for
    // all sites.
    auto                      base = load_document(documents, base_document);
    std::vector<config_issue> issues;
    for (const auto& it : sites_to_check(documents, current)) {
        auto other = check_site(documents, base, it, version, false);
        issues.insert(issues.end(), other.issues.begin(), other.issues.end());
    }
    auto out = check_site(documents, std::move(base), site_, version, false);
    out.issues.insert(out.issues.end(), issues.begin(), issues.end());
    sort_issues(out.issues);
    if (out.issues.empty())
        valid_digests_ = std::move(current);
    return out;
}

/// Returns the other sites that have to be checked: those whose overlay has
/// changed, or all if the base document has changed.
std::vector<std::string>
version_checker::sites_to_check(const config_documents& documents,
                                const digests&          current) const
{
    const auto unchanged = [&](std::string_view name) {
        const auto before = valid_digests_.find(std::string(name));
        const auto after  = current.find(std::string(name));
        return before != valid_digests_.end() && after != current.end() &&
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
