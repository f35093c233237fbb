/// Clients, replicas and configuration that the cases of the second review
/// share: a small deployment with a model service behind three stages, and an
/// order service.
#pragma once

#include "kit.hpp"

namespace review2 {

/// What replicas saw of one request.
struct run_seen
{
    int    arrived = 0;
    double at      = 0; ///< Of the latest arrival.
    bool   sound   = true;
};

/// Requests by id, as the replicas saw them.
class run_log
{
public:
    void arrived(const std::string& id, bool sound)
    {
        const std::lock_guard lock(mutex_);
        auto&                 it = runs_[id];
        ++it.arrived;
        it.at    = now_ms();
        it.sound = sound;
    }
    run_seen find(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return runs_[id];
    }

private:
    std::mutex                      mutex_;
    std::map<std::string, run_seen> runs_;
};

inline std::string id_of(const message& it)
{
    return it.header("Arbutusgate-Attempt-Id");
}

inline std::string proof_of(const message& it)
{
    return "Arbutusgate-Attempt-Id: " + id_of(it) +
           "\r\nArbutusgate-Server-Signature: s-" + id_of(it) + "\r\n";
}

/// A route named NAME with the prefix "/NAME/".
inline std::string route_of(const std::string& name, const std::string& type,
                            const std::string& service, int timeout_ms,
                            const std::string& rest)
{
    return "{\"name\":\"" + name +
           "\",\"host\":\"shop.example\",\"pathPrefix\":\"/" + name +
           "/\",\"routeType\":\"" + type +
           "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
           ",\"targetLatencyMs\":1500,\"priority\":1,\"service\":\"" + service +
           "\",\"public\":true" + rest + "}";
}

inline std::string plain_service(const std::string& name)
{
    return "{\"name\":\"" + name +
           "\",\"healthCheck\":\"/health\",\"maxConnections\":110,"
           "\"protocol\":\"h1\",\"tls\":false}";
}

inline std::string model_service(const std::string& name)
{
    return "{\"name\":\"" + name +
           "\",\"healthCheck\":\"/health\",\"maxConnections\":630,"
           "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":128,"
           "\"kvCapacity\":607517,\"stride\":4}}";
}

inline std::string stage_service(const std::string& name)
{
    return "{\"name\":\"" + name +
           "\",\"healthCheck\":\"/health\",\"maxConnections\":630,"
           "\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,"
           "\"queue\":2,\"batch\":90,\"callMs\":150.0,\"itemMs\":1.4,"
           "\"headroomMb\":58.0,\"handleS\":4.0,\"linkMbps\":10000}}";
}

inline std::string configuration_of(const std::string& routes,
                                    const std::string& services)
{
    return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" +
           services +
           "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/// Serves stage calls: 150 ms a call and a little for each piece.
inline void serve_stage(connection& to, const message& it)
{
    static std::atomic<int> next_handle{0};
    if (it.target() != "/stage-run") {
        to.write(answer(200, "Content-Type: application/json\r\n", "{}"));
        return;
    }
    std::string items;
    int         pieces = 0;
    for (auto at = it.body.find("\"piece\":"); at != std::string::npos;
         at      = it.body.find("\"piece\":", at + 1))
    {
        items += (items.empty() ? "" : ",") + std::string("{\"handle\":\"") +
                 it.header("host") + "/" + std::to_string(++next_handle) +
                 "\"}";
        ++pieces;
    }
    pause_ms(150 + 1.4 * pieces);
    to.write(answer(200, "Content-Type: application/json\r\n",
                    "{\"items\":[" + items + "]}"));
}

inline std::string chunk_of(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline std::string event_of(const std::string& id, int n)
{
    return "id: " + std::to_string(n) + "\ndata: " + id + "\n\n";
}

inline std::string request_of(const std::string& method,
                              const std::string& path, const std::string& id,
                              int deadline_ms, const std::string& headers = "",
                              const std::string& body = "")
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nArbutusgate-Attempt-Id: " + id +
           "\r\nArbutusgate-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\n" + headers +
           (method == "GET" ? "\r\n"
                            : "Content-Length: " + std::to_string(body.size()) +
                                  "\r\n\r\n" + body);
}

} // namespace review2
