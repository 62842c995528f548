#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "daemon/store_transport.h"
#include "net/http_status.h"

namespace {

using namespace chervilslip;
using boost::asio::ip::tcp;
using common::milliseconds;

constexpr milliseconds call_limit{1400};
constexpr milliseconds pause_between_bytes{100};

/// Answers one call, a byte of the body after each pause.
class slow_store {
public:
    slow_store(boost::asio::io_context& io, std::string text, std::size_t bytes_sent)
        : acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)), socket(io),
          timer(io), body(std::move(text)), stops_after(bytes_sent)
    {
        this->acceptor.async_accept(this->socket, [this](const boost::system::error_code& failure) {
            cr_assert_not(failure);
            this->answer();
        });
    }

    [[nodiscard]] net::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    void answer()
    {
        boost::asio::async_read_until(
            this->socket, boost::asio::dynamic_buffer(this->request), "\r\n\r\n",
            [this](const boost::system::error_code& failure, std::size_t) {
                cr_assert_not(failure);
                this->write("HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(this->body.size()) + "\r\n\r\n");
                this->send_next();
            });
    }

    void send_next()
    {
        if (this->sent >= std::min(this->stops_after, this->body.size())) {
            return;
        }
        this->timer.expires_after(pause_between_bytes);
        this->timer.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                this->write(this->body.substr(this->sent++, 1));
                this->send_next();
            }
        });
    }

    void write(const std::string& text)
    {
        boost::system::error_code ignored; // the caller may have given up
        boost::asio::write(this->socket, boost::asio::buffer(text), ignored);
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string body;
    std::size_t stops_after;
    std::string request;
    std::size_t sent = 0;
};

/// A transport with one peer, which answers relayed calls at once.
struct transport_with_peer {
    transport_with_peer(const std::string& body, std::size_t bytes_sent)
        : store(this->context, body, bytes_sent),
          network(this->context, {"self", "z", "127.0.0.1:0", 1}, "secret", this->own_hooks()),
          peer(this->context, {"peer", "z", "127.0.0.1:0", 1}, "secret", this->peer_hooks()),
          peers(this->context, this->network),
          transport(this->context, this->store.address(), this->clock, this->peers, this->metrics,
                    this->log, 1)
    {
        cr_assert(this->network.listen().has_value());
        this->network.connect_to(this->peer.listen().value());
        this->run_until([this] { return !this->peers.reachable_peers().empty(); });
    }

    membership::network_hooks own_hooks()
    {
        return {
            [this](const membership::member&, const membership::message& value,
                   const membership::response_sender&) {
                if (const auto* reply = std::get_if<membership::relay_response>(&value)) {
                    this->peers.handle_response(*reply);
                }
            },
            [this](const membership::member& other) { this->peers.on_peer_connected(other.name); },
            [](const membership::member&) {},
            [](const common::error&) {
            }};
    }

    membership::network_hooks peer_hooks()
    {
        return {[this](const membership::member&, const membership::message& value,
                       const membership::response_sender& respond) {
                    if (const auto* call = std::get_if<membership::relay_call>(&value)) {
                        ++this->relayed_calls;
                        respond(membership::relay_response{call->number, net::status_ok,
                                                           "by the peer"});
                    }
                },
                [](const membership::member&) {}, [](const membership::member&) {},
                [](const common::error&) {
                }};
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto limit = this->clock.steady_now() + std::chrono::seconds(5);
        while (!condition() && this->clock.steady_now() < limit) {
            this->context.restart();
            this->context.run_one_for(milliseconds(50));
        }
        cr_assert(condition());
    }

    net::http_response call()
    {
        std::optional<common::result<net::http_response>> answer;
        net::http_request request;
        request.method = "GET";
        request.target = "/";
        this->transport.call(
            request, milliseconds{0}, call_limit,
            [&answer](common::result<net::http_response> got) { answer.emplace(std::move(got)); });
        this->run_until([&answer] { return answer.has_value(); });
        cr_assert(answer->has_value(), "%s", answer->error().to_string().c_str());
        return answer->value();
    }

    boost::asio::io_context context;
    common::real_clock clock;
    common::event_log log{"self"};
    daemon::fleet_metrics metrics;
    int relayed_calls = 0;
    slow_store store;
    membership::peer_network network;
    membership::peer_network peer;
    daemon::peer_client peers;
    daemon::store_transport transport;
};

} // namespace

Test(store_transport, a_response_that_is_arriving_is_not_asked_for_over_other_routes)
{
    transport_with_peer node("a byte at", 9); // three times the delay of the next route
    cr_assert(node.call().body == "a byte at");
    cr_assert(node.relayed_calls == 0, "%d", node.relayed_calls);
}

Test(store_transport, a_response_that_stops_arriving_is_asked_for_over_another_route)
{
    transport_with_peer node("a byte at", 4);
    cr_assert(node.call().body == "by the peer");
    cr_assert(node.relayed_calls == 1, "%d", node.relayed_calls);
}
