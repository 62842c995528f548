#include "membership/peer_network.h"

#include <vector>

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
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
constexpr std::size_t max_handshake_bytes = 4096;
constexpr std::size_t max_queued_frames = 4096;
/// How much one handler reads. With less, a process that is behind would not even read in one pass
/// over its connections what a busy peer sends in the meantime.
constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;
constexpr std::size_t nonce_bytes = 16;
constexpr common::milliseconds connect_timeout{1000};
constexpr common::milliseconds reconnect_delay{300};
constexpr common::milliseconds handshake_timeout{3000};

std::string encode_frame(const message& value)
{
    const std::string body = encode(value);
    std::string frame;
    for (std::size_t i = length_bytes; i > 0; --i) {
        frame += static_cast<char>((body.size() >> (8 * (i - 1))) & 0xFFU);
    }
    return frame + body;
}

/// Precondition: `header` has `length_bytes` bytes.
std::size_t decode_length(std::string_view header)
{
    std::size_t length = 0;
    for (const char byte : header) {
        length = (length << 8U) | static_cast<unsigned char>(byte);
    }
    return length;
}

/// One connection: performs the handshake (hello and proof), then exchanges messages.
class peer_connection final : public std::enable_shared_from_this<peer_connection> {
public:
    struct callbacks {
        std::function<void(peer_connection&)> on_ready;
        std::function<void(peer_connection&, const message&)> on_message;
        std::function<void(peer_connection&, const common::error&)> on_end;
    };

    /// `shared_buffer` is used within one handler at a time.
    peer_connection(tcp::socket&& connected, const member& own, const std::string& shared_secret,
                    std::vector<char>& shared_buffer, callbacks handlers)
        : socket(std::move(connected)), timer(this->socket.get_executor()), self(own),
          secret(shared_secret), read_buffer(shared_buffer), hooks(std::move(handlers)),
          nonce(common::random_hex(nonce_bytes))
    {
    }

    void start()
    {
        boost::system::error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        this->socket.non_blocking(true, ignored);
        // Closes a connection soon after the network fails, so that a new one is made when it
        // recovers.
        const unsigned unacknowledged_ms = 4000;
        ::setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &unacknowledged_ms, sizeof(unacknowledged_ms));
        this->timer.expires_after(handshake_timeout);
        this->timer.async_wait(
            [self = this->shared_from_this()](const boost::system::error_code& failure) {
                if (!failure && !self->ready) {
                    self->end(errc::timed_out, "authenticate peer",
                              "no valid proof before the time-out");
                }
            });
        this->send(hello{message_version, this->self, this->nonce});
        this->wait_for_data();
    }

    void send(const message& value)
    {
        if (this->ended) {
            return;
        }
        if (this->queued_frames >= max_queued_frames) {
            this->end(errc::too_large, "send to peer", "send queue full; the peer does not read");
            return;
        }
        const std::string frame = encode_frame(value);
        this->uncollected_bytes += frame.size();
        this->send_queue += frame;
        if (this->queued_frames++ == 0 && !this->writing) {
            this->schedule_write();
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
        return this->remote;
    }

    std::uint64_t collect_sent_bytes()
    {
        return std::exchange(this->uncollected_bytes, 0);
    }

private:
    void wait_for_data()
    {
        this->socket.async_wait(
            tcp::socket::wait_read,
            [self = this->shared_from_this()](const boost::system::error_code& failure) {
                if (!self->end_on_failure(failure)) {
                    self->read_available();
                }
            });
    }

    void read_available()
    {
        boost::system::error_code failure;
        const std::size_t size = this->socket.read_some(asio::buffer(this->read_buffer), failure);
        if (failure == asio::error::would_block) {
            this->wait_for_data();
            return;
        }
        if (!this->end_on_failure(failure)) {
            this->received.append(this->read_buffer.data(), size);
            this->handle_received();
        }
    }

    void handle_received()
    {
        std::size_t handled = 0;
        while (!this->ended && this->received.size() - handled >= length_bytes) {
            const std::string_view rest = std::string_view(this->received).substr(handled);
            const std::size_t length = decode_length(rest.substr(0, length_bytes));
            const std::size_t max_length = this->ready ? max_frame_bytes : max_handshake_bytes;
            if (length > max_length) {
                this->end(errc::too_large, "read from peer",
                          "frame of " + std::to_string(length) + " bytes exceeds the limit of " +
                              std::to_string(max_length));
                return;
            }
            if (rest.size() - length_bytes < length) {
                break;
            }
            handled += length_bytes + length;
            this->handle_frame(std::string(rest.substr(length_bytes, length)));
        }
        this->received.erase(0, handled);
        if (!this->ended) {
            this->wait_for_data();
        }
    }

    bool end_on_failure(const boost::system::error_code& failure)
    {
        if (failure) {
            this->end(errc::connection_lost, "read from peer", failure.message());
        }
        return static_cast<bool>(failure);
    }

    void handle_frame(const std::string& body)
    {
        const auto decoded = decode(body, this->remote.name);
        if (!decoded) {
            this->end(errc::bad_message, decoded.error().step, decoded.error().detail);
            return;
        }
        if (!this->ready) {
            this->handle_handshake(decoded.value());
            return;
        }
        try {
            this->hooks.on_message(*this, decoded.value());
        } catch (const std::exception& failure) {
            this->end(errc::bad_message, "handle peer message", failure.what());
            throw; // whoever runs the context decides what else the error means
        }
    }

    void handle_handshake(const message& value)
    {
        if (const auto* greeting = std::get_if<hello>(&value)) {
            if (greeting->version != message_version) {
                this->end(errc::bad_message, "authenticate peer",
                          "unsupported message version " + std::to_string(greeting->version));
                return;
            }
            this->remote = greeting->sender;
            this->send(proof{proof_code(this->secret, greeting->nonce, this->self)});
            return;
        }
        const auto* received_proof = std::get_if<proof>(&value);
        const bool is_valid =
            received_proof != nullptr &&
            common::equal_in_constant_time(received_proof->code,
                                           proof_code(this->secret, this->nonce, this->remote));
        if (!is_valid) {
            this->end(errc::refused, "authenticate peer",
                      "missing or wrong proof of the shared secret");
            return;
        }
        this->ready = true;
        this->timer.cancel();
        this->hooks.on_ready(*this);
    }

    /// Writes after the current handler, so that all frames it sends need one system call.
    void schedule_write()
    {
        this->writing = true;
        asio::post(this->socket.get_executor(),
                   [self = this->shared_from_this()] { self->write_queued(); });
    }

    void write_queued()
    {
        if (this->ended) {
            return;
        }
        this->writing_bytes = std::exchange(this->send_queue, {});
        this->queued_frames = 0;
        asio::async_write(this->socket, asio::buffer(this->writing_bytes),
                          [self = this->shared_from_this()](
                              const boost::system::error_code& failure, std::size_t) {
                              if (failure) {
                                  self->end(errc::connection_lost, "send to peer",
                                            failure.message());
                                  return;
                              }
                              self->writing = !self->send_queue.empty();
                              if (self->writing) {
                                  self->write_queued();
                              }
                          });
    }

    void end(errc code, const std::string& step, const std::string& detail)
    {
        if (this->ended) {
            return;
        }
        this->close();
        this->hooks.on_end(*this, make_error(code, step, this->remote.name, detail));
    }

    tcp::socket socket;
    asio::steady_timer timer;
    const member& self;
    const std::string& secret;
    std::vector<char>& read_buffer;
    callbacks hooks;
    std::string nonce;
    member remote;
    std::string received;      ///< not handled yet
    std::string send_queue;    ///< frames that wait for the write under way
    std::string writing_bytes; ///< of the write under way
    std::size_t queued_frames = 0;
    std::uint64_t uncollected_bytes = 0;
    bool writing = false;
    bool ready = false;
    bool ended = false;
};

} // namespace

class peer_network::implementation final : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, member own, std::string shared_secret,
                   network_hooks handlers)
        : context(io), self(std::move(own)), secret(std::move(shared_secret)),
          hooks(std::move(handlers)), acceptor(io)
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
        this->total_bytes_sent += found->second->collect_sent_bytes();
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
        for (const auto& connection : copy) {
            connection->close();
        }
        this->connections.clear();
        this->outgoing.clear();
    }

    std::uint64_t total_bytes_sent = 0;

private:
    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const boost::system::error_code& failure,
                                              tcp::socket socket) {
                if (!failure && !self->closed) {
                    self->start_connection(std::move(socket), std::nullopt);
                }
                if (!self->closed && failure != asio::error::operation_aborted) {
                    self->accept();
                }
            });
    }

    void connect(const net::endpoint& address)
    {
        auto socket = std::make_shared<tcp::socket>(this->context);
        auto timer = std::make_shared<asio::steady_timer>(this->context, connect_timeout);
        timer->async_wait([socket](const boost::system::error_code& failure) {
            boost::system::error_code ignored;
            if (!failure) {
                socket->close(ignored);
            }
        });
        boost::system::error_code ignored;
        socket->async_connect({asio::ip::make_address(address.address, ignored), address.port},
                              [self = this->shared_from_this(), socket, timer,
                               address](const boost::system::error_code& failure) {
                                  timer->cancel();
                                  if (self->closed) {
                                      return;
                                  }
                                  if (failure) {
                                      self->schedule_reconnect(address);
                                      return;
                                  }
                                  self->start_connection(std::move(*socket), address);
                              });
    }

    void schedule_reconnect(const net::endpoint& address)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->context, reconnect_delay);
        timer->async_wait(
            [self = this->shared_from_this(), timer, address](const boost::system::error_code&) {
                if (!self->closed) {
                    self->connect(address);
                }
            });
    }

    void start_connection(tcp::socket&& socket, const std::optional<net::endpoint>& target)
    {
        peer_connection::callbacks handlers;
        handlers.on_ready = [self = this->shared_from_this(), target](peer_connection& connection) {
            if (target) {
                self->outgoing[connection.peer().name] = connection.shared_from_this();
                self->hooks.on_connected(connection.peer());
            } else if (const auto address = net::parse_endpoint(connection.peer().address)) {
                self->connect_to(*address); // The peer may have been unknown before it connected.
            }
        };
        handlers.on_message = [self = this->shared_from_this()](peer_connection& connection,
                                                                const message& value) {
            const std::weak_ptr<peer_connection> weak = connection.weak_from_this();
            self->hooks.on_message(connection.peer(), value, [self, weak](const message& response) {
                if (const auto locked = weak.lock()) {
                    locked->send(response);
                    self->total_bytes_sent += locked->collect_sent_bytes();
                }
            });
        };
        handlers.on_end = [self = this->shared_from_this(), target](peer_connection& connection,
                                                                    const common::error& cause) {
            self->on_connection_end(connection, target, cause);
        };
        auto connection = std::make_shared<peer_connection>(
            std::move(socket), this->self, this->secret, this->read_buffer, std::move(handlers));
        this->connections.insert(connection);
        connection->start();
    }

    void on_connection_end(peer_connection& connection, const std::optional<net::endpoint>& target,
                           const common::error& cause)
    {
        this->connections.erase(connection.shared_from_this());
        if (cause.code != errc::connection_lost) {
            this->hooks.on_rejected(cause);
        }
        const auto found = this->outgoing.find(connection.peer().name);
        if (found != this->outgoing.end() && found->second.get() == &connection) {
            this->outgoing.erase(found);
            this->hooks.on_disconnected(connection.peer());
        }
        if (target && !this->closed) {
            this->schedule_reconnect(*target);
        }
    }

    asio::io_context& context;
    member self;
    std::string secret;
    network_hooks hooks;
    tcp::acceptor acceptor;
    std::vector<char> read_buffer = std::vector<char>(read_buffer_bytes);
    std::set<net::endpoint> addresses;
    std::set<std::shared_ptr<peer_connection>> connections;
    std::map<std::string, std::shared_ptr<peer_connection>> outgoing; ///< by peer name
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
    return this->inner->total_bytes_sent;
}

void peer_network::close()
{
    this->inner->close();
}

} // namespace chervilslip::membership
