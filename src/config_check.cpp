#include "arbutusgate/configuration.hpp"

#include "config_check.hpp"
#include "config_merge.hpp"
#include "deployment_schema.hpp"
#include "text.hpp"
#include "version_checker.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusgate {

namespace {

constexpr std::string_view site_prefix = "site/";

auto sort_key(const config_issue& it)
{
    return std::tie(it.document, it.line, it.column, it.message);
}

/// Merges and checks two documents that parsed without errors.
void check_trees(checked_config& out, parsed_document base,
                 parsed_document overlay, bool keep_values)
{
    config_reader reader(keep_values);
    if (base.root.kind == node_kind::mapping) {
        const auto open =
            read_open_patterns(reader, base.root, overlay_shape());
        std::erase_if(base.root.children,
                      [](const config_node& it) { return it.key == "open"; });
        merge_overlay(reader, base.root, std::move(overlay.root), open);
    }
    deployment_draft draft;
    read_mapping(reader, {base.root, ""}, deployment_schema(), draft);
    check_rules(reader, base.root, draft);
    out.issues = std::move(reader.issues());
    if (!out.issues.empty())
        return;
    out.values    = std::move(reader.values());
    out.effective = to_deployment(std::move(draft));
}

} // namespace

std::string overlay_document(std::string_view site)
{
    return concat(site_prefix, site);
}

void sort_issues(std::vector<config_issue>& issues)
{
    std::sort(issues.begin(), issues.end(),
              [](const config_issue& a, const config_issue& b) {
                  return sort_key(a) < sort_key(b);
              });
    const auto equal = [](const config_issue& a, const config_issue& b) {
        return sort_key(a) == sort_key(b);
    };
    issues.erase(std::unique(issues.begin(), issues.end(), equal),
                 issues.end());
}

parsed_document load_document(const config_documents& documents,
                              std::string_view        name)
{
    const auto found = documents.find(std::string(name));
    if (found != documents.end())
        return parse_document(found->first, found->second);
    parsed_document out;
    out.issues.push_back({std::string(name), 1, 1, "document missing"});
    return out;
}

checked_config check_site(const config_documents& documents,
                          parsed_document base, const std::string& site,
                          std::uint64_t version, bool keep_values)
{
    checked_config out;
    auto           overlay = load_document(documents, overlay_document(site));
    out.issues             = base.issues;
    out.issues.insert(out.issues.end(), overlay.issues.begin(),
                      overlay.issues.end());
    // After a syntax error the tree is incomplete, and the parts that were not
    // parsed would be reported as missing.
    if (out.issues.empty())
        check_trees(out, std::move(base), std::move(overlay), keep_values);
    sort_issues(out.issues);
    out.effective.version = version;
    out.effective.site    = site;
    return out;
}

std::vector<std::string> config_sites(const config_documents& documents)
{
    std::vector<std::string> out;
    for (const auto& it : documents) {
        if (it.first.starts_with(site_prefix))
            out.push_back(it.first.substr(site_prefix.size()));
    }
    return out;
}

checked_config check_config(const config_documents& documents,
                            const std::string& site, std::uint64_t version)
{
    return check_site(documents, load_document(documents, base_document), site,
                      version, true);
}

checked_config check_version(const config_documents& documents,
                             const std::string& site, std::uint64_t version)
{
    return version_checker(site).check(documents, version);
}

std::vector<config_issue> check_all_sites(const config_documents& documents)
{
    const auto sites = config_sites(documents);
    if (sites.empty())
        return {{std::string(base_document), 1, 1,
                 "no site is defined; each site needs a document site/NAME"}};
    return check_version(documents, sites.front(), 0).issues;
}

} // namespace arbutusgate
