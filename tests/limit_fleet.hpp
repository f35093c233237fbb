/// Simulates a fleet of daemons and one target that limits its calls, in
/// virtual time and without a network.
#pragma once

#include "call_permit.hpp"
#include "permit_issuer.hpp"
#include "target_limits.hpp"
#include "virtual_fleet.hpp"

#include <map>
#include <optional>
#include <set>

namespace arbutusgate::gateway::test {

/// Calls that arrived at the target, and which of them count.
struct arrived_call
{
    time_point  at{};
    std::size_t daemon = 0;
};

class limit_fleet final : public virtual_fleet
{
public:
    /// \param offered calls a second that all daemons together want to send.
    limit_fleet(std::size_t n, std::uint64_t seed, double offered)
        : virtual_fleet(n, seed), offered_(offered), knowledge_(n)
    {
        start_all();
        for (std::size_t k = 0; k < n; ++k)
            schedule_call(k);
    }

    /// Sets the limit that the target names from now on.
    void name(std::optional<double> limit)
    {
        limit_ = limit;
        if (limit && !named_at_)
            named_at_ = now();
    }
    /// The target starts anew: it names no limit.
    void restart_target()
    {
        ++target_.started_at;
        limit_.reset();
        named_at_.reset();
    }

    void offer(double calls) { offered_ = calls; }
    /// Leaves out the calls of a daemon that a fault excuses.
    void excuse(std::size_t k) { excused_.insert(k); }

    // Results ----------------------------------------------------------------

    /// Most calls in a window, of those that arrived since \p from.
    std::size_t most_calls(time_point   from,
                           milliseconds window = milliseconds{4000}) const
    {
        std::vector<time_point> list;
        for (const auto& it : calls_) {
            if (it.at >= from && !excused_.contains(it.daemon))
                list.push_back(it.at);
        }
        std::size_t most  = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < list.size(); ++last) {
            while (list[last] - list[first] >= window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    /// Calls a second that the target got since \p from.
    double earned(time_point from) const
    {
        const auto n =
            std::count_if(calls_.begin(), calls_.end(),
                          [&](const auto& it) { return it.at >= from; });
        return static_cast<double>(n) /
               std::chrono::duration<double>(now() - from).count();
    }
    /// Daemons that are alive and know the limit, or its end.
    std::size_t know(std::optional<double> limit) const
    {
        std::size_t out = 0;
        for (std::size_t k = 0; k < size(); ++k) {
            const auto* known = knowledge_[k].limits->find(target_, now());
            out += at(k).alive && (known ? known->rate : std::nullopt) == limit;
        }
        return out;
    }
    /// The daemon that most others take for the owner of the limit.
    std::size_t owner() const
    {
        std::map<std::string, int> votes;
        for (std::size_t k = 0; k < size(); ++k) {
            if (at(k).alive)
                ++votes[knowledge_[k].issuer->owner(target_.id, now())];
        }
        return index_of(std::max_element(votes.begin(), votes.end(),
                                         [](const auto& a, const auto& b) {
                                             return a.second < b.second;
                                         })
                            ->first);
    }
    /// Bytes of messages about limits, all daemons together.
    std::size_t limit_bytes = 0;

    /// Lets all daemons know limits of further targets.
    void add_other_limits(std::size_t count)
    {
        for (auto& it : knowledge_) {
            for (std::size_t n = 0; n < count; ++n)
                it.limits->merge({"other-" + std::to_string(n), 1, 2.5, now()},
                                 now());
        }
    }
    /// Lets a daemon believe a report, such as one of a peer that was away.
    void report(std::size_t k, std::optional<double> rate, time_point named_at)
    {
        limits(k).merge({target_.id, target_.started_at, rate, named_at},
                        now());
    }

private:
    struct knowledge
    {
        std::unique_ptr<target_limits> limits;
        std::unique_ptr<permit_issuer> issuer;
    };

    target_limits& limits(std::size_t k) { return *knowledge_[k].limits; }

    void reset(std::size_t k) override
    {
        auto& it  = knowledge_[k];
        it.issuer = nullptr;
        it.limits = std::make_unique<target_limits>();
        it.issuer = std::make_unique<permit_issuer>(*at(k).table, *it.limits);
        it.limits->on_change([this, k](limit_change, const target_limit&,
                                       target_limits::source from) {
            if (from == target_limits::source::response || at(k).table->large())
                spread(k);
        });
    }

    void on_heartbeat(std::size_t k) override { limits(k).expire(now()); }

    void add_reports(std::size_t k, peer_gossip& out) override
    {
        out.limits = limits(k).reports(12, now());
    }

    void apply_reports(std::size_t k, const peer_gossip& in) override
    {
        for (const auto& limit : in.limits) {
            if (!at(k).table->resuming(now()))
                limits(k).merge(limit, now());
        }
    }

    void on_message(const peer_gossip& it, std::size_t bytes) override
    {
        if (it.queues_only) {
            limit_bytes += bytes;
        }
        else if (!it.limits.empty()) {
            auto without = it;
            without.limits.clear();
            limit_bytes += bytes - encode(without, now()).size();
        }
    }

    // Calls ------------------------------------------------------------------

    void schedule_call(std::size_t k)
    {
        const auto mean =
            static_cast<double>(size()) / std::max(offered_, 1e-9);
        const auto wait = std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double>(
                std::exponential_distribution<>(1 / mean)(random_)));
        schedule(now() + wait, [this, k] {
            auto& it = at(k);
            if (it.alive && now() >= it.paused_until)
                want_call(k);
            schedule_call(k);
        });
    }

    void want_call(std::size_t k)
    {
        const auto* limit = limits(k).find(target_, now());
        if (!limit) {
            send_call(k, std::nullopt);
            return;
        }
        if (limits(k).opens_at(target_, now()) > now())
            return;
        const permit_request request{*limit, milliseconds{500}};
        const auto owner = knowledge_[k].issuer->owner(target_.id, now());
        if (owner == at(k).table->self().address) {
            use(k, knowledge_[k].issuer->issue(request, now()));
            return;
        }
        const auto to       = index_of(owner);
        auto       answered = std::make_shared<bool>(false);
        send(k, to, [this, k, to, answered, bytes = encode(request, now())] {
            const auto asked = *decode_permit_request(bytes, now());
            const auto response =
                encode(knowledge_[to].issuer->issue(asked, now()), now());
            send(to, k, [this, k, answered, response] {
                if (!std::exchange(*answered, true))
                    use(k, *decode_permit_response(response, now()));
            });
        });
        on(k, now() + milliseconds{200}, [this, k, answered] {
            if (!std::exchange(*answered, true))
                limits(k).hold(target_.id, now() + milliseconds{500});
        });
    }

    void use(std::size_t k, const permit_response& response)
    {
        if (response.limit && !at(k).table->resuming(now()))
            limits(k).merge(*response.limit, now());
        if (!response.granted) {
            limits(k).hold(target_.id, now() + response.wait);
            return;
        }
        const auto*       limit = limits(k).find(target_, now());
        const call_permit permit{true, false, now() + response.wait,
                                 limit ? *limit->rate : 1e9};
        // A connection is opened meanwhile.
        const auto connected =
            permit.call_at +
            milliseconds{std::uniform_int_distribution<int>(0, 5)(random_)};
        on(k, connected, [this, k, permit] { send_call(k, permit); });
    }

    void send_call(std::size_t k, const std::optional<call_permit>& permit)
    {
        const auto* limit = limits(k).find(target_, now());
        if (limit && (!permit || !permit->covers(limit, now())))
            return;
        const auto sent_at = now();
        const auto life    = target_.started_at;
        schedule(now() + delay(), [this, k, sent_at, life] {
            if (life != target_.started_at)
                return;
            calls_.push_back({now(), k});
            const milliseconds work{
                std::uniform_int_distribution<int>(5, 60)(random_)};
            schedule(now() + work, [this, k, sent_at, life] {
                if (life != target_.started_at)
                    return;
                target_notice notice;
                notice.call_limit = limit_;
                on(k, now() + delay(), [this, k, sent_at, notice, life] {
                    auto from       = target_;
                    from.started_at = life;
                    limits(k).apply(from, notice, sent_at, now());
                });
            });
        });
    }

    double                 offered_;
    std::vector<knowledge> knowledge_; ///< By daemon.
    target                target_{"i-1", "s", "10.1.0.1:80", "d1", 8, false, 1};
    std::optional<double> limit_;
    std::optional<time_point> named_at_;
    std::vector<arrived_call> calls_;
    std::set<std::size_t>     excused_;
};

} // namespace arbutusgate::gateway::test
