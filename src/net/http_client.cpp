#include "net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/http_status.h"

namespace chervilslip::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using common::errc;
using common::error;
using common::make_error;

namespace {

/// Bytes of a response that one read takes at most. Each read waits for its turn on the event loop,
/// so a large response that is read in small pieces takes seconds while the process is busy.
constexpr std::size_t read_size = std::size_t{64} * 1024;

/// Bounds a response's header, and the chunk extensions and trailer section that the parser can't
/// use until they are complete. Its own header limit holds for neither, and not for a header of
/// which each read ends shortly after the beginning of a field.
constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;

/// Idle connections that their peers have closed are closed at this interval, and those that have
/// not been used for some time.
constexpr std::chrono::seconds sweep_interval{2};
constexpr std::chrono::seconds max_idle_time{60};

constexpr std::size_t max_line_bytes = std::size_t{16} * 1024 * 1024;

http::request<http::string_body> to_beast(http_request&& request, const endpoint& peer)
{
    http::request<http::string_body> message{http::string_to_verb(request.method), request.target,
                                             11};
    message.set(http::field::host, peer.to_string());
    message.set(http::field::content_type, "application/json");
    for (const http_field& field : request.fields) {
        message.set(field.name, field.value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

http_response from_beast(http::response<http::string_body>&& message)
{
    http_response response;
    response.status = message.result_int();
    response.content_type = std::string(message[http::field::content_type]);
    for (const auto& field : message) {
        response.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.body = std::move(message.body());
    return response;
}

/// Returns whether a status says that the peer has not acted on the request.
bool is_rejection(unsigned status)
{
    return status == status_too_many_requests || status == status_unavailable;
}

bool is_still_open(tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code failure;
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failure);
    return failure == asio::error::would_block;
}

errc cause_of(const boost::system::error_code& failure)
{
    if (failure == beast::error::timeout) {
        return errc::timed_out;
    }
    if (failure == http::error::body_limit || failure == http::error::header_limit ||
        failure == http::error::buffer_overflow) {
        return errc::too_large;
    }
    return errc::connection_lost;
}

/// A connection with what is known of its use.
struct connection {
    std::unique_ptr<beast::tcp_stream> stream;
    common::steady_time opened_at;
    common::steady_time answered_at; ///< when the latest response on it was complete
};

/// A call on a kept connection.
class kept_connection_call {
public:
    kept_connection_call() = default;
    kept_connection_call(const kept_connection_call&) = delete;
    kept_connection_call& operator=(const kept_connection_call&) = delete;
    virtual ~kept_connection_call() = default;

    /// Returns when the request was sent.
    [[nodiscard]] virtual common::steady_time request_time() const = 0;

    /// Gives up the connection, which is silent.
    virtual void leave_connection() = 0;
};

} // namespace

class http_client::pool final : public std::enable_shared_from_this<pool> {
public:
    pool(asio::io_context& io, std::size_t idle_limit, std::size_t body_limit)
        : context(io), idle_connections(idle_limit), body_bytes(body_limit)
    {
    }

    std::optional<connection> take_idle(const endpoint& peer)
    {
        auto& idle_of_peer = this->idle[peer];
        while (!idle_of_peer.empty()) {
            connection kept = std::move(idle_of_peer.back());
            idle_of_peer.pop_back();
            if (is_still_open(kept.stream->socket())) {
                return kept;
            }
        }
        return std::nullopt;
    }

    void give_back(const endpoint& peer, connection used)
    {
        const auto now = std::chrono::steady_clock::now();
        if (now - this->swept_at >= sweep_interval) {
            this->sweep(now);
        }
        auto& idle_of_peer = this->idle[peer];
        if (!this->closed && idle_of_peer.size() < this->idle_connections) {
            used.stream->expires_never();
            used.answered_at = now;
            idle_of_peer.push_back(std::move(used));
        }
    }

    /// Closes connections to peers that are gone. Without it they would stay until their address is
    /// used again.
    void sweep(common::steady_time now)
    {
        this->swept_at = now;
        for (auto each = this->idle.begin(); each != this->idle.end();) {
            std::erase_if(each->second, [now](const connection& kept) {
                return now - kept.answered_at >= max_idle_time ||
                       !is_still_open(kept.stream->socket());
            });
            each = each->second.empty() ? this->idle.erase(each) : std::next(each);
        }
    }

    [[nodiscard]] std::size_t idle_count() const
    {
        std::size_t count = 0;
        for (const auto& [peer, kept] : this->idle) {
            count += kept.size();
        }
        return count;
    }

    void add_call(const endpoint& peer, const std::shared_ptr<kept_connection_call>& call)
    {
        this->calls[peer].push_back(call);
    }

    void remove_call(const endpoint& peer, const kept_connection_call* call)
    {
        const auto found = this->calls.find(peer);
        if (found == this->calls.end()) {
            return;
        }
        std::erase_if(found->second, [call](const auto& each) { return each.get() == call; });
        if (found->second.empty()) {
            this->calls.erase(found);
        }
    }

    /// Handles a request of `sent_at` on a kept connection that got no response. Connections to the
    /// peer that have not been heard of since may have gone silent with it.
    void handle_silence(const endpoint& peer, const connection& silent, common::steady_time sent_at)
    {
        std::vector<std::shared_ptr<kept_connection_call>> left;
        for (const auto& each : this->calls[peer]) {
            if (each->request_time() <= sent_at) {
                left.push_back(each);
            }
        }
        const std::size_t closed_idle =
            std::erase_if(this->idle[peer],
                          [sent_at](const connection& each) { return each.answered_at < sent_at; });
        if (this->silence_callback) {
            const auto between = [](common::steady_time begin, common::steady_time end) {
                return std::chrono::duration_cast<common::milliseconds>(end - begin);
            };
            this->silence_callback({peer, between(silent.opened_at, sent_at),
                                    between(silent.answered_at, sent_at),
                                    closed_idle + left.size()});
        }
        for (const auto& each : left) {
            each->leave_connection();
        }
    }

    void close()
    {
        this->closed = true;
        this->idle.clear();
        this->calls.clear();
    }

    asio::io_context& context;
    std::size_t idle_connections;
    std::size_t body_bytes;
    std::map<endpoint, std::vector<connection>> idle;
    common::steady_time swept_at;
    /// Calls on kept connections that have a silence policy, by peer.
    std::map<endpoint, std::vector<std::shared_ptr<kept_connection_call>>> calls;
    std::function<void(const silent_connection&)> silence_callback;
    bool closed = false;
};

namespace {

/// One call from connect to answer.
template <typename Pool>
class call_state final : public kept_connection_call,
                         public std::enable_shared_from_this<call_state<Pool>> {
public:
    call_state(std::shared_ptr<Pool> owner, endpoint target, http_request&& outgoing,
               common::milliseconds limit, std::optional<silence_policy> for_silence,
               http_answer handler, http_progress progress_handler)
        : connections(std::move(owner)), peer(std::move(target)), request(std::move(outgoing)),
          deadline(std::chrono::steady_clock::now() + limit), policy(std::move(for_silence)),
          answer(std::move(handler)), progress(std::move(progress_handler)),
          silence_timer(this->connections->context)
    {
    }

    void start()
    {
        auto kept = this->connections->take_idle(this->peer);
        if (!kept) {
            this->begin_attempt({});
            this->connect();
            return;
        }
        this->is_kept = true;
        this->begin_attempt(std::move(*kept));
        if (this->policy) {
            this->connections->add_call(this->peer, this->shared_from_this());
            this->await_silence(this->policy->limit);
        }
        this->send();
    }

    [[nodiscard]] common::steady_time request_time() const override
    {
        return this->sent_at;
    }

    void leave_connection() override
    {
        if (this->may_repeat()) {
            this->repeat();
            return;
        }
        const auto left = std::exchange(this->current, nullptr);
        this->finish(make_error(errc::timed_out, "receive answer", this->peer.to_string(),
                                "the connection is silent"));
    }

private:
    /// What one attempt reads and writes. Handlers of an earlier attempt may still refer to it.
    struct attempt {
        connection used;
        http::request<http::string_body> message;
        beast::flat_buffer buffer{max_header_bytes + read_size};
        http::response_parser<http::string_body> parser;
        std::size_t header_bytes = 0;

        /// Counts bytes that were received; returns whether the header is within its limit.
        bool is_header_bounded(std::size_t received)
        {
            this->header_bytes += this->parser.is_header_done() ? 0 : received;
            return this->header_bytes <= max_header_bytes;
        }
    };

    using attempt_pointer = std::shared_ptr<attempt>;

    void begin_attempt(connection used)
    {
        this->current = std::make_shared<attempt>();
        this->current->used = std::move(used);
        this->current->message =
            to_beast(this->policy && this->policy->repeats && !this->is_repeated
                         ? http_request(this->request)
                         : std::move(this->request),
                     this->peer);
        this->current->parser.body_limit(this->connections->body_bytes);
        this->current->parser.eager(true);
        this->sent_at = std::chrono::steady_clock::now();
        if (this->current->used.stream) {
            this->current->used.stream->expires_at(this->deadline);
        }
    }

    /// Returns whether the request went out on a kept connection and may be sent once more.
    [[nodiscard]] bool may_repeat() const
    {
        return this->policy && this->policy->repeats && !this->is_repeated && this->is_kept;
    }

    void repeat()
    {
        this->is_repeated = true;
        this->silence_timer.cancel();
        this->connections->remove_call(this->peer, this);
        if (this->policy->repeated_body) {
            this->request.body = std::move(*this->policy->repeated_body);
        }
        this->begin_attempt({});
        this->connect();
    }

    void await_silence(common::milliseconds time)
    {
        this->silence_timer.expires_after(time);
        this->silence_timer.async_wait([self = this->shared_from_this()](
                                           const boost::system::error_code& failure) {
            if (!failure && self->answer && !self->is_repeated && self->is_unanswered()) {
                self->connections->handle_silence(self->peer, self->current->used, self->sent_at);
            }
        });
    }

    /// Returns whether no byte has arrived. A response that waits in the socket of a busy process
    /// has arrived.
    [[nodiscard]] bool is_unanswered() const
    {
        return !this->current->parser.got_some() &&
               is_still_open(this->current->used.stream->socket());
    }

    void connect()
    {
        boost::system::error_code failure;
        const auto address = asio::ip::make_address(this->peer.address, failure);
        this->current->used.stream =
            std::make_unique<beast::tcp_stream>(this->connections->context);
        this->current->used.stream->expires_at(this->connect_deadline());
        if (failure) {
            this->finish_later(make_error(errc::connect_failed, "connect", this->peer.to_string(),
                                          "not an IP address"));
            return;
        }
        this->current->used.stream->async_connect(
            tcp::endpoint{address, this->peer.port},
            [self = this->shared_from_this(),
             from = this->current](const boost::system::error_code& cause) {
                if (from != self->current) {
                    return;
                }
                if (cause) {
                    self->finish(
                        make_error(self->is_repeated ? errc::connection_lost : errc::connect_failed,
                                   "connect", self->peer.to_string(), cause.message()));
                    return;
                }
                from->used.opened_at = std::chrono::steady_clock::now();
                from->used.stream->expires_at(self->deadline);
                boost::system::error_code ignored;
                from->used.stream->socket().set_option(tcp::no_delay(true), ignored);
                // A call that is given up is reset: bytes that a cut network still holds must not
                // arrive once it heals, because others may have acted in the meantime.
                from->used.stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
                self->send();
            });
    }

    [[nodiscard]] common::steady_time connect_deadline() const
    {
        const bool is_limited = this->policy && this->policy->connect_limit.count() > 0;
        return is_limited ? std::min(this->deadline,
                                     std::chrono::steady_clock::now() + this->policy->connect_limit)
                          : this->deadline;
    }

    void send()
    {
        http::async_write(*this->current->used.stream, this->current->message,
                          [self = this->shared_from_this(), from = this->current](
                              const boost::system::error_code& failure, std::size_t) {
                              if (from != self->current) {
                                  return;
                              }
                              if (failure) {
                                  self->fail("send request", failure);
                                  return;
                              }
                              self->receive();
                          });
    }

    void receive()
    {
        this->current->buffer.reserve(read_size);
        http::async_read_some(*this->current->used.stream, this->current->buffer,
                              this->current->parser,
                              [self = this->shared_from_this(), from = this->current](
                                  const boost::system::error_code& failure, std::size_t size) {
                                  if (from != self->current) {
                                      return;
                                  }
                                  if (failure) {
                                      self->fail("receive answer", failure, self->received_part());
                                  } else if (!from->is_header_bounded(size)) {
                                      self->fail("receive answer", http::error::header_limit);
                                  } else if (from->parser.is_done()) {
                                      self->deliver();
                                  } else {
                                      if (self->progress) {
                                          self->progress();
                                      }
                                      self->receive();
                                  }
                              });
    }

    void deliver()
    {
        auto received = this->current->parser.release();
        if (received.keep_alive()) {
            this->connections->give_back(this->peer, std::move(this->current->used));
        }
        const bool is_read = this->current->message.method() == http::verb::get;
        if (this->is_repeated && !is_read && is_rejection(received.result_int())) {
            this->finish(make_error(errc::connection_lost, "receive answer", this->peer.to_string(),
                                    "status " + std::to_string(received.result_int()) +
                                        " to the second copy, no response to the first"));
            return;
        }
        this->finish(from_beast(std::move(received)));
    }

    /// Tells a response that is too slow from none at all.
    [[nodiscard]] std::string received_part() const
    {
        const auto& parser = this->current->parser;
        if (!parser.is_header_done()) {
            return {};
        }
        const auto whole = parser.content_length();
        return " after " + std::to_string(parser.get().body().size()) + " of " +
               (whole ? std::to_string(*whole) : "?") + " bytes";
    }

    void fail(std::string step, const boost::system::error_code& failure,
              const std::string& received = {})
    {
        if (failure == beast::error::timeout) {
            // Other idle connections to a silent peer may be just as silent.
            this->connections->idle.erase(this->peer);
        } else if (this->may_repeat() && !this->current->parser.got_some()) {
            this->repeat();
            return;
        }
        this->finish(make_error(cause_of(failure), std::move(step), this->peer.to_string(),
                                failure.message() + received));
    }

    void finish_later(error cause)
    {
        asio::post(this->connections->context,
                   [self = this->shared_from_this(), cause] { self->finish(cause); });
    }

    void finish(common::result<http_response> outcome)
    {
        this->silence_timer.cancel();
        this->connections->remove_call(this->peer, this);
        if (auto handler = std::exchange(this->answer, nullptr)) {
            handler(std::move(outcome));
        }
    }

    std::shared_ptr<Pool> connections;
    endpoint peer;
    http_request request; ///< empty once it will not be sent again
    common::steady_time deadline;
    std::optional<silence_policy> policy;
    http_answer answer;
    http_progress progress;
    asio::steady_timer silence_timer;
    attempt_pointer current;
    common::steady_time sent_at;
    bool is_kept = false;     ///< the first attempt went out on a kept connection
    bool is_repeated = false; ///< the first attempt may have reached the peer
};

} // namespace

http_client::http_client(asio::io_context& context, std::size_t idle_connections,
                         std::size_t body_bytes)
    : connections(std::make_shared<pool>(context, idle_connections, body_bytes))
{
}

http_client::~http_client()
{
    this->connections->close();
}

void http_client::call(const endpoint& peer, http_request request, common::milliseconds time_limit,
                       http_answer answer, http_progress progress)
{
    std::make_shared<call_state<pool>>(this->connections, peer, std::move(request), time_limit,
                                       std::nullopt, std::move(answer), std::move(progress))
        ->start();
}

void http_client::call(const endpoint& peer, http_request request, common::milliseconds time_limit,
                       silence_policy policy, http_answer answer, http_progress progress)
{
    std::make_shared<call_state<pool>>(this->connections, peer, std::move(request), time_limit,
                                       std::move(policy), std::move(answer), std::move(progress))
        ->start();
}

std::size_t http_client::idle_connections() const
{
    return this->connections->idle_count();
}

void http_client::on_silence(std::function<void(const silent_connection&)> callback)
{
    this->connections->silence_callback = std::move(callback);
}

class http_stream::implementation final : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, endpoint target, http_request&& request,
                   common::milliseconds connect_limit, common::milliseconds silence,
                   line_handler line, stream_end_handler end)
        : stream(io), peer(std::move(target)), message(to_beast(std::move(request), this->peer)),
          connect_time(connect_limit), silence_limit(silence), on_line(std::move(line)),
          on_end(std::move(end))
    {
        this->parser.body_limit(boost::none);
    }

    void start()
    {
        boost::system::error_code ignored;
        const auto address = asio::ip::make_address(this->peer.address, ignored);
        this->stream.expires_after(this->connect_time);
        this->stream.async_connect(
            tcp::endpoint{address, this->peer.port},
            [self = this->shared_from_this()](const boost::system::error_code& failure) {
                if (self->ended_with(failure, "connect")) {
                    return;
                }
                self->send();
            });
    }

    void cancel()
    {
        this->on_end = nullptr;
        this->on_line = nullptr;
        boost::system::error_code ignored;
        this->stream.socket().close(ignored);
    }

private:
    void send()
    {
        http::async_write(this->stream, this->message,
                          [self = this->shared_from_this()](
                              const boost::system::error_code& failure, std::size_t) {
                              if (self->ended_with(failure, "send request")) {
                                  return;
                              }
                              self->read_header();
                          });
    }

    void read_header()
    {
        http::async_read_header(
            this->stream, this->buffer, this->parser,
            [self = this->shared_from_this()](const boost::system::error_code& failure,
                                              std::size_t) {
                if (self->ended_with(failure, "receive header")) {
                    return;
                }
                if (self->parser.get().result_int() != 200) {
                    self->end(
                        make_error(errc::unavailable, "open stream", self->peer.to_string(),
                                   "status " + std::to_string(self->parser.get().result_int())));
                    return;
                }
                self->read_some();
            });
    }

    void read_some()
    {
        if (this->silence_limit.count() > 0) {
            this->stream.expires_after(this->silence_limit);
        } else {
            this->stream.expires_never();
        }
        http::async_read_some(
            this->stream, this->buffer, this->parser,
            [self = this->shared_from_this()](const boost::system::error_code& failure,
                                              std::size_t) {
                self->take_lines();
                if (self->ended_with(failure, "receive stream")) {
                    return;
                }
                if (self->parser.is_done()) {
                    self->end(make_error(errc::connection_lost, "receive stream",
                                         self->peer.to_string(), "the peer ended the stream"));
                    return;
                }
                self->read_some();
            });
    }

    void take_lines()
    {
        auto& body = this->parser.get().body();
        this->pending += body;
        body.clear();
        std::size_t begin = 0;
        for (std::size_t end = this->pending.find('\n', begin); end != std::string::npos;
             end = this->pending.find('\n', begin)) {
            if (this->on_line && end > begin) {
                this->on_line(this->pending.substr(begin, end - begin));
            }
            begin = end + 1;
        }
        this->pending.erase(0, begin);
        if (this->pending.size() > max_line_bytes) {
            this->end(make_error(errc::too_large, "receive stream", this->peer.to_string(),
                                 "a line is too long"));
        }
    }

    bool ended_with(const boost::system::error_code& failure, const std::string& step)
    {
        if (failure) {
            this->end(
                make_error(cause_of(failure), step, this->peer.to_string(), failure.message()));
        }
        return failure || !this->on_end;
    }

    void end(const error& reason)
    {
        boost::system::error_code ignored;
        this->stream.socket().close(ignored);
        if (auto handler = std::exchange(this->on_end, nullptr)) {
            handler(reason);
        }
    }

    beast::tcp_stream stream;
    endpoint peer;
    http::request<http::string_body> message;
    common::milliseconds connect_time;
    common::milliseconds silence_limit;
    line_handler on_line;
    stream_end_handler on_end;
    beast::flat_buffer buffer{max_header_bytes + read_size};
    http::response_parser<http::string_body> parser;
    std::string pending;
};

http_stream::http_stream(asio::io_context& context, endpoint peer, http_request request,
                         common::milliseconds connect_time, common::milliseconds silence_limit,
                         line_handler on_line, stream_end_handler on_end)
    : inner(std::make_shared<implementation>(context, std::move(peer), std::move(request),
                                             connect_time, silence_limit, std::move(on_line),
                                             std::move(on_end)))
{
    this->inner->start();
}

http_stream::~http_stream()
{
    this->inner->cancel();
}

common::result<http_response> call_and_wait(const endpoint& peer, http_request request,
                                            common::milliseconds time_limit)
{
    constexpr std::size_t body_bytes = std::size_t{64} * 1024 * 1024;
    asio::io_context context;
    http_client client(context, 0, body_bytes);
    std::optional<common::result<http_response>> outcome;
    client.call(peer, std::move(request), time_limit,
                [&outcome](common::result<http_response> received) {
                    outcome.emplace(std::move(received));
                });
    context.run();
    return std::move(*outcome);
}

} // namespace chervilslip::net
