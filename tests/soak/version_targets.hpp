/// Model targets of two software versions in one service. Their events name the
/// version, and targets move from one version to the other.
#pragma once

#include "kit.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace version_soak {

/// Thread-safe.
class version_targets
{
public:
    static constexpr int  events       = 8; ///< Of a stream.
    static constexpr auto service_name = "sided";

    /// \param publish writes an entry, or removes one if its value is empty.
    using publish_function =
        std::function<void(const std::string& key, const std::string& value)>;

    version_targets(publish_function publish, unsigned seed)
        : publish_(std::move(publish)), random_(seed)
    {
        for (std::size_t n = 0; n < count; ++n) {
            slots_[n].version = n % 2 == 0 ? "v1" : "v2";
            slots_[n].server  = std::make_unique<review::server>(
                [this, n](review::connection& to, const review::message& it) {
                    serve(n, to, it);
                });
            begin(n);
        }
    }

    /// Targets of a version that take new streams.
    int ready(const std::string& version)
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(
            std::count_if(slots_.begin(), slots_.end(), [&](const auto& it) {
                return it.version == version && it.leaving_at < 0;
            }));
    }
    /// Lets a target leave and, later, come back with the other version. Two
    /// targets of each version stay.
    void change_versions(double now)
    {
        const std::lock_guard lock(mutex_);
        for (std::size_t n = 0; n < count; ++n) {
            auto& it = slots_[n];
            if (it.leaving_at < 0 || now - it.leaving_at < drain_ms)
                continue;
            publish_("servers/" + it.id, "");
            it.version    = it.version == "v1" ? "v2" : "v1";
            it.leaving_at = -1;
            begin(n);
        }
        if (now < next_change_at_)
            return;
        next_change_at_ = now + change_interval_ms;
        auto&      it   = slots_[random_() % count];
        const auto same =
            std::count_if(slots_.begin(), slots_.end(), [&](const auto& other) {
                return other.version == it.version && other.leaving_at < 0;
            });
        if (it.leaving_at >= 0 || same <= 2)
            return;
        it.leaving_at = now;
        publish_("servers/" + it.id, entry_of(it, "draining"));
    }

private:
    static constexpr std::size_t count              = 6;
    static constexpr double      drain_ms           = 4000;
    static constexpr double      change_interval_ms = 5000;
    static constexpr int         event_interval_ms  = 80;

    struct slot
    {
        std::string                     version;
        std::string                     id;
        double                          leaving_at = -1; ///< Not leaving.
        std::unique_ptr<review::server> server;
    };

    std::string entry_of(const slot& it, const std::string& state) const
    {
        auto out = review::server_entry(service_name, it.server->port(), "z-a",
                                        128, review::unix_ms(), state);
        const std::string mark = "\"version\":\"v1\"";
        return out.replace(out.find(mark), mark.size(),
                           "\"version\":\"" + it.version + "\"");
    }
    void begin(std::size_t n)
    {
        auto& it = slots_[n];
        it.id    = "sided-" + std::to_string(++next_id_);
        publish_("servers/" + it.id, entry_of(it, "ready"));
    }
    /// A sixth of the streams that begin break off after three events.
    void serve(std::size_t n, review::connection& to, const review::message& it)
    {
        std::string version;
        std::string id;
        bool        breaks = false;
        {
            const std::lock_guard lock(mutex_);
            version = slots_[n].version;
            id      = slots_[n].id;
            breaks  = random_() % 6 == 0;
        }
        if (it.header("arbutusgate-expect-replica") != id) {
            to.write("HTTP/1.1 421 Misdirected Request\r\n"
                     "Arbutusgate-Attempt-Id: " +
                     it.header("arbutusgate-attempt-id") +
                     "\r\nArbutusgate-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
            return;
        }
        const auto first = 1 + std::atoi(it.header("last-event-id").c_str());
        bool open = to.write(review::answer_head(it, "text/event-stream") +
                             "Transfer-Encoding: chunked\r\n\r\n");
        for (int k = first; open && k <= events; ++k) {
            review::pause_for(event_interval_ms);
            open = to.write(review::chunk("id: " + std::to_string(k) +
                                          "\ndata: " + version + "\n\n"));
            if (breaks && k == first + 2) {
                to.shut();
                return;
            }
        }
        if (open)
            to.write("0\r\n\r\n");
        else
            to.shut();
    }

    publish_function        publish_;
    std::mutex              mutex_;
    std::mt19937            random_;
    std::array<slot, count> slots_;
    int                     next_id_        = 0;
    double                  next_change_at_ = 0;
};

} // namespace version_soak
