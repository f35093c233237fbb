/// Configuration in force, and how newer ones are found and fetched.
#pragma once

#include "node_context.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace arbutusgate {

/// Versions only grow. A fresh process takes none before it has heard from a
/// majority of its sample.
class config_tracker
{
public:
    config_tracker(node_context& context, time_point t);

    void tick(time_point t);
    /// \param answer the peer answered a question of this process.
    void on_digest(slot_id from, const pb::ConfigDigest& digest, bool answer,
                   time_point t);
    void on_read(std::uint64_t                      version,
                 std::map<std::string, std::string> documents, time_point t);
    void on_request(slot_id from, const pb::ConfigRequest& request);
    void on_reply(const pb::ConfigReply& reply, time_point t);
    /// \return true when the version came into force.
    bool accept(std::uint64_t version, time_point t);
    void reject(std::uint64_t version, time_point t);

    std::uint64_t version() const { return version_; }
    void          digest(pb::ConfigDigest& out) const;
    /// True when the version is newer and was not rejected.
    bool behind(std::uint64_t version) const
    {
        return version > version_ && !rejected_.contains(version);
    }
    /// True when a fresh process has heard from enough peers.
    bool heard_enough() const;
    /// True when a peer confirmed the digest lately.
    bool confirmed(time_point t) const;
    /// Peers that have not answered yet, for a fresh process.
    std::vector<slot_id> unheard() const;

private:
    using documents = std::map<std::string, std::string>;

    struct fetch
    {
        std::uint64_t version = 0;
        std::string   sha256;
        slot_id       peer;
        time_point    asked;
        bool          whole = false; ///< Ask for every document.
    };

    struct content
    {
        std::uint64_t version = 0;
        documents     texts;
        documents     digests;
        std::string   digest;
    };

    static content make_content(std::uint64_t version, documents texts);
    void           ask(time_point t);
    /// Fills in the text, or its difference to one that the asker has.
    void add_text(const std::string& name, const std::string& known,
                  pb::ConfigDocument& out) const;
    /// \return nothing when the text cannot be made from the own one.
    std::optional<std::string> full_text(const pb::ConfigDocument& it) const;
    /// Keeps the content and offers it to the driver when allowed.
    void offer(content&& it, time_point t);
    void offer_candidate();
    bool wanted(std::uint64_t version) const;

    node_context&           context_;
    std::vector<slot_id>    sample_; ///< Of the slots, the own one included.
    std::set<slot_id>       heard_;
    std::uint64_t           highest_heard_ = 0;
    std::uint64_t           version_       = 0;
    std::uint64_t           offered_       = 0;
    std::uint64_t           conflict_      = 0;
    content                 current_;
    std::deque<content>     earlier_; ///< Were in force; newest first.
    std::optional<content>  candidate_;
    std::optional<fetch>    fetch_;
    std::set<std::uint64_t> rejected_;
    time_point              confirmed_;
};

} // namespace arbutusgate
