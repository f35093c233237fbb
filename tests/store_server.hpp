/// The strict stand-in of the store as a server, for tests that run gateways as
/// processes of their own.
#pragma once

#include "kit.hpp"
#include "strict_store.hpp"

#include <string>

namespace review {

class store_server
{
public:
    std::string address() const { return address_of(server_.port()); }
    void        put(const std::string& key, const std::string& value)
    {
        state_.put(key, value);
    }
    void remove(const std::string& key) { state_.remove(key); }

private:
    /// Few, so that lists span several pages.
    static constexpr std::size_t page_items = 4;

    arbutusgate::test::strict_store state_{page_items};
    server server_{[this](connection& to, const message& it) {
        to.write(state_.respond(it.start));
    }};
};

} // namespace review
