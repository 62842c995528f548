#include "membership/view.h"

#include <algorithm>

#include "common/crypto.h"

namespace chervilslip::membership {

namespace {

/// Returns the name with the highest hash of key and name (rendezvous hashing): when a name is
/// added or removed, only the keys of that name move.
template <typename Names>
std::optional<std::string> highest_ranked(const std::string& key, const Names& names)
{
    std::optional<std::string> best;
    std::string best_hash;
    for (const std::string& name : names) {
        std::string hash = common::sha256_hex(key + "\n" + name);
        if (!best || hash > best_hash) {
            best = name;
            best_hash = std::move(hash);
        }
    }
    return best;
}

} // namespace

view::view(member own, view_options initial_options, common::steady_time now)
    : self(std::move(own)), options(initial_options), history_start(now), last_tick(now)
{
    this->record_zone(now);
}

void view::mark_alive(const member& peer, common::steady_time now)
{
    if (peer.name == this->self.name) {
        return;
    }
    peer_state& state = this->peers[peer.name];
    if (peer.incarnation < state.identity.incarnation) {
        return; // A delayed message of an earlier incarnation.
    }
    state.stopping = state.stopping && peer.incarnation == state.identity.incarnation;
    state.identity = peer;
    state.last_seen = now;
    if (!state.live && !state.stopping) {
        state.live = true;
        this->record_zone(now);
    }
}

void view::mark_stopping(const std::string& name, common::steady_time now)
{
    const auto found = this->peers.find(name);
    if (found != this->peers.end() && found->second.live) {
        found->second.stopping = true;
        found->second.live = false;
        this->record_zone(now);
    }
}

void view::tick(common::steady_time now)
{
    const bool was_paused = now - this->last_tick > this->options.suspect_timeout;
    this->last_tick = now;
    if (was_paused) {
        // Other nodes may have become the home of this node's keys during the pause.
        this->zone_history.clear();
        this->history_start = now;
    }
    bool changed = was_paused;
    for (auto& [name, state] : this->peers) {
        const bool live = !state.stopping && now - state.last_seen <= this->options.suspect_timeout;
        changed = changed || live != state.live;
        state.live = live;
    }
    if (changed) {
        this->record_zone(now);
    }
    while (this->zone_history.size() > 1 &&
           now - this->zone_history[1].since > this->options.history_retention) {
        this->zone_history.pop_front();
    }
}

void view::record_zone(common::steady_time now)
{
    zone_snapshot current{now, {this->self.name}};
    for (const auto& [name, state] : this->peers) {
        if (state.live && state.identity.zone == this->self.zone) {
            current.live_names.insert(name);
        }
    }
    if (this->zone_history.empty() || this->zone_history.back().live_names != current.live_names) {
        this->zone_history.push_back(std::move(current));
    }
}

std::vector<member> view::live_peers() const
{
    std::vector<member> live;
    for (const auto& [name, state] : this->peers) {
        if (state.live) {
            live.push_back(state.identity);
        }
    }
    return live;
}

bool view::is_live(const std::string& name) const
{
    const auto found = this->peers.find(name);
    return name == this->self.name || (found != this->peers.end() && found->second.live);
}

std::optional<member> view::find(const std::string& name) const
{
    if (name == this->self.name) {
        return this->self;
    }
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? std::nullopt : std::optional{found->second.identity};
}

std::optional<std::string> view::home_of(const std::string& key,
                                         const std::vector<std::string>& zones) const
{
    const auto zone = highest_ranked(key, zones);
    std::set<std::string> live_names;
    if (zone == this->self.zone) {
        live_names.insert(this->self.name);
    }
    for (const auto& [name, state] : this->peers) {
        if (state.live && state.identity.zone == zone) {
            live_names.insert(name);
        }
    }
    return highest_ranked(key, live_names);
}

bool view::was_always_home(const std::string& key, const std::vector<std::string>& zones,
                           common::steady_time now) const
{
    const bool just_paused = now - this->last_tick > this->options.suspect_timeout;
    if (just_paused || now - this->history_start < this->options.history_retention ||
        highest_ranked(key, zones) != this->self.zone) {
        return false;
    }
    return std::all_of(this->zone_history.begin(), this->zone_history.end(),
                       [this, &key](const zone_snapshot& snapshot) {
                           return highest_ranked(key, snapshot.live_names) == this->self.name;
                       });
}

} // namespace chervilslip::membership
