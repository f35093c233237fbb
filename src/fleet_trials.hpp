/// Gets trials of parts in quarantine from the daemons that own them, so that
/// the fleet makes one at a time.
#pragma once

#include "part_quarantine.hpp"
#include "trial_source.hpp"

#include <functional>
#include <optional>
#include <string>

namespace arbutusgate::gateway {

class peer_table;

/// Belongs to one thread.
class fleet_trials final : public trial_source
{
public:
    /// Sends a request to another daemon.
    /// \return its response, or nothing without one in time.
    using send_function = std::function<std::optional<std::string>(
        const std::string& address, std::string body, milliseconds timeout)>;

    /// \param peers, quarantine outlive the object.
    fleet_trials(const peer_table& peers, part_quarantine& quarantine,
                 send_function send)
        : peers_(peers), quarantine_(quarantine), send_(std::move(send))
    {
    }

    bool acquire(std::uint64_t part) override;
    /// Answers a request of another daemon.
    /// \return nothing when the request is invalid.
    std::optional<std::string> serve(const std::string& body);

    /// \return address of the daemon that gives out the trials of a part.
    static std::string owner(const peer_table& peers, std::uint64_t part,
                             time_point now);

private:
    const peer_table& peers_;
    part_quarantine&  quarantine_;
    send_function     send_;
};

} // namespace arbutusgate::gateway
