#include "cli_config.hpp"

#include "cli_table.hpp"
#include "config_files.hpp"
#include "config_reader.hpp"
#include "text.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>
#include <set>

namespace arbutusgate {

namespace json = boost::json;

namespace {

std::string document_path(const std::string& dir, const std::string& document)
{
    return concat(dir, "/", document, ".yaml");
}

std::string value_origin(const std::string& dir, const config_value& it)
{
    if (it.line == 0)
        return it.document;
    return concat(document_path(dir, it.document), ":", it.line);
}

json::array to_json(const std::string&               dir,
                    const std::vector<config_issue>& issues)
{
    json::array out;
    for (const auto& it : issues)
        out.push_back({{"file", document_path(dir, it.document)},
                       {"line", it.line},
                       {"column", it.column},
                       {"message", it.message}});
    return out;
}

void print_issues(std::ostream& err, const std::string& dir,
                  const std::vector<config_issue>& issues)
{
    for (auto it : issues) {
        it.document = document_path(dir, it.document);
        err << to_string(it) << '\n';
    }
}

/// Prints the issues as JSON to \p out or as text to \p err.
/// \return cli_exit::failed.
cli_exit report_issues(const cli_options& options, const std::string& dir,
                       const std::vector<config_issue>& issues,
                       std::ostream& out, std::ostream& err)
{
    if (options.json)
        out << json::serialize(json::object{{"issues", to_json(dir, issues)}})
            << '\n';
    else
        print_issues(err, dir, issues);
    return cli_exit::failed;
}

cli_exit report_status(const absl::Status& status, std::ostream& err)
{
    err << "arbutusgate: " << status.message() << '\n';
    return cli_exit::failed;
}

/// \return true when the site has an overlay. Otherwise prints an error that
/// suggests the most similar known site.
bool require_site(const std::string& site, const config_documents& documents,
                  std::ostream& err)
{
    const auto sites = config_sites(documents);
    if (std::find(sites.begin(), sites.end(), site) != sites.end())
        return true;
    err << "arbutusgate: no such site " << quote_text(site)
        << suggest(site, {sites.begin(), sites.end()}) << '\n';
    return false;
}

/// Differences between two configurations of one site.
struct site_diff
{
    std::string                site;
    std::vector<config_change> changes;
};

json::object to_json(const std::string& site, const config_change& it)
{
    json::object out{{"site", site},
                     {"change", std::string(to_string(it.kind))},
                     {"path", it.path},
                     {"immediate", it.immediate}};
    if (it.kind != change_kind::added)
        out["before"] = it.before.value;
    if (it.kind != change_kind::removed)
        out["after"] = it.after.value;
    return out;
}

void print_json(std::ostream& out, const std::vector<site_diff>& diffs)
{
    json::array changes;
    for (const auto& diff : diffs) {
        for (const auto& it : diff.changes)
            changes.push_back(to_json(diff.site, it));
    }
    out << json::serialize(json::object{{"changes", std::move(changes)}})
        << '\n';
}

void print_text(std::ostream& out, const site_diff& it)
{
    out << "site " << it.site << ':'
        << (it.changes.empty() ? " no change\n" : "\n");
    if (it.changes.empty())
        return;
    text_table table{{"change", "path", "before", "after", "in force"}, {}};
    for (const auto& change : it.changes)
        table.rows.push_back(
            {std::string(to_string(change.kind)), change.path,
             change.before.value, change.after.value,
             change.immediate ? "at once" : "after a fresh start"});
    print(out, table);
}

/// Checks one site of a diff. A site without an overlay counts as an empty
/// configuration, not as an error, so that the diff shows added and removed
/// sites.
checked_config check_site_or_empty(const config_documents& documents,
                                   const std::string&      site)
{
    if (!documents.contains("site/" + site))
        return {};
    return check_config(documents, site, 0);
}

} // namespace

cli_exit run_check(const cli_options& options, std::ostream& out,
                   std::ostream& err)
{
    const auto& dir       = options.operands.at(0);
    const auto  documents = read_documents(dir);
    if (!documents.ok())
        return report_status(documents.status(), err);
    const auto issues = check_all_sites(*documents);
    if (!issues.empty())
        return report_issues(options, dir, issues, out, err);
    const auto sites = config_sites(*documents);
    if (options.json)
        out << json::serialize(json::object{
                   {"issues", json::array()},
                   {"sites", json::array(sites.begin(), sites.end())}})
            << '\n';
    else
        out << sites.size() << " sites without errors\n";
    return cli_exit::done;
}

cli_exit run_render(const cli_options& options, std::ostream& out,
                    std::ostream& err)
{
    const auto& dir       = options.operands.at(0);
    const auto  documents = read_documents(dir);
    if (!documents.ok())
        return report_status(documents.status(), err);
    if (!require_site(options.site, *documents, err))
        return cli_exit::failed;
    const auto checked = check_config(*documents, options.site, 0);
    if (!checked.issues.empty())
        return report_issues(options, dir, checked.issues, out, err);
    text_table  table{{"path", "value", "origin"}, {}};
    json::array values;
    for (const auto& it : checked.values) {
        table.rows.push_back({it.path, it.value, value_origin(dir, it)});
        values.push_back({{"path", it.path},
                          {"value", it.value},
                          {"origin", value_origin(dir, it)}});
    }
    if (options.json)
        out << json::serialize(json::object{{"values", std::move(values)}})
            << '\n';
    else
        print(out, table);
    return cli_exit::done;
}

cli_exit run_diff(const cli_options& options, std::ostream& out,
                  std::ostream& err)
{
    const auto& old_dir = options.operands.at(0);
    const auto& new_dir = options.operands.at(1);
    const auto  before  = read_documents(old_dir);
    if (!before.ok())
        return report_status(before.status(), err);
    const auto after = read_documents(new_dir);
    if (!after.ok())
        return report_status(after.status(), err);

    std::set<std::string> sites;
    if (options.site.empty()) {
        for (const auto& documents : {*before, *after}) {
            for (auto& it : config_sites(documents))
                sites.insert(std::move(it));
        }
    }
    else if (before->contains("site/" + options.site) ||
             require_site(options.site, *after, err))
    {
        sites.insert(options.site);
    }
    else {
        return cli_exit::failed;
    }

    std::vector<site_diff> diffs;
    for (const auto& it : sites) {
        const auto old_config = check_site_or_empty(*before, it);
        const auto new_config = check_site_or_empty(*after, it);
        if (!old_config.issues.empty())
            return report_issues(options, old_dir, old_config.issues, out, err);
        if (!new_config.issues.empty())
            return report_issues(options, new_dir, new_config.issues, out, err);
        diffs.push_back({it, diff_configs(old_config, new_config)});
    }
    if (options.json)
        print_json(out, diffs);
    else
        for (const auto& it : diffs)
            print_text(out, it);
    return cli_exit::done;
}

} // namespace arbutusgate
