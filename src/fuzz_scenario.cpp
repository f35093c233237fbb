#include "fuzz_scenario.hpp"

#include "fuzz_motifs.hpp"

#include <array>
#include <ostream>
#include <string_view>

#include <rapidcheck.h>

namespace arbutusgate {

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(fuzz_op_kind::count)>
    names = {
        "call",       "other_body", "kill",         "replace",  "supersede",
        "pause",      "wake",       "pause_old",    "wake_old", "kill_all",
        "cut",        "heal",       "lose",         "delay",    "doubles",
        "slow_to",    "jump",       "publish",      "stale",    "down",
        "service_ok", "leaving",    "drain",        "targets",  "slow_stage",
        "settle",     "wait",       "until_repeat",
};

fuzz_scenario make_scenario(const rc::Random& random)
{
    rc::Random    it = random;
    fuzz_scenario scenario;
    scenario.seed  = it.next();
    scenario.slots = it.next() % 3 == 0 ? 5 : 9;
    scenario.ops   = fuzz_motifs(it.next(), scenario.slots).make();
    return scenario;
}

rc::Seq<fuzz_scenario> shrink_ops(const fuzz_scenario& it)
{
    return rc::seq::map(rc::shrink::removeChunks(it.ops),
                        [it](std::vector<fuzz_op>&& ops) {
                            fuzz_scenario smaller = it;
                            smaller.ops           = std::move(ops);
                            return smaller;
                        });
}

} // namespace

std::ostream& operator<<(std::ostream& os, const fuzz_op& it)
{
    return os << "+" << it.wait.count() << " ms "
              << names[static_cast<std::size_t>(it.kind)] << " " << it.a << " "
              << it.b;
}

std::ostream& operator<<(std::ostream& os, const fuzz_scenario& it)
{
    os << "seed " << it.seed << ", " << it.slots << " slots\n";
    for (const auto& op : it.ops)
        os << "  " << op << "\n";
    return os;
}

rc::Gen<fuzz_scenario> fuzz_scenarios()
{
    const rc::Gen<fuzz_scenario> whole([](const rc::Random& random, int) {
        return rc::shrinkable::just(make_scenario(random));
    });
    return rc::gen::shrink(
        whole, [](const fuzz_scenario& it) { return shrink_ops(it); });
}

} // namespace arbutusgate
