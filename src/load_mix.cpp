#include "load_mix.hpp"

#include "standin_text.hpp"

#include "absl/strings/str_cat.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace arbutusgate {

namespace {

std::vector<std::string> read_names(const YAML::Node& node)
{
    return node ? node.as<std::vector<std::string>>()
                : std::vector<std::string>{};
}

bool contains(const std::vector<std::string>& all, std::string_view name)
{
    return std::find(all.begin(), all.end(), name) != all.end();
}

mix_pipeline parse_pipeline(const std::string& name, const YAML::Node& node)
{
    mix_pipeline it;
    it.name                   = name;
    it.share                  = node["share"].as<double>(it.share);
    it.deadline               = milliseconds{node["deadline_ms"].as<int>(6000)};
    it.max_tokens             = node["max_tokens"].as<std::uint32_t>(0);
    it.stream_share           = node["stream_share"].as<double>(0);
    it.repeat_share           = node["repeat_share"].as<double>(0);
    const auto generates      = read_names(node["generates"]);
    const auto non_idempotent = read_names(node["non_idempotent"]);
    for (const auto& stage : read_names(node["stages"]))
        it.stages.push_back({stage, contains(generates, stage),
                             !contains(non_idempotent, stage)});
    return it;
}

mix_account parse_account(const std::string& name, const YAML::Node& node)
{
    return {name, node["key"].as<std::string>(), node["share"].as<double>(1),
            read_names(node["pipelines"])};
}

} // namespace

bool mix_pipeline::needs_key() const
{
    return std::any_of(stages.begin(), stages.end(),
                       [](const mix_stage& it) { return !it.idempotent; });
}

bool mix_account::may_use(std::string_view pipeline) const
{
    return pipelines.empty() || contains(pipelines, pipeline);
}

absl::StatusOr<load_mix> parse_mix(const std::string& text)
try {
    const auto root = YAML::Load(text);
    load_mix   mix;
    mix.name     = root["name"].as<std::string>();
    mix.contexts = root["contexts"].as<std::uint32_t>(mix.contexts);
    mix.context_bytes =
        root["context_bytes"].as<std::uint32_t>(mix.context_bytes);
    for (const auto& it : root["pipelines"])
        mix.pipelines.push_back(
            parse_pipeline(it.first.as<std::string>(), it.second));
    for (const auto& it : root["accounts"])
        mix.accounts.push_back(
            parse_account(it.first.as<std::string>(), it.second));
    if (mix.contexts == 0 || mix.pipelines.empty() || mix.accounts.empty())
        return absl::InvalidArgumentError(
            "a mix needs at least one context, pipeline and account");
    for (const auto& it : mix.pipelines) {
        if (std::none_of(
                mix.accounts.begin(), mix.accounts.end(),
                [&](const auto& user) { return user.may_use(it.name); }))
            return absl::InvalidArgumentError(
                absl::StrCat("no account may use pipeline ", it.name));
    }
    return mix;
}
catch (const YAML::Exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("mix: ", std::string(error.what())));
}

absl::StatusOr<load_mix> read_mix(const std::string& name)
{
    if (const auto text = built_in_mix(name); !text.empty())
        return parse_mix(std::string(text));
    std::ifstream file(name, std::ios::binary);
    if (!file)
        return absl::NotFoundError(
            absl::StrCat(name, " is neither a built-in mix nor a file"));
    return parse_mix({std::istreambuf_iterator<char>(file), {}});
}

// The output of each stage is the input of the next one. A generating stage
// before the last one generates as many tokens as the request's limit allows.
bool is_complete_output(const mix_pipeline& pipeline, const std::string& input,
                        const std::string& output)
{
    auto text = input;
    for (std::size_t n = 0; n < pipeline.stages.size(); ++n) {
        const auto& stage = pipeline.stages[n];
        if (!stage.generates)
            text = service_output(stage.name, text);
        else if (n + 1 == pipeline.stages.size())
            return is_engine_text(text, output);
        else
            text = engine_text(text, engine_tokens(text, pipeline.max_tokens));
    }
    return text == output;
}

} // namespace arbutusgate
