/// Checks the operators' base and overlay documents and merges them into an
/// effective deployment.
#pragma once

#include "arbutusgate/deployment.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// One error or warning in a document. Lines and columns count from 1.
struct config_issue
{
    std::string   document;
    std::uint32_t line   = 0;
    std::uint32_t column = 0;
    std::string   message; ///< Suggests a similar known key for an unknown one.
};

/// Formats the issue as "DOCUMENT:LINE:COLUMN: MESSAGE".
std::string to_string(const config_issue& it);

/// A scalar or empty collection of the effective configuration, and where it
/// was set.
struct config_value
{
    std::string   path;     ///< For example "pipelines.quote.deadline_ms".
    std::string   value;    ///< Canonical text; a digest for account keys.
    std::string   document; ///< "default" for values that no document sets.
    std::uint32_t line = 0;
};

/// Text of each document by its name, "base" or "site/NAME".
using config_documents = std::map<std::string, std::string>;

/// Result of checking the configuration of one site.
struct checked_config
{
    std::vector<config_issue> issues; ///< Empty when the deployment is valid.
    std::vector<config_value>
               values; ///< In document order; empty if there are issues.
    deployment effective;
};

/// Merges the site's overlay into the base and checks the result. Mappings are
/// merged recursively, scalars and lists replace those of the base, and an
/// explicit null removes an entry. An overlay may change only the paths that
/// the base lists in `open`.
checked_config check_config(const config_documents& documents,
                            const std::string& site, std::uint64_t version);

/// Names of the sites that have an overlay, sorted.
std::vector<std::string> config_sites(const config_documents& documents);

/// Checks a version of the documents for a daemon of \p site. Unlike
/// check_config, it records no values and also reports the issues of all other
/// sites, because a version is valid only if it is valid for every site. With
/// documents near the size limit this takes hundreds of milliseconds, so it
/// must not run on a thread that runs fibers.
checked_config check_version(const config_documents& documents,
                             const std::string& site, std::uint64_t version);

/// Checks all sites and returns their issues, sorted and without duplicates.
std::vector<config_issue> check_all_sites(const config_documents& documents);

/// How the value at a path differs between two configurations.
enum class change_kind
{
    added,
    removed,
    changed,
};

/// Stable identifier of the kind.
std::string_view to_string(change_kind it);

/// A difference at one path. The value is empty in the configuration that lacks
/// the path.
struct config_change
{
    change_kind  kind = change_kind::changed;
    std::string  path;
    config_value before;
    config_value after;
    /// False when the change takes effect only after the daemons restart.
    bool immediate = true;
};

/// Returns the differences between two valid configurations, sorted by path.
std::vector<config_change> diff_configs(const checked_config& before,
                                        const checked_config& after);

} // namespace arbutusgate
