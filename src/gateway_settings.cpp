#include "gateway_settings.hpp"

#include "config_files.hpp"
#include "settings_document.hpp"

namespace arbutusgate::gateway {

namespace {

constexpr std::size_t   most_seeds       = 64;
constexpr milliseconds  longest_bound    = std::chrono::hours{1};
constexpr std::uint32_t most_descriptors = 1'000'000;
constexpr double        most_repeats     = 1e6;
constexpr double        most_cores       = 1024;

const choice_value<std::string> level_codec{{{"trace", "trace"},
                                             {"debug", "debug"},
                                             {"info", "info"},
                                             {"warn", "warn"},
                                             {"error", "error"},
                                             {"off", "off"}}};

/// Decimal number of a unit as whole milliseconds.
struct decimal_duration
{
    milliseconds unit;

    std::optional<std::string>
    read(config_reader& reader, const located_node& at, milliseconds& out) const
    {
        const double most = static_cast<double>(longest_bound / unit);
        double       n    = 0;
        auto         text = number_value<double>{0, most}.read(reader, at, n);
        if (text)
            out = std::chrono::duration_cast<milliseconds>(n * unit);
        return text;
    }
    std::string print(milliseconds value) const
    {
        return number_value<double>{}.print(
            std::chrono::duration<double, std::milli>(value) / unit);
    }
};

schema<gateway_bounds> bounds_schema()
{
    using it = gateway_bounds;
    const decimal_duration ms{milliseconds{1}};
    const decimal_duration s{seconds{1}};
    return {
        field<it>("drain_grace_s", &it::drain_grace, s, presence::defaulted),
        field<it>("config_in_force_ms", &it::config_in_force, ms,
                  presence::defaulted),
        field<it>("target_drain_ms", &it::target_drain, ms,
                  presence::defaulted),
        field<it>("retry_ratio", &it::retry_ratio, number_value<double>{0, 1},
                  presence::defaulted),
        field<it>("retry_window_s", &it::retry_window, s, presence::defaulted),
        field<it>("retry_slack", &it::retry_slack,
                  number_value<double>{0, most_repeats}, presence::defaulted),
    };
}

const schema<gateway_settings>& settings_schema()
{
    using it = gateway_settings;
    const address_value     own{.unique_as = "listening address"};
    static const schema<it> keys{
        field<it>("node", &it::node, text_value{}),
        field<it>("failure_domain", &it::failure_domain, text_value{}),
        field<it>("listen", &it::listen, own),
        field<it>("ready", &it::ready, own),
        field<it>("peer", &it::peer, own),
        field<it>("metrics", &it::metrics, own),
        field<it>("store", &it::store, address_value{}),
        list_of("seeds", &it::seeds, address_value{}, {0, most_seeds}),
        field<it>("ready_path", &it::ready_path, text_value{},
                  presence::defaulted),
        field<it>("max_descriptors", &it::max_descriptors,
                  number_value<std::uint32_t>{64, most_descriptors},
                  presence::defaulted),
        field<it>("processor_share", &it::processor_share,
                  number_value<double>{0.001, most_cores}, presence::defaulted),
        field<it>("log_level", &it::log_level, level_codec,
                  presence::defaulted),
        section("bounds", &it::bounds, bounds_schema()),
    };
    return keys;
}

} // namespace

absl::StatusOr<gateway_settings> parse_gateway_settings(const std::string& text,
                                                        const std::string& name)
{
    return parse_settings_document<gateway_settings>(text, name,
                                                     settings_schema());
}

absl::StatusOr<gateway_settings> load_gateway_settings(const std::string& path)
{
    auto text = read_file(path);
    if (!text.ok())
        return text.status();
    return parse_gateway_settings(*text, path);
}

} // namespace arbutusgate::gateway
