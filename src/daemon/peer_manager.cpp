#include "daemon/peer_manager.h"

#include <boost/outcome/try.hpp>

namespace chervilslip::daemon {

namespace {

/// The store's watch brings new settings sooner; peers are asked only when it does not.
constexpr common::milliseconds patience_with_watch{700};

} // namespace

peer_manager::peer_manager(boost::asio::io_context& context, const common::clock& time_source,
                           membership::member own, std::string secret, settings_watcher& settings,
                           local_handler handler, peer_manager_hooks callbacks)
    : clock(time_source), self(std::move(own)), watcher(settings), hooks(std::move(callbacks)),
      view(self, {}, time_source.steady_now()),
      network(
          context, self, std::move(secret),
          {[this](const membership::member& peer, const membership::message& value,
                  const membership::response_sender& answer) { this->take(peer, value, answer); },
           [this](const membership::member& peer) {
               this->network.send(peer.name, this->make_heartbeat(false));
           },
           [this](const membership::member& peer) { this->relay.lost(peer.name); },
           [this](const common::error& cause) {
               this->hooks.reject(cause);
           }}),
      relay(network, std::move(handler))
{
}

common::result<void> peer_manager::listen()
{
    BOOST_OUTCOME_TRY(this->network.listen());
    return boost::outcome_v2::success();
}

void peer_manager::connect_to(const net::endpoint& address)
{
    this->network.connect_to(address);
}

void peer_manager::announce_stop()
{
    this->stopping = true;
    this->send_heartbeats();
}

std::size_t peer_manager::pending_calls() const
{
    return this->relay.pending_calls();
}

void peer_manager::close()
{
    this->network.close();
}

membership::heartbeat peer_manager::make_heartbeat(bool changes_alone)
{
    membership::heartbeat beat;
    beat.stopping = this->stopping;
    if (const auto in_force = this->watcher.in_force()) {
        beat.settings_number = in_force->source.number;
        beat.settings_change = in_force->source.change;
    }
    for (const auto& [team, amounts] : this->hooks.running()) {
        if (!changes_alone || this->last_sent[team] != amounts) {
            beat.running[team] = amounts;
        }
    }
    return beat;
}

void peer_manager::send_heartbeats()
{
    const membership::heartbeat beat = this->make_heartbeat(true);
    for (const auto& [team, amounts] : beat.running) {
        this->last_sent[team] = amounts;
    }
    this->network.send_to_all(beat);
    this->tell_engine();
}

void peer_manager::tick()
{
    this->view.tick(this->clock.steady_now());
}

void peer_manager::tell_engine()
{
    requests::peer_status_received heard;
    heard.live.insert(this->self.name);
    for (const membership::member& peer : this->view.live_peers()) {
        heard.live.insert(peer.name);
        for (const auto& [team, amounts] : this->running_of_peer[peer.name]) {
            heard.running[team] += amounts;
        }
    }
    this->hooks.apply(heard);
}

void peer_manager::take(const membership::member& peer, const membership::message& value,
                        const membership::response_sender& answer)
{
    this->view.mark_alive(peer, this->clock.steady_now());
    if (const auto* beat = std::get_if<membership::heartbeat>(&value)) {
        this->take_heartbeat(peer, *beat);
    } else if (const auto* call = std::get_if<membership::relay_call>(&value)) {
        this->relay.serve(peer, *call, answer);
    } else if (const auto* answered = std::get_if<membership::relay_response>(&value)) {
        this->relay.take(*answered);
    } else if (std::holds_alternative<membership::settings_request>(value)) {
        this->give_settings(answer);
    } else if (const auto* given = std::get_if<membership::settings_response>(&value)) {
        this->watcher.accept_from_peer(given->manifest, given->documents);
    }
}

void peer_manager::take_heartbeat(const membership::member& peer, const membership::heartbeat& beat)
{
    if (beat.stopping) {
        this->view.mark_stopping(peer.name, this->clock.steady_now());
    }
    auto& running = this->running_of_peer[peer.name];
    for (const auto& [team, amounts] : beat.running) {
        running[team] = amounts;
    }
    const auto in_force = this->watcher.in_force();
    const bool behind = !in_force || in_force->source.number < beat.settings_number;
    const auto now = this->clock.steady_now();
    if (!behind) {
        this->behind_since.reset();
    } else if (!this->behind_since) {
        this->behind_since = now;
    }
    const bool ask = behind && (!in_force || now - *this->behind_since > patience_with_watch);
    if (ask) {
        this->behind_since = now;
        this->network.send(peer.name, membership::settings_request{});
    }
}

void peer_manager::give_settings(const membership::response_sender& answer) const
{
    const auto in_force = this->watcher.in_force();
    if (!in_force) {
        return;
    }
    membership::settings_response given;
    given.manifest = settings::canonical_text(settings::to_json(in_force->source));
    for (const auto& [path, each] : in_force->tree) {
        given.documents[in_force->source.entries.at(path).hash] =
            settings::canonical_text(each.value);
    }
    answer(given);
}

bool peer_manager::forward(const std::string& node, const net::http_request& request,
                           std::shared_ptr<net::http_exchange> exchange)
{
    return this->view.is_live(node) && this->relay.forward(node, request, std::move(exchange));
}

std::vector<std::string> peer_manager::zones() const
{
    std::vector<std::string> names;
    if (const auto in_force = this->watcher.in_force()) {
        for (const auto& [name, zone] : in_force->checked.typed.zones) {
            names.push_back(name);
        }
    }
    return names;
}

std::optional<std::string> peer_manager::home_of(const std::string& key) const
{
    return this->view.home_of(key, this->zones());
}

bool peer_manager::must_claim(const std::string& key) const
{
    return !this->view.was_always_home(key, this->zones(), this->clock.steady_now());
}

std::vector<membership::member> peer_manager::live_peers() const
{
    return this->view.live_peers();
}

std::uint64_t peer_manager::bytes_sent() const
{
    return this->network.bytes_sent();
}

} // namespace chervilslip::daemon
