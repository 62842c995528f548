#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"

namespace chervilslip::daemon {

/// Chooses the routes of one call to the store, one at a time: the direct route, the preferred peer
/// and a few random peers. A peer is chosen only when its turn comes, so a call that the direct
/// route serves costs the same for any number of peers. Not thread safe.
class route_plan {
public:
    static constexpr std::string_view direct_route{}; ///< empty, which no peer's name is

    /// Randomly chosen peers that one call tries, besides the direct route and the preferred peer.
    static constexpr std::size_t max_random_peers = 3;

    /// `direct_last`: the direct route is tried after the peers, not before them.
    explicit route_plan(bool direct_last) : direct_after_peers(direct_last)
    {
    }

    /// Returns the next route, `direct_route` or a reachable peer that has not been tried; nothing
    /// when all have been. `preferred` is the peer to try before the others; empty: none.
    std::optional<std::string> next(const std::set<std::string>& reachable,
                                    const std::string& preferred, common::random_source& random)
    {
        if (!this->direct_after_peers && !std::exchange(this->direct_tried, true)) {
            return std::string(direct_route);
        }
        std::optional<std::string> peer = this->choose_peer(reachable, preferred, random);
        if (peer) {
            this->tried_peers.push_back(*peer);
            return peer;
        }
        if (!std::exchange(this->direct_tried, true)) {
            return std::string(direct_route);
        }
        return std::nullopt;
    }

private:
    [[nodiscard]] bool is_untried(const std::string& peer) const
    {
        return std::find(this->tried_peers.begin(), this->tried_peers.end(), peer) ==
               this->tried_peers.end();
    }

    std::optional<std::string> choose_peer(const std::set<std::string>& reachable,
                                           const std::string& preferred,
                                           common::random_source& random)
    {
        if (this->tried_peers.size() > max_random_peers) {
            return std::nullopt; // the preferred peer may change while the call lasts
        }
        if (this->is_untried(preferred) && reachable.contains(preferred)) {
            return preferred;
        }
        const auto untried = static_cast<std::size_t>(
            std::count_if(reachable.begin(), reachable.end(),
                          [this](const std::string& each) { return this->is_untried(each); }));
        if (untried == 0 || this->random_peers_tried >= max_random_peers) {
            return std::nullopt;
        }
        ++this->random_peers_tried;
        auto skipped = random.below(untried);
        const auto chosen = std::find_if(reachable.begin(), reachable.end(), [&](const auto& each) {
            return this->is_untried(each) && skipped-- == 0;
        });
        return *chosen;
    }

    bool direct_after_peers;
    bool direct_tried = false;
    std::size_t random_peers_tried = 0;
    std::vector<std::string> tried_peers;
};

} // namespace chervilslip::daemon
