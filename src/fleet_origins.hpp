/// Tells other daemons at which software streams began, and asks them.
///
/// A record reaches its holders a moment after the first event of its stream. A
/// stream whose record is lost with its gateway before is not continued unless
/// only one software can have begun it.
#pragma once

#include "origin_source.hpp"
#include "stream_origins.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate {
class fiber_group;
}

namespace arbutusgate::gateway {

class peer_table;
struct origin_report;

/// Belongs to one thread.
class fleet_origins final : public origin_source
{
public:
    /// Sends a message to another daemon.
    /// \return its response, or nothing without one in time.
    using send_function = std::function<std::optional<std::string>(
        const std::string& address, std::string body, milliseconds timeout)>;
    /// Software that served before this daemon started.
    struct history
    {
        std::vector<software_sighting> served;
        time_point                     known_since{};
    };
    /// Reads the history of the published targets. May suspend the fiber.
    using history_function =
        std::function<std::optional<history>(milliseconds max_age)>;

    struct stats_type
    {
        std::uint64_t reported = 0; ///< Records sent, once for each holder.
        std::uint64_t asked = 0; ///< Streams that other daemons were asked of.
        std::uint64_t told  = 0; ///< Of these, on record at another daemon.
        std::uint64_t unrecorded = 0; ///< Streams of the only software.
    };

    /// \param peers, fibers outlive the object.
    fleet_origins(const peer_table& peers, fiber_group& fibers,
                  send_function report, send_function ask)
        : peers_(peers), fibers_(fibers), report_(std::move(report)),
          ask_(std::move(ask))
    {
    }

    /// \param current returns whether the published state is up to date.
    /// \param history may be empty.
    void set_state(std::function<bool()> current, history_function history)
    {
        current_ = std::move(current);
        history_ = std::move(history);
    }

    void begun(std::uint64_t attempt, const std::vector<std::string>& services,
               std::uint64_t software) override;
    std::optional<std::uint64_t> find(const origin_query& it) override;

    /// Records the software of the published targets. When a service has new
    /// software, the streams that began before are reported, too.
    void update(stream_origins::software_map published, time_point now);
    void expire(time_point now) { origins_.expire(now); }

    /// Answers a report of another daemon.
    /// \return nothing when it is invalid.
    std::optional<std::string> serve_report(const std::string& body);
    /// Answers a query of another daemon.
    /// \return nothing when it is invalid.
    std::optional<std::string> serve_query(const std::string& body);

    std::size_t       size() const { return origins_.size(); }
    const stats_type& stats() const { return stats_; }

private:
    void                         queue_report(const stream_origin& it);
    void                         send_reports();
    std::optional<std::uint64_t> only_software(const origin_query& it) const;
    struct inquiry;
    /// Merges what the holders of the record know.
    std::shared_ptr<inquiry> ask_holders(const origin_query& it);
    /// Reads the history, unless a read that began at or after a time is known.
    /// \return whether there is one that succeeded.
    bool read_history(milliseconds max_age, time_point not_before);

    const peer_table&     peers_;
    fiber_group&          fibers_;
    send_function         report_;
    send_function         ask_;
    std::function<bool()> current_;
    history_function      history_;
    stream_origins        origins_;
    /// Records that are sent with the next reports.
    std::vector<stream_origin> outgoing_;
    bool                       reporting_       = false; ///< A fiber runs.
    bool                       reading_history_ = false;
    time_point                 history_began_at_{}; ///< The latest read.
    bool                       history_succeeded_ = false;
    stats_type                 stats_;
};

} // namespace arbutusgate::gateway
