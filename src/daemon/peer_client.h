#pragma once

#include <map>

#include <boost/asio/io_context.hpp>

#include "membership/peer_network.h"

namespace chervilslip::daemon {

/// Receives the response of a peer, or an error.
using peer_response_handler = std::function<void(common::result<membership::relay_response>)>;

/// Sends calls to other entry nodes, each with a timeout. A call may reach its peer twice. Not
/// thread safe: used on the io_context's thread.
class peer_client {
public:
    /// Precondition: `network` outlives this object.
    peer_client(boost::asio::io_context& context, membership::peer_network& network);

    /// Calls a peer and passes its response, or an error, to `done` exactly once. Errors:
    /// `connect_failed` without a connection; `timed_out` and `connection_lost`, after which the
    /// peer may have acted on the call.
    void call(const std::string& peer, membership::relay_call request, common::milliseconds timeout,
              peer_response_handler done);

    /// Handles the response to a call of this node.
    void handle_response(const membership::relay_response& response);

    /// Marks a peer as reachable.
    void on_peer_connected(const std::string& peer);

    /// Marks a peer as unreachable and fails its pending calls.
    void on_peer_lost(const std::string& peer);

    /// Returns the peers that can be called.
    [[nodiscard]] const std::set<std::string>& reachable_peers() const;

private:
    struct pending_call {
        std::string peer;
        peer_response_handler done;
    };

    void complete(std::uint64_t number, common::result<membership::relay_response> outcome);

    boost::asio::io_context& context;
    membership::peer_network& network;
    std::set<std::string> connected_peers;
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t last_number = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace chervilslip::daemon
