/// Sequences of steps that reach deep states: each stands for a failure that
/// random steps seldom produce.
#pragma once

#include "fuzz_scenario.hpp"

namespace arbutusgate {

/// Builds the steps of one scenario.
class fuzz_motifs
{
public:
    fuzz_motifs(std::uint64_t seed, std::uint32_t slots)
        : random_(seed), slots_(slots)
    {
    }

    std::vector<fuzz_op> make();

private:
    using kind = fuzz_op_kind;

    std::uint32_t draw(std::uint32_t n) { return random_() % n; }
    std::uint32_t slot() { return draw(slots_); }
    std::uint32_t key() { return draw(5); }
    void add(kind it, std::uint32_t a = 0, std::uint32_t b = 0, int wait = 0)
    {
        ops_.push_back({it, a, b, milliseconds{wait}});
    }
    std::uint32_t some(std::uint32_t count); ///< Mask of distinct slots.
    std::uint32_t all() const { return (1U << slots_) - 1; }
    void          split(std::uint32_t side);

    void random_steps();
    void repeats();
    void rolling();
    void lost_memory();
    void window_end();
    void old_process();
    void split_brain();
    void buffered_call();
    void stale_wake();
    void paused_use();
    void long_stage();
    void clock_jumps();
    void stale_start();
    void late_gossip();
    void late_messages();
    void versions();
    void leaving();

    std::mt19937         random_;
    std::uint32_t        slots_;
    std::vector<fuzz_op> ops_;
};

} // namespace arbutusgate
