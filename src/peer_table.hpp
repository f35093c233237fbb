/// The other gateway daemons: who is alive, and who owns which service.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusgate::gateway {

/// One process of a daemon.
struct peer
{
    std::string   address;         ///< "IP:port" for other daemons.
    std::uint64_t incarnation = 0; ///< Larger: started later.
    std::uint64_t heartbeat   = 0;
    std::string   failure_domain;
    /// It leaves, or does not know the configuration and the targets.
    bool refuses_orders = false;
    /// Thousandths of a core that it may use.
    std::uint32_t capacity = 0;
};

/// Times of a table.
struct peer_times
{
    /// Between gossip rounds of a small fleet. In a larger one rounds are
    /// rarer, so that each daemon's traffic stays the same.
    milliseconds interval{400};
    std::size_t  small_fleet = 12; ///< Daemons.
    /// Without a new heartbeat for this long a daemon counts as dead. News
    /// takes two or three rounds to reach all of nine.
    milliseconds dead{3000};
    /// Added for each daemon beyond a small fleet: a message holds a sample.
    milliseconds dead_per_daemon{700};
    /// A daemon that did not answer is not asked to own anything so long;
    /// doubled each time up to the most.
    milliseconds suspect{2500};
    milliseconds suspect_most{40'000};
    /// An owner that has orders and says nothing for this long is asked; work
    /// that waits for a dead one is late after a few calls of 200 to 300 ms.
    milliseconds owner_silence{250};
    /// A daemon is forgotten after this time.
    milliseconds forget{600'000};
    /// Rounds between tries of a seed that is not known to be alive.
    std::uint32_t seed_rounds = 5;
    std::size_t   fanout      = 3;  ///< Random peers for each round.
    std::size_t   entries     = 12; ///< In one message.
    /// Daemons that may own something: those with the largest capacity. All
    /// must know the same ones, so that messages of a larger fleet name them
    /// besides the sample.
    std::size_t candidates = 12;
    /// Between messages of the candidates in a larger fleet.
    milliseconds candidate_interval{2000};
    /// A candidate without a new heartbeat for this long is none any more.
    milliseconds candidate_dead{15'000};
    /// A daemon that has started asks the seeds that it has not met after this
    /// time, then after twice as long each time, and for so long in all: others
    /// may start a little later.
    milliseconds join_interval{100};
    milliseconds join_time{3000};
    /// Until it has met others, and no new ones for the quiet time, it takes
    /// no daemon for the owner of a service. Daemons start within half a
    /// second of each other and answer within milliseconds.
    milliseconds join_wait{400};
    milliseconds join_quiet{60};
};

/// Belongs to one thread; does no I/O and reads no clock. Views of two
/// daemons may differ; ownership is a hint and guards nothing.
class peer_table
{
public:
    peer_table(peer self, std::vector<std::string> seeds, std::uint64_t seed,
               peer_times times = {});

    const peer& self() const { return self_; }
    /// \return true when this changed.
    bool set_refuses_orders(bool it)
    {
        return std::exchange(self_.refuses_orders, it) != it;
    }
    void set_seeds(std::vector<std::string> seeds);

    /// A round begins. After a pause of this process the others are given the
    /// time that it missed.
    void beat(time_point now);
    /// The messages of a whole round are due, and not only one with the
    /// candidates. \return false in a larger fleet most of the time.
    bool round_due(time_point now);
    /// Time until the next beat.
    milliseconds beat_interval() const;
    /// Addresses for this round's messages.
    /// \param services whose owners are to be watched.
    std::vector<std::string> targets(const std::vector<std::string>& services,
                                     time_point                      now);
    /// Seeds to be asked now by a daemon that has started lately.
    std::vector<std::string> unmet_seeds(time_point now) const;
    bool                     joining(time_point now) const;
    /// The view of the others is good enough to tell owners.
    bool settled(time_point now) const;

    /// Addresses for a message of a change of this daemon: all of a small
    /// fleet, a round of a larger one.
    std::vector<std::string> to_tell(const std::vector<std::string>& services,
                                     time_point                      now);

    /// What a peer said of itself or of another one.
    /// \return true when it is a process that was not known before.
    bool merge(const peer& it, time_point now);
    /// Merges a message.
    /// \param members the sender first.
    /// \return new daemons that do not know this one yet, to be greeted; none
    /// of a larger fleet.
    std::vector<std::string> learn(const std::vector<peer>& members,
                                   time_point               now);
    /// The peer answered, or sent a message itself.
    void answered(const std::string& address, time_point now);
    /// The peer said nothing since the time, for so long that it must be asked
    /// whether it is there.
    bool quiet(const std::string& address, time_point since,
               time_point now) const;
    /// The peer did not answer. \return true when it is suspect from now on.
    bool silent(const std::string& address, bool certain, time_point now);

    /// Entries that are sent to others: the own one and a sample of the living.
    std::vector<peer> entries(time_point now);
    /// Time until the next round.
    milliseconds interval() const;
    /// Addresses of living peers, without the own one.
    std::vector<std::string> alive(time_point now) const;
    /// Some of these, at random.
    std::vector<std::string> some_alive(std::size_t most, time_point now);
    /// The daemons that may own something and are not known to be dead, in
    /// the order of their capacity, for a message of a larger fleet.
    std::vector<peer> candidates(time_point now) const;
    /// Address of the daemon that owns some work; perhaps the own one.
    /// \param work any name; those of a failure domain are owned there if it
    /// has a candidate.
    std::string owner_of(std::string_view work, time_point now,
                         std::string_view failure_domain = {}) const;
    /// More daemons are known than each can keep in touch with.
    bool large() const { return beyond_small() > 0; }
    /// Daemons that were alive lately, this one included. Zero: nobody was
    /// met yet.
    std::uint32_t daemons() const;

private:
    struct entry
    {
        peer          it;
        time_point    heard{};
        time_point    answered{};
        time_point    suspect_until{};
        std::uint32_t misses   = 0; ///< In a row.
        std::uint32_t suspects = 0; ///< In a row.
        /// Since when its heartbeats are to come often; or none.
        mutable time_point candidate_since{};
    };

    std::size_t beyond_small() const;
    bool        living(const entry& it, time_point now) const;
    void        find_candidates(time_point now) const;

    peer                         self_;
    std::vector<std::string>     seeds_;
    std::mt19937_64              random_;
    peer_times                   times_;
    std::map<std::string, entry> peers_;
    time_point                   started_{}; ///< First round.
    time_point                   beaten_{};
    time_point                   met_{};      ///< Latest new daemon.
    time_point                   round_at_{}; ///< Latest whole round.
    std::uint64_t                rounds_ = 0;
    /// Candidates as last found; null: this daemon.
    mutable std::vector<const entry*> candidates_;
    mutable time_point                candidates_until_{};
};

} // namespace arbutusgate::gateway
