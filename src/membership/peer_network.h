#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "membership/messages.h"
#include "net/http_message.h"

namespace chervilslip::membership {

/// Sends the response to a peer's message over the connection that the message came on.
using response_sender = std::function<void(const message& value)>;

/// How often a message may arrive if its connection goes silent.
enum class delivery {
    at_most_once,  ///< is lost with the connection, which is reported as ended
    at_least_once, ///< is sent again on the next connection
};

/// A connection to a peer on which pings are not answered.
struct silent_peer {
    std::string name;
    common::milliseconds age{0};     ///< since the connection was opened
    common::milliseconds unheard{0}; ///< since the latest bytes arrived on it
    std::size_t frames = 0;          ///< that were sent and may not have arrived

    friend bool operator==(const silent_peer&, const silent_peer&) = default;
};

/// Callbacks of the peer network.
struct network_hooks {
    /// A message of an authenticated peer arrived.
    std::function<void(const member& peer, const message& value,
                       const response_sender& send_response)>
        on_message;
    /// A connection to this peer was established; messages can be sent to it.
    std::function<void(const member& peer)> on_connected;
    /// The connection to this peer ended; pending calls to it get no response.
    std::function<void(const member& peer)> on_disconnected;
    /// A connection was closed for an error other than its loss, such as a failed handshake.
    std::function<void(const common::error& cause)> on_rejected;
    /// A connection is silent, and another is being made; may be empty.
    std::function<void(const silent_peer& peer)> on_silence = {};
};

/// TCP connections between entry nodes. A frame is a four-byte length and a msgpack message. Each
/// node connects to every other node, sends its messages on its own connection, and sends responses
/// on the connection that the message came on. A connection that goes silent while its peer accepts
/// a new one is replaced. Not thread safe: used on the io_context's thread.
class peer_network {
public:
    peer_network(boost::asio::io_context& context, member self, std::string secret,
                 network_hooks hooks);
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    ~peer_network();

    /// Starts listening; port 0 selects a free port. Errors: `connect_failed`.
    common::result<net::endpoint> listen();

    /// Connects to an address, and reconnects whenever the connection ends.
    void connect_to(const net::endpoint& address);

    /// Sends to a peer; returns false when it is not connected.
    bool send(const std::string& name, const message& value, delivery how = delivery::at_most_once);

    /// Sends to every connected peer, whether live or suspected, at least once.
    void send_to_all(const message& value);

    /// Returns the number of bytes sent since the start.
    [[nodiscard]] std::uint64_t bytes_sent() const;

    /// Closes all connections.
    void close();

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chervilslip::membership
