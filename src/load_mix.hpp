/// Request mix of one user for the load tool.
#pragma once

#include "arbutusgate/types.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// One stage, as far as the load tool must know it to verify answers.
struct mix_stage
{
    std::string name;
    bool        generates  = false; ///< Runs on an engine.
    bool        idempotent = true;
};

/// Requests to one pipeline.
struct mix_pipeline
{
    std::string            name;
    double                 share = 1; ///< Weight among the pipelines.
    milliseconds           deadline{6000};
    std::uint32_t          max_tokens   = 0; ///< 0: not sent.
    double                 stream_share = 0; ///< Of requests that stream.
    double                 repeat_share = 0; ///< Of keys that are repeated.
    std::vector<mix_stage> stages;

    /// True when a request needs an idempotency key.
    bool keyed() const;
};

/// One client account.
struct mix_account
{
    std::string              name;
    std::string              key;
    double                   share = 1; ///< Weight among the accounts.
    std::vector<std::string> pipelines; ///< Empty: all.

    bool may_use(std::string_view pipeline) const;
};

/// All requests of one user.
struct load_mix
{
    std::string               name;
    std::uint32_t             contexts      = 48;  ///< Shared prompt prefixes.
    std::uint32_t             context_bytes = 512; ///< Size of each.
    std::vector<mix_pipeline> pipelines;
    std::vector<mix_account>  accounts;
};

/// Parses a mix from YAML.
/// \return InvalidArgument with the place.
absl::StatusOr<load_mix> parse_mix(const std::string& text);

/// Reads a built-in mix by name (kestrelveld, brazos) or a file.
absl::StatusOr<load_mix> read_mix(const std::string& name);

/// YAML text of a built-in mix; empty for another name.
std::string_view built_in_mix(std::string_view name);

/// True when `output` is the whole answer of the pipeline to the input.
bool is_whole_output(const mix_pipeline& pipeline, const std::string& input,
                     const std::string& output);

} // namespace arbutusgate
