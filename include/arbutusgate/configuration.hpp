/// Base and overlay documents of the operators, to an effective deployment.
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
    std::string   message; ///< Names the nearest known key for a wrong one.
};

/// "DOCUMENT:LINE:COLUMN: MESSAGE".
std::string to_string(const config_issue& it);

/// A leaf of the effective configuration and where it was set.
struct config_value
{
    std::string   path;     ///< Such as "pipelines.quote.deadline_ms".
    std::string   value;    ///< Canonical text; a digest for account keys.
    std::string   document; ///< "default" for values that no document sets.
    std::uint32_t line = 0;
};

/// Text of the documents by name: "base", "site/NAME".
using config_documents = std::map<std::string, std::string>;

/// Outcome of checking one site.
struct checked_config
{
    std::vector<config_issue> issues; ///< Empty: the deployment is valid.
    std::vector<config_value> values; ///< In document order; none with issues.
    deployment                effective;
};

/// Merges the base with the site's overlay and checks the result. Mappings
/// merge deep, lists replace, explicit null removes; an overlay may override
/// only what the base opens.
checked_config check_config(const config_documents& documents,
                            const std::string& site, std::uint64_t version);

/// Names of the sites that have an overlay, sorted.
std::vector<std::string> config_sites(const config_documents& documents);

/// Checks the documents as one version for a daemon of \p site: as
/// check_config, without values, with the issues of all other sites too. A
/// version is valid as a whole or not at all. With documents near the size
/// limit this takes hundreds of milliseconds, so it must not run on a fiber's
/// thread.
checked_config check_version(const config_documents& documents,
                             const std::string& site, std::uint64_t version);

/// Issues of all sites, sorted, each once.
std::vector<config_issue> check_all_sites(const config_documents& documents);

/// How a path differs between two configurations.
enum class change_kind
{
    added,
    removed,
    changed,
};

/// Stable identifier of the kind.
std::string_view to_string(change_kind it);

/// One path that differs. Values are empty on the side that lacks the path.
struct config_change
{
    change_kind  kind = change_kind::changed;
    std::string  path;
    config_value before;
    config_value after;
    /// False: in force only after a fresh start of the daemons.
    bool immediate = true;
};

/// Differences of two valid configurations, ordered by path.
std::vector<config_change> diff_configs(const checked_config& before,
                                        const checked_config& after);

} // namespace arbutusgate
