#pragma once

#include "common/event_log.h"
#include "daemon/peer_relay.h"
#include "daemon/settings_watcher.h"
#include "requests/messages.h"

namespace chervilslip::daemon {

/// Callbacks of the peer manager into its node.
struct peer_manager_hooks {
    std::function<void(const requests::event&)> apply; ///< passes an event to the engine
    /// Returns the resources that running tasks of this node use, by team.
    std::function<std::map<std::string, teams::resources>()> running;
    std::function<void(const common::error& cause)> reject; ///< reports a refused peer
};

/// Communicates with the other entry nodes: heartbeats, settings and forwarded requests. Not thread
/// safe: used on the io_context's thread.
class peer_manager {
public:
    /// Precondition: all references outlive this object.
    peer_manager(boost::asio::io_context& context, const common::clock& clock,
                 membership::member self, std::string secret, settings_watcher& watcher,
                 local_handler handler, peer_manager_hooks hooks);

    /// Starts listening for peers. Errors: `connect_failed`.
    common::result<void> listen();

    /// Connects to a node and keeps the connection up from now on.
    void connect_to(const net::endpoint& address);

    /// Sends heartbeats and tells the engine which peers are live. Called at a fixed interval.
    void send_heartbeats();

    /// Updates the liveness of peers. Called more often than `send_heartbeats`.
    void tick();

    /// Tells all peers that this node accepts no new calls from them.
    void announce_stop();

    /// Returns the number of requests that wait for the response of a peer.
    [[nodiscard]] std::size_t pending_calls() const;

    /// Closes all connections.
    void close();

    /// Forwards a request to a live node; see `peer_relay::forward`.
    bool forward(const std::string& node, const net::http_request& request,
                 std::shared_ptr<net::http_exchange> exchange);

    /// Returns the node that decides about a key, or nothing when it cannot be reached.
    [[nodiscard]] std::optional<std::string> home_of(const std::string& key) const;

    /// Tells whether another node may have decided about a key before.
    [[nodiscard]] bool must_claim(const std::string& key) const;

    /// Returns the live peers.
    [[nodiscard]] std::vector<membership::member> live_peers() const;

    /// Returns the bytes sent to peers since the start.
    [[nodiscard]] std::uint64_t bytes_sent() const;

private:
    void handle_message(const membership::member& peer, const membership::message& value,
                        const membership::response_sender& answer);
    void handle_heartbeat(const membership::member& peer, const membership::heartbeat& heartbeat);
    void send_settings(const membership::response_sender& answer) const;
    void update_engine();
    [[nodiscard]] membership::heartbeat make_heartbeat(bool changes_only);
    [[nodiscard]] std::vector<std::string> zones() const;

    const common::clock& clock;
    membership::member self;
    settings_watcher& watcher;
    peer_manager_hooks hooks;
    membership::view view;
    membership::peer_network network;
    peer_relay relay;
    std::map<std::string, teams::resources> last_sent_usage;
    std::map<std::string, std::map<std::string, teams::resources>> usage_of_peer;
    std::optional<common::steady_time> settings_behind_since;
    bool stopping = false;
};

} // namespace chervilslip::daemon
