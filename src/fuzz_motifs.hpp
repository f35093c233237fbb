/// Step sequences of the fuzzer. Each one leads to a failure that independent
/// random steps seldom reach.
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
    /// \return a mask of count distinct slots.
    std::uint32_t random_slots(std::uint32_t count);
    std::uint32_t all() const { return (1U << slots_) - 1; }
    /// Cuts all messages between the processes in side and the others.
    void split(std::uint32_t side);

    // Each of these functions appends one sequence.
    void random_steps();
    void retries();
    void rolling_replacement();
    void lost_state();
    void window_end();
    void superseded_process();
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
