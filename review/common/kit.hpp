/// Stand-ins for the scripts of the review: the platform's store, servers and
/// clients of HTTP/1.1, and the project's gateway as a separate process.
/// Everything listens on loopback addresses and free ports.
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

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Results of a script, as its exit code.
enum exit_code
{
    held      = 0,
    broken    = 1,
    could_not = 2,
};

inline void pause_for(int ms)
{
    std::this_thread::sleep_for(milliseconds{ms});
}

/// record.txt: what was sent, answered and run, with the time since start.
class record
{
public:
    explicit record(const char* path)
        : file_(std::fopen(path, "w")), start_(clock_type::now())
    {
    }
    __attribute__((format(printf, 2, 3))) void say(const char* format, ...)
    {
        char    line[1024];
        va_list list;
        va_start(list, format);
        std::vsnprintf(line, sizeof line, format, list);
        va_end(list);
        const std::lock_guard lock(mutex_);
        if (!file_)
            return;
        std::fprintf(file_, "%9.1f ms  %s\n", elapsed_ms(), line);
        std::fflush(file_);
    }
    double elapsed_ms() const
    {
        return std::chrono::duration<double, std::milli>(clock_type::now() -
                                                         start_)
            .count();
    }

private:
    std::FILE*             file_;
    clock_type::time_point start_;
    std::mutex             mutex_;
};

/// \return a listening socket on a free port of 127.0.0.1, or on \p port.
inline int listen_on(int& port)
{
    const int fd  = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at{};
    at.sin_family      = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port        = htons(static_cast<std::uint16_t>(port));
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, 512) != 0)
    {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

/// \return a port that was free a moment ago, below those that the system gives
/// to connections.
inline int free_port()
{
    constexpr int first = 10'000;
    constexpr int count = 20'000;
    static int    next  = static_cast<int>(::getpid()) * 61 % count;
    for (;;) {
        next     = (next + 1) % count;
        int port = first + next;
        if (const int fd = listen_on(port); fd >= 0) {
            ::close(fd);
            return port;
        }
    }
}

inline std::string address_of(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// One HTTP message. Names of headers are in lower case.
struct message
{
    std::string                                      start; ///< First line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string                                      body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (key == name)
                return value;
        }
        return "";
    }
    bool has(const std::string& name) const
    {
        return std::any_of(headers.begin(), headers.end(),
                           [&](const auto& it) { return it.first == name; });
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    int status() const
    {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }
};

class connection
{
public:
    explicit connection(int fd) : fd_(fd)
    {
        const int yes = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    ~connection() { close(); }
    connection(const connection&)            = delete;
    connection& operator=(const connection&) = delete;

    static std::shared_ptr<connection> open(int port)
    {
        const int   fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family      = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port        = htons(static_cast<std::uint16_t>(port));
        if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_shared<connection>(fd);
    }
    /// Receiving fails after this time without a byte.
    void set_timeout(int ms)
    {
        const timeval it{ms / 1000, (ms % 1000) * 1000};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &it, sizeof it);
    }
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
    /// \return false at the end of the connection, at the timeout or after an
    /// error.
    bool fill()
    {
        char       bytes[16 * 1024];
        const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
        open_        = open_ && (n > 0 || (n < 0 && errno == EAGAIN));
        if (n <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    std::optional<std::string> line()
    {
        for (;;) {
            const auto at = buffer_.find("\r\n");
            if (at != std::string::npos) {
                auto out = buffer_.substr(0, at);
                buffer_.erase(0, at + 2);
                return out;
            }
            if (!fill())
                return std::nullopt;
        }
    }
    bool take(std::size_t n, std::string& out)
    {
        while (buffer_.size() < n) {
            if (!fill())
                return false;
        }
        out += buffer_.substr(0, n);
        buffer_.erase(0, n);
        return true;
    }
    bool read_head(message& it)
    {
        const auto first = line();
        if (!first)
            return false;
        it.start = *first;
        for (;;) {
            const auto text = line();
            if (!text)
                return false;
            if (text->empty())
                return true;
            const auto colon = text->find(':');
            auto       name  = text->substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const auto from = text->find_first_not_of(' ', colon + 1);
            it.headers.emplace_back(
                name, from == std::string::npos ? "" : text->substr(from));
        }
    }
    /// \param on_part is called with each part of the body.
    /// \return false when the body ends early.
    bool read_body(message&                                       it,
                   const std::function<void(const std::string&)>& on_part = {})
    {
        if (it.header("transfer-encoding") == "chunked") {
            for (;;) {
                const auto size = line();
                if (!size)
                    return false;
                const auto  n = std::stoul(*size, nullptr, 16);
                std::string part;
                if (!take(n, part) || !line())
                    return false;
                if (n == 0)
                    return true;
                if (on_part)
                    on_part(part);
                else
                    it.body += part;
            }
        }
        const auto length = it.header("content-length");
        return length.empty() || take(std::stoul(length), it.body);
    }
    bool read(message& it) { return read_head(it) && read_body(it); }
    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }
    /// Ends the connection for the threads that use it.
    void shut() { ::shutdown(fd_, SHUT_RDWR); }

    /// \return false once the peer has closed, as far as it was read.
    bool is_open() const { return open_; }

    /// Answer that a server sends once more, before the next one.
    std::string extra_answer;

private:
    int         fd_;
    std::string buffer_;
    bool        open_ = true;
};

using connection_ptr = std::shared_ptr<connection>;

/// Serves each connection on a thread of its own. stop() is what others see of
/// the end of a process: its port refuses and its connections are closed.
class server
{
public:
    using handler = std::function<void(connection&, const message&)>;

    /// \param serve answers one request.
    explicit server(handler serve) : serve_(std::move(serve)) { start(); }

    int  port() const { return port_; }
    bool start()
    {
        const int fd = listen_on(port_);
        if (fd < 0)
            return false;
        listener_ = fd;
        std::thread([this, fd] { accept_loop(fd); }).detach();
        return true;
    }
    void stop()
    {
        const std::lock_guard lock(mutex_);
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        for (const auto& it : open_) {
            if (const auto found = it.lock())
                found->shut();
        }
        open_.clear();
    }

private:
    void accept_loop(int listener)
    {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const auto it = std::make_shared<connection>(fd);
            {
                const std::lock_guard lock(mutex_);
                open_.push_back(it);
            }
            std::thread([this, it] {
                for (message request; it->read(request); request = {})
                    serve_(*it, request);
                it->shut();
            }).detach();
        }
    }

    handler                                serve_;
    int                                    port_     = 0;
    int                                    listener_ = -1;
    std::mutex                             mutex_;
    std::vector<std::weak_ptr<connection>> open_;
};

inline std::string base64(const std::string& text)
{
    constexpr const char* digits =
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
                n + k > text.size() ? '=' : digits[bits >> (18 - 6 * k) & 63U];
    }
    return out;
}

inline std::string json_answer(const std::string& body, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) +
           (status == 200 ? " OK" : " Not Found") +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: reads, lists and watches, linearizable.
class store
{
public:
    store()
        : server_([this](connection& to, const message& it) { serve(to, it); })
    {
    }
    std::string address() const { return address_of(server_.port()); }
    void        put(const std::string& key, const std::string& value)
    {
        change({key, value, 0, 0, false});
    }
    void remove(const std::string& key) { change({key, "", 0, 0, true}); }

private:
    struct item
    {
        std::string   key;
        std::string   value;
        std::uint64_t revision = 0;
        std::uint64_t created  = 0;
        bool          removed  = false;
    };

    void change(item it)
    {
        const std::lock_guard lock(mutex_);
        it.revision      = ++revision_;
        const auto known = items_.find(it.key);
        it.created =
            known == items_.end() ? it.revision : known->second.created;
        if (it.removed)
            items_.erase(it.key);
        else
            items_[it.key] = it;
        history_.push_back(it);
        changed_.notify_all();
    }
    static std::string text_of(const item& it)
    {
        const auto head = "{\"key\":\"" + it.key +
                          "\",\"revision\":" + std::to_string(it.revision);
        if (it.removed)
            return head + ",\"removed\":true}";
        return head + ",\"value\":\"" + base64(it.value) +
               "\",\"created\":" + std::to_string(it.created) + ",\"lease\":0";
    }
    static std::string query(const std::string& target, const std::string& name)
    {
        const auto from = target.find(name + "=");
        if (from == std::string::npos)
            return "";
        const auto start = from + name.size() + 1;
        return target.substr(start, target.find('&', start) - start);
    }
    void serve(connection& to, const message& it)
    {
        const auto       target = it.target();
        std::unique_lock lock(mutex_);
        const auto       now_at = [this] {
            return ",\"currentRev\":" + std::to_string(revision_) + "}";
        };
        std::string body;
        int         status = 200;
        if (target.starts_with("/kv-key")) {
            const auto found = items_.find(query(target, "key"));
            status           = found == items_.end() ? 404 : 200;
            body = status == 200 ? text_of(found->second) + now_at() : "{}";
        }
        else if (target.starts_with("/kv-range")) {
            const auto prefix = query(target, "pathPrefix");
            body              = "{\"items\":[";
            for (const auto& [key, entry] : items_) {
                if (key.starts_with(prefix))
                    body +=
                        (body.ends_with('[') ? "" : ",") + text_of(entry) + "}";
            }
            body += "],\"morePages\":false" + now_at();
        }
        else {
            const auto after = std::stoull("0" + query(target, "after"));
            const milliseconds wait{std::stoi("0" + query(target, "waitMs"))};
            changed_.wait_for(lock, wait, [&] { return revision_ > after; });
            body = "{\"events\":[";
            for (const auto& entry : history_) {
                if (entry.revision > after)
                    body += (body.ends_with('[') ? "" : ",") + text_of(entry) +
                            (entry.removed ? "" : "}");
            }
            body += "]" + now_at();
        }
        lock.unlock();
        to.write(json_answer(body, status));
    }

    std::mutex                  mutex_;
    std::condition_variable     changed_;
    std::map<std::string, item> items_;
    std::vector<item>           history_;
    std::uint64_t               revision_ = 100;
    server                      server_;
};

/// Entry of a server in the store.
inline std::string server_entry(const std::string& service, int port,
                                const std::string& zone, int slots,
                                std::int64_t       born,
                                const std::string& state = "ready")
{
    return "{\"service\":\"" + service + "\",\"address\":\"" +
           address_of(port) + "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"" + state +
           "\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":" +
           std::to_string(born) + "}";
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// The gateways, started with the command of the deploy file.
class fleet
{
public:
    struct node
    {
        std::string zone;
        int         front   = 0;
        int         ready   = 0;
        int         control = 0;
        int         metrics = 0;
        pid_t       pid     = -1;
        std::string settings;
    };

    fleet(std::vector<std::string> zones, std::string store)
    {
        char path[] = "/tmp/review-XXXXXX";
        folder_     = ::mkdtemp(path);
        std::string seeds;
        for (const auto& zone : zones) {
            node it{zone,        free_port(), free_port(), free_port(),
                    free_port(), -1,          ""};
            seeds +=
                (seeds.empty() ? "\"" : ",\"") + address_of(it.control) + "\"";
            nodes_.push_back(it);
        }
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            auto& it    = nodes_[n];
            it.settings = folder_ + "/" + std::to_string(n) + ".yaml";
            std::ofstream out(it.settings);
            out << "node: front-" << it.zone << "-" << n
                << "\nfailure_domain: " << it.zone
                << "\nlisten: " << address_of(it.front)
                << "\nready: " << address_of(it.ready)
                << "\npeer: " << address_of(it.control)
                << "\nmetrics: " << address_of(it.metrics)
                << "\nstore: " << store << "\nseeds: [" << seeds
                << "]\nready_path: /readiness\nmax_descriptors: 4100\n"
                   "processor_share: 0.25\nbounds:\n  drain_grace_s: 8\n"
                   "  config_in_force_ms: 2000\n  target_drain_ms: 2000\n"
                   "  retry_ratio: 0.2\n  retry_window_s: 10\n"
                   "  retry_slack: 58\n";
        }
    }
    ~fleet() { stop(); }

    const node& at(std::size_t n) const { return nodes_[n]; }
    std::size_t size() const { return nodes_.size(); }

    /// Starts the gateways and waits until all are ready.
    bool start()
    {
        for (auto& it : nodes_)
            launch(it);
        for (int n = 0; n < 200; ++n) {
            if (std::all_of(nodes_.begin(), nodes_.end(),
                            [](const auto& it) { return is_ready(it); }))
            {
                pause_for(1500);
                return true;
            }
            pause_for(50);
        }
        return false;
    }
    void stop()
    {
        for (auto& it : nodes_) {
            if (it.pid > 0) {
                ::kill(it.pid, SIGKILL);
                ::waitpid(it.pid, nullptr, 0);
                it.pid = -1;
            }
        }
        if (!folder_.empty() && !std::getenv("REVIEW_KEEP")) {
            for (std::size_t n = 0; n < nodes_.size(); ++n) {
                ::unlink(nodes_[n].settings.c_str());
                ::unlink((nodes_[n].settings + ".log").c_str());
            }
            ::rmdir(folder_.c_str());
        }
        folder_.clear();
    }
    static bool is_ready(const node& it)
    {
        const auto to = connection::open(it.ready);
        if (!to)
            return false;
        to->set_timeout(500);
        message answer;
        return to->write("GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n") &&
               to->read(answer) && answer.status() == 200;
    }

private:
    static void launch(node& it)
    {
        const auto log = it.settings + ".log";
        it.pid         = ::fork();
        if (it.pid != 0)
            return;
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::signal(SIGPIPE, SIG_DFL);
        // The gateway ends with the script, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::execl("target/arbutusgate-gateway", "arbutusgate-gateway",
                "--settings", it.settings.c_str(), nullptr);
        ::_exit(127);
    }

    std::string       folder_;
    std::vector<node> nodes_;
};

/// \return false when TROUBLE=0 asks for a run without the disruption.
inline bool with_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// Head of a server's answer. The server's proof holds the id that it answers.
inline std::string answer_head(const message& to, const std::string& type)
{
    const auto id = to.header("arbutusgate-attempt-id");
    return "HTTP/1.1 200 OK\r\nArbutusgate-Attempt-Id: " + id +
           "\r\nArbutusgate-Server-Signature: proof." + id +
           "\r\nContent-Type: " + type + "\r\n";
}

inline std::string chunk(const std::string& text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

/// Ends the process and the gateways. The threads of the stand-ins still run,
/// so that no destructor may.
[[noreturn]] inline void finish(fleet& gateways, record& out, int code)
{
    gateways.stop();
    out.say("result: %s", code == held     ? "the rule held"
                          : code == broken ? "the rule was broken"
                                           : "the case could not run");
    ::_exit(code);
}

} // namespace review
