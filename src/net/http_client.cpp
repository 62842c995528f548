#include "net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

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
    if (failure == http::error::body_limit || failure == http::error::header_limit) {
        return errc::too_large;
    }
    return errc::connection_lost;
}

} // namespace

class http_client::pool final : public std::enable_shared_from_this<pool> {
public:
    pool(asio::io_context& io, std::size_t idle_limit, std::size_t body_limit)
        : context(io), idle_connections(idle_limit), body_bytes(body_limit)
    {
    }

    std::unique_ptr<beast::tcp_stream> take_idle(const endpoint& peer)
    {
        auto& idle_of_peer = this->idle[peer];
        while (!idle_of_peer.empty()) {
            auto stream = std::move(idle_of_peer.back());
            idle_of_peer.pop_back();
            if (is_still_open(stream->socket())) {
                return stream;
            }
        }
        return nullptr;
    }

    void give_back(const endpoint& peer, std::unique_ptr<beast::tcp_stream> stream)
    {
        auto& idle_of_peer = this->idle[peer];
        if (!this->closed && idle_of_peer.size() < this->idle_connections) {
            stream->expires_never();
            idle_of_peer.push_back(std::move(stream));
        }
    }

    void close()
    {
        this->closed = true;
        this->idle.clear();
    }

    asio::io_context& context;
    std::size_t idle_connections;
    std::size_t body_bytes;
    std::map<endpoint, std::vector<std::unique_ptr<beast::tcp_stream>>> idle;
    bool closed = false;
};

namespace {

/// One call from connect to answer.
template <typename Pool>
class call_state final : public std::enable_shared_from_this<call_state<Pool>> {
public:
    call_state(std::shared_ptr<Pool> owner, endpoint target, http_request&& request,
               common::milliseconds limit, http_answer handler, http_progress progress_handler)
        : connections(std::move(owner)), peer(std::move(target)),
          message(to_beast(std::move(request), this->peer)), time_limit(limit),
          answer(std::move(handler)), progress(std::move(progress_handler))
    {
        this->parser.body_limit(this->connections->body_bytes);
        this->parser.eager(true);
    }

    void start()
    {
        this->stream = this->connections->take_idle(this->peer);
        if (this->stream) {
            this->stream->expires_after(this->time_limit);
            this->send();
            return;
        }
        this->connect();
    }

private:
    void connect()
    {
        boost::system::error_code failure;
        const auto address = asio::ip::make_address(this->peer.address, failure);
        this->stream = std::make_unique<beast::tcp_stream>(this->connections->context);
        this->stream->expires_after(this->time_limit);
        if (failure) {
            this->finish_later(make_error(errc::connect_failed, "connect", this->peer.to_string(),
                                          "not an IP address"));
            return;
        }
        this->stream->async_connect(
            tcp::endpoint{address, this->peer.port},
            [self = this->shared_from_this()](const boost::system::error_code& cause) {
                if (cause) {
                    self->finish(make_error(errc::connect_failed, "connect", self->peer.to_string(),
                                            cause.message()));
                    return;
                }
                boost::system::error_code ignored;
                self->stream->socket().set_option(tcp::no_delay(true), ignored);
                // A call that is given up is reset: bytes that a cut network still holds must not
                // arrive once it heals, because others may have acted in the meantime.
                self->stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
                self->send();
            });
    }

    void send()
    {
        http::async_write(*this->stream, this->message,
                          [self = this->shared_from_this()](
                              const boost::system::error_code& failure, std::size_t) {
                              if (failure) {
                                  self->fail("send request", failure);
                                  return;
                              }
                              self->receive();
                          });
    }

    void receive()
    {
        this->buffer.reserve(read_size);
        http::async_read_some(*this->stream, this->buffer, this->parser,
                              [self = this->shared_from_this()](
                                  const boost::system::error_code& failure, std::size_t) {
                                  if (failure) {
                                      self->fail("receive answer", failure, self->received_part());
                                  } else if (self->parser.is_done()) {
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
        auto received = this->parser.release();
        if (received.keep_alive()) {
            this->connections->give_back(this->peer, std::move(this->stream));
        }
        this->finish(from_beast(std::move(received)));
    }

    /// Tells a response that is too slow from none at all.
    [[nodiscard]] std::string received_part() const
    {
        if (!this->parser.is_header_done()) {
            return {};
        }
        const auto whole = this->parser.content_length();
        return " after " + std::to_string(this->parser.get().body().size()) + " of " +
               (whole ? std::to_string(*whole) : "?") + " bytes";
    }

    void fail(std::string step, const boost::system::error_code& failure,
              const std::string& received = {})
    {
        if (failure == beast::error::timeout) {
            // Other idle connections to a silent peer may be just as silent.
            this->connections->idle.erase(this->peer);
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
        if (auto handler = std::exchange(this->answer, nullptr)) {
            handler(std::move(outcome));
        }
    }

    std::shared_ptr<Pool> connections;
    endpoint peer;
    http::request<http::string_body> message;
    common::milliseconds time_limit;
    http_answer answer;
    http_progress progress;
    std::unique_ptr<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
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
                                       std::move(answer), std::move(progress))
        ->start();
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
    beast::flat_buffer buffer;
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
