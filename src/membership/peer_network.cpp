#include "membership/peer_network.h"

#include <array>
#include <deque>

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "common/crypto.h"

namespace chervilslip::membership {

namespace {

namespace asio = boost::asio;
using common::errc;
using common::make_error;
using tcp = asio::ip::tcp;

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t max_greeting_bytes = 4096;
constexpr std::size_t max_waiting_frames = 4096;
constexpr std::size_t nonce_bytes = 16;
constexpr common::milliseconds connect_limit{1000};
constexpr common::milliseconds retry_delay{300};
constexpr common::milliseconds greeting_limit{3000};

std::string frame_of(const message& value)
{
    const std::string body = encode(value);
    std::string frame;
    for (std::size_t i = length_bytes; i > 0; --i) {
        frame += static_cast<char>((body.size() >> (8 * (i - 1))) & 0xFFU);
    }
    return frame + body;
}

std::size_t length_of(const std::array<unsigned char, length_bytes>& header)
{
    std::size_t length = 0;
    for (const unsigned char byte : header) {
        length = (length << 8U) | byte;
    }
    return length;
}

/// One connection: exchanges hello and proof, then carries messages.
class peer_connection final : public std::enable_shared_from_this<peer_connection> {
public:
    struct callbacks {
        std::function<void(peer_connection&)> on_ready;
        std::function<void(peer_connection&, const message&)> on_message;
        std::function<void(peer_connection&, const common::error&)> on_end;
    };

    peer_connection(tcp::socket&& connected, const member& own, const std::string& shared_secret,
                    callbacks wanted)
        : socket(std::move(connected)), timer(this->socket.get_executor()), self(own),
          secret(shared_secret), hooks(std::move(wanted)), nonce(common::random_hex(nonce_bytes))
    {
    }

    void start()
    {
        boost::system::error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        // Ends a connection over a cut network soon, so that a new one is made when it heals.
        const unsigned unacknowledged_ms = 4000;
        ::setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &unacknowledged_ms, sizeof(unacknowledged_ms));
        this->timer.expires_after(greeting_limit);
        this->timer.async_wait(
            [self = this->shared_from_this()](const boost::system::error_code& failure) {
                if (!failure && !self->ready) {
                    self->end(errc::timed_out, "greet peer", "no proof in time");
                }
            });
        this->send(hello{message_version, this->self, this->nonce});
        this->read_length();
    }

    void send(const message& value)
    {
        if (this->ended) {
            return;
        }
        if (this->waiting.size() >= max_waiting_frames) {
            this->end(errc::too_large, "send to peer", "the peer does not read");
            return;
        }
        this->waiting.push_back(frame_of(value));
        this->bytes += this->waiting.back().size();
        if (this->waiting.size() == 1) {
            this->write_next();
        }
    }

    void close()
    {
        this->ended = true;
        this->timer.cancel();
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    [[nodiscard]] const member& peer() const
    {
        return this->other;
    }

    std::uint64_t take_bytes()
    {
        return std::exchange(this->bytes, 0);
    }

private:
    void read_length()
    {
        asio::async_read(this->socket, asio::buffer(this->header),
                         [self = this->shared_from_this()](const boost::system::error_code& failure,
                                                           std::size_t) {
                             if (self->ended_with(failure)) {
                                 return;
                             }
                             self->read_body(length_of(self->header));
                         });
    }

    void read_body(std::size_t length)
    {
        const std::size_t most = this->ready ? max_frame_bytes : max_greeting_bytes;
        if (length > most) {
            this->end(errc::too_large, "read from peer",
                      "a frame of " + std::to_string(length) + " bytes; the limit is " +
                          std::to_string(most));
            return;
        }
        this->body.resize(length);
        asio::async_read(this->socket, asio::buffer(this->body),
                         [self = this->shared_from_this()](const boost::system::error_code& failure,
                                                           std::size_t) {
                             if (self->ended_with(failure)) {
                                 return;
                             }
                             self->take_frame();
                         });
    }

    bool ended_with(const boost::system::error_code& failure)
    {
        if (failure) {
            this->end(errc::connection_lost, "read from peer", failure.message());
        }
        return static_cast<bool>(failure);
    }

    void take_frame()
    {
        const auto received = decode(this->body, this->other.name);
        if (!received) {
            this->end(errc::bad_message, received.error().step, received.error().detail);
            return;
        }
        if (this->ready) {
            this->hooks.on_message(*this, received.value());
        } else if (!this->greet(received.value())) {
            return;
        }
        if (!this->ended) {
            this->read_length();
        }
    }

    bool greet(const message& value)
    {
        if (const auto* first = std::get_if<hello>(&value)) {
            if (first->version != message_version) {
                this->end(errc::bad_message, "greet peer",
                          "message version " + std::to_string(first->version));
                return false;
            }
            this->other = first->sender;
            this->send(proof{proof_code(this->secret, first->nonce, this->self)});
            return true;
        }
        const auto* shown = std::get_if<proof>(&value);
        const bool proven = shown != nullptr &&
                            common::equal_in_constant_time(
                                shown->code, proof_code(this->secret, this->nonce, this->other));
        if (!proven) {
            this->end(errc::refused, "greet peer", "the proof of the shared secret is wrong");
            return false;
        }
        this->ready = true;
        this->timer.cancel();
        this->hooks.on_ready(*this);
        return true;
    }

    void write_next()
    {
        asio::async_write(this->socket, asio::buffer(this->waiting.front()),
                          [self = this->shared_from_this()](
                              const boost::system::error_code& failure, std::size_t) {
                              if (failure) {
                                  self->end(errc::connection_lost, "send to peer",
                                            failure.message());
                                  return;
                              }
                              self->waiting.pop_front();
                              if (!self->waiting.empty()) {
                                  self->write_next();
                              }
                          });
    }

    void end(errc code, const std::string& step, const std::string& detail)
    {
        if (this->ended) {
            return;
        }
        this->close();
        this->hooks.on_end(*this, make_error(code, step, this->other.name, detail));
    }

    tcp::socket socket;
    asio::steady_timer timer;
    const member& self;
    const std::string& secret;
    callbacks hooks;
    std::string nonce;
    member other;
    std::array<unsigned char, length_bytes> header{};
    std::string body;
    std::deque<std::string> waiting;
    std::uint64_t bytes = 0;
    bool ready = false;
    bool ended = false;
};

} // namespace

class peer_network::implementation final : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, member own, std::string shared_secret,
                   network_hooks wanted)
        : context(io), self(std::move(own)), secret(std::move(shared_secret)),
          hooks(std::move(wanted)), acceptor(io)
    {
    }

    common::result<net::endpoint> listen()
    {
        const auto address = net::parse_endpoint(this->self.address);
        boost::system::error_code failure = asio::error::invalid_argument;
        if (address) {
            const tcp::endpoint local{asio::ip::make_address(address->address, failure),
                                      address->port};
            this->acceptor.open(local.protocol(), failure);
            this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
            this->acceptor.bind(local, failure);
        }
        if (!failure) {
            this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            return make_error(errc::connect_failed, "listen for peers", this->self.address,
                              failure.message());
        }
        this->accept();
        const net::endpoint opened{address->address, this->acceptor.local_endpoint(failure).port()};
        this->self.address = opened.to_string();
        return opened;
    }

    void connect_to(const net::endpoint& address)
    {
        if (address.to_string() != this->self.address && this->addresses.insert(address).second) {
            this->connect(address);
        }
    }

    bool send(const std::string& name, const message& value)
    {
        const auto found = this->outgoing.find(name);
        if (found == this->outgoing.end()) {
            return false;
        }
        found->second->send(value);
        this->sent += found->second->take_bytes();
        return true;
    }

    void send_to_all(const message& value)
    {
        std::vector<std::string> names;
        for (const auto& [name, connection] : this->outgoing) {
            names.push_back(name);
        }
        for (const std::string& name : names) {
            this->send(name, value);
        }
    }

    void close()
    {
        this->closed = true;
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        const auto copy = this->connections;
        for (const auto& each : copy) {
            each->close();
        }
        this->connections.clear();
        this->outgoing.clear();
    }

    std::uint64_t sent = 0;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [me = this->shared_from_this()](const boost::system::error_code& failure,
                                            tcp::socket socket) {
                if (!failure && !me->closed) {
                    me->open(std::move(socket), std::nullopt);
                }
                if (!me->closed && failure != asio::error::operation_aborted) {
                    me->accept();
                }
            });
    }

    void connect(const net::endpoint& address)
    {
        auto socket = std::make_shared<tcp::socket>(this->context);
        auto timer = std::make_shared<asio::steady_timer>(this->context, connect_limit);
        timer->async_wait([socket](const boost::system::error_code& failure) {
            boost::system::error_code ignored;
            if (!failure) {
                socket->close(ignored);
            }
        });
        boost::system::error_code ignored;
        socket->async_connect({asio::ip::make_address(address.address, ignored), address.port},
                              [me = this->shared_from_this(), socket, timer,
                               address](const boost::system::error_code& failure) {
                                  timer->cancel();
                                  if (me->closed) {
                                      return;
                                  }
                                  if (failure) {
                                      me->connect_later(address);
                                      return;
                                  }
                                  me->open(std::move(*socket), address);
                              });
    }

    void connect_later(const net::endpoint& address)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->context, retry_delay);
        timer->async_wait(
            [me = this->shared_from_this(), timer, address](const boost::system::error_code&) {
                if (!me->closed) {
                    me->connect(address);
                }
            });
    }

    void open(tcp::socket&& socket, const std::optional<net::endpoint>& target)
    {
        peer_connection::callbacks wanted;
        wanted.on_ready = [me = this->shared_from_this(), target](peer_connection& each) {
            if (target) {
                me->outgoing[each.peer().name] = each.shared_from_this();
                me->hooks.on_connected(each.peer());
            } else if (const auto back = net::parse_endpoint(each.peer().address)) {
                me->connect_to(*back); // The peer was not known before it called.
            }
        };
        wanted.on_message = [me = this->shared_from_this()](peer_connection& each,
                                                            const message& value) {
            const std::weak_ptr<peer_connection> weak = each.weak_from_this();
            me->hooks.on_message(each.peer(), value, [me, weak](const message& answer) {
                if (const auto live = weak.lock()) {
                    live->send(answer);
                    me->sent += live->take_bytes();
                }
            });
        };
        wanted.on_end = [me = this->shared_from_this(), target](peer_connection& each,
                                                                const common::error& cause) {
            me->ended(each, target, cause);
        };
        auto made = std::make_shared<peer_connection>(std::move(socket), this->self, this->secret,
                                                      std::move(wanted));
        this->connections.insert(made);
        made->start();
    }

    void ended(peer_connection& each, const std::optional<net::endpoint>& target,
               const common::error& cause)
    {
        this->connections.erase(each.shared_from_this());
        if (cause.code != errc::connection_lost) {
            this->hooks.on_rejected(cause);
        }
        const auto found = this->outgoing.find(each.peer().name);
        if (found != this->outgoing.end() && found->second.get() == &each) {
            this->outgoing.erase(found);
            this->hooks.on_disconnected(each.peer());
        }
        if (target && !this->closed) {
            this->connect_later(*target);
        }
    }

    asio::io_context& context;
    member self;
    std::string secret;
    network_hooks hooks;
    tcp::acceptor acceptor;
    std::set<net::endpoint> addresses;
    std::set<std::shared_ptr<peer_connection>> connections;
    std::map<std::string, std::shared_ptr<peer_connection>> outgoing; ///< by the peer's name
    bool closed = false;
};

peer_network::peer_network(asio::io_context& context, member self, std::string secret,
                           network_hooks hooks)
    : inner(std::make_shared<implementation>(context, std::move(self), std::move(secret),
                                             std::move(hooks)))
{
}

peer_network::~peer_network()
{
    this->inner->close();
}

common::result<net::endpoint> peer_network::listen()
{
    return this->inner->listen();
}

void peer_network::connect_to(const net::endpoint& address)
{
    this->inner->connect_to(address);
}

bool peer_network::send(const std::string& name, const message& value)
{
    return this->inner->send(name, value);
}

void peer_network::send_to_all(const message& value)
{
    this->inner->send_to_all(value);
}

std::uint64_t peer_network::bytes_sent() const
{
    return this->inner->sent;
}

void peer_network::close()
{
    this->inner->close();
}

} // namespace chervilslip::membership
