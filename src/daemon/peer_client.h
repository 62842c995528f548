#pragma once

#include <map>

#include <boost/asio/io_context.hpp>

#include "membership/peer_network.h"

namespace chervilslip::daemon {

/// Takes the answer of a peer, or the error.
using peer_response_handler = std::function<void(common::result<membership::relay_response>)>;

/// Calls between entry nodes, with a time limit for each. Not thread safe: used on the
/// io_context's thread.
class peer_client {
public:
    /// Precondition: the network outlives the calls.
    peer_client(boost::asio::io_context& context, membership::peer_network& network);

    /// Calls a peer and hands its answer, or the error, to `done` once. Errors: `connect_failed`
    /// when there is no connection, `timed_out` and `connection_lost` when it may have acted.
    void call(const std::string& peer, membership::relay_call what, common::milliseconds limit,
              peer_response_handler done);

    /// Takes the answer to a call of this node.
    void handle_response(const membership::relay_response& answer);

    /// Notes that a peer can be called.
    void on_peer_connected(const std::string& peer);

    /// Ends the calls that wait for a peer that was lost.
    void on_peer_lost(const std::string& peer);

    /// Returns the peers that can be called.
    [[nodiscard]] const std::set<std::string>& reachable_peers() const;

private:
    struct waiting_call {
        std::string peer;
        peer_response_handler done;
    };

    void finish(std::uint64_t number, common::result<membership::relay_response> outcome);

    boost::asio::io_context& context;
    membership::peer_network& network;
    std::set<std::string> peers;
    std::map<std::uint64_t, waiting_call> calls;
    std::uint64_t last_number = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace chervilslip::daemon
