/// Configuration version in force, and the search for newer ones.
#pragma once

#include "node_context.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace arbutusgate {

/// Learns of newer configuration versions from peers and from the service,
/// fetches their documents and offers them to the driver. Version numbers only
/// increase. A new process offers none before a majority of its peer sample has
/// replied.
class config_tracker
{
public:
    config_tracker(node_context& context, time_point t);

    void tick(time_point t);
    /// \param is_reply True when the digest replies to a request of this
    /// process.
    void on_digest(slot_id from, const pb::ConfigDigest& digest, bool is_reply,
                   time_point t);
    void on_read(std::uint64_t                      version,
                 std::map<std::string, std::string> documents, time_point t);
    void on_request(slot_id from, const pb::ConfigRequest& request);
    void on_reply(const pb::ConfigReply& reply, time_point t);
    /// \return true when the version is in force now.
    bool accept(std::uint64_t version, time_point t);
    void reject(std::uint64_t version, time_point t);

    std::uint64_t version() const { return version_; }
    void          digest(pb::ConfigDigest& out) const;
    /// True when the version is newer than the one in force and was not
    /// rejected.
    bool behind(std::uint64_t version) const
    {
        return version > version_ && !rejected_.contains(version);
    }
    /// True when a majority of the peer sample has replied.
    bool majority_replied() const;
    /// True when a peer or the service confirmed the version in force within
    /// limits::config_confirmation_validity.
    bool confirmed(time_point t) const;
    /// Peers of the sample that have not replied yet.
    std::vector<slot_id> pending_peers() const;

private:
    using documents = std::map<std::string, std::string>;

    struct fetch
    {
        std::uint64_t version = 0;
        std::string   sha256;
        slot_id       peer;
        time_point    requested;
        bool whole_documents = false; ///< Request whole documents, no deltas.
    };

    struct content
    {
        std::uint64_t version = 0;
        documents     texts;
        documents     digests;
        std::string   digest;
    };

    static content make_content(std::uint64_t version, documents texts);
    void           send_request(time_point t);
    /// Writes the text, or its delta to the version that the requester has.
    void add_text(const std::string& name, const std::string& known,
                  pb::ConfigDocument& out) const;
    /// Returns the text of a received document, with its delta applied.
    /// \return nothing when the delta does not fit the document in force.
    std::optional<std::string> full_text(const pb::ConfigDocument& it) const;
    /// Stores the content as candidate and offers it to the driver if allowed.
    void offer(content&& it, time_point t);
    /// Does nothing while a new process waits for its peers' versions.
    void offer_candidate();
    /// True when the version is newer than the ones in force, offered and
    /// stored as candidate, and was not rejected.
    bool is_new_candidate(std::uint64_t version) const;

    node_context&          context_;
    std::vector<slot_id>   sample_; ///< Own slot, and the peers asked at start.
    std::set<slot_id>      replied_;
    std::uint64_t          highest_reported_ = 0;
    std::uint64_t          version_          = 0;
    std::uint64_t          offered_          = 0;
    std::uint64_t          conflict_         = 0;
    content                current_;
    std::deque<content>    previous_; ///< Previously in force, newest first.
    std::optional<content> candidate_;
    std::optional<fetch>   fetch_;
    std::set<std::uint64_t> rejected_;
    time_point              last_confirmed_;
};

} // namespace arbutusgate
