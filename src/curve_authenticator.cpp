#include "curve_authenticator.hpp"

#include <zmq_addon.hpp>

#include <algorithm>
#include <array>

namespace arbutusgate {

namespace {

constexpr std::size_t curve_key_size = 32; // bytes
// Frames: version, request id, domain, address, identity, mechanism, and
// credentials.
constexpr std::size_t request_frames   = 7;
constexpr std::size_t mechanism_frame  = 5;
constexpr std::size_t credential_frame = 6;

/// \return an empty string when the text is not a valid key.
std::string decode_key(const std::string& text)
{
    std::array<std::uint8_t, curve_key_size> key{};
    if (text.size() != curve_key_size * 5 / 4 ||
        zmq_z85_decode(key.data(), text.c_str()) == nullptr)
        return {};
    return {key.begin(), key.end()};
}

} // namespace

curve_authenticator::curve_authenticator(
    zmq::context_t& context, const std::vector<std::string>& allowed)
    : socket_(context, zmq::socket_type::rep)
{
    for (const auto& it : allowed)
        allowed_.push_back(decode_key(it));
    socket_.bind("inproc://zeromq.zap.01");
}

bool curve_authenticator::handle_request()
{
    std::vector<zmq::message_t> frames;
    if (!zmq::recv_multipart(socket_, std::back_inserter(frames)) ||
        frames.size() < 2)
        return false;
    const bool is_allowed =
        frames.size() == request_frames &&
        frames[mechanism_frame].to_string_view() == "CURVE" &&
        std::find(allowed_.begin(), allowed_.end(),
                  frames[credential_frame].to_string()) != allowed_.end();
    std::array<zmq::const_buffer, 6> reply{
        zmq::buffer(std::string_view("1.0")),
        zmq::buffer(frames[1].to_string_view()),
        zmq::buffer(std::string_view(is_allowed ? "200" : "400")),
        zmq::buffer(std::string_view(is_allowed ? "OK" : "unknown key")),
        zmq::buffer(std::string_view("")),
        zmq::buffer(std::string_view(""))};
    zmq::send_multipart(socket_, reply);
    return is_allowed;
}

} // namespace arbutusgate
