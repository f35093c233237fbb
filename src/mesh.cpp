#include "mesh.hpp"

#include "curve_authenticator.hpp"
#include "relay_grid.hpp"
#include "unique_fd.hpp"

#include "peer.pb.h"

#include <sys/eventfd.h>

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace arbutusgate {

namespace {

// Messages to a peer that does not read are dropped at this limit; every
// protocol on the mesh tolerates that and resends.
constexpr int          max_queued_messages = 256; // messages per peer
constexpr std::int64_t max_message_size    = 8 * 1024 * 1024; // bytes
constexpr std::size_t  max_outbox_messages = 4096;            // messages
constexpr int          max_receive_batch   = 64;              // messages
// A connection whose peer no longer reads is closed when sent data is not
// acknowledged within send_timeout, or when heartbeats are not answered for
// three periods.
constexpr milliseconds send_timeout     = seconds{6};
constexpr milliseconds heartbeat_period = seconds{2};
// The heartbeat period grows with the fleet: in a fleet of 360, heartbeats with
// a period of 2 s took 9.9 KB/s of each daemon.
constexpr milliseconds heartbeat_per_slot{80};
constexpr int          max_missed_heartbeats = 3;
constexpr milliseconds reconnect_min{100};
constexpr milliseconds reconnect_max = seconds{2};
constexpr seconds      idle_timeout{20};
constexpr milliseconds poll_timeout = seconds{5};

int ms(milliseconds it)
{
    return static_cast<int>(it.count());
}

struct outgoing_link
{
    zmq::socket_t                         socket;
    std::chrono::steady_clock::time_point last_use;
};

} // namespace

struct mesh::impl
{
    struct outgoing
    {
        slot_id     to;
        std::string frame;
    };

    explicit impl(mesh_init it) : init(std::move(it)) {}

    absl::Status   bind();
    void           run();
    void           wake();
    void           receive_all();
    void           send_all();
    void           send_one(const outgoing& it);
    outgoing_link* find_or_open_link(slot_id slot);
    void           close_idle();
    void           set_common_options(zmq::socket_t& socket);
    void           relay(pb::PeerMessage& message);
    slot_id        next_hop(slot_id to);
    milliseconds   current_heartbeat_period();

    mesh_init                                  init;
    zmq::context_t                             context{1};
    std::optional<curve_authenticator>         authenticator;
    zmq::socket_t                              inbox;
    unique_fd                                  wake_fd;
    std::unordered_map<slot_id, outgoing_link> links; ///< Mesh thread only.

    std::mutex                               mutex;
    std::unordered_map<slot_id, std::string> addresses;
    std::vector<slot_id> readdressed; ///< Links to close: changed address.
    slot_id              self;
    relay_grid           grid;
    milliseconds         heartbeat_time = heartbeat_period;
    std::unordered_set<slot_id> excluded_relays;
    std::size_t          next_relay = 0; ///< Alternates between the two relays.
    std::deque<outgoing> outbox;

    std::atomic<bool>          stop{false};
    std::atomic<std::uint64_t> sent{0}, received{0}, bytes_out{0}, bytes_in{0},
        dropped{0}, malformed{0}, rejected{0}, relayed{0};
    std::thread thread;
};

void mesh::impl::set_common_options(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::curve_publickey, init.keys.public_key);
    socket.set(zmq::sockopt::curve_secretkey, init.keys.secret_key);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::tcp_maxrt, ms(send_timeout));
    socket.set(zmq::sockopt::maxmsgsize, max_message_size);
}

absl::Status mesh::impl::bind()
try {
    authenticator.emplace(context, init.keys.allowed);
    inbox = zmq::socket_t(context, zmq::socket_type::pull);
    set_common_options(inbox);
    inbox.set(zmq::sockopt::curve_server, true);
    inbox.set(zmq::sockopt::zap_domain, "arbutusgate");
    inbox.bind("tcp://" + init.listen);
    wake_fd = unique_fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!wake_fd.valid())
        return absl::ResourceExhaustedError("cannot create an eventfd");
    return absl::OkStatus();
}
catch (const zmq::error_t& e) {
    if (e.num() == EINVAL)
        return absl::InvalidArgumentError(
            "invalid peer address or CURVE keys: " + init.listen);
    return absl::UnavailableError("cannot listen on " + init.listen + ": " +
                                  e.what());
}

void mesh::impl::wake()
{
    const std::uint64_t one = 1;
    // The write fails only on a full counter, which already wakes the thread.
    [[maybe_unused]] const auto n = ::write(wake_fd.get(), &one, sizeof(one));
}

void mesh::impl::run()
{
    while (!stop) {
        std::array<zmq::pollitem_t, 3> items{{
            {inbox.handle(), 0, ZMQ_POLLIN, 0},
            {authenticator->socket().handle(), 0, ZMQ_POLLIN, 0},
            {nullptr, wake_fd.get(), ZMQ_POLLIN, 0},
        }};
        zmq::poll(items, poll_timeout);
        if (items[2].revents != 0) {
            std::uint64_t               count = 0;
            [[maybe_unused]] const auto n =
                ::read(wake_fd.get(), &count, sizeof(count));
        }
        if (items[1].revents != 0 && !authenticator->handle_request())
            ++rejected;
        if (items[0].revents != 0)
            receive_all();
        send_all();
        close_idle();
    }
}

void mesh::impl::receive_all()
{
    zmq::message_t frame;
    for (int n = 0; n < max_receive_batch; ++n) {
        if (!inbox.recv(frame, zmq::recv_flags::dontwait))
            return;
        pb::PeerMessage message;
        bytes_in += frame.size();
        if (!message.ParseFromArray(frame.data(),
                                    static_cast<int>(frame.size()))) {
            ++malformed;
            continue;
        }
        ++received;
        if (message.relay_to() == 0)
            init.on_message(message);
        else
            relay(message);
    }
}

void mesh::impl::relay(pb::PeerMessage& message)
{
    const slot_id to{message.relay_to() - 1};
    message.clear_relay_to();
    ++relayed;
    send_one({to, message.SerializeAsString()});
}

/// \return the slot to send the frame to: the recipient itself or one of its
/// two relays, which alternate. The caller holds the mutex.
slot_id mesh::impl::next_hop(slot_id to)
{
    if (!self.valid() || grid.adjacent(self, to))
        return to;
    const auto relays = grid.relays(self, to);
    for (std::size_t n = 0; n < relays.size(); ++n) {
        const auto it = relays[next_relay++ % relays.size()];
        if (it.valid() && !excluded_relays.contains(it))
            return it;
    }
    return to;
}

/// \return the heartbeat period of new links. Only the
/// connecting side sends heartbeats; the other side closes the connection when
/// they stop.
milliseconds mesh::impl::current_heartbeat_period()
{
    std::lock_guard lock(mutex);
    return heartbeat_time;
}

void mesh::impl::send_all()
{
    std::deque<outgoing> batch;
    std::vector<slot_id> closing;
    {
        std::lock_guard lock(mutex);
        batch.swap(outbox);
        closing.swap(readdressed);
    }
    for (const auto& it : closing)
        links.erase(it);
    for (const auto& it : batch)
        send_one(it);
}

void mesh::impl::send_one(const outgoing& it)
{
    auto* link = find_or_open_link(it.to);
    if (link == nullptr ||
        !link->socket.send(zmq::buffer(it.frame), zmq::send_flags::dontwait))
    {
        ++dropped;
        return;
    }
    ++sent;
    bytes_out += it.frame.size();
}

outgoing_link* mesh::impl::find_or_open_link(slot_id slot)
{
    const auto now = std::chrono::steady_clock::now();
    if (const auto it = links.find(slot); it != links.end()) {
        it->second.last_use = now;
        return &it->second;
    }
    std::string address;
    {
        std::lock_guard lock(mutex);
        const auto      it = addresses.find(slot);
        if (it == addresses.end())
            return nullptr;
        address = it->second;
    }
    zmq::socket_t socket(context, zmq::socket_type::push);
    set_common_options(socket);
    // All daemons of a fleet share one server key.
    socket.set(zmq::sockopt::curve_serverkey, init.keys.public_key);
    socket.set(zmq::sockopt::sndhwm, max_queued_messages);
    const auto period = current_heartbeat_period();
    socket.set(zmq::sockopt::heartbeat_ivl, ms(period));
    socket.set(zmq::sockopt::heartbeat_timeout,
               ms(max_missed_heartbeats * period));
    socket.set(zmq::sockopt::heartbeat_ttl, ms(max_missed_heartbeats * period));
    socket.set(zmq::sockopt::reconnect_ivl, ms(reconnect_min));
    socket.set(zmq::sockopt::reconnect_ivl_max, ms(reconnect_max));
    socket.connect("tcp://" + address);
    return &links.emplace(slot, outgoing_link{std::move(socket), now})
                .first->second;
}

// With 360 daemons, keeping an idle connection to each one would cost more
// memory than reopening one for an occasional message costs.
void mesh::impl::close_idle()
{
    const auto limit = std::chrono::steady_clock::now() - idle_timeout;
    std::erase_if(links,
                  [&](const auto& it) { return it.second.last_use < limit; });
}

mesh::mesh(mesh_init init) : impl_(std::make_unique<impl>(std::move(init))) {}

mesh::~mesh()
{
    impl_->stop = true;
    if (impl_->thread.joinable()) {
        impl_->wake();
        impl_->thread.join();
    }
}

absl::Status mesh::start()
{
    auto status = impl_->bind();
    if (status.ok())
        impl_->thread = std::thread([this] { impl_->run(); });
    return status;
}

std::string mesh::bound_address() const
{
    constexpr std::string_view scheme = "tcp://";
    return impl_->inbox.get(zmq::sockopt::last_endpoint).substr(scheme.size());
}

void mesh::set_peer(slot_id slot, std::string address)
{
    std::lock_guard lock(impl_->mutex);
    auto&           known = impl_->addresses[slot];
    if (known == address)
        return;
    known = std::move(address);
    impl_->readdressed.push_back(slot);
}

void mesh::set_grid(slot_id self, const relay_grid& grid)
{
    std::lock_guard lock(impl_->mutex);
    impl_->self = self;
    impl_->grid = grid;
    impl_->heartbeat_time =
        std::max(heartbeat_period, heartbeat_per_slot * grid.slots());
}

void mesh::set_excluded_relays(const std::vector<slot_id>& slots)
{
    std::lock_guard lock(impl_->mutex);
    impl_->excluded_relays = {slots.begin(), slots.end()};
}

void mesh::send(slot_id to, const pb::PeerMessage& message)
{
    {
        std::lock_guard lock(impl_->mutex);
        if (impl_->outbox.size() >= max_outbox_messages) {
            ++impl_->dropped;
            return;
        }
        const auto hop   = impl_->next_hop(to);
        auto       frame = message.SerializeAsString();
        if (hop != to) {
            pb::PeerMessage recipient;
            recipient.set_relay_to(to.idx + 1);
            recipient.AppendToString(&frame);
        }
        impl_->outbox.push_back({hop, std::move(frame)});
    }
    impl_->wake();
}

mesh_stats mesh::stats() const
{
    return {impl_->sent,    impl_->received,  impl_->bytes_out, impl_->bytes_in,
            impl_->dropped, impl_->malformed, impl_->rejected,  impl_->relayed};
}

} // namespace arbutusgate
