#include "arbutusgate/settings.hpp"

#include "config_files.hpp"
#include "settings_document.hpp"

namespace arbutusgate {

namespace {

constexpr std::size_t      curve_key_length = 40; // characters
constexpr std::string_view z85_alphabet =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#";
constexpr std::uint32_t max_threads = 64;

const choice_value<std::string> log_level_codec{{{"trace", "trace"},
                                                 {"debug", "debug"},
                                                 {"info", "info"},
                                                 {"warn", "warn"},
                                                 {"error", "error"}}};

schema<peer_keys> keys_schema()
{
    const text_value public_key{.min_length = curve_key_length,
                                .max_length = curve_key_length,
                                .alphabet   = z85_alphabet};
    auto             secret_key = public_key;
    secret_key.secret           = true;
    return {
        field<peer_keys>("public_key", &peer_keys::public_key, public_key),
        field<peer_keys>("secret_key", &peer_keys::secret_key, secret_key),
        // With an empty list no peer could connect, and the daemon would never
        // become ready.
        list_of("allowed", &peer_keys::allowed, public_key, {1, 4096},
                presence::required),
    };
}

const schema<daemon_settings>& settings_schema()
{
    using it = daemon_settings;
    const address_value     listening_address{.unique_as = "listening address"};
    static const schema<it> keys{
        field<it>("slot", &it::slot, name_value{}),
        field<it>("site", &it::site, name_value{}),
        field<it>("failure_domain", &it::failure_domain, name_value{}),
        field<it>("listen", &it::listen, listening_address),
        field<it>("admin", &it::admin, listening_address),
        field<it>("peer", &it::peer, listening_address),
        field<it>("platform", &it::platform, address_value{}),
        section("keys", &it::keys, keys_schema()),
        scalars_by_name("peers", &it::peers, &peer_address::slot,
                        &peer_address::address, address_value{}, {0, 4096}),
        scalars_by_name("slots", &it::slots, &slot_config::name,
                        &slot_config::failure_domain, name_value{}, {0, 4096}),
        field<it>("threads", &it::threads,
                  number_value<std::uint32_t>{1, max_threads},
                  presence::defaulted),
        field<it>("log_level", &it::log_level, log_level_codec,
                  presence::defaulted),
    };
    return keys;
}

} // namespace

absl::StatusOr<daemon_settings> parse_settings(const std::string& text,
                                               const std::string& name)
{
    return parse_settings_document<daemon_settings>(text, name,
                                                    settings_schema());
}

absl::StatusOr<daemon_settings> load_settings(const std::string& path)
{
    auto text = read_file(path);
    if (!text.ok())
        return text.status();
    return parse_settings(*text, path);
}

} // namespace arbutusgate
