#include "store_history.hpp"

#include "crash_report.hpp"
#include "state_reader.hpp"
#include "state_revision.hpp"

#include <algorithm>
#include <map>

namespace arbutusgate::gateway {

namespace {

constexpr std::uint64_t first_step = 64; ///< Revisions.
/// With the largest step, a response has some megabytes.
constexpr std::uint64_t max_step = 16 * 1024;
constexpr milliseconds  read_timeout{300};

store_history summarize(const state_changes& changes, milliseconds heartbeat)
{
    store_history                      out;
    std::map<std::string, std::size_t> entries;
    std::size_t                        most = 0;
    for (const auto& it : changes.changes) {
        const auto* found = std::get_if<target>(&it);
        if (!found)
            continue;
        out.software.emplace(found->service, software_key(*found));
        most = std::max(most, ++entries[found->id]);
    }
    if (most > 0)
        out.covered = heartbeat * static_cast<std::int64_t>(most - 1);
    return out;
}

} // namespace

store_history read_store_history(state_reader&         reader,
                                 const state_revision& revision,
                                 milliseconds heartbeat, milliseconds wanted)
{
    store_history out;
    for (auto step = first_step; step <= max_step && out.covered < wanted;
         step *= 2)
    {
        const bool whole = step >= revision.number;
        const auto found = reader.watch(whole ? 0 : revision.number - step,
                                        milliseconds{0}, read_timeout);
        // Revisions of another era were given out again.
        if (!found.ok() || !same_history(found->revision, revision))
            break;
        out = summarize(*found, heartbeat);
        // Nothing was written before.
        if (whole)
            out.covered = std::max(out.covered, wanted);
    }
    return out;
}

} // namespace arbutusgate::gateway
