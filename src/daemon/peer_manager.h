#pragma once

#include "common/event_log.h"
#include "daemon/peer_relay.h"
#include "daemon/settings_watcher.h"
#include "requests/messages.h"

namespace chervilslip::daemon {

/// What the peers' side of a node asks of it.
struct peer_manager_hooks {
    std::function<void(const requests::event&)> apply;
    std::function<std::map<std::string, teams::resources>()> running;
    std::function<void(const common::error& cause)> reject;
};

/// Everything between this node and the other entry nodes: heartbeats, settings, relayed calls.
/// Not thread safe: used on the io_context's thread.
class peer_manager {
public:
    /// Precondition: all references outlive the object.
    peer_manager(boost::asio::io_context& context, const common::clock& clock,
                 membership::member self, std::string secret, settings_watcher& watcher,
                 local_handler handler, peer_manager_hooks hooks);

    /// Opens the port. Errors: `connect_failed`.
    common::result<void> listen();

    /// Keeps a connection to a node from now on.
    void connect_to(const net::endpoint& address);

    /// Sends heartbeats and judges who lives. Called at a steady rate.
    void send_heartbeats();

    /// Notes that time has passed. Called more often than `beat`.
    void tick();

    /// Tells all peers that this node takes no new calls of theirs.
    void announce_stop();

    /// Returns how many calls wait for the answer of a peer.
    [[nodiscard]] std::size_t pending_calls() const;

    /// Closes all connections.
    void close();

    /// Passes a request on; see `peer_relay::pass_on`.
    bool forward(const std::string& node, const net::http_request& request,
                 std::shared_ptr<net::http_exchange> exchange);

    /// Names the node that decides about a key; nothing when it cannot be reached.
    [[nodiscard]] std::optional<std::string> home_of(const std::string& key) const;

    /// Tells whether another node may have decided about a key before.
    [[nodiscard]] bool must_claim(const std::string& key) const;

    /// Returns the live peers.
    [[nodiscard]] std::vector<membership::member> live_peers() const;

    /// Returns the bytes sent to peers since the start.
    [[nodiscard]] std::uint64_t bytes_sent() const;

private:
    void take(const membership::member& peer, const membership::message& value,
              const membership::response_sender& answer);
    void take_heartbeat(const membership::member& peer, const membership::heartbeat& beat);
    void give_settings(const membership::response_sender& answer) const;
    void tell_engine();
    [[nodiscard]] membership::heartbeat make_heartbeat(bool changes_alone);
    [[nodiscard]] std::vector<std::string> zones() const;

    const common::clock& clock;
    membership::member self;
    settings_watcher& watcher;
    peer_manager_hooks hooks;
    membership::view view;
    membership::peer_network network;
    peer_relay relay;
    std::map<std::string, teams::resources> last_sent;
    std::map<std::string, std::map<std::string, teams::resources>> running_of_peer;
    std::optional<common::steady_time> behind_since;
    bool stopping = false;
};

} // namespace chervilslip::daemon
