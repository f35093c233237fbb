#include "arbutusgate/configuration.hpp"

#include "config_merge.hpp"
#include "deployment_schema.hpp"
#include "text.hpp"

#include <algorithm>
#include <tuple>

namespace arbutusgate {

namespace {

constexpr std::string_view base_name   = "base";
constexpr std::string_view site_prefix = "site/";

auto order_of(const config_issue& it)
{
    return std::tie(it.document, it.line, it.column, it.message);
}

void sort_issues(std::vector<config_issue>& issues)
{
    std::sort(issues.begin(), issues.end(),
              [](const config_issue& a, const config_issue& b) {
                  return order_of(a) < order_of(b);
              });
    const auto same = [](const config_issue& a, const config_issue& b) {
        return order_of(a) == order_of(b);
    };
    issues.erase(std::unique(issues.begin(), issues.end(), same), issues.end());
}

/// Parses the named document; a document that is absent is an issue.
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

/// Merges and checks two documents without syntax errors.
void check_trees(checked_config& out, parsed_document base,
                 parsed_document overlay)
{
    config_reader reader;
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

checked_config check_site(const config_documents& documents,
                          parsed_document base, const std::string& site,
                          std::uint64_t version)
{
    checked_config out;
    auto overlay = load_document(documents, std::string(site_prefix) + site);
    out.issues   = base.issues;
    out.issues.insert(out.issues.end(), overlay.issues.begin(),
                      overlay.issues.end());
    // Parts that a syntax error hides would be reported as missing.
    if (out.issues.empty())
        check_trees(out, std::move(base), std::move(overlay));
    sort_issues(out.issues);
    out.effective.version = version;
    out.effective.site    = site;
    return out;
}

} // namespace

std::string to_string(const config_issue& it)
{
    return concat(it.document, ":", it.line, ":", it.column, ": ", it.message);
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
    return check_site(documents, load_document(documents, base_name), site,
                      version);
}

checked_config check_version(const config_documents& documents,
                             const std::string& site, std::uint64_t version)
{
    // Parsing the base takes most of the time of a check.
    const auto     base  = load_document(documents, base_name);
    checked_config out   = check_site(documents, base, site, version);
    const auto     sites = config_sites(documents);
    for (const auto& it : sites) {
        if (it == site)
            continue;
        auto other = check_site(documents, base, it, version);
        out.issues.insert(out.issues.end(), other.issues.begin(),
                          other.issues.end());
    }
    sort_issues(out.issues);
    return out;
}

std::vector<config_issue> check_all_sites(const config_documents& documents)
{
    const auto sites = config_sites(documents);
    if (sites.empty())
        return {{std::string(base_name), 1, 1,
                 "no site; each needs a document site/NAME"}};
    return check_version(documents, sites.front(), 0).issues;
}

} // namespace arbutusgate
