#include "daemon/peer_manager.h"

#include <boost/outcome/try.hpp>

namespace chervilslip::daemon {

namespace {

/// The store's watch normally delivers new settings sooner; without them after this time, a peer is
/// asked.
constexpr common::milliseconds watch_timeout{700};

} // namespace

peer_manager::peer_manager(boost::asio::io_context& context, const common::clock& time_source,
                           membership::member own, std::string secret, settings_watcher& settings,
                           local_handler handler, peer_manager_hooks callbacks)
    : clock(time_source), self(std::move(own)), watcher(settings), hooks(std::move(callbacks)),
      view(self, {}, time_source.steady_now()),
      network(context, self, std::move(secret),
              {[this](const membership::member& peer, const membership::message& value,
                      const membership::response_sender& answer) {
                   this->handle_message(peer, value, answer);
               },
               [this](const membership::member& peer) {
                   this->network.send(peer.name, this->make_heartbeat(false));
               },
               [this](const membership::member& peer) { this->relay.on_peer_lost(peer.name); },
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

membership::heartbeat peer_manager::make_heartbeat(bool changes_only)
{
    membership::heartbeat heartbeat;
    heartbeat.stopping = this->stopping;
    if (const auto in_force = this->watcher.in_force()) {
        heartbeat.settings_number = in_force->source.number;
        heartbeat.settings_change = in_force->source.change;
    }
    for (const auto& [team, usage] : this->hooks.running()) {
        if (!changes_only || this->last_sent_usage[team] != usage) {
            heartbeat.running[team] = usage;
        }
    }
    return heartbeat;
}

void peer_manager::send_heartbeats()
{
    const membership::heartbeat heartbeat = this->make_heartbeat(true);
    for (const auto& [team, usage] : heartbeat.running) {
        this->last_sent_usage[team] = usage;
    }
    this->network.send_to_all(heartbeat);
    this->update_engine();
}

void peer_manager::tick()
{
    this->view.tick(this->clock.steady_now());
}

void peer_manager::update_engine()
{
    requests::peer_status_received status;
    status.live.insert(this->self.name);
    for (const membership::member& peer : this->view.live_peers()) {
        status.live.insert(peer.name);
        for (const auto& [team, usage] : this->usage_of_peer[peer.name]) {
            status.running[team] += usage;
        }
    }
    this->hooks.apply(status);
}

void peer_manager::handle_message(const membership::member& peer, const membership::message& value,
                                  const membership::response_sender& answer)
{
    this->view.mark_alive(peer, this->clock.steady_now());
    if (const auto* heartbeat = std::get_if<membership::heartbeat>(&value)) {
        this->handle_heartbeat(peer, *heartbeat);
    } else if (const auto* call = std::get_if<membership::relay_call>(&value)) {
        this->relay.handle_call(peer, *call, answer);
    } else if (const auto* response = std::get_if<membership::relay_response>(&value)) {
        this->relay.handle_response(*response);
    } else if (std::holds_alternative<membership::settings_request>(value)) {
        this->send_settings(answer);
    } else if (const auto* settings_message = std::get_if<membership::settings_response>(&value)) {
        this->watcher.accept_from_peer(settings_message->manifest, settings_message->documents);
    }
}

void peer_manager::handle_heartbeat(const membership::member& peer,
                                    const membership::heartbeat& heartbeat)
{
    if (heartbeat.stopping) {
        this->view.mark_stopping(peer.name, this->clock.steady_now());
    }
    auto& running = this->usage_of_peer[peer.name];
    for (const auto& [team, usage] : heartbeat.running) {
        running[team] = usage;
    }
    const auto in_force = this->watcher.in_force();
    const bool settings_behind = !in_force || in_force->source.number < heartbeat.settings_number;
    const auto now = this->clock.steady_now();
    if (!settings_behind) {
        this->settings_behind_since.reset();
    } else if (!this->settings_behind_since) {
        this->settings_behind_since = now;
    }
    const bool request_settings =
        settings_behind && (!in_force || now - *this->settings_behind_since > watch_timeout);
    if (request_settings) {
        this->settings_behind_since = now;
        this->network.send(peer.name, membership::settings_request{});
    }
}

void peer_manager::send_settings(const membership::response_sender& answer) const
{
    const auto in_force = this->watcher.in_force();
    if (!in_force) {
        return;
    }
    membership::settings_response settings_message;
    settings_message.manifest = settings::canonical_text(settings::to_json(in_force->source));
    for (const auto& [path, each] : in_force->tree) {
        settings_message.documents[in_force->source.entries.at(path).hash] =
            settings::canonical_text(each.value);
    }
    answer(settings_message);
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
