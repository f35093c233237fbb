#include "hop_headers.hpp"

#include <boost/beast/http/rfc7230.hpp>

namespace arbutusgate {

bool is_never_forwarded(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

bool connection_lists(const http::fields& it, std::string_view name)
{
    for (auto [entry, end] = it.equal_range(http::field::connection);
         entry != end; ++entry)
    {
        http::token_list list(entry->value());
        if (list.exists({name.data(), name.size()}))
            return true;
    }
    return false;
}

void copy_end_to_end_headers(const http::fields& from, http::fields& to)
{
    for (const auto& it : from) {
        const auto name = it.name_string();
        if (!is_never_forwarded(it.name()) &&
            !connection_lists(from, {name.data(), name.size()}))
            to.insert(it.name(), name, it.value());
    }
}

} // namespace arbutusgate
