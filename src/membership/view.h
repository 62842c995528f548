#pragma once

#include <deque>
#include <optional>
#include <set>

#include "membership/messages.h"

namespace chervilslip::membership {

/// Time limits of the membership view.
struct view_options {
    common::milliseconds suspect_timeout{2500}; ///< a peer without a message for longer is not live
    common::milliseconds history_retention{900000}; ///< how long past zone members are kept

    friend bool operator==(const view_options&, const view_options&) = default;
};

/// One node's view of its peers. Views of different nodes may differ for a while; there is no
/// consensus. Not thread safe. Precondition: `now` never decreases between calls.
class view {
public:
    view(member self, view_options initial_options, common::steady_time now);

    /// Records a message from a peer; one from an earlier incarnation is ignored.
    void mark_alive(const member& peer, common::steady_time now);

    /// Records that a peer is stopping: it is not a home for any key until it restarts.
    void mark_stopping(const std::string& name, common::steady_time now);

    /// Updates the liveness of the peers. A gap between ticks longer than the suspect timeout means
    /// that this node was paused, and that its earlier knowledge of its peers is outdated.
    void tick(common::steady_time now);

    /// Returns the live peers, without this node.
    [[nodiscard]] std::vector<member> live_peers() const;

    /// Returns whether a node of that name is live; this node always is.
    [[nodiscard]] bool is_live(const std::string& name) const;

    /// Returns a member by name, live or not.
    [[nodiscard]] std::optional<member> find(const std::string& name) const;

    /// Returns the home node of `key`, which decides about it. The zone is chosen among all
    /// `zones`, so that it does not depend on which nodes are live; the node is chosen among the
    /// live nodes of that zone. Returns nothing when the zone has no live node.
    [[nodiscard]] std::optional<std::string> home_of(const std::string& key,
                                                     const std::vector<std::string>& zones) const;

    /// Returns whether this node has been the home of `key` for the whole history retention. Only
    /// then does it know every earlier request with that key.
    [[nodiscard]] bool was_always_home(const std::string& key,
                                       const std::vector<std::string>& zones,
                                       common::steady_time now) const;

private:
    struct peer_state {
        member identity;
        common::steady_time last_seen;
        bool live = false;
        bool stopping = false;
    };

    /// The live nodes of this node's zone from `since` until the next snapshot.
    struct zone_snapshot {
        common::steady_time since;
        std::set<std::string> live_names;
    };

    void record_zone(common::steady_time now);

    member self;
    view_options options;
    std::map<std::string, peer_state> peers;
    std::deque<zone_snapshot> zone_history; ///< oldest first
    common::steady_time history_start;
    common::steady_time last_tick;
};

} // namespace chervilslip::membership
