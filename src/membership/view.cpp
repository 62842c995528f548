#include "membership/view.h"

#include <algorithm>

#include "common/crypto.h"

namespace chervilslip::membership {

namespace {

/// Returns the name with the highest hash together with the key: rendezvous hashing moves only the
/// keys of a name that comes or goes.
template <typename Names>
std::optional<std::string> highest(const std::string& key, const Names& names)
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

view::view(member own, view_options wanted, common::steady_time now)
    : self(std::move(own)), options(wanted), made_at(now), last_tick(now)
{
    this->remember_zone(now);
}

void view::mark_alive(const member& peer, common::steady_time now)
{
    if (peer.name == this->self.name) {
        return;
    }
    peer_state& state = this->peers[peer.name];
    if (peer.incarnation < state.who.incarnation) {
        return; // A message of an earlier start that comes late.
    }
    state.stopping = state.stopping && peer.incarnation == state.who.incarnation;
    state.who = peer;
    state.heard_at = now;
    if (!state.live && !state.stopping) {
        state.live = true;
        this->remember_zone(now);
    }
}

void view::mark_stopping(const std::string& name, common::steady_time now)
{
    const auto found = this->peers.find(name);
    if (found != this->peers.end() && found->second.live) {
        found->second.stopping = true;
        found->second.live = false;
        this->remember_zone(now);
    }
}

void view::tick(common::steady_time now)
{
    const bool was_paused = now - this->last_tick > this->options.suspect_time;
    this->last_tick = now;
    if (was_paused) {
        // Others may have taken over this node's keys meanwhile.
        this->zone_history.clear();
        this->made_at = now;
    }
    bool changed = was_paused;
    for (auto& [name, state] : this->peers) {
        const bool live = !state.stopping && now - state.heard_at <= this->options.suspect_time;
        changed = changed || live != state.live;
        state.live = live;
    }
    if (changed) {
        this->remember_zone(now);
    }
    while (this->zone_history.size() > 1 &&
           now - this->zone_history[1].since > this->options.memory_time) {
        this->zone_history.pop_front();
    }
}

void view::remember_zone(common::steady_time now)
{
    past_zone zone{now, {this->self.name}};
    for (const auto& [name, state] : this->peers) {
        if (state.live && state.who.zone == this->self.zone) {
            zone.names.insert(name);
        }
    }
    if (this->zone_history.empty() || this->zone_history.back().names != zone.names) {
        this->zone_history.push_back(std::move(zone));
    }
}

std::vector<member> view::live_peers() const
{
    std::vector<member> live;
    for (const auto& [name, state] : this->peers) {
        if (state.live) {
            live.push_back(state.who);
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
    return found == this->peers.end() ? std::nullopt : std::optional{found->second.who};
}

std::optional<std::string> view::home_of(const std::string& key,
                                         const std::vector<std::string>& zones) const
{
    const auto zone = highest(key, zones);
    std::set<std::string> names;
    if (zone == this->self.zone) {
        names.insert(this->self.name);
    }
    for (const auto& [name, state] : this->peers) {
        if (state.live && state.who.zone == zone) {
            names.insert(name);
        }
    }
    return highest(key, names);
}

bool view::was_always_home(const std::string& key, const std::vector<std::string>& zones,
                           common::steady_time now) const
{
    const bool just_paused = now - this->last_tick > this->options.suspect_time;
    if (just_paused || now - this->made_at < this->options.memory_time ||
        highest(key, zones) != this->self.zone) {
        return false;
    }
    return std::all_of(this->zone_history.begin(), this->zone_history.end(),
                       [this, &key](const past_zone& past) {
                           return highest(key, past.names) == this->self.name;
                       });
}

} // namespace chervilslip::membership
