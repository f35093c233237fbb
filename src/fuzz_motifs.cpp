#include "fuzz_motifs.hpp"

namespace arbutusgate {

namespace {

constexpr std::uint32_t settle_ms = 40'000;

} // namespace

std::uint32_t fuzz_motifs::random_slots(std::uint32_t count)
{
    std::uint32_t mask = 0;
    while (count > 0) {
        const auto bit = 1U << slot();
        count -= (mask & bit) == 0;
        mask |= bit;
    }
    return mask;
}

void fuzz_motifs::split(std::uint32_t side)
{
    const auto both = all() | all() << fuzz_superseded_bit;
    add(kind::cut, side, both & ~side);
    add(kind::cut, both & ~side, side);
}

std::vector<fuzz_op> fuzz_motifs::make()
{
    using motif                   = void (fuzz_motifs::*)();
    static constexpr motif list[] = {
        &fuzz_motifs::retries,
        &fuzz_motifs::rolling_replacement,
        &fuzz_motifs::lost_state,
        &fuzz_motifs::window_end,
        &fuzz_motifs::superseded_process,
        &fuzz_motifs::split_brain,
        &fuzz_motifs::buffered_call,
        &fuzz_motifs::stale_wake,
        &fuzz_motifs::paused_use,
        &fuzz_motifs::long_stage,
        &fuzz_motifs::clock_jumps,
        &fuzz_motifs::stale_start,
        &fuzz_motifs::late_gossip,
        &fuzz_motifs::late_messages,
        &fuzz_motifs::versions,
        &fuzz_motifs::leaving,
    };
    add(kind::settle, settle_ms);
    const auto blocks = 1 + draw(3);
    for (std::uint32_t n = 0; n < blocks; ++n) {
        if (draw(3) == 0)
            random_steps();
        else
            (this->*list[draw(std::size(list))])();
        if (draw(3) == 0)
            add(kind::heal);
    }
    return ops_;
}

void fuzz_motifs::random_steps()
{
    const auto steps = 4 + draw(16);
    for (std::uint32_t n = 0; n < steps; ++n) {
        const int     wait = draw(4) ? static_cast<int>(draw(400))
                                     : static_cast<int>(draw(5000));
        const auto    it   = draw(2) ? kind::call
                                     : static_cast<kind>(draw(
                                           static_cast<std::uint32_t>(kind::count)));
        std::uint32_t a    = slot();
        std::uint32_t b    = key();
        if (it == kind::cut) {
            a = random_slots(1 + draw(slots_ / 2));
            b = all() & ~a;
        }
        else if (it == kind::lose || it == kind::doubles) {
            a = draw(60);
        }
        else if (it == kind::delay) {
            a = draw(3000);
        }
        else if (it == kind::slow_to) {
            b = 500 + draw(4000);
        }
        else if (it == kind::jump) {
            b = draw(1000);
        }
        else if (it == kind::targets) {
            a = draw(static_cast<std::uint32_t>(fuzz_target_mode::count));
        }
        else if (it == kind::slow_stage) {
            a = draw(2000);
        }
        else if (it == kind::settle) {
            a = settle_ms;
        }
        else if (it == kind::wait) {
            b = 0;
        }
        else if (it == kind::until_repeat) {
            a = draw(2000);
        }
        else if (it == kind::leaving) {
            b = draw(2);
        }
        add(it, a, b, wait);
    }
}

void fuzz_motifs::retries()
{
    const auto k = key();
    if (draw(2))
        add(kind::targets,
            draw(static_cast<std::uint32_t>(fuzz_target_mode::count)));
    const auto n = 2 + draw(4);
    for (std::uint32_t i = 0; i < n; ++i)
        add(draw(6) ? kind::call : kind::other_body, slot(), k,
            static_cast<int>(draw(3) ? draw(5) : draw(1500)));
}

void fuzz_motifs::rolling_replacement()
{
    const auto k = key();
    add(kind::call, slot(), k);
    if (draw(2))
        add(kind::call, slot(), k, 20 + static_cast<int>(draw(300)));
    const auto first = slot();
    for (std::uint32_t n = 0; n < slots_; ++n) {
        add(draw(4) ? kind::replace : kind::drain, (first + n) % slots_, 0,
            static_cast<int>(draw(100)));
        add(kind::settle, 3000, 0, 50);
    }
    add(kind::call, slot(), k);
    add(kind::call, slot(), k, 50);
}

void fuzz_motifs::lost_state()
{
    const auto k = key();
    add(kind::call, slot(), k);
    if (draw(2)) {
        add(kind::kill_all, 0, 0, 50 + static_cast<int>(draw(1000)));
    }
    else {
        const auto mask = random_slots(slots_ / 2 + 1);
        for (std::uint32_t n = 0; n < slots_; ++n) {
            if (mask >> n & 1)
                add(kind::replace, n, 0, static_cast<int>(draw(50)));
        }
    }
    for (int n = 0; n < 4; ++n)
        add(kind::call, slot(), k, 500 + static_cast<int>(draw(1500)));
}

void fuzz_motifs::window_end()
{
    const auto k = key();
    add(kind::call, slot(), k);
    add(kind::kill_all, 0, 0, 10 + static_cast<int>(draw(60)));
    const auto a = slot();
    add(kind::until_repeat, 1 + draw(300), k);
    add(kind::call, a, k);
    add(kind::call, slot(), k);
}

void fuzz_motifs::superseded_process()
{
    const auto k   = key();
    const auto v   = slot();
    const auto old = 1U << (v + fuzz_superseded_bit);
    add(kind::supersede, v);
    split(old);
    add(kind::settle, 5000, 0, 300);
    if (draw(2))
        add(kind::pause_old, v);
    // The key is sent to one half of the slots, its retry to the other half,
    // which includes the superseded process.
    const auto half = (random_slots(slots_ / 2) | 1U << v);
    const auto rest = (all() & ~half) | old;
    add(kind::wait, 0, 0, static_cast<int>(draw(2000)));
    split(half & ~(1U << v));
    const auto    in = half & ~(1U << v);
    std::uint32_t a  = slot();
    while (!(in >> a & 1))
        a = slot();
    std::uint32_t b = slot();
    while (!(rest >> b & 1))
        b = slot();
    add(kind::heal);
    add(kind::cut, half, rest);
    add(kind::cut, rest, half);
    add(kind::call, a, k);
    if (draw(2))
        add(kind::wake_old, v, 0, 50 + static_cast<int>(draw(800)));
    add(kind::call, b, k, 100 + static_cast<int>(draw(500)));
    add(kind::call, b, k, 100);
}

void fuzz_motifs::split_brain()
{
    const auto k    = key();
    const auto v    = slot();
    const auto p    = (v + 1 + draw(slots_ - 1)) % slots_;
    const auto pair = 1U << v | 1U << p;
    const auto q    = random_slots(1 + draw(slots_ / 2)) & ~pair;
    const auto side = (pair << fuzz_superseded_bit) | q;
    const auto rest = all() & ~q;
    add(kind::supersede, v);
    add(kind::supersede, p);
    split(side);
    add(kind::settle, 25'000);
    std::uint32_t a = slot();
    while (!(q >> a & 1) && q != 0)
        a = slot();
    std::uint32_t b = slot();
    while (!(rest >> b & 1))
        b = slot();
    add(kind::call, a, k);
    add(kind::call, b, k, 1500);
    add(kind::call, b, k, 500);
}

void fuzz_motifs::buffered_call()
{
    const auto k = key();
    const auto d = slot();
    add(kind::call, (d + 1) % slots_, k);
    add(kind::pause, d, 0, 100 + static_cast<int>(draw(500)));
    add(kind::call, d, k, static_cast<int>(draw(9000)));
    add(kind::call, d, k, 5);
    for (std::uint32_t n = 0; n < slots_; ++n) {
        if (n != d)
            add(kind::replace, n);
    }
    add(kind::settle, 25'000, 0, 16'500);
    add(kind::wake, d, 0, static_cast<int>(draw(1000)));
    add(kind::wait, 0, 0, 3000);
}

void fuzz_motifs::stale_wake()
{
    const auto d = slot();
    add(kind::pause, d);
    add(kind::publish);
    add(kind::wait, 0, 0, 3000 + static_cast<int>(draw(2000)));
    add(kind::lose, 40 + draw(40));
    add(kind::stale, d);
    add(kind::wake, d);
    for (int n = 0; n < 8; ++n)
        add(kind::call, d, key(), 100 + static_cast<int>(draw(400)));
}

void fuzz_motifs::paused_use()
{
    const auto d = slot();
    add(kind::slow_stage, 50 + draw(3000));
    add(kind::call, d, key());
    add(kind::pause, d, 0, static_cast<int>(draw(40)));
    add(kind::wake, d, 0, 2500 + static_cast<int>(draw(20'000)));
    add(kind::slow_stage, 1);
}

void fuzz_motifs::long_stage()
{
    add(kind::slow_stage, 5000 + draw(14'000));
    add(kind::call, slot(), key());
    add(kind::call, slot(), key(), 50);
    add(kind::slow_stage, 1, 0, 100);
    add(kind::wait, 0, 0, 10'000);
}

void fuzz_motifs::clock_jumps()
{
    const auto k = key();
    add(kind::call, slot(), k);
    for (std::uint32_t n = 0; n < slots_; ++n)
        add(kind::jump, n, draw(2) ? 900 : draw(1000),
            n == 0 ? 200 : static_cast<int>(draw(30)));
    add(kind::call, slot(), k, 2500 + static_cast<int>(draw(3000)));
    add(kind::call, slot(), k, 100);
}

void fuzz_motifs::stale_start()
{
    const auto d = slot();
    add(kind::publish);
    add(kind::wait, 0, 0, 4000);
    add(kind::stale, d);
    if (draw(2))
        split(1U << d);
    if (draw(2))
        add(kind::lose, draw(80));
    add(kind::replace, d);
    add(kind::wait, 0, 0, 500 + static_cast<int>(draw(12'000)));
}

void fuzz_motifs::late_gossip()
{
    const auto d = slot();
    add(kind::slow_to, d, 5000);
    add(kind::wait, 0, 0, 3500);
    add(kind::publish);
    add(kind::wait, 0, 0, 2500);
    add(kind::stale, d);
    add(kind::replace, d);
    split(1U << d);
    add(kind::wait, 0, 0, 6000);
}

void fuzz_motifs::late_messages()
{
    const auto k = key();
    add(kind::delay, 500 + draw(5000));
    if (draw(2))
        add(kind::doubles, draw(50));
    add(kind::call, slot(), k);
    add(kind::call, slot(), k, static_cast<int>(draw(1500)));
    add(kind::heal, 0, 0, 1500 + static_cast<int>(draw(3000)));
}

void fuzz_motifs::versions()
{
    const auto n = 2 + draw(4);
    add(kind::slow_to, slot(), 50 + draw(1500));
    for (std::uint32_t i = 0; i < n; ++i) {
        add(kind::publish, 0, 0, static_cast<int>(draw(2500)));
        if (draw(3) == 0)
            add(kind::stale, slot());
        if (draw(6) == 0)
            add(kind::down);
    }
    add(kind::wait, 0, 0, static_cast<int>(draw(4000)));
}

void fuzz_motifs::leaving()
{
    add(kind::leaving, slot(), draw(2));
    if (draw(2))
        add(kind::replace, slot(), 0, static_cast<int>(draw(500)));
    add(kind::wait, 0, 0, 5500);
    for (int n = 0; n < 4; ++n)
        add(kind::call, slot(), key(), static_cast<int>(draw(50)));
}

} // namespace arbutusgate
