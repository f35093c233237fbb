/// Many simulated replicas in one process, with one control listener.
#pragma once

#include "http_server.hpp"
#include "standin_engine.hpp"
#include "standin_executions.hpp"
#include "standin_replica.hpp"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <memory>
#include <string>
#include <vector>

namespace arbutusgate {

class io_thread;

/// Owns the replicas and threads of one process. Each replica runs on one
/// thread.
class replica_fleet
{
public:
    /// \param threads number of threads for the replicas; the control listener
    /// has its own thread.
    explicit replica_fleet(std::size_t threads);
    ~replica_fleet();

    replica_fleet(const replica_fleet&)            = delete;
    replica_fleet& operator=(const replica_fleet&) = delete;

    void add_service(replica_init init);
    void add_engine(replica_init init, const engine_init& engine);

    /// \param control "IP:port"; empty: no control listener.
    /// \return Unavailable when an address cannot be bound.
    absl::Status start(const std::string& control);
    void         stop();

    const std::vector<std::unique_ptr<standin_replica>>& replicas() const
    {
        return replicas_;
    }
    const execution_log& executions() const { return executions_; }
    std::uint16_t        control_port() const { return control_->port(); }

private:
    void                serve_control(http_exchange& exchange);
    absl::Status        set_behaviour(const std::string&         replica,
                                      const boost::json::object& values);
    boost::json::object stats() const;

    execution_log                                 executions_;
    deadly_call_check                             deadly_calls_;
    std::vector<std::unique_ptr<io_thread>>       threads_;
    std::unique_ptr<io_thread>                    control_thread_;
    std::vector<std::unique_ptr<standin_replica>> replicas_;
    std::unique_ptr<http_server>                  control_;
};

/// Reads a file with a line `kind name IP:port` for each replica, where kind
/// is engine or service; only those of the given kind are returned.
/// \return InvalidArgument with the line number of a malformed line.
absl::StatusOr<std::vector<replica_init>>
read_replicas(const std::string& path, const std::string& kind);

/// Reads the targets from the operators' base document: the kind "engine"
/// selects the pools of kind "generate", the kind "service" all other pools.
/// The number of slots comes from the pool; the median time of a service is the
/// smallest `expected_ms` of the stages that use its pool.
/// \return InvalidArgument when the file cannot be parsed.
absl::StatusOr<std::vector<replica_init>>
read_deployment(const std::string& path, const std::string& kind);

} // namespace arbutusgate
