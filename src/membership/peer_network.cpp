#include "membership/peer_network.h"

#include <deque>
#include <optional>
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
/// Accepted connections without a valid proof that may be open at once; a fleet has some 40 entry
/// nodes, each of which makes one and at times a second one.
constexpr std::size_t max_unproven = 128;
/// A process without free descriptors accepts again after this time.
constexpr common::milliseconds accept_delay{50};
constexpr common::milliseconds connect_timeout{1000};
constexpr common::milliseconds reconnect_delay{300};
constexpr common::milliseconds handshake_timeout{3000};

/// A network may drop the state of an open connection, which is then silent for good. A peer is
/// therefore pinged when it has sent nothing for this long after a message, and from time to time.
constexpr common::milliseconds ping_delay{250};
constexpr common::milliseconds idle_ping_interval{15'000};

/// After this time without an answer to a ping, a second connection is made. If it is ready before
/// the first one answers, it takes its place; a peer that is merely busy answers on the first.
constexpr common::milliseconds replacement_delay{250};
constexpr common::milliseconds silence_check_interval{100};

/// A connection from a peer that has pinged before is closed when nothing arrives for this long.
constexpr common::milliseconds abandoned_limit{60'000};

/// A replacement that does not answer within this time is given up.
constexpr common::milliseconds replacement_limit{2000};

/// Whatever was sent this long before bytes arrived had arrived itself.
constexpr common::milliseconds arrival_limit{1000};

/// Frames without an answer that are kept in order to send them again.
constexpr std::size_t max_retained_bytes = std::size_t{128} * 1024;

/// A call that every version of a node answers, although earlier ones do not know it.
constexpr std::uint64_t ping_number = 0;
constexpr std::string_view ping_target = "/peer/ping";

bool is_ping(const message& value)
{
    const auto* call = std::get_if<relay_call>(&value);
    return call != nullptr && call->number == ping_number && call->target == ping_target;
}

bool is_ping_response(const message& value)
{
    const auto* response = std::get_if<relay_response>(&value);
    return response != nullptr && response->number == ping_number;
}

common::milliseconds elapsed_between(common::steady_time begin, common::steady_time end)
{
    return std::chrono::duration_cast<common::milliseconds>(end - begin);
}

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

/// Frames that were sent and may not have arrived. Not thread safe.
class retained_frames {
public:
    void add(const std::string& frame, delivery how, common::steady_time now)
    {
        this->frames.push_back({frame, how, now});
        this->size += frame.size();
        if (this->size > max_retained_bytes) {
            this->complete_from = this->next_number();
            this->drop_before(this->complete_from);
        }
    }

    /// Records that a ping follows the frames added so far.
    void add_ping()
    {
        this->pings.push_back(this->next_number());
    }

    /// Records the response to the first unanswered ping: the frames before it have arrived.
    void confirm_ping()
    {
        if (!this->pings.empty()) {
            this->confirmed = std::max(this->confirmed, this->pings.front());
            this->pings.pop_front();
            this->drop_before(this->confirmed);
        }
    }

    /// Records that all frames sent before a time have arrived.
    void confirm_sent_before(common::steady_time time)
    {
        const auto first_later =
            std::find_if(this->frames.begin(), this->frames.end(),
                         [time](const entry& each) { return each.sent_at >= time; });
        this->confirmed = std::max(
            this->confirmed,
            this->first_number + static_cast<std::uint64_t>(first_later - this->frames.begin()));
        this->drop_before(this->confirmed);
    }

    /// Returns whether all frames that may not have arrived are retained and may be sent again.
    [[nodiscard]] bool may_repeat() const
    {
        return this->confirmed >= this->complete_from &&
               std::all_of(this->frames.begin(), this->frames.end(),
                           [](const entry& each) { return each.how == delivery::at_least_once; });
    }

    [[nodiscard]] std::size_t count() const
    {
        return this->frames.size();
    }

    /// Calls `action` with each frame, in the order in which they were sent.
    template <typename Action>
    void for_each(Action action) const
    {
        for (const entry& each : this->frames) {
            action(each.frame, each.how);
        }
    }

private:
    struct entry {
        std::string frame;
        delivery how = delivery::at_most_once;
        common::steady_time sent_at;
    };

    [[nodiscard]] std::uint64_t next_number() const
    {
        return this->first_number + this->frames.size();
    }

    void drop_before(std::uint64_t number)
    {
        while (this->first_number < number && !this->frames.empty()) {
            this->size -= this->frames.front().frame.size();
            this->frames.pop_front();
            ++this->first_number;
        }
    }

    std::deque<entry> frames;
    std::deque<std::uint64_t> pings; ///< number of the frame after each unanswered ping
    std::uint64_t first_number = 0;  ///< of the first retained frame
    std::uint64_t confirmed = 0;     ///< all frames before this one have arrived
    std::uint64_t complete_from = 0; ///< an unconfirmed frame before this one was dropped
    std::size_t size = 0;
};

/// One connection: performs the handshake (hello and proof), then exchanges messages.
class peer_connection final : public std::enable_shared_from_this<peer_connection> {
public:
    struct callbacks {
        std::function<void(peer_connection&)> on_ready;
        std::function<void(peer_connection&, const message&)> on_message;
        std::function<void(peer_connection&, const common::error&)> on_end;
    };

    /// `shared_buffer` is used within one handler at a time. `outgoing` tells whether this node
    /// made the connection.
    peer_connection(tcp::socket&& connected, bool outgoing, const member& own,
                    const std::string& shared_secret, std::vector<char>& shared_buffer,
                    callbacks handlers)
        : socket(std::move(connected)), is_outgoing(outgoing), timer(this->socket.get_executor()),
          self(own), secret(shared_secret), read_buffer(shared_buffer), hooks(std::move(handlers)),
          nonce(common::random_hex(nonce_bytes)), opened_at(std::chrono::steady_clock::now()),
          received_at(this->opened_at)
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

    void send(const message& value, delivery how = delivery::at_most_once)
    {
        if (this->ended) {
            return;
        }
        if (this->queued_frames >= max_queued_frames) {
            this->end(errc::too_large, "send to peer", "send queue full; the peer does not read");
            return;
        }
        const std::string frame = encode_frame(value);
        if (this->ready && this->is_outgoing && !is_ping(value)) {
            this->retained.add(frame, how, std::chrono::steady_clock::now());
        }
        this->send_frame(frame);
    }

    void send_ping()
    {
        this->pinged_at = std::chrono::steady_clock::now();
        this->retained.add_ping();
        this->send(relay_call{ping_number, "GET", std::string(ping_target), {}, {}, {}});
    }

    /// Sends again what was sent on an earlier connection and may not have arrived.
    void send_again(const retained_frames& earlier)
    {
        const auto now = std::chrono::steady_clock::now();
        earlier.for_each([this, now](const std::string& frame, delivery how) {
            this->retained.add(frame, how, now);
            this->send_frame(frame);
        });
    }

    void respond_to_ping()
    {
        this->is_pinged_by_peer = true;
        this->send(relay_response{ping_number, 200, {}});
    }

    void confirm_ping()
    {
        this->retained.confirm_ping();
    }

    [[nodiscard]] const retained_frames& unconfirmed_frames() const
    {
        return this->retained;
    }

    [[nodiscard]] bool needs_ping(common::steady_time now) const
    {
        return !this->pinged_at &&
               (this->unanswered_since ? now - *this->unanswered_since >= ping_delay
                                       : now - this->received_at >= idle_ping_interval);
    }

    /// Returns whether a ping has not been answered for too long.
    [[nodiscard]] bool is_silent(common::steady_time now) const
    {
        return this->pinged_at && now - *this->pinged_at >= replacement_delay;
    }

    /// Returns whether a connection that is to replace another one has not answered for too long.
    [[nodiscard]] bool is_useless(common::steady_time now) const
    {
        return this->ended || (this->pinged_at && now - *this->pinged_at >= replacement_limit);
    }

    /// Forgets the frames that have arrived by all that is known.
    void forget_arrived_frames(common::steady_time now)
    {
        this->retained.confirm_sent_before((this->unanswered_since ? this->received_at : now) -
                                           arrival_limit);
    }

    /// Returns whether the peer, which pings, has left a connection that it had made.
    [[nodiscard]] bool is_abandoned(common::steady_time now) const
    {
        return this->is_pinged_by_peer && now - this->received_at >= abandoned_limit;
    }

    /// Returns whether the peer made the connection and has not proved that it is an entry node.
    [[nodiscard]] bool is_unproven() const
    {
        return !this->is_outgoing && !this->ready;
    }

    [[nodiscard]] bool is_older_than(const peer_connection& other) const
    {
        return this->opened_at < other.opened_at;
    }

    /// Describes a connection that is silent.
    [[nodiscard]] silent_peer describe_silence(common::steady_time now) const
    {
        return {this->remote.name, elapsed_between(this->opened_at, now),
                elapsed_between(this->received_at, now), this->retained.count()};
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
    void send_frame(const std::string& frame)
    {
        if (this->is_outgoing && !this->unanswered_since) {
            this->unanswered_since = std::chrono::steady_clock::now();
        }
        this->uncollected_bytes += frame.size();
        this->send_queue += frame;
        if (this->queued_frames++ == 0 && !this->writing) {
            this->schedule_write();
        }
    }

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
            this->received_at = std::chrono::steady_clock::now();
            this->unanswered_since.reset();
            this->pinged_at.reset();
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
    bool is_outgoing;
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
    retained_frames retained;
    common::steady_time opened_at;
    common::steady_time received_at; ///< the latest bytes; none yet: opened
    /// The first frame that was sent after them.
    std::optional<common::steady_time> unanswered_since;
    std::optional<common::steady_time> pinged_at; ///< unset once anything has arrived
    bool is_pinged_by_peer = false;
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
          hooks(std::move(handlers)), acceptor(io), check_timer(io)
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

    bool send(const std::string& name, const message& value, delivery how)
    {
        const auto found = this->outgoing.find(name);
        if (found == this->outgoing.end()) {
            return false;
        }
        peer_connection& connection = *found->second.connection;
        connection.send(value, how);
        this->total_bytes_sent += connection.collect_sent_bytes();
        return true;
    }

    void send_to_all(const message& value)
    {
        std::vector<std::string> names;
        for (const auto& [name, connection] : this->outgoing) {
            names.push_back(name);
        }
        for (const std::string& name : names) {
            this->send(name, value, delivery::at_least_once);
        }
    }

    void close()
    {
        this->closed = true;
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->check_timer.cancel();
        const auto copy = this->connections;
        for (const auto& connection : copy) {
            connection->close();
        }
        this->connections.clear();
        this->outgoing.clear();
    }

    std::uint64_t total_bytes_sent = 0;

    void schedule_check()
    {
        this->check_timer.expires_after(silence_check_interval);
        this->check_timer.async_wait(
            [self = this->shared_from_this()](const boost::system::error_code& failure) {
                if (!failure && !self->closed) {
                    self->check_connections(std::chrono::steady_clock::now());
                    self->schedule_check();
                }
            });
    }

private:
    struct outgoing_connection {
        std::shared_ptr<peer_connection> connection;
        net::endpoint target;
    };

    void check_connections(common::steady_time now)
    {
        std::erase_if(this->replacing, [this, now](const auto& each) {
            const bool is_useless = each.second && each.second->is_useless(now);
            if (is_useless) {
                each.second->close();
                this->connections.erase(each.second);
            }
            return is_useless;
        });
        std::vector<outgoing_connection> silent;
        for (const auto& [name, each] : this->outgoing) {
            each.connection->forget_arrived_frames(now);
            if (each.connection->is_silent(now) && !this->replacing.contains(each.target)) {
                silent.push_back(each);
            }
        }
        for (const outgoing_connection& each : silent) {
            if (this->hooks.on_silence) {
                this->hooks.on_silence(each.connection->describe_silence(now));
            }
            this->replacing[each.target] = nullptr;
            this->connect(each.target);
        }
        const auto copy = this->connections;
        for (const auto& each : copy) {
            if (each->needs_ping(now) && this->is_in_use(*each)) {
                each->send_ping();
                this->total_bytes_sent += each->collect_sent_bytes();
            } else if (each->is_abandoned(now)) {
                each->close();
                this->connections.erase(each);
            }
        }
    }

    [[nodiscard]] bool is_in_use(const peer_connection& connection) const
    {
        const auto found = this->outgoing.find(connection.peer().name);
        return found != this->outgoing.end() && found->second.connection.get() == &connection;
    }

    [[nodiscard]] bool is_connected_to(const net::endpoint& target) const
    {
        return std::any_of(this->outgoing.begin(), this->outgoing.end(),
                           [&target](const auto& each) { return each.second.target == target; });
    }

    /// Returns whether a connection that could not be made was to replace one that still exists.
    /// Another replacement may be made after a moment.
    bool give_up_replacement(const net::endpoint& target)
    {
        if (!this->replacing.contains(target) || !this->is_connected_to(target)) {
            this->replacing.erase(target);
            return false;
        }
        auto timer = std::make_shared<asio::steady_timer>(this->context, reconnect_delay);
        timer->async_wait([self = this->shared_from_this(), timer, target](
                              const boost::system::error_code&) { self->replacing.erase(target); });
        return true;
    }

    void use_connection(peer_connection& connection, const net::endpoint& target)
    {
        const auto replacement = this->replacing.find(target);
        if (replacement == this->replacing.end() || !this->is_connected_to(target)) {
            this->replacing.erase(target);
            this->outgoing[connection.peer().name] = {connection.shared_from_this(), target};
            this->hooks.on_connected(connection.peer());
            return;
        }
        // A ping that is sent now is answered after those on the earlier connection, if at all.
        replacement->second = connection.shared_from_this();
        connection.send_ping();
        this->total_bytes_sent += connection.collect_sent_bytes();
    }

    void handle_ping_response(peer_connection& connection,
                              const std::optional<net::endpoint>& target)
    {
        connection.confirm_ping();
        const auto replacement = target ? this->replacing.find(*target) : this->replacing.end();
        if (replacement != this->replacing.end() && replacement->second.get() == &connection) {
            this->replacing.erase(replacement);
            this->replace_if_silent(connection, *target);
        }
    }

    void replace_if_silent(peer_connection& connection, const net::endpoint& target)
    {
        const auto found = this->outgoing.find(connection.peer().name);
        if (found == this->outgoing.end()) {
            this->outgoing[connection.peer().name] = {connection.shared_from_this(), target};
            this->hooks.on_connected(connection.peer());
            return;
        }
        if (!found->second.connection->is_silent(std::chrono::steady_clock::now())) {
            connection.close();
            this->connections.erase(connection.shared_from_this());
            return;
        }
        const auto earlier = std::exchange(found->second.connection, connection.shared_from_this());
        earlier->close();
        this->connections.erase(earlier);
        if (earlier->peer() == connection.peer() && earlier->unconfirmed_frames().may_repeat()) {
            connection.send_again(earlier->unconfirmed_frames());
            this->total_bytes_sent += connection.collect_sent_bytes();
            return;
        }
        this->hooks.on_disconnected(earlier->peer());
        this->hooks.on_connected(connection.peer());
    }

    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const boost::system::error_code& failure,
                                              tcp::socket socket) {
                if (self->closed || failure == asio::error::operation_aborted) {
                    return;
                }
                if (!failure) {
                    self->start_accepted(std::move(socket));
                }
                if (!failure || failure == asio::error::connection_aborted) {
                    self->accept();
                } else {
                    self->accept_later();
                }
            });
    }

    void accept_later()
    {
        auto timer = std::make_shared<asio::steady_timer>(this->context, accept_delay);
        timer->async_wait(
            [self = this->shared_from_this(), timer](const boost::system::error_code&) {
                if (!self->closed) {
                    self->accept();
                }
            });
    }

    /// Entry nodes prove themselves at once, so of too many connections the oldest is closed.
    void start_accepted(tcp::socket&& socket)
    {
        std::size_t unproven = 0;
        std::shared_ptr<peer_connection> oldest;
        for (const auto& each : this->connections) {
            if (each->is_unproven()) {
                ++unproven;
                oldest = !oldest || each->is_older_than(*oldest) ? each : oldest;
            }
        }
        if (unproven >= max_unproven) {
            oldest->close();
            this->connections.erase(oldest);
            this->hooks.on_rejected(make_error(errc::unavailable, "authenticate peer", {},
                                               "too many connections wait for a proof"));
        }
        this->start_connection(std::move(socket), std::nullopt);
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
                                      if (!self->give_up_replacement(address)) {
                                          self->schedule_reconnect(address);
                                      }
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
                self->use_connection(connection, *target);
            } else if (const auto address = net::parse_endpoint(connection.peer().address)) {
                self->connect_to(*address); // The peer may have been unknown before it connected.
            }
        };
        handlers.on_message = [self = this->shared_from_this(), target](peer_connection& connection,
                                                                        const message& value) {
            if (is_ping(value)) {
                connection.respond_to_ping();
                self->total_bytes_sent += connection.collect_sent_bytes();
                return;
            }
            if (is_ping_response(value)) {
                self->handle_ping_response(connection, target);
                return;
            }
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
        auto connection =
            std::make_shared<peer_connection>(std::move(socket), target.has_value(), this->self,
                                              this->secret, this->read_buffer, std::move(handlers));
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
        const bool was_in_use = this->is_in_use(connection);
        if (was_in_use) {
            this->outgoing.erase(connection.peer().name);
            this->hooks.on_disconnected(connection.peer());
        }
        if (!target || this->closed) {
            return;
        }
        auto replacement = this->replacing.extract(*target);
        if (was_in_use && !replacement.empty()) {
            // It is an ordinary connection from now on.
            if (const auto ready = replacement.mapped()) {
                this->outgoing[ready->peer().name] = {ready, *target};
                this->hooks.on_connected(ready->peer());
            }
            return;
        }
        this->replacing.insert(std::move(replacement));
        if (!this->give_up_replacement(*target)) {
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
    std::map<std::string, outgoing_connection> outgoing; ///< by peer name
    /// Connections that are to replace silent ones, by target; null until they are ready.
    std::map<net::endpoint, std::shared_ptr<peer_connection>> replacing;
    asio::steady_timer check_timer;
    bool closed = false;
};

peer_network::peer_network(asio::io_context& context, member self, std::string secret,
                           network_hooks hooks)
    : inner(std::make_shared<implementation>(context, std::move(self), std::move(secret),
                                             std::move(hooks)))
{
    this->inner->schedule_check();
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

bool peer_network::send(const std::string& name, const message& value, delivery how)
{
    return this->inner->send(name, value, how);
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
