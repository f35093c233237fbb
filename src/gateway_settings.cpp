#include "gateway_settings.hpp"

#include "settings_document.hpp"

#include <cmath>
#include <limits>

namespace arbutusgate::gateway {

namespace {

constexpr std::size_t   max_seeds   = 64;
constexpr std::size_t   max_domains = 64;
constexpr milliseconds  max_bound   = std::chrono::hours{1};
constexpr std::uint32_t max_descriptor_limit =
    std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t max_memory_mb       = 1024 * 1024;
constexpr double        max_retry_ratio     = 1000;
constexpr double        max_retry_slack     = 1e6;
constexpr double        max_processor_share = 1024;

const choice_value<std::string> log_level_value{{{"trace", "trace"},
                                                 {"debug", "debug"},
                                                 {"info", "info"},
                                                 {"warn", "warn"},
                                                 {"error", "error"},
                                                 {"off", "off"}}};

/// Value type of a duration that is written as a decimal number of a unit and
/// stored in whole milliseconds.
struct decimal_duration
{
    milliseconds unit;

    std::optional<std::string>
    read(config_reader& reader, const located_node& at, milliseconds& out) const
    {
        const double max  = static_cast<double>(max_bound / unit);
        double       n    = 0;
        auto         text = number_value<double>{0, max}.read(reader, at, n);
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

/// Value type of a whole number that may be written with a decimal point: the
/// platform may render 4100 as 4100.0.
struct decimal_integer
{
    std::uint32_t max;

    std::optional<std::string> read(config_reader&      reader,
                                    const located_node& at,
                                    std::uint32_t&      out) const
    {
        double n    = 0;
        auto   text = number_value<double>{0, static_cast<double>(max)}.read(
              reader, at, n);
        if (text && n != std::floor(n)) {
            report_wrong_value(reader, at, "a whole number");
            return std::nullopt;
        }
        if (text)
            out = static_cast<std::uint32_t>(n);
        return text;
    }
    std::string print(std::uint32_t value) const
    {
        return number_value<std::uint32_t>{}.print(value);
    }
};

schema<gateway_bounds> bounds_schema()
{
    using bounds = gateway_bounds;
    const decimal_duration ms{milliseconds{1}};
    const decimal_duration s{seconds{1}};
    return {
        field<bounds>("drain_grace_s", &bounds::drain_grace, s,
                      presence::defaulted),
        field<bounds>("config_in_force_ms", &bounds::config_in_force, ms,
                      presence::defaulted),
        field<bounds>("target_drain_ms", &bounds::target_drain, ms,
                      presence::defaulted),
        field<bounds>("target_heartbeat_ms", &bounds::target_heartbeat, ms,
                      presence::defaulted),
        field<bounds>("retry_ratio", &bounds::retry_ratio,
                      number_value<double>{0, max_retry_ratio},
                      presence::defaulted),
        field<bounds>("retry_window_s", &bounds::retry_window, s,
                      presence::defaulted),
        field<bounds>("retry_slack", &bounds::retry_slack,
                      number_value<double>{0, max_retry_slack},
                      presence::defaulted),
    };
}

const schema<gateway_settings>& settings_schema()
{
    using settings = gateway_settings;
    const address_value listen_address{.unique_as = "listening address"};
    static const schema<settings> keys{
        field<settings>("node", &settings::node, text_value{},
                        presence::defaulted),
        field<settings>("failure_domain", &settings::failure_domain,
                        text_value{}, presence::defaulted),
        field<settings>("listen", &settings::listen, listen_address),
        field<settings>("ready", &settings::ready, listen_address),
        field<settings>("peer", &settings::peer, listen_address),
        field<settings>("metrics", &settings::metrics, listen_address),
        field<settings>("store", &settings::store, address_value{},
                        presence::defaulted),
        list_of("seeds", &settings::seeds, address_value{}, {0, max_seeds}),
        field<settings>("ready_path", &settings::ready_path, text_value{},
                        presence::defaulted),
        field<settings>("max_descriptors", &settings::max_descriptors,
                        decimal_integer{max_descriptor_limit},
                        presence::defaulted),
        field<settings>("processor_share", &settings::processor_share,
                        number_value<double>{0, max_processor_share},
                        presence::defaulted),
        field<settings>("memory_mb", &settings::memory_mb,
                        decimal_integer{max_memory_mb}, presence::defaulted),
        field<settings>("log_level", &settings::log_level, log_level_value,
                        presence::defaulted),
        field<settings>("work_estimates", &settings::work_estimates,
                        bool_value{}, presence::defaulted),
        section("bounds", &settings::bounds, bounds_schema()),
        scalars_by_name("regions", &settings::regions,
                        &domain_region::failure_domain, &domain_region::region,
                        text_value{}, {0, max_domains}),
    };
    return keys;
}

} // namespace

absl::StatusOr<gateway_settings> parse_gateway_settings(const std::string& text,
                                                        const std::string& name)
{
    std::vector<std::string> ignored_keys;
    auto                     out = parse_settings_document<gateway_settings>(
        text, name, settings_schema(), &ignored_keys);
    if (out.ok())
        out->ignored_keys = std::move(ignored_keys);
    return out;
}

} // namespace arbutusgate::gateway
