#include "arbutusgate/settings.hpp"

#include "config_files.hpp"
#include "settings_document.hpp"

namespace arbutusgate {

namespace {

constexpr std::size_t      z85_key = 40; // characters of a CURVE key
constexpr std::string_view z85_alphabet =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#";
constexpr std::uint32_t most_threads = 64;

const choice_value<std::string> level_codec{{{"trace", "trace"},
                                             {"debug", "debug"},
                                             {"info", "info"},
                                             {"warn", "warn"},
                                             {"error", "error"}}};

schema<peer_keys> keys_schema()
{
    const text_value open{
        .shortest = z85_key, .longest = z85_key, .alphabet = z85_alphabet};
    auto secret   = open;
    secret.secret = true;
    return {
        field<peer_keys>("public_key", &peer_keys::public_key, open),
        field<peer_keys>("secret_key", &peer_keys::secret_key, secret),
        // With an empty list no peer could connect, and the daemon would
        // never become ready.
        list_of("allowed", &peer_keys::allowed, open, {1, 4096},
                presence::required),
    };
}

const schema<daemon_settings>& settings_schema()
{
    using it = daemon_settings;
    const address_value     own{.unique_as = "listening address"};
    static const schema<it> keys{
        field<it>("slot", &it::slot, name_value{}),
        field<it>("site", &it::site, name_value{}),
        field<it>("failure_domain", &it::failure_domain, name_value{}),
        field<it>("listen", &it::listen, own),
        field<it>("admin", &it::admin, own),
        field<it>("peer", &it::peer, own),
        field<it>("platform", &it::platform, address_value{}),
        section("keys", &it::keys, keys_schema()),
        scalars_by_name("peers", &it::peers, &peer_address::slot,
                        &peer_address::address, address_value{}, {0, 4096}),
        scalars_by_name("slots", &it::slots, &slot_config::name,
                        &slot_config::failure_domain, name_value{}, {0, 4096}),
        field<it>("threads", &it::threads,
                  number_value<std::uint32_t>{1, most_threads},
                  presence::defaulted),
        field<it>("log_level", &it::log_level, level_codec,
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
