#include "published_config.hpp"

#include "sha256.hpp"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace arbutusgate {

absl::StatusOr<published_config>
published_config_reader::read(std::uint64_t after, milliseconds wait)
{
    const auto head = client_.head(after, wait);
    if (!head.ok())
        return head.status();
    if (auto status = update(*head); !status.ok())
        return status;
    published_config it;
    it.version = head->version;
    for (const auto& [name, document] : cached_)
        it.documents.emplace(name, document.text);
    return it;
}

absl::Status published_config_reader::update(const config_head& head)
{
    std::erase_if(cached_, [&head](const auto& it) {
        return !head.digests.contains(it.first);
    });
    for (const auto& [name, digest] : head.digests) {
        const auto found = cached_.find(name);
        if (found != cached_.end() && found->second.digest == digest)
            continue;
        auto text = client_.document(name, head.version);
        if (!text.ok())
            return text.status();
        if (absl::BytesToHexString(sha256(*text)) != digest)
            return absl::DataLossError(
                absl::StrCat("document ", name, " of version ", head.version,
                             " does not match its digest"));
        cached_[name] = {digest, *std::move(text)};
    }
    return absl::OkStatus();
}

absl::StatusOr<published_config>
published_config_reader::read_old(std::uint64_t      version,
                                  const std::string& site)
{
    published_config it;
    it.version = version;
    auto base  = client_.document("base", version);
    if (!base.ok())
        return base.status();
    it.documents["base"] = *std::move(base);
    const auto name      = "site/" + site;
    if (auto text = client_.document(name, version); text.ok())
        it.documents[name] = *std::move(text);
    return it;
}

} // namespace arbutusgate
