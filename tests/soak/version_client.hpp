/// Client of the service with two software versions, which takes its streams up
/// at any gateway until they are whole.
#pragma once

#include "version_targets.hpp"

#include <atomic>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace version_soak {

/// What the clients of a run saw; thread-safe.
struct version_counts
{
    std::atomic<int> begun{0};     ///< New streams with an event.
    std::atomic<int> not_begun{0}; ///< New streams without, at calm gateways.
    std::atomic<int> begun_calm{0};
    std::atomic<int> taken_up{0}; ///< At any gateway.
    /// At calm gateways, while two targets of the version serve.
    std::atomic<int> continued{0};
    std::atomic<int> not_continued{0};
    std::atomic<int> refused{0}; ///< For good, at any gateway.
    std::atomic<int> joined{0};  ///< Streams with events of two versions.

    /// The rule: the share of take-ups that go on is at least half of the share
    /// of new streams that begin, once there are 12.
    bool loses_streams() const
    {
        constexpr int min_taken_up = 12;
        const int     taken        = continued + not_continued;
        const int     sent         = begun_calm + not_begun;
        return taken >= min_taken_up && sent > 0 &&
               2.0 * continued / taken < 1.0 * begun_calm / sent;
    }
};

struct gateway_view
{
    int port = 0;
    /// Whether it has run without disturbance for three seconds.
    std::function<bool()> calm;
};

class version_client
{
public:
    version_client(std::vector<gateway_view> gateways, version_targets& targets,
                   version_counts&                         counts,
                   std::function<void(const std::string&)> violation,
                   unsigned seed, int number)
        : gateways_(std::move(gateways)), targets_(targets), counts_(counts),
          violation_(std::move(violation)),
          random_(seed * 20'011 + static_cast<unsigned>(number)),
          name_("v" + std::to_string(number) + "-")
    {
    }

    void run(const std::atomic<bool>& stop)
    {
        while (!stop) {
            stream it;
            for (int n = 0; n < max_tries && !it.whole && !it.refused; ++n) {
                // All gateways are down for a moment.
                while (!stop && !attempt(it))
                    review::pause_for(connect_interval_ms);
            }
            if (it.versions.size() > 1) {
                ++counts_.joined;
                violation_("stream " + it.attempt +
                           " holds events of two software versions");
            }
        }
    }

private:
    static constexpr int max_tries           = 8;
    static constexpr int timeout_ms          = 8000;
    static constexpr int connect_interval_ms = 50;

    struct stream
    {
        std::string           attempt; ///< That brought the first event.
        int                   last_id = 0;
        bool                  whole   = false;
        bool                  refused = false;
        std::set<std::string> versions;
    };

    /// \return false if the gateway accepts no connection.
    bool attempt(stream& it)
    {
        const auto& at      = gateways_[random_() % gateways_.size()];
        const auto  id      = name_ + std::to_string(++next_);
        const bool  resumes = it.last_id > 0;
        const bool  serving =
            resumes && targets_.ready(*it.versions.begin()) >= 2;
        const bool calm = at.calm();
        const auto to   = review::connection::open(at.port);
        if (!to)
            return false;
        to->set_timeout(timeout_ms);
        const auto      before = it.last_id;
        review::message answer;
        to->write(text_of(it, id));
        const bool whole = to->read_head(answer) &&
                           to->read_body(answer, [&](const auto& part) {
                               answer.body += part;
                           });
        if (answer.status() == 200)
            add_events(it, id, answer.body);
        it.whole = whole && answer.status() == 200 &&
                   it.last_id == version_targets::events;
        it.refused            = whole && answer.status() != 200 && resumes;
        const bool moved      = it.last_id > before;
        const bool still_calm = calm && at.calm();
        if (!resumes) {
            counts_.begun += moved ? 1 : 0;
            if (still_calm)
                ++(moved ? counts_.begun_calm : counts_.not_begun);
            return true;
        }
        ++counts_.taken_up;
        counts_.refused += it.refused ? 1 : 0;
        if (still_calm && serving && targets_.ready(*it.versions.begin()) >= 2)
            ++(moved ? counts_.continued : counts_.not_continued);
        return true;
    }
    std::string text_of(const stream& it, const std::string& id) const
    {
        return "POST /sided/x HTTP/1.1\r\nHost: soak.example\r\n"
               "Arbutusgate-Attempt-Id: " +
               id +
               "\r\nArbutusgate-Deadline-Ms: " + std::to_string(timeout_ms) +
               "\r\nArbutusgate-Model: m\r\n"
               "Arbutusgate-Token-Usage: 100,20\r\n"
               "Arbutusgate-Prompt-Prefix: aa:50," +
               id + ":50\r\nConnection: close\r\n" +
               (it.last_id > 0
                    ? "Last-Event-Id: " + std::to_string(it.last_id) +
                          "\r\nResumes: " + it.attempt + "\r\n"
                    : "") +
               "Content-Length: 4\r\n\r\nbody";
    }
    void add_events(stream& it, const std::string& id, const std::string& body)
    {
        const std::string mark = "\ndata: ";
        for (auto start = body.find("id: "); start != std::string::npos;
             start      = body.find("id: ", start + 1))
        {
            const auto data = body.find(mark, start);
            const auto end  = body.find("\n\n", start);
            if (data == std::string::npos || end == std::string::npos)
                return;
            const int n = std::atoi(body.c_str() + start + 4);
            if (n != it.last_id + 1)
                violation_("stream " + it.attempt + " goes on at event " +
                           std::to_string(n) + " after " +
                           std::to_string(it.last_id));
            if (it.last_id == 0)
                it.attempt = id;
            it.last_id = n;
            it.versions.insert(
                body.substr(data + mark.size(), end - data - mark.size()));
        }
    }

    std::vector<gateway_view>               gateways_;
    version_targets&                        targets_;
    version_counts&                         counts_;
    std::function<void(const std::string&)> violation_;
    std::mt19937                            random_;
    std::string                             name_;
    int                                     next_ = 0;
};

} // namespace version_soak
