#include "daemon/peer_client.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chervilslip::daemon {

using common::errc;
using common::make_error;

peer_client::peer_client(boost::asio::io_context& io, membership::peer_network& peer_connections)
    : context(io), network(peer_connections)
{
}

void peer_client::call(const std::string& peer, membership::relay_call request,
                       common::milliseconds timeout, peer_response_handler done)
{
    const std::uint64_t number = ++this->last_number;
    request.number = number;
    this->calls[number] = {peer, std::move(done)};
    const std::weak_ptr<bool> weak = this->alive;
    if (!this->network.send(peer, request, membership::delivery::at_least_once)) {
        boost::asio::post(this->context, [this, weak, number, peer] {
            if (!weak.expired()) {
                this->complete(number, make_error(errc::connect_failed, "call peer", peer,
                                                  "no open connection"));
            }
        });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, timeout);
    timer->async_wait([this, weak, number, peer, timer](const boost::system::error_code&) {
        if (!weak.expired()) {
            this->complete(number, make_error(errc::timed_out, "call peer", peer,
                                              "no response before the timeout"));
        }
    });
}

void peer_client::handle_response(const membership::relay_response& response)
{
    this->complete(response.number, response);
}

void peer_client::on_peer_connected(const std::string& peer)
{
    this->connected_peers.insert(peer);
}

void peer_client::on_peer_lost(const std::string& peer)
{
    this->connected_peers.erase(peer);
    std::vector<std::uint64_t> pending;
    for (const auto& [number, call] : this->calls) {
        if (call.peer == peer) {
            pending.push_back(number);
        }
    }
    for (const std::uint64_t number : pending) {
        this->complete(number, make_error(errc::connection_lost, "call peer", peer,
                                          "connection closed before the response"));
    }
}

const std::set<std::string>& peer_client::reachable_peers() const
{
    return this->connected_peers;
}

void peer_client::complete(std::uint64_t number, common::result<membership::relay_response> outcome)
{
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
        return; // completed before, by a response, a timeout or a lost connection
    }
    auto done = std::move(found->second.done);
    this->calls.erase(found);
    done(std::move(outcome));
}

} // namespace chervilslip::daemon
