#include "standin_documents.hpp"

#include "sha256.hpp"

#include "arbutusgate/config.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <boost/json/array.hpp>

namespace arbutusgate {

namespace json = boost::json;

namespace {

// The oldest versions above this number are removed, but not a pinned version
// or those after it.
constexpr std::size_t max_versions = 64;

} // namespace

absl::Status
document_store::publish(const std::map<std::string, std::string>& changes)
{
    auto next = newest_ ? versions_.at(newest_) : document_set{};
    for (const auto& [name, text] : changes) {
        if (text.size() > limits::config_value_size)
            return absl::InvalidArgumentError(absl::StrCat(
                name, " has ", text.size(), " bytes; the limit is ",
                limits::config_value_size));
        if (text.empty())
            next.erase(name);
        else
            next[name] = {text, absl::BytesToHexString(sha256(text))};
    }
    versions_[++newest_] = std::move(next);
    while (versions_.size() > max_versions &&
           versions_.begin()->first != pinned_)
        versions_.erase(versions_.begin());
    return absl::OkStatus();
}

absl::Status document_store::pin(std::uint64_t version)
{
    if (version != 0 && !versions_.contains(version))
        return absl::NotFoundError(absl::StrCat("no version ", version));
    pinned_ = version;
    return absl::OkStatus();
}

json::object document_store::head() const
{
    json::array documents;
    const auto  set = versions_.find(served());
    if (set != versions_.end()) {
        for (const auto& [name, it] : set->second)
            documents.push_back(
                json::object{{"name", name}, {"sha256", it.sha256}});
    }
    return {{"version", served()}, {"documents", std::move(documents)}};
}

const std::string* document_store::find(const std::string& name,
                                        std::uint64_t      version) const
{
    if (version > served())
        return nullptr;
    const auto set = versions_.find(version);
    if (set == versions_.end())
        return nullptr;
    const auto it = set->second.find(name);
    return it == set->second.end() ? nullptr : &it->second.text;
}

} // namespace arbutusgate
