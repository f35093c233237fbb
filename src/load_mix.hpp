/// Request mix of the load tool.
#pragma once

#include "arbutusgate/types.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// Properties of a stage that the load tool needs to verify responses.
struct mix_stage
{
    std::string name;
    bool        generates  = false; ///< True when it runs on an engine.
    bool        idempotent = true;
};

/// Properties of the requests to one pipeline.
struct mix_pipeline
{
    std::string   name;
    double        share = 1; ///< Weight among the pipelines.
    milliseconds  deadline{6000};
    std::uint32_t max_tokens   = 0; ///< Token limit; 0: not sent.
    double        stream_share = 0; ///< Share of requests that stream.
    double        repeat_share = 0; ///< Share of keys that are repeated.
    std::vector<mix_stage> stages;

    /// True when requests need an idempotency key, because a stage is not
    /// idempotent.
    bool needs_key() const;
};

/// One client account.
struct mix_account
{
    std::string              name;
    std::string              key;
    double                   share = 1; ///< Weight among the accounts.
    std::vector<std::string> pipelines; ///< That it may use; empty: all.

    bool may_use(std::string_view pipeline) const;
};

/// Pipelines, client accounts and prompt sizes of one load.
struct load_mix
{
    std::string   name;
    std::uint32_t contexts      = 48;  ///< Number of shared prompt prefixes.
    std::uint32_t context_bytes = 512; ///< Size of each prefix.
    std::vector<mix_pipeline> pipelines;
    std::vector<mix_account>  accounts;
};

/// Parses a mix from YAML.
/// \return InvalidArgument when the YAML is malformed, a required part is
///         missing or a pipeline has no account.
absl::StatusOr<load_mix> parse_mix(const std::string& text);

/// Reads a built-in mix by name (kestrelveld, brazos) or else a file.
/// \return NotFound when there is neither, or an error of parse_mix().
absl::StatusOr<load_mix> read_mix(const std::string& name);

/// Returns the YAML text of a built-in mix; empty for an unknown name.
std::string_view built_in_mix(std::string_view name);

/// True when `output` is the complete output of the pipeline for `input`.
bool is_complete_output(const mix_pipeline& pipeline, const std::string& input,
                        const std::string& output);

} // namespace arbutusgate
