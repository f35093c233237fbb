/// Stand-in of the platform's store. It reads request targets as strictly as a
/// server of HTTP does, and its lists may span many pages.
#pragma once

#include "absl/strings/escaping.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace arbutusgate::test {

/// Keys and values are any bytes; keys are sorted by bytes. Threads may share
/// one object.
class strict_store
{
public:
    /// \param page_items largest number of items in a page.
    explicit strict_store(std::size_t page_items = 500)
        : page_items_(page_items)
    {
    }

    void put(const std::string& key, const std::string& value)
    {
        change({key, value, 0, false});
    }
    void remove(const std::string& key) { change({key, "", 0, true}); }
    /// From now on each list begins with the first page, whatever it is asked.
    void repeat_first_page()
    {
        const std::lock_guard lock(mutex_);
        repeats_first_page_ = true;
    }
    /// From now on the lists below the prefix are empty pages, each of which
    /// states that more follow.
    void send_empty_pages(std::string prefix)
    {
        const std::lock_guard lock(mutex_);
        empty_prefix_ = std::move(prefix);
    }

    /// Responds to a request. A watch waits until there is a change or its time
    /// has passed.
    /// \param start first line of the request, without the line break.
    std::string respond(std::string_view start)
    {
        std::unique_lock lock(mutex_);
        ++requests_;
        const auto it = read_request(start);
        if (!it) {
            ++refused_;
            return response("400 Bad Request", "{}");
        }
        if (it->path == "/kv-key")
            return read_item(it->parameters.at("key"));
        if (it->path == "/kv-range")
            return list(it->parameters);
        return watch(it->parameters, lock);
    }

    /// Requests so far.
    int requests() const
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }
    /// Requests that no server of HTTP accepts.
    int refused() const
    {
        const std::lock_guard lock(mutex_);
        return refused_;
    }

private:
    using parameter_map = std::map<std::string, std::string, std::less<>>;

    struct item
    {
        std::string   key;
        std::string   value;
        std::uint64_t revision = 0;
        bool          removed  = false;
    };
    struct request
    {
        std::string   path;
        parameter_map parameters;
    };

    static bool in(char it, std::string_view set)
    {
        return set.find(it) != set.npos;
    }
    static bool is_digit_or_letter(char it)
    {
        return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') ||
               (it >= 'A' && it <= 'Z');
    }
    /// Decodes a name or value of a query: RFC 3986, 3.4, with "+" for a blank.
    static std::optional<std::string> decode(std::string_view text)
    {
        std::string out;
        while (!text.empty()) {
            const auto it = text.front();
            text.remove_prefix(1);
            if (it == '%') {
                constexpr std::string_view digits = "0123456789abcdefABCDEF";
                if (text.size() < 2 || !in(text[0], digits) ||
                    !in(text[1], digits))
                    return std::nullopt;
                out += static_cast<char>(
                    std::stoi(std::string(text.substr(0, 2)), nullptr, 16));
                text.remove_prefix(2);
            }
            else if (it == '+') {
                out += ' ';
            }
            else if (is_digit_or_letter(it) || in(it, "-._~!$'()*,;:@/?")) {
                out += it;
            }
            else {
                return std::nullopt;
            }
        }
        return out;
    }
    static std::optional<parameter_map> read_query(std::string_view text)
    {
        parameter_map out;
        for (;;) {
            const auto end    = text.find('&');
            const auto part   = text.substr(0, end);
            const auto equals = part.find('=');
            if (equals == part.npos)
                return std::nullopt;
            const auto name  = decode(part.substr(0, equals));
            const auto value = decode(part.substr(equals + 1));
            if (!name || !value || !out.emplace(*name, *value).second)
                return std::nullopt;
            if (end == text.npos)
                return out;
            text.remove_prefix(end + 1);
        }
    }
    /// \return nothing for a request line that is not valid, an unknown path,
    /// or parameters that the path does not take.
    static std::optional<request> read_request(std::string_view start)
    {
        constexpr std::string_view method  = "GET ";
        constexpr std::string_view version = " HTTP/1.1";
        if (!start.starts_with(method) || !start.ends_with(version))
            return std::nullopt;
        start.remove_prefix(method.size());
        start.remove_suffix(version.size());
        const auto query = start.find('?');
        if (query == start.npos)
            return std::nullopt;
        request    out{std::string(start.substr(0, query)), {}};
        const auto parameters = read_query(start.substr(query + 1));
        if (!parameters)
            return std::nullopt;
        out.parameters = *parameters;
        // Required parameters first, then the optional one.
        const std::vector<std::string> names =
            out.path == "/kv-key" ? std::vector<std::string>{"key", ""}
            : out.path == "/kv-range"
                ? std::vector<std::string>{"pathPrefix", "after"}
            : out.path == "/kv-watch"
                ? std::vector<std::string>{"pathPrefix", "after", "waitMs", ""}
                : std::vector<std::string>{};
        if (names.empty())
            return std::nullopt;
        const auto required = static_cast<std::size_t>(std::count_if(
            names.begin(), std::prev(names.end()),
            [&](const auto& it) { return out.parameters.contains(it); }));
        const bool optional = out.parameters.contains(names.back());
        if (required + 1 != names.size() ||
            out.parameters.size() != required + (optional ? 1 : 0))
            return std::nullopt;
        return out;
    }

    /// A JSON string. Bytes of a surrogate become its escape, which is JSON but
    /// no Unicode; other bytes stay as they are.
    static std::string json_string(std::string_view text)
    {
        std::string out = "\"";
        for (std::size_t n = 0; n < text.size(); ++n) {
            const auto byte = [&](std::size_t at) {
                return at < text.size() ? static_cast<unsigned char>(text[at])
                                        : 0U;
            };
            char escape[8];
            if (byte(n) < 0x20 || in(text[n], "\"\\")) {
                std::snprintf(escape, sizeof escape, "\\u%04x", byte(n));
                out += escape;
            }
            else if (byte(n) == 0xed && byte(n + 1) >= 0xa0) {
                std::snprintf(escape, sizeof escape, "\\u%04x",
                              0xd000 | (byte(n + 1) & 0x3fU) << 6U |
                                  (byte(n + 2) & 0x3fU));
                out += escape;
                n += 2;
            }
            else {
                out += text[n];
            }
        }
        return out + "\"";
    }
    static std::string json_object(const item& it)
    {
        const auto head = "{\"key\":" + json_string(it.key) +
                          ",\"revision\":" + std::to_string(it.revision);
        if (it.removed)
            return head + ",\"removed\":true";
        return head + ",\"value\":\"" + absl::Base64Escape(it.value) +
               "\",\"created\":1,\"lease\":0";
    }
    static std::string response(const std::string& status,
                                const std::string& body)
    {
        return "HTTP/1.1 " + status +
               "\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string revision_field() const
    {
        return ",\"currentRev\":" + std::to_string(revision_) + "}";
    }

    void change(item it)
    {
        const std::lock_guard lock(mutex_);
        it.revision = ++revision_;
        if (it.removed)
            items_.erase(it.key);
        else
            items_[it.key] = it;
        history_.push_back(std::move(it));
        changed_.notify_all();
    }
    std::string read_item(const std::string& key) const
    {
        const auto found = items_.find(key);
        if (found == items_.end())
            return response("404 Not Found", "{}");
        return response("200 OK",
                        json_object(found->second) + revision_field());
    }
    std::string list(const parameter_map& parameters) const
    {
        const auto& prefix = parameters.at("pathPrefix");
        const bool  empty  = empty_prefix_ == prefix;
        const auto  after  = parameters.find("after");
        auto        it     = after == parameters.end() || repeats_first_page_
                                 ? items_.lower_bound(prefix)
                                 : items_.upper_bound(std::max(prefix, after->second));
        std::string body   = "{\"items\":[";
        for (std::size_t n = 0;
             it != items_.end() && !empty && n < page_items_ &&
             it->first.starts_with(prefix);
             ++n, ++it)
            body += (n > 0 ? "," : "") + json_object(it->second) + "}";
        const bool more =
            empty || (it != items_.end() && it->first.starts_with(prefix));
        return response("200 OK",
                        body + "],\"morePages\":" + (more ? "true" : "false") +
                            revision_field());
    }
    std::string watch(const parameter_map&          parameters,
                      std::unique_lock<std::mutex>& lock)
    {
        const auto& prefix = parameters.at("pathPrefix");
        const auto  after  = std::stoull("0" + parameters.at("after"));
        const std::chrono::milliseconds wait{
            std::stoi("0" + parameters.at("waitMs"))};
        changed_.wait_for(lock, wait, [&] { return revision_ > after; });
        std::string body;
        for (const auto& it : history_) {
            if (it.revision > after && it.key.starts_with(prefix))
                body += (body.empty() ? "" : ",") + json_object(it) + "}";
        }
        return response("200 OK",
                        "{\"events\":[" + body + "]" + revision_field());
    }

    const std::size_t                        page_items_;
    mutable std::mutex                       mutex_;
    std::condition_variable                  changed_;
    std::map<std::string, item, std::less<>> items_;
    std::vector<item>                        history_;
    std::uint64_t                            revision_           = 100;
    int                                      requests_           = 0;
    int                                      refused_            = 0;
    bool                                     repeats_first_page_ = false;
    std::optional<std::string>               empty_prefix_;
};

} // namespace arbutusgate::test
