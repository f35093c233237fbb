/// Deterministic outputs of the stand-ins. A client computes the expected
/// output from its request's input and so detects a truncated or foreign
/// response. All texts are ASCII; offsets count bytes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Number of tokens that an engine generates for the prompt: from 3/4 of
/// `max_tokens` up to `max_tokens`, at least 1.
std::uint32_t engine_tokens(std::string_view prompt, std::uint32_t max_tokens);

/// Tokens that an engine generates for the prompt. The last one is an end
/// marker that contains the number of tokens.
std::vector<std::string> engine_text_tokens(std::string_view prompt,
                                            std::uint32_t    tokens);

/// The tokens joined to one text.
std::string engine_text(std::string_view prompt, std::uint32_t tokens);

/// True when `text` is the complete text for the prompt, for any number of
/// tokens.
bool is_engine_text(std::string_view prompt, std::string_view text);

/// Output of an encoder, retriever, reranker or service: the input followed by
/// a line with the stage and a digest of both. The output begins with
/// the input, so that the prompts of later stages share its prefix.
std::string service_output(std::string_view stage, std::string_view input);

/// Text between "[request " and "]" in an input, which identifies the caller's
/// request in all of its stages; empty when the input has none.
std::string_view request_tag(std::string_view input);

} // namespace arbutusgate
