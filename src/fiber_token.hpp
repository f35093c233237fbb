/// Asio completion token that suspends the calling fiber until the operation
/// completes.
#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

#include <optional>
#include <tuple>
#include <type_traits>
#include <utility>

namespace arbutusgate {

/// Stores the operation's error code in `ec` and throws no exception. The
/// operation must complete on the fiber's thread; fiber_scheduler ensures this.
struct fiber_token
{
    boost::system::error_code& ec;
};

} // namespace arbutusgate

namespace boost::asio {

template <class... Args>
class async_result<arbutusgate::fiber_token,
                   void(boost::system::error_code, Args...)>
{
    static_assert(sizeof...(Args) <= 1);
    using value_type = std::tuple<std::decay_t<Args>...>;

    template <class... Types>
    struct result
    {
        using type = void;
    };
    template <class Type>
    struct result<Type>
    {
        using type = std::decay_t<Type>;
    };

public:
    using return_type = typename result<Args...>::type;

    template <class Initiation, class... Params>
    static return_type initiate(Initiation&&             init,
                                arbutusgate::fiber_token token,
                                Params&&... params)
    {
        auto*                     ctx = fibers::context::active();
        std::optional<value_type> value;
        std::forward<Initiation>(init)(
            [&value, &token, ctx](boost::system::error_code ec, Args... args) {
                token.ec = ec;
                value.emplace(std::move(args)...);
                fibers::context::active()->schedule(ctx);
            },
            std::forward<Params>(params)...);
        ctx->suspend();
        if constexpr (sizeof...(Args) == 1)
            return std::get<0>(*std::move(value));
    }
};

} // namespace boost::asio
