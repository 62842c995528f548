#pragma once

#include <map>

#include "membership/peer_network.h"
#include "membership/view.h"
#include "net/http_server.h"

namespace chervilslip::daemon {

/// Handles a caller's request on this node.
using local_handler =
    std::function<void(const net::http_request& request, std::shared_ptr<net::http_exchange>)>;

/// Passes callers' requests to the node that must answer them, and answers those of other nodes.
/// Not thread safe: used on the io_context's thread.
class peer_relay {
public:
    /// Precondition: the network outlives the relay.
    peer_relay(membership::peer_network& network, local_handler handler);

    /// Passes a request on. The answer goes to `exchange`; when the peer is lost on the way, that
    /// is an answer that the request may have run. Returns false when there is no connection, in
    /// which case nothing was sent and `exchange` is unused.
    bool forward(const std::string& peer, const net::http_request& request,
                 std::shared_ptr<net::http_exchange> exchange);

    /// Answers a call of a peer.
    void serve(const membership::member& peer, const membership::relay_call& call,
               const membership::response_sender& answer);

    /// Takes the answer to a call of this node.
    void take(const membership::relay_response& answer);

    /// Returns how many calls wait for their answers.
    [[nodiscard]] std::size_t pending_calls() const;

    /// Ends the calls that wait for a peer that was lost.
    void lost(const std::string& peer);

private:
    struct waiting_call {
        std::string peer;
        bool may_run = false;
        std::shared_ptr<net::http_exchange> exchange;
    };

    membership::peer_network& network;
    local_handler handler;
    std::map<std::uint64_t, waiting_call> calls;
    std::uint64_t last_number = 0;
};

/// Tells whether a request was passed on by another node. Thread safe.
bool was_relayed(const net::http_request& request);

} // namespace chervilslip::daemon
