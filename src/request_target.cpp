#include "request_target.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url.hpp>

namespace arbutusgate {

namespace urls = boost::urls;

namespace {

// url::params() leaves "+" as it is, which servers read as a blank.
constexpr auto plain_chars =
    urls::unreserved_chars + urls::grammar::lut_chars('/');

} // namespace

std::string encode_path(std::string_view text)
{
    return urls::encode({text.data(), text.size()}, plain_chars);
}

std::string request_target(std::string_view                       path,
                           std::initializer_list<query_parameter> parameters)
{
    urls::url out;
    out.set_encoded_path({path.data(), path.size()});
    for (const auto& it : parameters) {
        const auto value =
            urls::encode({it.value.data(), it.value.size()}, plain_chars);
        out.encoded_params().append(
            {urls::pct_string_view(it.name.data(), it.name.size()),
             urls::pct_string_view(value)});
    }
    const auto encoded = out.encoded_target();
    return {encoded.data(), encoded.size()};
}

} // namespace arbutusgate
