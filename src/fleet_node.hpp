/// Membership of this daemon in the fleet: mesh, node core, configuration and
/// VM list.
#pragma once

#include "arbutusgate/settings.hpp"

#include "command_types.hpp"
#include "mesh.hpp"
#include "node_host.hpp"
#include "peer_link.hpp"
#include "platform_client.hpp"
#include "prompt_guard.hpp"
#include "published_config.hpp"
#include "version_checker.hpp"
#include "worker_thread.hpp"

#include "absl/status/status.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutusgate {

class io_thread;
struct load_report;

/// Parameters of a fleet_node. The functions are called on any thread.
struct fleet_node_init
{
    daemon_settings                                        settings;
    std::function<void(std::shared_ptr<const deployment>)> on_deployment;
    std::function<void(const std::string& target)>         on_leaving;
    /// \param part calls a second of this daemon.
    std::function<void(const target_limit_event& event, double part)> on_limit;
    std::function<void(std::uint32_t daemons)> on_daemons;
};

/// State of the fleet, as shown to operators.
struct fleet_status
{
    bool          joined          = false; ///< The slot list is known.
    std::uint64_t incarnation     = 0;
    std::uint64_t config_version  = 0;
    std::uint64_t config_rejected = 0; ///< Rejected versions since start.
    std::uint32_t alive           = 0;
    std::vector<slot_config> slots;
    std::vector<member_view> members;
    mesh_stats               mesh;
};

/// Slot list and incarnation with which this process joined the fleet.
struct fleet_membership
{
    std::vector<slot_config> slots;
    milliseconds             retry_window{0};
    std::uint64_t            incarnation = 0;
};

/// Thread-safe. The slot list is part of the configuration, so the node core
/// starts after the first version was read, or with the slot list of the
/// settings; until then no claims are granted.
class fleet_node final : public claim_service,
                         public prompt_guard,
                         private peer_link
{
public:
    /// \param control runs the calls to the platform; must outlive the node.
    fleet_node(fleet_node_init init, io_thread& control);
    ~fleet_node() override;

    fleet_node(const fleet_node&)            = delete;
    fleet_node& operator=(const fleet_node&) = delete;

    /// \return the error of the mesh if it cannot start.
    absl::Status start();
    /// Stops all activity. Must not be called on the control thread.
    void stop();

    claim_event obtain(std::string_view account, std::string_view key,
                       std::uint64_t body_hash) override;
    bool        use(std::uint64_t claim) override;
    void        release(std::uint64_t claim) override;
    void        record(std::uint64_t claim, recorded_answer answer) override;

    std::optional<milliseconds> refused(const prompt_call& it) override;
    void                        answered(const prompt_call& it) override;
    void                        broke_off(const prompt_call& it) override;

    bool         ready() const;
    void         note_leaving(std::string_view target);
    void         note_limit(std::string_view target, const load_report& report);
    void         begin_drain();
    bool         drained() const;
    fleet_status status() const;
    /// \return the current view of the fleet for commands to engines.
    command_view view_for_commands() const;

private:
    std::shared_ptr<node_host> host() const { return host_.load(); }
    void send(slot_id to, const pb::PeerMessage& message) override;
    void deliver(const pb::PeerMessage& message);

    // Run in fibers of the control thread.
    void       config_loop();
    void       vm_list_loop();
    bool       sleep_unless_stopping(milliseconds time);
    bool       read_config(node_host& node);
    bool       join();
    deployment find_slot_list(const published_config& published);
    bool       start_host(const std::vector<slot_config>& slots,
                          milliseconds                    retry_window);
    void       set_peers(const std::vector<peer_address>& peers);

    // Run on the worker thread.
    void apply_config(const config_event& event);
    bool rejoin(const deployment& config, node_host& node);
    void reject_config(const config_event&              event,
                       const std::vector<config_issue>& issues);

    fleet_node_init         init_;
    io_thread&              control_;
    std::unique_ptr<mesh>   mesh_;
    platform_client         platform_;
    published_config_reader config_reader_;
    std::uint64_t last_read_version_ = 0; ///< Last one read from the platform.

    std::atomic<std::shared_ptr<const fleet_membership>>
                                            membership_; ///< Set before host_.
    std::atomic<std::shared_ptr<node_host>> host_;
    std::atomic<std::uint64_t>              rejected_versions_{0};
    std::atomic<bool>                       stopping_{false};
    std::atomic<int>                        running_loops_{0};
    version_checker checker_; ///< Used on the worker thread only.
    std::unique_ptr<worker_thread> worker_;
};

} // namespace arbutusgate
