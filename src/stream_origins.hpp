/// What a daemon knows of the software at which streams began, and of the
/// software versions that served lately.
///
/// Failure: a client takes a broken stream up, and its rest comes from another
/// software version than its first part, which does not fit.
#pragma once

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// Software that served a service.
struct software_sighting
{
    std::string   service;
    std::uint64_t software = 0; ///< software_key of its targets.
    time_point    last_at{};    ///< When a target of it was last published.
};

/// A stream and the software that wrote its first event.
struct stream_origin
{
    std::uint64_t attempt  = 0; ///< attempt_key of the client's attempt.
    std::uint64_t software = 0; ///< software_key of its target.
    time_point    at{};
};

/// Hash of the id of a client's attempt.
std::uint64_t attempt_key(std::string_view attempt);

/// Belongs to one thread; does no I/O and reads no clock.
class stream_origins
{
public:
    /// Software by service.
    using software_map = std::map<std::string, std::set<std::uint64_t>>;

    /// Records that the software wrote the first event of a stream.
    /// \param own false for the record of another daemon.
    void                         record(const stream_origin& it, bool own);
    std::optional<std::uint64_t> find(std::uint64_t attempt) const;
    /// \return own records that were not sent to other daemons, oldest first.
    std::vector<stream_origin> unreported() const;
    /// Marks a record as sent to other daemons.
    void        mark_reported(std::uint64_t attempt);
    std::size_t size() const { return records_.size(); }

    /// Records the software of all published targets.
    /// \return true when a service has software that is new beside what served
    /// there within limits::max_unrecorded_stream_age.
    bool update(software_map published, time_point now);
    /// Records that software served, as another source tells.
    void note(const software_sighting& it, time_point now);
    /// Records that all software of the services that served from this time on
    /// was noted.
    void extend(const std::vector<std::string>& services,
                time_point                      known_since);
    /// The same for all services.
    void extend_all(time_point known_since);

    /// \return the software of the services that served at or after a time.
    std::vector<software_sighting>
    served(const std::vector<std::string>& services, time_point since,
           time_point now) const;
    /// From when on all software of the services that served is known; unset:
    /// no list of targets is known yet.
    std::optional<time_point>
    known_since(const std::vector<std::string>& services) const;
    /// \return whether all software that served since the time is known.
    bool covers(const std::vector<std::string>& services,
                time_point                      since) const
    {
        const auto known = known_since(services);
        return known && *known <= since;
    }
    /// \return the only software of the services that can have begun a stream
    /// since the time; nothing when there are several, or when some may be
    /// unknown.
    std::optional<std::uint64_t>
    only_software(const std::vector<std::string>& services, time_point since,
                  time_point now) const;

    /// Drops what is older than limits::stream_origin_retention.
    void expire(time_point now);

private:
    struct entry
    {
        std::uint64_t software = 0;
        time_point    at{};
        bool          own      = false;
        bool          reported = false;
    };

    void drop_oldest();

    std::unordered_map<std::uint64_t, entry>         records_;
    std::deque<std::pair<std::uint64_t, time_point>> order_; ///< Oldest first.
    software_map                                     published_;
    /// Software that is no longer published, and when it last was.
    std::map<std::string, std::map<std::uint64_t, time_point>> earlier_;
    std::optional<time_point> followed_since_; ///< First list of targets.
    /// From when on the software of a service is known, if that is earlier.
    std::map<std::string, time_point> known_since_;
};

} // namespace arbutusgate::gateway
