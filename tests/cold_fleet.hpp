/// Simulates a fleet of daemons and targets that turn cold, in virtual time and
/// without a network.
#pragma once

#include "call_permit.hpp"
#include "permit_issuer.hpp"
#include "target_limits.hpp"
#include "virtual_fleet.hpp"

#include <map>
#include <optional>
#include <set>

namespace arbutusgate::gateway::test {

class cold_fleet final : public virtual_fleet
{
public:
    /// Calls a second that a cold target takes.
    static constexpr double rate = 15;

    /// \param n number of daemons.
    /// \param offered requests a second that reach all daemons together.
    cold_fleet(std::size_t n, std::size_t targets, double offered,
               std::uint64_t seed)
        : virtual_fleet(n, seed), offered_(offered), knowledge_(n),
          calls_(targets), cold_until_(targets)
    {
        for (std::size_t t = 0; t < targets; ++t)
            targets_.push_back({"i-" + std::to_string(t), "s", "10.1.0.1:80",
                                "d1", 8, false, 1});
        start_all();
        schedule_request();
    }

    /// The first targets turn cold at once. Each daemon hears of it up to 800
    /// ms later, those in late() after that time in addition.
    void turn_cold(std::size_t count, milliseconds time)
    {
        for (std::size_t t = 0; t < count; ++t) {
            cold_until_[t] = now() + time;
            for (std::size_t k = 0; k < size(); ++k) {
                const milliseconds lag{
                    std::uniform_int_distribution<int>(0, 800)(random_)};
                const auto it = late_.find(k);
                on(k, now() + lag + (it == late_.end() ? lag * 0 : it->second),
                   [this, t, k, time] {
                       // The entry is as old as the lag, which nobody knows.
                       limits(k).set_cold(targets_[t].id,
                                          {1, rate, now() + time}, now());
                   });
            }
        }
    }
    void hear_late(std::size_t k, milliseconds by) { late_[k] = by; }
    /// Part of the requests that prefer the targets that turn cold, which look
    /// idle since they restarted.
    void prefer_cold(double part) { prefer_cold_ = part; }
    void offer(double requests) { offered_ = requests; }

    /// \return most calls that any target got within a second while it was
    /// cold, of those since \p from.
    std::size_t most_calls(time_point from) const
    {
        std::size_t most = 0;
        for (std::size_t t = 0; t < calls_.size(); ++t) {
            std::size_t first = 0;
            const auto& list  = calls_[t];
            for (std::size_t last = 0; last < list.size(); ++last) {
                if (list[last] >= cold_until_[t])
                    break;
                while (list[last] - list[first] >= seconds{1} ||
                       (list[first] < from && first < last))
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }
    /// Calls a second that a target got since \p from.
    double earned(std::size_t t, time_point from) const
    {
        const auto n = std::count_if(calls_[t].begin(), calls_[t].end(),
                                     [&](auto it) { return it >= from; });
        return static_cast<double>(n) /
               std::chrono::duration<double>(now() - from).count();
    }
    /// Daemons that are alive and count the first target as cold.
    std::size_t know() const
    {
        std::size_t out = 0;
        for (std::size_t k = 0; k < size(); ++k)
            out += at(k).alive &&
                   knowledge_[k].limits->find(targets_[0], now()) != nullptr;
        return out;
    }
    /// The daemon that most others take for the owner of a target's limit.
    std::size_t owner(std::size_t t) const
    {
        std::map<std::string, int> votes;
        for (std::size_t k = 0; k < size(); ++k) {
            if (at(k).alive)
                ++votes[knowledge_[k].issuer->owner(targets_[t].id, now())];
        }
        return index_of(std::max_element(votes.begin(), votes.end(),
                                         [](const auto& a, const auto& b) {
                                             return a.second < b.second;
                                         })
                            ->first);
    }
    /// Forgets the figures below.
    void reset_figures()
    {
        asked = refused      = 0;
        refused_without_time = 0;
        delays.clear();
    }
    /// The delay, in ms, that a part of the served requests exceeds.
    double delay_quantile(double part)
    {
        if (delays.empty())
            return 0;
        std::sort(delays.begin(), delays.end());
        return delays[static_cast<std::size_t>(
            part * static_cast<double>(delays.size() - 1))];
    }

    std::size_t asked   = 0; ///< Requests for permits to other daemons.
    std::size_t refused = 0; ///< Requests without a target.
    /// Of these, the ones that know no time of the next call.
    std::size_t         refused_without_time = 0;
    std::vector<double> delays; ///< From arrival to the call, in ms.

private:
    struct knowledge
    {
        std::unique_ptr<target_limits> limits;
        std::unique_ptr<permit_issuer> issuer;
    };

    struct request
    {
        std::size_t daemon = 0;
        time_point  arrived{};
        int         tries  = 0;
        std::size_t chosen = 0;
    };

    target_limits& limits(std::size_t k) { return *knowledge_[k].limits; }

    void reset(std::size_t k) override
    {
        auto& it  = knowledge_[k];
        it.issuer = nullptr;
        it.limits = std::make_unique<target_limits>();
        it.issuer = std::make_unique<permit_issuer>(*at(k).table, *it.limits);
    }
    void on_heartbeat(std::size_t k) override { limits(k).expire(now()); }
    void add_reports(std::size_t k, peer_gossip& out) override
    {
        out.limits = limits(k).reports(12, now());
    }
    void apply_reports(std::size_t k, const peer_gossip& in) override
    {
        for (const auto& limit : in.limits)
            limits(k).merge(limit, now());
    }

    void schedule_request()
    {
        const auto wait = std::chrono::duration_cast<microseconds>(
            std::chrono::duration<double>(
                std::exponential_distribution<>(offered_)(random_)));
        schedule(now() + wait, [this] {
            const auto k = std::uniform_int_distribution<std::size_t>(
                0, size() - 1)(random_);
            if (at(k).alive && now() >= at(k).paused_until)
                serve({k, now()});
            schedule_request();
        });
    }

    void serve(request it)
    {
        std::vector<std::size_t> open;
        std::vector<std::size_t> idle;
        auto&                    known = limits(it.daemon);
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            if (known.opens_at(targets_[t], now()) > now())
                continue;
            // As forward_run::take_free_target().
            if (it.tries >= 3 && known.find(targets_[t], now()))
                continue;
            open.push_back(t);
            if (now() < cold_until_[t])
                idle.push_back(t);
        }
        if (open.empty()) {
            ++refused;
            refused_without_time += next_opening(it.daemon) <= now();
            return;
        }
        const auto& list = !idle.empty() && std::uniform_real_distribution<>()(
                                                random_) < prefer_cold_
                               ? idle
                               : open;
        it.chosen        = list[std::uniform_int_distribution<std::size_t>(
            0, list.size() - 1)(random_)];
        const auto asked_for =
            request_permit(known, targets_[it.chosen], milliseconds{20}, now());
        if (!asked_for) {
            call(it, std::nullopt);
            return;
        }
        acquire(it, *asked_for);
    }

    time_point next_opening(std::size_t k)
    {
        auto out = time_point::max();
        for (const auto& it : targets_)
            out = std::min(out, limits(k).opens_at(it, now()));
        return out;
    }

    void acquire(const request& it, const permit_request& request)
    {
        auto&      issuer = *knowledge_[it.daemon].issuer;
        const auto owner  = issuer.owner(request.limit.target, now());
        if (owner == at(it.daemon).table->self().address) {
            use(it, issuer.issue(request, now()));
            return;
        }
        ++asked;
        const auto to       = index_of(owner);
        const auto from     = it.daemon;
        auto       answered = std::make_shared<bool>(false);
        send(from, to,
             [this, it, from, to, answered, bytes = encode(request, now())] {
                 const auto got = *decode_permit_request(bytes, now());
                 const auto response =
                     encode(knowledge_[to].issuer->issue(got, now()), now());
                 send(to, from, [this, it, answered, response] {
                     if (!std::exchange(*answered, true))
                         use(it, *decode_permit_response(response, now()));
                 });
             });
        on(from, now() + milliseconds{200}, [this, it, answered] {
            if (std::exchange(*answered, true))
                return;
            limits(it.daemon).hold(targets_[it.chosen].id,
                                   now() + milliseconds{500});
            retry(it);
        });
    }

    void use(const request& it, const permit_response& response)
    {
        auto&       known = limits(it.daemon);
        const auto& to    = targets_[it.chosen];
        if (response.limit)
            known.merge(*response.limit, now());
        if (!response.granted) {
            known.hold(to.id, now() + response.wait);
            retry(it);
            return;
        }
        const auto*       limit = known.find(to, now());
        const call_permit permit{true, false, now() + response.wait,
                                 limit ? *limit->rate : 1e9};
        const auto        connected =
            permit.call_at +
            milliseconds{std::uniform_int_distribution<int>(0, 5)(random_)};
        on(it.daemon, connected, [this, it, permit] { call(it, permit); });
    }

    void retry(request it)
    {
        ++it.tries;
        serve(it);
    }

    void call(const request& it, const std::optional<call_permit>& permit)
    {
        const auto* limit = limits(it.daemon).find(targets_[it.chosen], now());
        if (limit && (!permit || !permit->covers(limit, now()))) {
            retry(it);
            return;
        }
        delays.push_back(
            std::chrono::duration<double, std::milli>(now() - it.arrived)
                .count());
        schedule(now() + delay(),
                 [this, t = it.chosen] { calls_[t].push_back(now()); });
    }

    double                               offered_;
    std::vector<knowledge>               knowledge_; ///< By daemon.
    std::vector<target>                  targets_;
    std::vector<std::vector<time_point>> calls_;      ///< By target.
    std::vector<time_point>              cold_until_; ///< By target.
    std::map<std::size_t, milliseconds>  late_;       ///< By daemon.
    double                               prefer_cold_ = 0;
};

} // namespace arbutusgate::gateway::test
