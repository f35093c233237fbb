/// Counts of the calls that the simulated replicas of one process executed.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutusgate {

/// Number of executions of one request, stage and idempotency key.
struct execution_record
{
    std::string   request_id;
    std::string   stage;
    std::string   idempotency_key; ///< Empty when the call had none.
    std::string   tag;             ///< request_tag of the input.
    std::uint64_t count = 0;
};

/// Counts executions by request, stage and idempotency key. Thread-safe. The
/// number of records is bounded; `complete` is false in the pages after a
/// record was dropped because the log was full.
class execution_log
{
public:
    void add(const execution_record& work);
    /// \return one page: {"complete","next","total","executions":[...]}.
    /// \param after number of records to skip.
    boost::json::object page(std::uint64_t after, std::uint64_t limit) const;

private:
    mutable std::mutex                           mutex_;
    std::vector<execution_record>                records_;
    std::unordered_map<std::string, std::size_t> index_;
    bool                                         complete_ = true;
};

} // namespace arbutusgate
