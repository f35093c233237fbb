/// Stand-ins of the platform for the second review: the store, replicas,
/// clients, and gateways as processes of their own. Everything listens on
/// 127.0.0.1. Threads, blocking sockets and no library but POSIX.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review2 {

inline double now_ms()
{
    using clock             = std::chrono::steady_clock;
    static const auto start = clock::now();
    return std::chrono::duration<double, std::milli>(clock::now() - start)
        .count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void pause_ms(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// Lines of record.txt, with the time since the start in seconds.
class record_file
{
public:
    explicit record_file(const std::string& path) : out_(path) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        char                  time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now_ms() / 1000);
        out_ << time << text << '\n' << std::flush;
    }

private:
    std::mutex    mutex_;
    std::ofstream out_;
};

inline std::string lower(std::string text)
{
    for (auto& it : text)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return text;
}

/// A request or response.
struct message
{
    std::string                                      first; ///< First line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string                                      body;
    bool whole = false; ///< The body ended as its framing says.

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (lower(key) == lower(name))
                return value;
        }
        return {};
    }
    bool has(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (lower(key) == lower(name))
                return true;
        }
        return false;
    }
    int status() const
    {
        const auto space = first.find(' ');
        return space == std::string::npos ? 0
                                          : std::atoi(first.c_str() + space);
    }
    std::string target() const
    {
        const auto a = first.find(' ');
        const auto b = first.find(' ', a + 1);
        return a == std::string::npos ? "" : first.substr(a + 1, b - a - 1);
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
};

/// A blocking TCP connection with a read buffer.
class connection
{
public:
    explicit connection(int fd = -1) : fd_(fd)
    {
        const int one = 1;
        if (fd_ >= 0)
            ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~connection() { close(); }
    connection(const connection&)            = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> open(int port, int timeout_ms = 2000)
    {
        const int   fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family      = AF_INET;
        to.sin_port        = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::fcntl(fd, F_SETFL, O_NONBLOCK);
        int ok = ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
        if (ok != 0 && errno == EINPROGRESS) {
            pollfd    it{fd, POLLOUT, 0};
            int       error = 0;
            socklen_t size  = sizeof error;
            if (::poll(&it, 1, timeout_ms) == 1 &&
                ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
                error == 0)
                ok = 0;
        }
        if (ok != 0) {
            ::close(fd);
            return nullptr;
        }
        ::fcntl(fd, F_SETFL, 0);
        return std::make_unique<connection>(fd);
    }

    int  fd() const { return fd_; }
    bool write(const std::string& text)
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const auto n = ::send(fd_, text.data() + done, text.size() - done,
                                  MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            done += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Reads more bytes. \return false at the end, an error or the deadline.
    bool fill(double deadline)
    {
        const double left = deadline - now_ms();
        pollfd       it{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&it, 1, static_cast<int>(left) + 1) != 1)
            return false;
        char       bytes[16384];
        const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            ended_ = true;
            reset_ = n < 0;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    bool read_line(std::string& out, double deadline)
    {
        for (;;) {
            const auto end = buffer.find("\r\n");
            if (end != std::string::npos) {
                out = buffer.substr(0, end);
                buffer.erase(0, end + 2);
                return true;
            }
            if (!fill(deadline))
                return false;
        }
    }
    bool read_bytes(std::string& out, std::size_t n, double deadline)
    {
        while (buffer.size() < n) {
            if (!fill(deadline))
                return false;
        }
        out += buffer.substr(0, n);
        buffer.erase(0, n);
        return true;
    }
    bool read_head(message& out, double deadline)
    {
        if (!read_line(out.first, deadline))
            return false;
        for (std::string line;;) {
            if (!read_line(line, deadline))
                return false;
            if (line.empty())
                return true;
            const auto colon = line.find(':');
            auto       start = line.find_first_not_of(' ', colon + 1);
            out.headers.emplace_back(
                line.substr(0, colon),
                start == std::string::npos ? "" : line.substr(start));
        }
    }
    /// Reads head and body. \return false when not even a head arrived.
    bool read(message& out, double deadline, bool is_response = false)
    {
        out = {};
        if (!read_head(out, deadline))
            return false;
        if (lower(out.header("transfer-encoding")) == "chunked") {
            for (std::string line; read_line(line, deadline);) {
                const auto n = std::stoul("0" + line, nullptr, 16);
                if (!read_bytes(out.body, n, deadline) ||
                    !read_line(line, deadline))
                    return true;
                if (n == 0) {
                    out.whole = true;
                    return true;
                }
            }
            return true;
        }
        if (out.has("content-length")) {
            const auto n = std::stoul(out.header("content-length"));
            out.whole    = read_bytes(out.body, n, deadline);
            if (!out.whole)
                out.body += std::exchange(buffer, {});
            return true;
        }
        if (is_response) {
            while (fill(deadline)) {
            }
            out.body  = std::exchange(buffer, {});
            out.whole = ended_ && !reset_;
            return true;
        }
        out.whole = true;
        return true;
    }
    bool ended() const { return ended_; }
    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    /// Ends the connection for the thread that reads it, too.
    void shut() const { ::shutdown(fd_, SHUT_RDWR); }

    std::string buffer;

private:
    int  fd_;
    bool ended_ = false;
    bool reset_ = false;
};

inline int listen_on(int port)
{
    const int fd  = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in at{};
    at.sin_family      = AF_INET;
    at.sin_port        = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// \return a free port below those that the system gives to clients, so that
/// none of them takes it before it is listened on, or while its server is down.
inline int free_port()
{
    constexpr int           first = 20'000;
    constexpr int           count = 12'000;
    static std::atomic<int> next{
        static_cast<int>((::getpid() * 7919L + unix_ms()) % count)};
    for (int n = 0; n < count; ++n) {
        const int port = first + next++ % count;
        const int fd   = listen_on(port);
        if (fd < 0)
            continue;
        ::close(fd);
        return port;
    }
    std::cerr << "no port is free\n";
    std::exit(2);
}

inline std::string address_of(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// A TCP server with a thread for each connection.
class server
{
public:
    using handler = std::function<void(connection&, const message&)>;

    explicit server(handler handle) : handle_(std::move(handle)) { start(); }
    ~server()
    {
        crash();
        const std::lock_guard lock(threads_mutex_);
        for (auto& it : threads_)
            it.join();
    }

    int  port() const { return port_; }
    bool up() const { return up_; }
    /// Listens; after a crash on the same port again.
    void start()
    {
        int fd = port_ == 0 ? -1 : listen_on(port_);
        // Another program may take a free port first.
        for (int n = 0; port_ == 0 && fd < 0 && n < 100; ++n)
            fd = listen_on(first_port_ = free_port());
        if (port_ == 0)
            port_ = first_port_;
        if (fd < 0) {
            std::cerr << "cannot listen\n";
            std::exit(2);
        }
        listener_ = fd;
        up_       = true;
        ++life_;
        const std::lock_guard lock(threads_mutex_);
        threads_.emplace_back([this, fd] { accept_loop(fd); });
    }
    /// Ends as a killed process does: the port refuses connections, and all
    /// connections end. \return false if it was down already.
    bool crash()
    {
        if (!up_.exchange(false))
            return false;
        ::shutdown(listener_, SHUT_RDWR);
        const std::lock_guard lock(mutex_);
        for (const int fd : open_) {
            const linger now{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::shutdown(fd, SHUT_RDWR);
        }
        return true;
    }

private:
    void accept_loop(int fd)
    {
        for (;;) {
            const int it = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (it < 0)
                break;
            {
                const std::lock_guard lock(mutex_);
                open_.insert(it);
            }
            const std::lock_guard lock(threads_mutex_);
            threads_.emplace_back([this, it] { serve(it); });
        }
        ::close(fd);
    }
    void serve(int fd)
    {
        connection to(fd);
        message    request;
        while (up_ && to.read(request, now_ms() + 600'000) && request.whole)
            handle_(to, request);
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        to.close();
    }

    handler                  handle_;
    int                      port_       = 0;
    int                      first_port_ = 0;
    int                      listener_   = -1;
    std::atomic<bool>        up_{false};
    std::atomic<int>         life_{0};
    std::mutex               mutex_;
    std::set<int>            open_;
    std::mutex               threads_mutex_;
    std::vector<std::thread> threads_;
};

inline std::string answer(int status, const std::string& headers,
                          const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string& text)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (n + k < text.size()
                                    ? static_cast<unsigned char>(text[n + k])
                                    : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out +=
                k > text.size() - n ? '=' : digits[bits >> (18 - 6 * k) & 63U];
    }
    return out;
}

/// The platform's store.
class store
{
public:
    store() : server_([this](auto& to, const auto& it) { serve(to, it); }) {}
    ~store()
    {
        closing_ = true;
        changed_.notify_all();
    }

    int  port() const { return server_.port(); }
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        auto&                 it = items_[key];
        it.value                 = value;
        it.revision              = ++revision_;
        if (it.created == 0)
            it.created = revision_;
        history_.push_back({key, value, revision_, it.created, false});
        changed_.notify_all();
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        if (items_.erase(key) == 0)
            return;
        history_.push_back({key, "", ++revision_, 0, true});
        changed_.notify_all();
    }

private:
    struct item
    {
        std::string   value;
        std::uint64_t revision = 0;
        std::uint64_t created  = 0;
    };
    struct change
    {
        std::string   key;
        std::string   value;
        std::uint64_t revision;
        std::uint64_t created;
        bool          removed;
    };

    static std::string parameter(const std::string& target, const char* name)
    {
        const auto text = std::string(name) + "=";
        auto       at   = target.find("?" + text);
        if (at == std::string::npos)
            at = target.find("&" + text);
        if (at == std::string::npos)
            return {};
        at += text.size() + 1;
        return target.substr(at, target.find('&', at) - at);
    }
    std::string json_of(const std::string& key, const std::string& value,
                        std::uint64_t revision, std::uint64_t created) const
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) +
               "\",\"revision\":" + std::to_string(revision) +
               ",\"created\":" + std::to_string(created) + ",\"lease\":0";
    }
    void serve(connection& to, const message& request)
    {
        const auto       target = request.target();
        std::unique_lock lock(mutex_);
        const auto       json = [&](int status, const std::string& body) {
            lock.unlock();
            to.write(answer(status,
                                  "Content-Type: application/json\r\n"
                                        "Store-Era: 1\r\n",
                                  body));
        };
        const auto revision = [this] {
            return "\"currentRev\":" + std::to_string(revision_) + "}";
        };
        if (target.starts_with("/kv-key")) {
            const auto key   = parameter(target, "key");
            const auto found = items_.find(key);
            if (found == items_.end())
                return json(404, "{" + revision());
            const auto& it = found->second;
            return json(200, json_of(key, it.value, it.revision, it.created) +
                                 "," + revision());
        }
        if (target.starts_with("/kv-range")) {
            const auto  prefix = parameter(target, "pathPrefix");
            const auto  after  = parameter(target, "after");
            std::string list;
            for (const auto& [key, it] : items_) {
                if (key.starts_with(prefix) && key > after)
                    list += (list.empty() ? "" : ",") +
                            json_of(key, it.value, it.revision, it.created) +
                            "}";
            }
            return json(200, "{\"items\":[" + list + "],\"morePages\":false," +
                                 revision());
        }
        if (!target.starts_with("/kv-watch"))
            return json(400, "{}");
        const auto  prefix = parameter(target, "pathPrefix");
        const auto  after  = std::stoull("0" + parameter(target, "after"));
        const auto  wait   = std::stoi("0" + parameter(target, "waitMs"));
        std::string list;
        const auto  collect = [&] {
            for (const auto& it : history_) {
                if (it.revision <= after || !it.key.starts_with(prefix))
                    continue;
                list += list.empty() ? "" : ",";
                list +=
                    it.removed
                         ? "{\"key\":\"" + it.key +
                              "\",\"revision\":" + std::to_string(it.revision) +
                              ",\"removed\":true}"
                         : json_of(it.key, it.value, it.revision, it.created) +
                              "}";
            }
            return !list.empty();
        };
        changed_.wait_for(lock, std::chrono::milliseconds(wait),
                          [&] { return closing_ || collect(); });
        json(200, "{\"events\":[" + list + "]," + revision());
    }

    std::mutex                  mutex_;
    std::condition_variable     changed_;
    std::map<std::string, item> items_;
    std::vector<change>         history_;
    std::uint64_t               revision_ = 100;
    std::atomic<bool>           closing_{false};
    server                      server_;
};

/// Value of a replica's entry in the store.
inline std::string entry_of(const std::string& service, int port,
                            const std::string& zone, std::int64_t born,
                            const std::string& state = "ready", int slots = 16,
                            int sequence = 1)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" +
           address_of(port) + "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"" + state +
           "\",\"coldRemainingMs\":0,\"sequence\":" + std::to_string(sequence) +
           ",\"born\":" + std::to_string(born) + "}";
}

/// One gateway, started with the command of the deploy file.
class gateway
{
public:
    gateway(std::string name, std::string zone, std::string folder)
        : name_(std::move(name)), zone_(std::move(zone)),
          folder_(std::move(folder)), front_(free_port()), ready_(free_port()),
          peer_(free_port()), metrics_(free_port())
    {
    }
    ~gateway() { kill(); }
    gateway(const gateway&)            = delete;
    gateway& operator=(const gateway&) = delete;

    const std::string& name() const { return name_; }
    int                front() const { return front_; }
    int                ready_port() const { return ready_; }
    int                peer() const { return peer_; }
    pid_t              pid() const { return pid_; }
    /// Fills in platform/settings.yaml.template as the platform does.
    void write_settings(int store_port, const std::vector<int>& seeds,
                        int memory_mb = 260, int descriptors = 4100) const
    {
        std::string list;
        for (const int it : seeds)
            list += (list.empty() ? "\"" : ",\"") + address_of(it) + "\"";
        std::ofstream(folder_ + "/" + name_ + ".yaml")
            << "node: " << name_ << "\nfailure_domain: " << zone_
            << "\nlisten: " << address_of(front_)
            << "\nready: " << address_of(ready_)
            << "\npeer: " << address_of(peer_)
            << "\nmetrics: " << address_of(metrics_)
            << "\nstore: " << address_of(store_port) << "\nseeds: [" << list
            << "]\nready_path: /readiness\nmax_descriptors: " << descriptors
            << "\nprocessor_share: 0.25\nmemory_mb: " << memory_mb
            << "\nbounds:\n"
               "  drain_grace_s: 8\n  config_in_force_ms: 2000\n"
               "  target_drain_ms: 2000\n  retry_ratio: 0.2\n"
               "  retry_window_s: 10\n  retry_slack: 58\nregions:\n\n"
               "  gp-a: gauteng\n\n  gp-b: gauteng\n\n  gp-c: gauteng\n\n...\n";
    }
    /// Called by the main thread: the process ends with its parent thread.
    void start()
    {
        const char* root = std::getenv("REVIEW_ROOT");
        const auto  program =
            std::string(root ? root : ".") + "/target/arbutusgate-gateway";
        const auto settings = folder_ + "/" + name_ + ".yaml";
        const auto log      = folder_ + "/" + name_ + ".log";
        pid_                = ::fork();
        if (pid_ != 0)
            return;
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::signal(SIGPIPE, SIG_DFL);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::execl(program.c_str(), program.c_str(), "--settings",
                settings.c_str(), nullptr);
        ::_exit(127);
    }
    void send(int signal) const
    {
        if (pid_ > 0)
            ::kill(pid_, signal);
    }
    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(std::exchange(pid_, -1), nullptr, 0);
    }
    /// \return whether the process has ended; sets its wait status.
    bool ended(int& status)
    {
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        return true;
    }
    bool is_ready() const
    {
        const auto to = connection::open(ready_, 500);
        message    it;
        return to &&
               to->write("GET /readiness HTTP/1.1\r\nHost: r\r\n"
                         "Connection: close\r\n\r\n") &&
               to->read(it, now_ms() + 500) && it.status() == 200;
    }
    bool await_ready(double limit_ms = 10'000) const
    {
        for (const auto end = now_ms() + limit_ms; now_ms() < end; pause_ms(50))
        {
            if (is_ready())
                return true;
        }
        return false;
    }

private:
    std::string name_;
    std::string zone_;
    std::string folder_;
    int         front_;
    int         ready_;
    int         peer_;
    int         metrics_;
    pid_t       pid_ = -1;
};

/// A temporary folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        path_       = ::mkdtemp(name);
    }
    ~temporary_folder()
    {
        if (!std::getenv("REVIEW_KEEP"))
            std::system(("rm -rf " + path_).c_str());
    }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// False with TROUBLE=0 in the environment.
inline bool with_trouble()
{
    const char* it = std::getenv("TROUBLE");
    return !it || std::string(it) != "0";
}

} // namespace review2
