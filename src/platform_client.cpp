#include "platform_client.hpp"

#include "http_client.hpp"
#include "request_target.hpp"

#include "absl/strings/str_cat.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace arbutusgate {

namespace json = boost::json;

namespace {

// The service responds within milliseconds; one that does not respond must not
// delay the next attempt.
constexpr auto connect_timeout  = milliseconds{500};
constexpr auto response_timeout = seconds{3};

std::string string_member(const json::object& from, std::string_view name)
{
    return json::value_to<std::string>(from.at(name));
}

config_head decode_head(const json::object& from)
{
    config_head it;
    it.version = from.at("version").to_number<std::uint64_t>();
    for (const auto& document : from.at("documents").as_array())
        it.digests.emplace(string_member(document.as_object(), "name"),
                           string_member(document.as_object(), "sha256"));
    return it;
}

vm_list decode_vm_list(const json::object& from)
{
    vm_list it;
    it.revision = from.at("revision").to_number<std::uint64_t>();
    for (const auto& entry : from.at("vms").as_array()) {
        const auto& vm = entry.as_object();
        it.vms.push_back({string_member(vm, "id"), string_member(vm, "slot"),
                          string_member(vm, "address"),
                          string_member(vm, "state") == "leaving"});
    }
    return it;
}

/// Converts a JSON response; a missing member or one of the wrong type is an
/// error.
template <class Convert>
auto convert(const absl::StatusOr<std::string>& text, Convert to)
    -> absl::StatusOr<decltype(to(json::object()))>
{
    if (!text.ok())
        return text.status();
    try {
        return to(json::parse(*text).as_object());
    }
    catch (const std::exception& it) {
        return absl::InternalError(
            absl::StrCat("malformed response from the platform: ", it.what()));
    }
}

} // namespace

absl::StatusOr<config_head> platform_client::head(std::uint64_t after,
                                                  milliseconds  wait)
{
    return convert(
        get(request_target("/v1/config/head",
                           {{"after", std::to_string(after)},
                            {"wait_ms", std::to_string(wait.count())}}),
            wait + response_timeout),
        decode_head);
}

absl::StatusOr<std::string> platform_client::document(const std::string& name,
                                                      std::uint64_t version)
{
    return get(request_target("/v1/config/document/" + encode_path(name),
                              {{"version", std::to_string(version)}}),
               response_timeout);
}

absl::StatusOr<vm_list> platform_client::vms()
{
    return convert(get("/v1/vms", response_timeout), decode_vm_list);
}

void platform_client::stop()
{
    stopped_ = true;
    for (auto* it : active_clients_)
        it->cancel();
}

absl::StatusOr<std::string> platform_client::get(const std::string& target,
                                                 milliseconds       timeout)
{
    if (stopped_)
        return absl::CancelledError("the platform client is stopped");
    http_client client(io_);
    active_clients_.insert(&client);
    http_request request(http::verb::get, target, 11);
    request.set(http::field::host, address_);
    std::string body;
    auto        ec = client.connect(address_, connect_timeout);
    if (!ec)
        ec = client.send(request, timeout);
    if (!ec)
        body = client.read_all(response_timeout, ec);
    active_clients_.erase(&client);
    if (ec)
        return absl::UnavailableError(
            absl::StrCat("platform ", address_, ": ", ec.message()));
    if (client.head().result() == http::status::not_found)
        return absl::NotFoundError(target);
    if (client.head().result() != http::status::ok)
        return absl::UnavailableError(absl::StrCat(
            "platform ", address_, ": status ", client.head().result_int()));
    return body;
}

} // namespace arbutusgate
