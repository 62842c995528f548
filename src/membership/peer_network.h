#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "membership/messages.h"
#include "net/http_message.h"

namespace chervilslip::membership {

/// Sends the answer to a peer's message back over the same connection.
using response_sender = std::function<void(const message& value)>;

/// What the network tells its node.
struct network_hooks {
    /// A message of a peer that has shown the secret.
    std::function<void(const member& peer, const message& value, const response_sender& answer)>
        on_message;
    /// A connection to this peer was made; it can be sent to.
    std::function<void(const member& peer)> on_connected;
    /// The connection to this peer ended; calls that wait for its answers get none.
    std::function<void(const member& peer)> on_disconnected;
    /// A connection was closed for a fault of the peer.
    std::function<void(const common::error& cause)> on_rejected;
};

/// TCP connections between entry nodes: frames of a four-byte length and a msgpack message. Each
/// node connects to every other; it sends on its own connection and answers on the other's. Not
/// thread safe: used on the io_context's thread.
class peer_network {
public:
    peer_network(boost::asio::io_context& context, member self, std::string secret,
                 network_hooks hooks);
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    ~peer_network();

    /// Opens the port; port 0 takes a free one. Errors: `connect_failed`.
    common::result<net::endpoint> listen();

    /// Keeps a connection to an address from now on.
    void connect_to(const net::endpoint& address);

    /// Sends to a peer; returns false when there is no connection to it.
    bool send(const std::string& name, const message& value);

    /// Sends to every peer to which there is a connection, live or suspected.
    void send_to_all(const message& value);

    /// Returns the bytes sent since the start.
    [[nodiscard]] std::uint64_t bytes_sent() const;

    /// Closes all connections.
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chervilslip::membership
