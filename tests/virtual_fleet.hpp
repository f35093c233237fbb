/// Simulates a fleet of daemons that exchange messages, in virtual time and
/// without a network.
#pragma once

#include "peer_codec.hpp"
#include "peer_table.hpp"
#include "report_pace.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace arbutusgate::gateway::test {

/// Membership, messages and faults. A derived class adds what its daemons know
/// and do; its constructor calls start_all().
class virtual_fleet
{
public:
    virtual ~virtual_fleet() = default;

    time_point  now() const { return now_; }
    std::size_t size() const { return daemons_.size(); }

    void run(milliseconds time)
    {
        const auto end = now_ + time;
        while (!events_.empty() && events_.top().at <= end) {
            auto it = events_.top();
            events_.pop();
            now_ = it.at;
            it.run();
        }
        now_ = end;
    }

    // Faults -----------------------------------------------------------------

    void kill(std::size_t k)
    {
        ++daemons_[k]->life;
        daemons_[k]->alive = false;
    }
    void restart(std::size_t k)
    {
        kill(k);
        start(k);
    }
    /// The daemon runs no code for a time; messages to it wait.
    void pause(std::size_t k, milliseconds time)
    {
        daemons_[k]->paused_until = now_ + time;
    }
    void leave(std::size_t k)
    {
        daemons_[k]->table->set_refuses_orders(true);
        daemons_[k]->table->advance_heartbeat(now_);
        for (const auto& to :
             daemons_[k]->table->announcement_recipients({}, now_))
            gossip(k, index_of(to), false);
    }
    /// No message passes between a daemon of the first kind and one of the
    /// second.
    void cut(std::function<bool(std::size_t, std::size_t)> between)
    {
        cut_ = std::move(between);
    }
    /// Part of the messages between daemons that is lost.
    void lose(double part) { loss_ = part; }

    std::size_t alive() const
    {
        return static_cast<std::size_t>(
            std::count_if(daemons_.begin(), daemons_.end(),
                          [](const auto& it) { return it->alive; }));
    }

protected:
    struct daemon
    {
        std::unique_ptr<peer_table> table;
        std::uint64_t               life  = 0; ///< Changes at each end.
        bool                        alive = false;
        time_point                  paused_until{};
        bool                        changed   = false;
        bool                        spreading = false;
        report_pace                 pace;
    };

    virtual_fleet(std::size_t n, std::uint64_t seed) : random_(seed)
    {
        for (std::size_t k = 0; k < n; ++k)
            daemons_.push_back(std::make_unique<daemon>());
    }

    void start_all()
    {
        for (std::size_t k = 0; k < size(); ++k)
            start(k);
    }

    /// The daemon starts without knowledge of an earlier process.
    virtual void reset(std::size_t k) = 0;
    virtual void on_heartbeat(std::size_t) {}
    /// Adds what the daemon reports to others.
    virtual void add_reports(std::size_t k, peer_gossip& out)        = 0;
    virtual void apply_reports(std::size_t k, const peer_gossip& in) = 0;
    /// Called with each message, so that its bytes can be counted.
    virtual void on_message(const peer_gossip&, std::size_t /*bytes*/) {}

    daemon&            at(std::size_t k) { return *daemons_[k]; }
    const daemon&      at(std::size_t k) const { return *daemons_[k]; }
    static std::string address(std::size_t k)
    {
        return "10.0.0." + std::to_string(k) + ":900";
    }
    static std::size_t index_of(const std::string& address)
    {
        return std::stoul(address.substr(std::string_view("10.0.0.").size()));
    }

    void schedule(time_point when, std::function<void()> run)
    {
        events_.push({when, next_event_++, std::move(run)});
    }
    /// Runs code of a daemon, after its pause and unless it has ended.
    void on(std::size_t k, time_point when, std::function<void()> run)
    {
        schedule(when,
                 [this, k, life = daemons_[k]->life, run = std::move(run)] {
                     auto& it = *daemons_[k];
                     if (it.life != life || !it.alive)
                         return;
                     if (now_ < it.paused_until)
                         on(k, it.paused_until, run);
                     else
                         run();
                 });
    }
    milliseconds delay()
    {
        return milliseconds{std::uniform_int_distribution<int>(1, 4)(random_)};
    }
    /// Sends a message to a daemon unless it is lost or cut.
    void send(std::size_t from, std::size_t to, std::function<void()> receive)
    {
        if ((cut_ && (cut_(from, to) || cut_(to, from))) ||
            std::uniform_real_distribution<>()(random_) < loss_)
            return;
        on(to, now_ + delay(), std::move(receive));
    }
    /// Sends news to others without waiting for the next round.
    void spread(std::size_t k)
    {
        auto& it   = *daemons_[k];
        it.changed = true;
        if (!std::exchange(it.spreading, true)) {
            it.pace = {};
            spread_now(k);
        }
    }

    std::mt19937_64 random_;

private:
    struct event
    {
        time_point            at{};
        std::uint64_t         order = 0;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void start(std::size_t k)
    {
        auto&                    it = *daemons_[k];
        peer                     self{address(k), ++incarnation_,
                  0,          "d" + std::to_string(k % 5),
                  false,      k % 20 == 0 ? 500U : 120U};
        std::vector<std::string> seeds;
        for (std::size_t n = 0; n < std::min<std::size_t>(3, daemons_.size());
             ++n)
            seeds.push_back(address(n));
        it.table   = std::make_unique<peer_table>(self, seeds, random_());
        it.alive   = true;
        it.changed = it.spreading = false;
        reset(k);
        on(k, now_ + milliseconds{k * 37 % 300}, [this, k] { heartbeat(k); });
        on(k, now_ + milliseconds{k * 37 % 300 + 1},
           [this, k] { join(k, milliseconds{100}); });
    }

    void heartbeat(std::size_t k)
    {
        auto& it = *daemons_[k]->table;
        it.advance_heartbeat(now_);
        on_heartbeat(k);
        for (const auto& to : it.round_due(now_) ? it.round_recipients({}, now_)
                                                 : it.random_alive(1, now_))
            gossip(k, index_of(to), false);
        on(k, now_ + it.heartbeat_interval(), [this, k] { heartbeat(k); });
    }

    void join(std::size_t k, milliseconds interval)
    {
        if (!daemons_[k]->table->joining(now_))
            return;
        for (const auto& to : daemons_[k]->table->uncontacted_seeds(now_))
            gossip(k, index_of(to), false);
        on(k, now_ + interval, [this, k, interval] { join(k, 2 * interval); });
    }

    std::string message(std::size_t k, bool brief)
    {
        auto&       it = *daemons_[k];
        peer_gossip out;
        out.queues_only = brief;
        out.members     = brief ? std::vector<peer>{it.table->self()}
                                : it.table->entries(now_);
        if (!brief && it.table->large())
            out.candidates = it.table->candidates(now_);
        add_reports(k, out);
        auto bytes = encode(out, now_);
        on_message(out, bytes.size());
        return bytes;
    }

    /// \return new daemons that should get a message.
    std::vector<std::string> receive(std::size_t k, const std::string& bytes)
    {
        auto&      it      = *daemons_[k];
        const auto decoded = *decode_gossip(bytes, now_);
        const auto out     = it.table->merge_members(decoded.members, now_);
        for (const auto& candidate : decoded.candidates)
            it.table->merge(candidate, now_);
        apply_reports(k, decoded);
        return out;
    }

    void gossip(std::size_t from, std::size_t to, bool brief)
    {
        send(from, to, [this, from, to, brief, bytes = message(from, brief)] {
            for (const auto& it : receive(to, bytes))
                gossip(to, index_of(it), false);
            send(to, from, [this, from, bytes = message(to, brief)] {
                for (const auto& it : receive(from, bytes))
                    gossip(from, index_of(it), false);
            });
        });
    }

    void spread_now(std::size_t k)
    {
        auto& it = *daemons_[k];
        if (!std::exchange(it.changed, false)) {
            it.spreading = false;
            return;
        }
        on(k, now_, [this, k] {
            auto& self = *daemons_[k];
            for (const auto& to : report_recipients(*self.table, now_))
                gossip(k, index_of(to), true);
            on(k, now_ + self.pace.next_interval(),
               [this, k] { spread_now(k); });
        });
    }

    double                     loss_ = 0;
    time_point                 now_  = time_point{} + std::chrono::hours{1};
    std::priority_queue<event> events_;
    std::uint64_t              next_event_  = 0;
    std::uint64_t              incarnation_ = 0;
    std::vector<std::unique_ptr<daemon>>          daemons_;
    std::function<bool(std::size_t, std::size_t)> cut_;
};

} // namespace arbutusgate::gateway::test
