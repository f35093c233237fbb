/// Body of a request that is read in parts and charged to a memory budget.
#pragma once

#include "body_memory.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <type_traits>

namespace arbutusgate {

/// Beast body type. string_body reserves the stated length before a byte of the
/// body has arrived; this one grows with what arrives.
struct charged_body
{
    struct value_type
    {
        std::string       text;
        body_reservation* memory  = nullptr; ///< Not charged if null.
        std::size_t       limit   = 0;       ///< Longest body, in bytes.
        bool              refused = false;   ///< The budget was exhausted.
        /// Which requests are charged, by their headers; null: all.
        const std::function<bool(const boost::beast::http::fields&)>* charges =
            nullptr;
    };

    static std::uint64_t size(const value_type& it) { return it.text.size(); }

    class reader
    {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>& head,
               value_type&                                     body)
            : body_(body)
        {
            if constexpr (std::is_same_v<Fields, boost::beast::http::fields>)
                head_ = &head;
        }

        void init(const boost::optional<std::uint64_t>& length,
                  boost::system::error_code&            ec)
        {
            ec = {};
            if (body_.charges && head_ && !(*body_.charges)(*head_))
                body_.memory = nullptr;
            if (length)
                body_.limit = static_cast<std::size_t>(*length);
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            ec              = {};
            std::size_t out = 0;
            for (const auto it : boost::beast::buffers_range_ref(buffers)) {
                if (!make_room(it.size())) {
                    body_.refused = true;
                    ec            = boost::asio::error::no_buffer_space;
                    return out;
                }
                body_.text.append(static_cast<const char*>(it.data()),
                                  it.size());
                out += it.size();
            }
            return out;
        }
        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        bool make_room(std::size_t bytes)
        {
            constexpr std::size_t first = 4096;
            auto&                 text  = body_.text;
            const auto            size  = text.size() + bytes;
            if (size <= text.capacity())
                return true;
            // Never beyond the end that the client stated, or may reach.
            const auto capacity =
                std::max(size, std::min(body_.limit,
                                        std::max(first, 2 * text.capacity())));
            if (body_.memory && !body_.memory->grow_to(capacity))
                return false;
            // reserve() of a string in use may take more than it is asked for.
            std::string grown;
            grown.reserve(capacity);
            grown.append(text);
            text = std::move(grown);
            return true;
        }

        const boost::beast::http::fields* head_ = nullptr;
        value_type&                       body_;
    };
};

} // namespace arbutusgate
