#pragma once

#include <deque>
#include <optional>
#include <set>

#include "membership/messages.h"

namespace chervilslip::membership {

/// How membership is judged.
struct view_options {
    common::milliseconds suspect_time{2500};  ///< without a heartbeat a peer counts as gone
    common::milliseconds memory_time{900000}; ///< how far back homes are remembered

    friend bool operator==(const view_options&, const view_options&) = default;
};

/// What one node knows of its peers. No agreement among nodes is assumed: two nodes may see
/// different members for a while. Not thread safe. Precondition: time never goes back.
class view {
public:
    view(member self, view_options wanted, common::steady_time now);

    /// Notes a sign of life of a peer, at the latest incarnation seen.
    void mark_alive(const member& peer, common::steady_time now);

    /// Notes that a peer is stopping: it is no home any more, until it starts anew.
    void mark_stopping(const std::string& name, common::steady_time now);

    /// Notes that time has passed. A gap longer than the suspect time means that this node was
    /// paused: what it knew of its peers is then too old to rely on.
    void tick(common::steady_time now);

    /// Returns the peers that live, without this node.
    [[nodiscard]] std::vector<member> live_peers() const;

    /// Tells whether a node of that name lives; this node always does.
    [[nodiscard]] bool is_live(const std::string& name) const;

    /// Returns a member by name, alive or not.
    [[nodiscard]] std::optional<member> find(const std::string& name) const;

    /// Returns the node that decides about `key`: the zone is chosen among `zones`, so that it does
    /// not depend on who lives, and the node among those that live there. Nothing when that zone
    /// has no live node.
    [[nodiscard]] std::optional<std::string> home_of(const std::string& key,
                                                     const std::vector<std::string>& zones) const;

    /// Tells whether this node has been the home of `key` for the whole memory time. Only then does
    /// it know of every earlier request with that key.
    [[nodiscard]] bool was_always_home(const std::string& key,
                                       const std::vector<std::string>& zones,
                                       common::steady_time now) const;

private:
    struct peer_state {
        member who;
        common::steady_time heard_at;
        bool live = false;
        bool stopping = false;
    };

    /// The names that lived in this node's zone from a moment on.
    struct past_zone {
        common::steady_time since;
        std::set<std::string> names;
    };

    void remember_zone(common::steady_time now);

    member self;
    view_options options;
    std::map<std::string, peer_state> peers;
    std::deque<past_zone> zone_history; ///< oldest first
    common::steady_time made_at;
    common::steady_time last_tick;
};

} // namespace chervilslip::membership
