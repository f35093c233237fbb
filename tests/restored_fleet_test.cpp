#include "change_log.hpp"
#include "state_follower.hpp"

#include "absl/strings/str_cat.h"

#include <catch2/catch.hpp>

#include <random>

using namespace arbutusgate::gateway;
using arbutusgate::milliseconds;

namespace {

/// Latest change by key, including removals.
using item_map = std::map<std::string, state_change>;
using lifetime = std::pair<std::string, std::int64_t>; ///< Id and start.

configuration make_config(std::uint64_t version)
{
    return {version, {}, {}, {}, false, {}, std::to_string(version)};
}

bool evacuated(const item_map& items, const std::string& domain)
{
    return std::get<domain_evacuation>(items.at(domain)).active;
}

struct daemon_state
{
    target_directory        targets{milliseconds{2000}};
    change_log              log;
    state_follower          follower{follow_times{}, {}, targets, {}};
    arbutusgate::time_point wake, cut_until;
    std::uint64_t           generation = 0, version = 0;
    std::map<std::string, std::int64_t> known; ///< Latest lifetimes.
    /// Lifetimes known as leaving or removed, and the revision of the state.
    std::map<lifetime, state_revision> ended;
};

struct fleet
{
    std::mt19937 random;
    item_map     truth, items; ///< What the writers stand by; in the store.
    std::vector<std::pair<std::string, state_change>>
                                       history; ///< Its size is the revision.
    std::vector<std::size_t>           copies;  ///< One for each 100 ms.
    std::map<lifetime, state_revision> written; ///< Latest writes as ready.
    std::uint64_t                      era = 1, oldest = 0, version = 1;
    std::int64_t                       starts = 0;
    arbutusgate::time_point            now;
    daemon_state                       daemons[6]; ///< Two read the store.
    std::string                        violation;

    int            draw(int n) { return static_cast<int>(random() % n); }
    state_revision revision() const { return {history.size(), era}; }
    void           write(const std::string& key, const state_change& change)
    {
        history.emplace_back(key, change);
        items[key]     = change;
        const auto* it = std::get_if<target>(&change);
        if (it && !it->leaving)
            written[{key, it->started_at}] = revision();
    }
    void write_random()
    {
        const auto op     = draw(10);
        const auto domain = std::string(1, "abc"[draw(3)]);
        auto       key    = absl::StrCat("t", draw(8));
        auto& now = truth[key = op == 0 ? "config" : op < 3 ? domain : key];
        if (op == 0)
            now = make_config(version += 1 + draw(3));
        else if (op < 3)
            now = domain_evacuation{domain, !evacuated(truth, domain)};
        else if (op < 5 || now.index() != 1)
            now = target{key,   "s",   absl::StrCat(++starts), domain, 4,
                         false, starts};
        else if (op < 8)
            std::get<target>(now).leaving = true;
        else
            now = target_removed{key};
        write(key, now);
    }
    void restore(std::size_t age)
    {
        copies.resize(copies.size() - std::min(age, copies.size() - 1));
        history.resize(copies.back());
        items.clear();
        oldest = std::min<std::uint64_t>(oldest, history.size());
        ++era;
        for (const auto& [key, change] : history)
            items[key] = change;
    }
    /// Makes a call of gateway::impl::follow(); a list takes two pages.
    void follow(daemon_state& d, const change_log* reader)
    {
        auto&      f    = d.follower;
        const auto step = f.next(now);
        const bool cut  = now < d.cut_until;
        d.wake = std::max(step.wake_at, now + milliseconds{20 + 20 * draw(8)});
        if (step.kind == state_follower::step_kind::sleep)
            return;
        if (step.kind == state_follower::step_kind::watch) {
            auto relayed =
                reader ? reader->since(step.after, now) : std::nullopt;
            if (!relayed || relayed->age > follow_times{}.max_relay_age) {
                const auto after = step.after.number;
                if (cut)
                    return f.on_changes(absl::UnavailableError("cut"), now);
                if (after > history.size() || after < oldest)
                    return f.on_changes(absl::OutOfRangeError(""), now);
                relayed = relayed_changes{{{}, revision()}};
                for (auto n = after; n < history.size(); ++n)
                    relayed->changes.changes.push_back(history[n].second);
            }
            d.log.append(step.after, relayed->changes, now - relayed->age);
            return f.on_changes(relayed->changes, now);
        }
        if (cut)
            return f.on_page(absl::UnavailableError("cut"), now);
        if (step.kind == state_follower::step_kind::read_configuration)
            return f.on_configuration(
                configuration_read{std::get<configuration>(items["config"]),
                                   revision()},
                now);
        state_page page{{}, revision(), step.page.empty() ? "targets" : ""};
        for (const auto& [key, it] : items) {
            if (step.page.empty() ? it.index() == 4 && evacuated(items, key)
                                  : it.index() == 1)
                page.entries.push_back(it);
        }
        f.on_page(page, now);
    }
    /// As gateway::impl::follow_peers(); some peers may be without eras.
    void follow_peers(state_follower& f, bool with_eras)
    {
        auto found = daemons[draw(6)].follower.copy(now);
        if (!found || !f.source_failing(now))
            return;
        if (!with_eras)
            found->revision.era = 0;
        f.adopt(*found, make_config(std::stoull(found->document)), now);
    }
    void check(daemon_state& d)
    {
        const auto table = d.follower.table();
        if (table &&
            table->version() < std::exchange(d.version, table->version()))
            violation += "older configuration;";
        if (std::exchange(d.generation, d.targets.generation()) ==
            d.targets.generation())
            return;
        // A state of unknown era cannot be compared with the writes.
        const auto at = d.follower.revision();
        for (const auto& [id, start] : d.known) {
            const auto* it = d.targets.find(id);
            if (!it || it->leaving)
                d.ended[{id, it ? it->started_at : start}] =
                    at.era ? at : state_revision{0, era};
        }
        for (const auto& it : d.targets.published(now))
            d.known[it.id] = it.started_at;
        for (const auto* it : d.targets.usable("s")) {
            const auto ended = d.ended.find({it->id, it->started_at});
            if (ended != d.ended.end() &&
                !newer(written[ended->first], ended->second))
                violation += absl::StrCat(it->id, " start ", it->started_at,
                                          " is used;");
        }
    }
    bool settled(const daemon_state& d)
    {
        std::set<std::string> stored, known = d.targets.evacuated();
        for (const auto& [key, change] : items) {
            const auto* it = std::get_if<target>(&change);
            if (it && !it->leaving && !evacuated(items, it->failure_domain))
                stored.insert(it->address);
            else if (change.index() == 4 && evacuated(items, key))
                stored.insert(key);
        }
        for (const auto* it : d.targets.usable("s"))
            known.insert(it->address);
        return known == stored && d.version == version &&
               d.follower.revision() == revision();
    }
    std::string run(unsigned seed)
    {
        random.seed(seed);
        const int heartbeat  = 10 + draw(41); // In steps of 20 ms, as all here.
        const int restored[] = {150 + draw(400), 150 + draw(800)};
        const int repeated[] = {restored[0] + 1 + draw(99),
                                restored[1] + 1 + draw(99)};
        for (const std::string it : {"a", "b", "c"})
            truth[it] = domain_evacuation{it, false};
        truth["config"] = make_config(version);
        for (const auto& [key, change] : truth)
            write(key, change);
        for (int t = 0; t <= 1300; ++t, now += milliseconds{20}) {
            if (t < 550 && (t == restored[0] || t == restored[1]))
                restore(5 + draw(46));
            if (t < 550 && draw(15) == 0)
                write_random();
            if (t < 550 && draw(100) == 0)
                daemons[draw(6)].cut_until =
                    now + milliseconds{1000 + draw(2000)};
            if (t < 550 && draw(300) == 0)
                oldest = history.size();
            // Operators repeat what was lost, and leases expire.
            const bool repeat = t == repeated[0] || t == repeated[1];
            for (const auto& [key, it] : truth) {
                const bool beats =
                    it.index() == 1 && (t + 7 * key[1]) % heartbeat == 0;
                if (t < 650 && (beats || (repeat && it.index() != 1)))
                    write(key, it);
            }
            if (t % 5 == 0)
                copies.push_back(history.size());
            for (int i = 0; i < 6; ++i) {
                daemons[i].follower.set_times(i < 2 ? follow_times{}
                                                    : relayed_follow_times({}));
                if (now >= daemons[i].wake)
                    follow(daemons[i], i < 2 ? nullptr : &daemons[i % 2].log);
                if ((t + 2 * i) % 15 == 0)
                    follow_peers(daemons[i].follower, i < 5 || draw(2) == 0);
                check(daemons[i]);
                if (t == 1300 && !settled(daemons[i]))
                    violation += "not settled;";
                if (!violation.empty())
                    return absl::StrCat("daemon ", i, ", ", t * 20,
                                        " ms: ", violation);
            }
        }
        return "";
    }
};

} // namespace

// Guards against daemons that stay apart from a store that was restored from an
// older copy, or from each other, and against work for targets known as ended.
TEST_CASE("daemons agree with a restored store", "[gateway][era]")
{
    // Failed in longer runs, where a second list undid what was known, or a
    // reader was behind the list.
    std::vector<unsigned> seeds{484, 535, 715, 891, 980, 1192, 1541, 2094};
    for (unsigned seed = 1; seed <= 300; ++seed)
        seeds.push_back(seed);
    for (const auto seed : seeds) {
        INFO("seed " << seed);
        CHECK(fleet{}.run(seed) == "");
    }
}

// Guards against changes that a reader relays twice: after an outage, a removal
// that was known makes the target usable again for the grace.
TEST_CASE("relayed changes are applied once", "[gateway][era]")
{
    CHECK(fleet{}.run(2505) == "");
}
