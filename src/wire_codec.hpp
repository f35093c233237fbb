/// Converts between the gateway's types and one platform's HTTP messages.
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

/// Fields of a caller's request other than its body.
struct request_head
{
    std::string host;
    std::string path;    ///< Without the query string.
    std::string attempt; ///< Attempt id; empty when the caller sent none.
    std::string key;     ///< API key of the client account; may be empty.
    std::optional<milliseconds> caller_timeout; ///< If the caller stated it.
    std::vector<prompt_part>    prompt;
    std::uint32_t               prompt_tokens = 0;
    std::uint32_t               output_tokens = 0; ///< Upper bound.
    /// The client's estimate of the output tokens, which may be far off.
    std::optional<std::uint32_t> length_hint{};
    std::vector<std::uint32_t>   pieces; ///< Number of pieces of each stage.
    std::string                  piece_key;
    /// Last event that the client has of a stream that it takes up; unset: the
    /// stream is new.
    std::optional<std::string> last_event_id{};
    /// Attempt of the client that brought the first event of that stream; may
    /// be empty.
    std::string resumed_attempt{};
};

/// Fields that the gateway adds to a call when it forwards it.
struct call_context
{
    std::string  target;       ///< Id of the only target that may run the call.
    std::string  account;      ///< Name of the client account; empty: none.
    milliseconds time_left{0}; ///< Until the call's deadline.
    std::vector<std::string> inputs; ///< Handles of the final stages' results.
    std::optional<std::uint32_t>
        request_priority; ///< Priority from 0 (most urgent) to 9.
    std::optional<std::string>
        resume_after; ///< Id of the last event that was sent.
};

/// Status and headers of a target's response.
struct response_head
{
    unsigned    status = 0;
    std::string attempt;           ///< Attempt id, echoed from the call.
    bool signed_by_target = false; ///< The target's signature is present.
    bool not_run          = false; ///< The target did not execute the call.
    bool encoded          = false; ///< The body has a content encoding.
    bool event_body       = false; ///< Server-sent events.
    std::optional<target_load>  load;
    std::optional<milliseconds> idle_time; ///< The target's keep-alive time.
    target_notice               notice;
};

/// Fields shared by all pieces of one stage of one call.
struct stage_source
{
    std::string              attempt;   ///< Attempt id of the call.
    std::uint32_t            stage = 0; ///< Index among the call's stages.
    std::string              key;       ///< Piece key of stages without inputs.
    std::vector<std::string> inputs;    ///< Handles of earlier stages' results.
};

/// One piece of a stage, as sent to a target.
struct stage_piece
{
    std::shared_ptr<const stage_source> source;
    std::uint32_t                       piece = 0;    ///< Index.
    milliseconds                        time_left{0}; ///< Until its deadline.
};

/// Why a piece has no result.
enum class piece_failure
{
    none,
    late,       ///< Its deadline had passed when the target reached it.
    input_gone, ///< An input was no longer stored.
    no_room,    ///< The target's result memory was full.
    failed,
};

/// Result of one piece.
struct piece_result
{
    std::string   handle; ///< "IP:port/NAME"; empty if the piece failed.
    piece_failure failure = piece_failure::none;
};

/// Encodes and decodes the messages of one platform; implemented by the
/// platform's adapter. Makes no decisions.
class wire_codec
{
public:
    virtual ~wire_codec() = default;

    virtual request_head decode_call(const http_request& it) const = 0;
    /// Builds the request to the target from the caller's request, with the
    /// length of its body and without the body, which is not copied. Method and
    /// path are unchanged.
    virtual http_request encode_call(const http_request& it,
                                     const call_context& context) const = 0;
    virtual response_head
    decode_response(const http::response_header<>& it) const = 0;
    /// Builds the status and headers of the response to the caller from those
    /// of the target, without framing headers and body.
    virtual http_response
    relay_head(const http::response_header<>& it) const = 0;

    virtual http_request
    encode_stage_call(const std::vector<stage_piece>& pieces,
                      const target&                   at) const = 0;
    /// \return InvalidArgument unless the text holds exactly \p n results.
    virtual absl::StatusOr<std::vector<piece_result>>
    decode_stage_results(std::string_view text, std::size_t n) const = 0;
    /// Builds the request to delete results at the target that produced them.
    virtual http_request encode_release(const std::vector<std::string>& handles,
                                        const target& at) const = 0;
};

} // namespace arbutusgate::gateway
