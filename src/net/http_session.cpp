#include "net/http_session.h"

#include <algorithm>
#include <array>

#include <boost/beast/http/status.hpp>

#include "net/http_status.h"

namespace chervilslip::net {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using common::errc;
using common::make_error;

namespace {

constexpr std::size_t max_waiting_chunks = 4096;

/// Of a session in memory: itself, what the event loop holds for its socket, and its place in the
/// lists.
constexpr std::size_t session_bytes = sizeof(http_session) + 512;

/// After the last answer, what the client still sends is discarded for this long, so that the
/// answer is not lost to a reset.
constexpr common::milliseconds finish_time{1000};

/// A connection over the limit of connections has this long to send a header and to take the
/// refusal.
constexpr common::milliseconds turn_away_time{1000};

constexpr common::steady_time no_deadline = common::steady_time::max();

constexpr std::string_view retry_after_seconds = "1";

std::string make_head(const http_response& response, unsigned version, bool keep_alive)
{
    namespace http = boost::beast::http;
    const auto reason = http::obsolete_reason(http::int_to_status(response.status));
    std::string head;
    head.reserve(256);
    head += version == 10 ? "HTTP/1.0 " : "HTTP/1.1 ";
    head += std::to_string(response.status);
    head += ' ';
    head.append(reason.data(), reason.size());
    head += "\r\nContent-Type: ";
    head += response.content_type;
    for (const http_field& field : response.fields) {
        head += "\r\n";
        head += field.name;
        head += ": ";
        head += field.value;
    }
    head += "\r\nContent-Length: ";
    head += std::to_string(response.body.size());
    if (!keep_alive && version != 10) {
        head += "\r\nConnection: close";
    } else if (keep_alive && version == 10) {
        head += "\r\nConnection: keep-alive";
    }
    head += "\r\n\r\n";
    return head;
}

common::steady_time now_from_clock()
{
    return std::chrono::steady_clock::now();
}

class session_exchange final : public http_exchange {
public:
    explicit session_exchange(std::shared_ptr<http_session> owner) : connection(std::move(owner))
    {
    }

    session_exchange(const session_exchange&) = delete;
    session_exchange& operator=(const session_exchange&) = delete;

    ~session_exchange() override
    {
        if (!this->answered) {
            this->connection->send(error_response(500, "answer request", "no answer was made"));
        }
    }

    void respond(http_response response) override
    {
        if (std::exchange(this->answered, true)) {
            return;
        }
        this->connection->send(std::move(response));
    }

    void begin_stream(const std::string& content_type) override
    {
        this->answered = true;
        this->connection->begin_stream(content_type);
    }

    bool write_chunk(const std::string& text) override
    {
        return this->connection->write_chunk(text);
    }

    void drop() override
    {
        this->answered = true;
        this->connection->close();
    }

private:
    std::shared_ptr<http_session> connection;
    bool answered = false;
};

} // namespace

http_session::http_session(tcp::socket&& connected, std::shared_ptr<http_listener> owner,
                           common::steady_time now, bool is_turned_away)
    : socket(std::move(connected)), listener(std::move(owner)),
      budget_account(this->listener->budget.open(now)),
      reader(this->listener->limits.header_bytes, this->listener->limits.body_bytes),
      turn_away(is_turned_away)
{
    error_code ignored;
    this->peer = this->socket.remote_endpoint(ignored).address().to_string(ignored);
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
}

void http_session::start()
{
    this->next_request();
}

void http_session::close_if_idle()
{
    if (this->current == state::idle) {
        this->close();
    }
}

void http_session::close()
{
    if (this->current == state::closed) {
        return;
    }
    this->current = state::closed;
    this->deadline = no_deadline;
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    this->reader.clear();
    this->listener->remove(*this);
}

void http_session::shed()
{
    if (this->current == state::receiving) {
        this->refuse_request(refusal_reason::memory_limit,
                             "the clients' requests and answers take too much memory");
        return;
    }
    if (this->current == state::sending) {
        this->listener->observer(refusal_reason::unread_answer,
                                 make_error(errc::timed_out, "send answer", this->peer,
                                            "the client does not read, and memory is short"));
    }
    this->close();
}

void http_session::make_way()
{
    this->listener->observer(refusal_reason::connection_limit,
                             make_error(errc::unavailable, "accept connection", this->peer,
                                        "an idle connection was closed for a new one"));
    this->close();
}

bool http_session::is_late(common::steady_time now) const
{
    return now >= this->deadline;
}

void http_session::end_late()
{
    if (this->current == state::receiving) {
        this->refuse_late();
        return;
    }
    if (this->current == state::sending) {
        this->listener->observer(refusal_reason::unread_answer,
                                 make_error(errc::timed_out, "send answer", this->peer,
                                            "the client did not read the answer in time"));
    }
    this->close();
}

memory_budget::account_id http_session::account() const
{
    return this->budget_account;
}

bool http_session::is_turned_away() const
{
    return this->turn_away;
}

void http_session::enter(state next, connection_phase phase, common::steady_time now)
{
    this->current = next;
    this->deadline = no_deadline;
    this->listener->budget.set_phase(this->budget_account, phase, now);
}

void http_session::next_request()
{
    const auto now = now_from_clock();
    this->enter(state::idle, connection_phase::idle, now);
    this->deadline = now + (this->turn_away ? turn_away_time : this->listener->limits.idle_time);
    this->update_held();
    if (this->reader.has_bytes()) {
        this->take_bytes({});
        return;
    }
    this->await_bytes();
}

void http_session::await_bytes()
{
    if (std::exchange(this->waiting, true)) {
        return;
    }
    this->socket.async_wait(
        tcp::socket::wait_read, [self = this->shared_from_this()](const error_code& failure) {
            self->waiting = false;
            if (failure) {
                self->close();
            } else if (self->current == state::idle || self->current == state::receiving) {
                self->read();
            } else if (self->current == state::finishing) {
                self->discard();
            }
            // Otherwise the bytes stay in the kernel until the answer is sent.
        });
}

void http_session::read()
{
    error_code failure;
    const std::size_t size =
        this->socket.read_some(asio::buffer(this->listener->read_buffer), failure);
    if (failure == asio::error::would_block) {
        this->await_bytes();
    } else if (failure == asio::error::eof) {
        this->end_of_input();
    } else if (failure) {
        this->close();
    } else {
        this->take_bytes({this->listener->read_buffer.data(), size});
    }
}

void http_session::take_bytes(std::string_view bytes)
{
    const auto now = now_from_clock();
    if (this->current == state::idle) {
        this->enter(state::receiving, connection_phase::receiving, now);
        this->deadline =
            now + (this->turn_away ? turn_away_time : this->listener->limits.header_time);
    }
    const bool header_was_done = this->reader.is_header_done();
    const auto progress = this->reader.feed(bytes);
    if (progress == request_reader::progress::failed) {
        this->refuse(this->reader.failure());
        return;
    }
    this->update_held();
    if (this->reader.is_header_done()) {
        this->version = static_cast<std::uint8_t>(this->reader.version());
    }
    if (progress == request_reader::progress::complete) {
        this->hand_over(now);
        return;
    }
    this->after_part(header_was_done, now);
}

void http_session::after_part(bool header_was_done, common::steady_time now)
{
    if (!header_was_done && this->reader.is_header_done()) {
        if (this->turn_away) {
            this->refuse_request(refusal_reason::connection_limit, {});
            return;
        }
        this->deadline = now + this->listener->limits.body_time;
        if (this->reader.expects_continue()) {
            this->send_continue();
        }
    }
    this->listener->shed_excess(now);
    if (this->current == state::receiving) {
        this->await_bytes();
    }
}

void http_session::send_continue()
{
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code failure;
    // Only a client that has left earlier answers unread has no room for this.
    const std::size_t size =
        this->socket.write_some(asio::buffer(text.data(), text.size()), failure);
    if (failure || size < text.size()) {
        this->close();
    }
}

void http_session::hand_over(common::steady_time now)
{
    if (this->turn_away) {
        this->refuse_request(refusal_reason::connection_limit, {});
        return;
    }
    this->keep_alive = this->reader.keep_alive();
    this->request_bytes = this->reader.held();
    this->enter(state::handling, connection_phase::handling, now);
    http_request request = this->reader.take();
    request.peer = this->peer;
    this->update_held();
    this->listener->shed_excess(now);
    this->listener->handler(request, std::make_shared<session_exchange>(this->shared_from_this()));
}

void http_session::end_of_input()
{
    if (this->current == state::idle) {
        this->close();
        return;
    }
    this->refuse({status_bad_request, refusal_reason::incomplete, errc::connection_lost,
                  this->reader.is_header_done() ? "read body" : "read header",
                  "the request ended before it was whole"});
}

void http_session::refuse_late()
{
    this->refuse({408, refusal_reason::timed_out, errc::timed_out,
                  this->reader.is_header_done() ? "read body" : "read header",
                  "the request did not arrive in time"});
}

/// Refuses a request that would have been served at another time. 503 promises that the work never
/// runs, also when an earlier request has asked for the same work. Without the header it is not
/// known what the request asks for.
void http_session::refuse_request(refusal_reason reason, const std::string& cause)
{
    refusal why{408, reason, errc::unavailable, "read request", cause};
    if (reason == refusal_reason::connection_limit) {
        why.step = "accept connection";
        why.cause = "too many connections are open; the limit is " +
                    std::to_string(this->listener->limits.connections);
    }
    if (this->reader.is_header_done()) {
        const auto& is_certain = this->listener->is_refusal_certain;
        why.status = !is_certain || is_certain(this->reader.request()) ? status_unavailable
                                                                       : status_gateway_timeout;
    }
    this->refuse(std::move(why));
}

void http_session::refuse(refusal why)
{
    this->listener->observer(why.reason, make_error(why.code, why.step, this->peer, why.cause));
    this->reader.clear();
    this->keep_alive = false;
    http_response response = error_response(why.status, why.step, why.cause);
    if (why.status == status_unavailable) {
        response.fields.push_back({"Retry-After", std::string(retry_after_seconds)});
    }
    this->send(std::move(response));
}

void http_session::send(http_response&& response)
{
    if (this->current == state::closed) {
        return;
    }
    const auto now = now_from_clock();
    this->keep_alive = this->keep_alive && !this->listener->stopping;
    this->head = make_head(response, this->version, this->keep_alive);
    this->body = std::move(response.body);
    this->written = 0;
    this->request_bytes = 0;
    this->enter(state::sending, connection_phase::sending, now);
    this->deadline = now + (this->turn_away ? turn_away_time : this->listener->limits.write_time);
    this->update_held();
    this->listener->shed_excess(now);
    this->write_some();
}

void http_session::begin_stream(const std::string& content_type)
{
    if (this->current == state::closed) {
        return;
    }
    this->streaming = true;
    this->request_bytes = 0;
    this->chunks.push_back("HTTP/1.1 200 OK\r\nContent-Type: " + content_type +
                           "\r\nTransfer-Encoding: chunked\r\n\r\n");
    this->chunk_bytes += this->chunks.back().size();
    this->enter(state::sending, connection_phase::sending, now_from_clock());
    this->update_held();
    this->write_some();
}

bool http_session::write_chunk(const std::string& text)
{
    if (this->current == state::closed) {
        return false;
    }
    if (this->chunks.size() > max_waiting_chunks) {
        // A reader that takes nothing would otherwise fill the memory.
        this->close();
        return false;
    }
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = text.size(); rest > 0; rest /= 16) {
        size.insert(size.begin(), digits[rest % 16]);
    }
    this->chunks.push_back(size + "\r\n" + text + "\r\n");
    this->chunk_bytes += this->chunks.back().size();
    const auto now = now_from_clock();
    if (!this->writing) {
        this->enter(state::sending, connection_phase::sending, now);
    }
    this->update_held();
    this->listener->shed_excess(now);
    if (this->current == state::closed) {
        return false;
    }
    this->write_some();
    return true;
}

void http_session::write_some()
{
    if (this->current == state::closed || this->writing ||
        (this->streaming && this->chunks.empty())) {
        return;
    }
    this->writing = true;
    const std::string& first = this->streaming ? this->chunks.front() : this->head;
    const std::string_view second = this->streaming ? std::string_view{} : this->body;
    const std::size_t of_first = std::min(this->written, first.size());
    const std::size_t of_second = this->written - of_first;
    const std::array<asio::const_buffer, 2> rest{
        asio::buffer(first.data() + of_first, first.size() - of_first),
        asio::buffer(second.data() + of_second, second.size() - of_second)};
    this->socket.async_write_some(
        rest, [self = this->shared_from_this()](const error_code& failure, std::size_t size) {
            self->writing = false;
            if (failure) {
                self->close();
                return;
            }
            self->after_write(size);
        });
}

void http_session::after_write(std::size_t size)
{
    if (this->current == state::closed) {
        return;
    }
    this->written += size;
    const std::size_t whole =
        this->streaming ? this->chunks.front().size() : this->head.size() + this->body.size();
    if (this->written == whole && !this->streaming) {
        this->after_response();
        return;
    }
    const auto now = now_from_clock();
    this->listener->budget.note_progress(this->budget_account, now);
    if (this->written == whole) {
        this->written = 0;
        this->chunk_bytes -= whole;
        this->chunks.pop_front();
        this->update_held();
        if (this->chunks.empty()) {
            this->enter(state::handling, connection_phase::handling, now);
        }
    }
    this->write_some();
}

void http_session::after_response()
{
    std::string{}.swap(this->head);
    std::string{}.swap(this->body);
    if (!this->keep_alive) {
        this->finish();
        return;
    }
    this->next_request();
}

/// Ends the sending side and reads what is left, so that the response is not lost to a reset.
void http_session::finish()
{
    const auto now = now_from_clock();
    this->enter(state::finishing, connection_phase::sending, now);
    this->deadline = now + finish_time;
    this->reader.clear();
    this->update_held();
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->await_bytes();
}

void http_session::discard()
{
    error_code failure;
    this->socket.read_some(asio::buffer(this->listener->read_buffer), failure);
    if (failure && failure != asio::error::would_block) {
        this->close();
        return;
    }
    this->await_bytes();
}

void http_session::update_held()
{
    this->listener->budget.set_held(this->budget_account,
                                    session_bytes + this->reader.held() + this->request_bytes +
                                        this->head.capacity() + this->body.capacity() +
                                        this->chunk_bytes);
}

} // namespace chervilslip::net
