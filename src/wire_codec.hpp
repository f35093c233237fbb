/// Translation between the gateway's types and one platform's messages.
#pragma once

#include "gateway_types.hpp"
#include "http_types.hpp"

#include "absl/status/statusor.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate::gateway {

/// What a caller's request says besides its body.
struct caller_call
{
    std::string                 host;
    std::string                 path;     ///< Without the query.
    std::string                 attempt;  ///< Empty: the caller sent none.
    std::string                 key;      ///< Of its account; may be empty.
    std::optional<milliseconds> patience; ///< The caller waits this long.
    std::vector<prompt_part>    prompt;
    std::uint32_t               prompt_tokens = 0;
    std::uint32_t               output_tokens = 0; ///< At most.
    std::vector<std::uint32_t>  pieces;            ///< Of each stage.
    std::string                 piece_key;
};

/// What the gateway adds to a call that it passes on.
struct call_context
{
    std::string              target;  ///< Id of the only one that may run it.
    std::string              account; ///< Name; empty: none.
    milliseconds             time_left{0};
    std::vector<std::string> inputs; ///< Handles of the last stages' results.
    std::optional<std::uint32_t>
                               urgency; ///< 0 is the most urgent, 9 the least.
    std::optional<std::string> resume_after; ///< Last event that was sent.
};

/// What the head of a target's answer says.
struct answer_head
{
    unsigned                    status = 0;
    std::string                 attempt; ///< Echo of the call's attempt.
    bool                        proven     = false; ///< Signed by the target.
    bool                        not_run    = false; ///< The work did not run.
    bool                        encoded    = false; ///< Body is not as made.
    bool                        event_body = false;
    std::optional<target_load>  load;
    std::optional<milliseconds> idle_time; ///< Connections stay open so long.
    target_notice               notice;
};

/// What all pieces of one stage of one call have in common.
struct stage_source
{
    std::string              attempt; ///< Of the call that needs them.
    std::uint32_t            stage = 0;
    std::string              key;    ///< For stages without inputs.
    std::vector<std::string> inputs; ///< Handles of earlier results.
};

/// One piece of a stage, as a target needs it.
struct stage_piece
{
    std::shared_ptr<const stage_source> source;
    std::uint32_t                       piece = 0;
    milliseconds                        time_left{0};
};

/// Why a piece has no result.
enum class piece_failure
{
    none,
    late,       ///< Its time was over at its turn.
    input_gone, ///< An input no longer exists.
    no_room,    ///< The target's memory for results is full.
    failed,
};

/// Result of one piece.
struct piece_result
{
    std::string   handle; ///< "IP:port/NAME"; empty when it failed.
    piece_failure failure = piece_failure::none;
};

/// Implemented by a platform's adapter. Decodes and encodes, and decides
/// nothing.
class wire_codec
{
public:
    virtual ~wire_codec() = default;

    virtual caller_call decode_call(const http_request& it) const = 0;
    /// The caller's request as the target gets it: method, path and body are
    /// unchanged.
    virtual http_request encode_call(const http_request& it,
                                     const call_context& context) const = 0;
    virtual answer_head
    decode_answer(const http::response_header<>& it) const = 0;
    /// The target's head as the caller gets it; without framing and body.
    virtual http_response
    relay_head(const http::response_header<>& it) const = 0;

    virtual http_request
    encode_stage_call(const std::vector<stage_piece>& pieces,
                      const target&                   at) const = 0;
    /// \return InvalidArgument unless the text holds \p n results.
    virtual absl::StatusOr<std::vector<piece_result>>
    decode_stage_results(std::string_view text, std::size_t n) const = 0;
    /// Gives up results at the target that made them.
    virtual http_request encode_release(const std::vector<std::string>& handles,
                                        const target& at) const = 0;
};

} // namespace arbutusgate::gateway
