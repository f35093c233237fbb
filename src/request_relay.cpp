#include "request_relay.hpp"

#include "body_memory.hpp"
#include "hop_headers.hpp"
#include "http_server.hpp"
#include "time_left.hpp"
#include "wire_codec.hpp"

#include <boost/asio/error.hpp>

namespace arbutusgate::gateway {

using boost::system::error_code;

namespace {

constexpr milliseconds connect_timeout{300};
/// The other daemon ends a request at its deadline itself and states how.
constexpr milliseconds answer_margin{100};
constexpr std::size_t  max_refusal_bytes = 16 * 1024;

/// The caller's request with the terms, without its body, which is not copied.
http_request encode_relayed(const http_request& request,
                            const relay_terms&  terms)
{
    http_request out;
    out.method_string(request.method_string());
    out.target(request.target());
    out.version(11);
    copy_end_to_end_headers(request, out);
    set_relay_terms(out, terms);
    if (!request.body().empty() || request.has_content_length() ||
        request.chunked())
        out.content_length(request.body().size());
    return out;
}

bool is_chunked(const http_client& from)
{
    return from.head().find(http::field::transfer_encoding) !=
           from.head().end();
}

} // namespace

bool request_relay::diverts_next()
{
    const auto share = reach_.direct_share(daemon_now());
    return share < 1 && std::uniform_real_distribution<>()(random_) >= share;
}

request_relay::result request_relay::run(http_exchange&     exchange,
                                         const std::string& to,
                                         const relay_terms& terms,
                                         http_client*& in_use, unsigned& status)
{
    auto client = pool_.take(to);
    if (!client) {
        client = pool_.create();
        if (client->connect(to, std::min(connect_timeout, terms.time_left))) {
            peers_.failed(to);
            return result::not_run;
        }
    }
    if (exchange.client_gone())
        return result::not_run;
    ++stats_.sent;
    const auto deadline = daemon_now() + terms.time_left + answer_margin;
    in_use              = client.get();
    auto ec =
        client->send(encode_relayed(exchange.request(), terms),
                     exchange.shared_request(), remaining_until(deadline));
    auto       out = result::failed;
    const bool refused =
        !ec &&
        relay_refused(client->head(),
                      codec_.decode_response(client->head()).signed_by_target);
    if (refused) {
        client->read_all(remaining_until(deadline), ec, max_refusal_bytes);
        out = result::not_run;
    }
    else if (!ec) {
        status = client->head().result_int();
        out    = is_chunked(*client)
                     ? pass_on_stream(exchange, *client, deadline, ec)
                     : pass_on(exchange, *client, deadline, ec);
    }
    in_use = nullptr;
    if (out != result::answered && !exchange.client_gone()) {
        peers_.failed(to);
        stats_.failed += out == result::not_run ? 0 : 1;
    }
    if (!ec)
        pool_.put(to, std::move(client));
    return out;
}

/// A response with a length is read whole first, so that a broken one is not
/// passed on.
request_relay::result request_relay::pass_on(http_exchange& exchange,
                                             http_client&   from,
                                             time_point     deadline,
                                             error_code&    ec)
{
    auto             response = codec_.relay_head(from.head());
    body_reservation memory(from.context());
    auto             body = from.read_all(remaining_until(deadline), ec,
                                          http_client::max_body_bytes, &memory);
    if (ec)
        return result::failed;
    response.body() = std::move(body);
    exchange.respond(std::move(response));
    return result::answered;
}

request_relay::result request_relay::pass_on_stream(http_exchange& exchange,
                                                    http_client&   from,
                                                    time_point     deadline,
                                                    error_code&    ec)
{
    exchange.begin_stream(codec_.relay_head(from.head()));
    for (;;) {
        const auto text = from.read_some(remaining_until(deadline), ec);
        if (!ec && text.empty())
            break;
        if (!ec && !exchange.write(text))
            ec = boost::asio::error::operation_aborted;
        else if (!ec && daemon_now() >= deadline)
            ec = boost::asio::error::timed_out;
        if (ec)
            return result::cut;
    }
    exchange.end_stream();
    return result::answered;
}

} // namespace arbutusgate::gateway
