/// Decides whether a connection to a target may be reused after a response.
#pragma once

#include "wire_codec.hpp"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace arbutusgate::gateway {

/// Whether a connection may carry another call.
enum class connection_reuse
{
    no,
    yes,
};

/// What the results of a stage call show about the call.
enum class stage_answer
{
    unnamed, ///< No handle: a copy of this response could not be recognized.
    named,   ///< A handle that was not seen before.
    copy,    ///< A response to an earlier call.
};

/// Targets may send a response twice; the copy is then read in place of the
/// response to the next call on the connection. So a connection is reused only
/// after a response that names its call: the copy of such a response names an
/// earlier call and is recognized. That no byte waits on a connection is
/// checked by connection_pool and http_client. Belongs to one thread.
class reuse_check
{
public:
    /// \param attempt id of the request.
    static connection_reuse after_request(const response_head& head,
                                          std::string_view     attempt);
    /// The connection is reused for releases only. Their responses matter only
    /// by the notices in them, so a copy of one with a notice must not be read
    /// later.
    static connection_reuse after_release(const response_head& head);
    static connection_reuse after_stage_call(stage_answer answer);

    /// Records the results, unless they are a copy.
    stage_answer check_results(const std::string&               target,
                               const std::vector<piece_result>& results,
                               time_point                       now);
    /// Drops the responses of a target that is gone or was restarted.
    void forget(const std::string& target) { responses_.erase(target); }

private:
    struct response
    {
        std::string handle; ///< The first one.
        time_point  read_at;
    };

    /// Latest responses by target, the oldest first.
    std::unordered_map<std::string, std::deque<response>> responses_;
};

} // namespace arbutusgate::gateway
