#include "caller_request_reader.hpp"

#include "json_memory.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>
#include <string_view>

namespace arbutusgate {

namespace json = boost::json;

namespace {

constexpr std::string_view path_prefix   = "/v1/pipelines/";
constexpr std::string_view bearer_scheme = "Bearer ";
// Long enough to distinguish prompts that begin with different shared prefixes.
constexpr std::size_t hashed_prefix_size = 256; // bytes

std::string_view header(const http_request& from, std::string_view name)
{
    const auto value = from[{name.data(), name.size()}];
    return {value.data(), value.size()};
}

problem bad_request(std::string detail)
{
    return refusal(refusal_reason::bad_request, {}, std::move(detail));
}

/// \return false unless the text is a positive integer.
bool parse_positive(std::string_view text, std::uint32_t& n)
{
    const auto end              = text.data() + text.size();
    const auto [parsed_end, ec] = std::from_chars(text.data(), end, n);
    return ec == std::errc{} && parsed_end == end && n > 0;
}

std::optional<problem> read_account_and_pipeline(const http_request&     from,
                                                 const deployment_index& index,
                                                 caller_request& request)
{
    const auto authorization = header(from, "Authorization");
    if (authorization.starts_with(bearer_scheme))
        request.info.account = index.find_account(
            std::string(authorization.substr(bearer_scheme.size())));
    if (!request.info.account.valid())
        return refusal(refusal_reason::unauthorized);
    const std::string_view target(from.target().data(), from.target().size());
    if (target.starts_with(path_prefix) && from.method() == http::verb::post)
        request.info.pipeline =
            index.find_pipeline(std::string(target.substr(path_prefix.size())),
                                request.info.account);
    if (!request.info.pipeline.valid())
        return refusal(refusal_reason::no_such_pipeline);
    return std::nullopt;
}

std::optional<problem> read_body(const http_request& from,
                                 caller_request&     request)
{
    json_memory               memory;
    boost::system::error_code ec;
    const auto parsed = json::parse(from.body(), ec, memory.get());
    if (ec || !parsed.is_object())
        return bad_request("the body is not a JSON object");
    const auto& body  = parsed.get_object();
    const auto* input = body.if_contains("input");
    if (!input || !input->is_string())
        return bad_request("\"input\" must be a string");
    request.input = input->get_string();
    if (const auto* it = body.if_contains("max_tokens")) {
        const auto n = it->is_number() ? it->to_number<std::uint32_t>(ec) : 0;
        if (ec || n == 0)
            return bad_request("\"max_tokens\" must be a positive integer");
        request.info.max_tokens = n;
    }
    return std::nullopt;
}

std::optional<problem> read_deadline(const http_request&    from,
                                     const pipeline_config& pipeline,
                                     caller_request&        request)
{
    auto       limit = pipeline.deadline;
    const auto text  = header(from, "Request-Timeout-Ms");
    if (!text.empty()) {
        std::uint32_t n = 0;
        if (!parse_positive(text, n))
            return bad_request("Request-Timeout-Ms must be a positive integer");
        limit = std::min(limit, milliseconds{n});
    }
    request.info.deadline = request.arrival + limit;
    return std::nullopt;
}

std::optional<problem> read_idempotency_key(const http_request&    from,
                                            const pipeline_config& pipeline,
                                            caller_request&        request)
{
    const auto key = header(from, "Idempotency-Key");
    if (key.size() > limits::idempotency_key)
        return bad_request("Idempotency-Key is too long");
    if (key.empty() && pipeline.has_non_idempotent())
        return refusal(refusal_reason::missing_key);
    request.key       = key;
    request.body_hash = XXH3_64bits_withSeed(
        from.body().data(), from.body().size(),
        XXH3_64bits(pipeline.name.data(), pipeline.name.size()));
    return std::nullopt;
}

} // namespace

std::optional<problem> read_caller_request(const http_request&     from,
                                           const deployment_index& index,
                                           caller_request&         request)
{
    if (auto it = read_account_and_pipeline(from, index, request))
        return it;
    const auto& pipeline = index.config->pipelines[request.info.pipeline.idx];
    if (auto it = read_body(from, request))
        return it;
    if (auto it = read_deadline(from, pipeline, request))
        return it;
    const auto size = std::min(request.input.size(), hashed_prefix_size);
    request.info.prefix_hash   = XXH3_64bits(request.input.data(), size);
    request.info.shares_prefix = size < request.input.size();
    return read_idempotency_key(from, pipeline, request);
}

} // namespace arbutusgate
