#include "daemon/peer_calls.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chervilslip::daemon {

using common::errc;
using common::make_error;

peer_calls::peer_calls(boost::asio::io_context& io, membership::peer_network& between)
    : context(io), network(between)
{
}

void peer_calls::call(const std::string& peer, membership::relay_call what,
                      common::milliseconds limit, peer_answer_handler done)
{
    const std::uint64_t number = ++this->last_number;
    what.number = number;
    this->calls[number] = {peer, std::move(done)};
    const std::weak_ptr<bool> weak = this->alive;
    if (!this->network.send(peer, what)) {
        boost::asio::post(this->context, [this, weak, number, peer] {
            if (!weak.expired()) {
                this->finish(number,
                             make_error(errc::connect_failed, "call peer", peer, "no connection"));
            }
        });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, limit);
    timer->async_wait([this, weak, number, peer, timer](const boost::system::error_code&) {
        if (!weak.expired()) {
            this->finish(number, make_error(errc::timed_out, "call peer", peer, "no answer"));
        }
    });
}

void peer_calls::take(const membership::relay_answer& answer)
{
    this->finish(answer.number, answer);
}

void peer_calls::connected(const std::string& peer)
{
    this->peers.insert(peer);
}

void peer_calls::lost(const std::string& peer)
{
    this->peers.erase(peer);
    std::vector<std::uint64_t> ended;
    for (const auto& [number, call] : this->calls) {
        if (call.peer == peer) {
            ended.push_back(number);
        }
    }
    for (const std::uint64_t number : ended) {
        this->finish(number,
                     make_error(errc::connection_lost, "call peer", peer, "connection ended"));
    }
}

const std::set<std::string>& peer_calls::reachable() const
{
    return this->peers;
}

void peer_calls::finish(std::uint64_t number, common::result<membership::relay_answer> outcome)
{
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) {
        return; // answered already, or given up
    }
    auto done = std::move(found->second.done);
    this->calls.erase(found);
    done(std::move(outcome));
}

} // namespace chervilslip::daemon
