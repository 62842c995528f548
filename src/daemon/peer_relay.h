#pragma once

#include <map>

#include "membership/peer_network.h"
#include "membership/view.h"
#include "net/http_server.h"

namespace chervilslip::daemon {

/// Handles a caller's request on this node.
using local_handler =
    std::function<void(const net::http_request& request, std::shared_ptr<net::http_exchange>)>;

/// Forwards callers' requests to the node that must answer them, and handles those that other nodes
/// forward. Not thread safe: used on the io_context's thread.
class peer_relay {
public:
    /// Precondition: `network` outlives this object.
    peer_relay(membership::peer_network& network, local_handler handler);

    /// Forwards a request; the response goes to `exchange`. If the peer is lost before it responds,
    /// the caller is told that the request may have run. Returns false without a connection: then
    /// nothing was sent and `exchange` is unused.
    bool forward(const std::string& peer, const net::http_request& request,
                 std::shared_ptr<net::http_exchange> exchange);

    /// Handles a request that a peer forwarded.
    void handle_call(const membership::member& peer, const membership::relay_call& call,
                     const membership::response_sender& answer);

    /// Handles the response to a request of this node.
    void handle_response(const membership::relay_response& relayed);

    /// Returns the number of forwarded requests without a response.
    [[nodiscard]] std::size_t pending_calls() const;

    /// Answers the pending requests of a peer whose connection was lost.
    void on_peer_lost(const std::string& peer);

private:
    struct pending_call {
        std::string peer;
        bool may_run = false;
        std::shared_ptr<net::http_exchange> exchange;
    };

    membership::peer_network& network;
    local_handler handler;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t last_number = 0;
};

/// Tells whether a request was forwarded by another node. Thread safe.
bool was_relayed(const net::http_request& request);

} // namespace chervilslip::daemon
