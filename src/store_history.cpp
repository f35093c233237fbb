#include "store_history.hpp"

#include "crash_report.hpp"
#include "state_reader.hpp"
#include "state_revision.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace arbutusgate::gateway {

namespace {

constexpr std::uint64_t min_step = 64; ///< Revisions.
/// With the largest step, a response has some megabytes.
constexpr std::uint64_t max_step  = 16 * 1024;
constexpr int           max_reads = 8;
constexpr milliseconds  read_timeout{300};

store_history summarize(const state_changes& changes, milliseconds heartbeat)
{
    store_history                      out;
    std::map<std::string, std::size_t> entries;
    for (const auto& it : changes.changes) {
        const auto* found = std::get_if<target>(&it);
        if (!found)
            continue;
        out.software.emplace(found->service, software_key(*found));
        ++entries[found->id];
    }
    // Some targets write more than others, as when they leave.
    std::vector<std::size_t> counts;
    for (const auto& [id, count] : entries)
        counts.push_back(count);
    if (counts.empty())
        return out;
    const auto middle =
        counts.begin() + static_cast<std::ptrdiff_t>(counts.size() / 2);
    std::nth_element(counts.begin(), middle, counts.end());
    out.covered = heartbeat * static_cast<std::int64_t>(*middle - 1);
    return out;
}

} // namespace

store_history read_store_history(state_reader&         reader,
                                 const state_revision& revision,
                                 std::size_t targets, milliseconds heartbeat,
                                 milliseconds wanted)
{
    store_history out;
    const auto    entries = static_cast<std::uint64_t>(
        wanted / std::max(heartbeat, milliseconds{1}) + 2);
    auto          step = std::clamp(targets * entries, min_step, max_step);
    std::uint64_t read = 0; ///< Largest step that the store had.
    std::uint64_t gone = 0; ///< Smallest step that it had not; 0: none.
    for (int n = 0; n < max_reads && out.covered < wanted; ++n) {
        const bool whole = step >= revision.number;
        const auto found = reader.watch(whole ? 0 : revision.number - step,
                                        milliseconds{0}, read_timeout);
        if (absl::IsOutOfRange(found.status())) {
            gone = step;
        }
        // Revisions of another era were given out again.
        else if (!found.ok() || !same_history(found->revision, revision)) {
            break;
        }
        else {
            out          = summarize(*found, heartbeat);
            out.complete = true;
            read         = step;
            // Nothing was written before.
            if (whole)
                out.covered = std::max(out.covered, wanted);
        }
        const auto next = gone > 0 ? read + (gone - read) / 2 : 2 * step;
        if (next > max_step || next < read + min_step / 4)
            break;
        step = next;
    }
    return out;
}

} // namespace arbutusgate::gateway
