#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "net/http_server.h"
#include "net/memory_budget.h"
#include "net/request_reader.h"

namespace chervilslip::net {

class http_session;

/// What the sessions of one listener share. It owns the open ones. Not thread safe.
class http_listener : public std::enable_shared_from_this<http_listener> {
public:
    http_listener(const http_limits& with, http_handler to, http_reject_observer told);

    /// Serves a new connection, or turns it away.
    void open(boost::asio::ip::tcp::socket&& socket);

    /// Sheds connections if they hold too much together.
    void shed_excess(common::steady_time now);

    /// Ends what has taken longer than its limit.
    void end_late(common::steady_time now);

    void remove(http_session& closed);

    /// Returns the open sessions.
    [[nodiscard]] std::vector<std::shared_ptr<http_session>> open_sessions() const;

    [[nodiscard]] std::size_t session_count() const;

    http_limits limits;
    http_handler handler;
    http_reject_observer observer;
    http_refusal_check is_refusal_certain;
    memory_budget budget;
    /// One read takes at most this much. It is used within one handler at a time, so that idle
    /// connections need no memory to read into.
    std::vector<char> read_buffer;
    bool stopping = false;

private:
    bool make_room(common::steady_time now);

    std::list<std::shared_ptr<http_session>> sessions;
    std::vector<http_session*> by_account;
    std::size_t turned_away = 0; ///< open sessions that will get a refusal
    bool is_shedding = false;
};

/// One accepted connection; it serves requests one after another. It has no timer: its listener
/// looks at the deadlines of all. Not thread safe.
class http_session final : public std::enable_shared_from_this<http_session> {
public:
    /// `turn_away`: the first request gets a refusal because too many connections are open.
    http_session(boost::asio::ip::tcp::socket&& connected, std::shared_ptr<http_listener> owner,
                 common::steady_time now, bool turn_away);

    void start();

    void close_if_idle();

    void close();

    /// Ends what the session does because the listener holds too much.
    void shed();

    /// Closes an idle session in favour of a new connection.
    void make_way();

    [[nodiscard]] bool is_late(common::steady_time now) const;

    /// Ends what the session does because it has taken longer than its limit.
    void end_late();

    void send(http_response&& response);

    void begin_stream(const std::string& content_type);

    bool write_chunk(const std::string& text);

    [[nodiscard]] memory_budget::account_id account() const;

    [[nodiscard]] bool is_turned_away() const;

    std::list<std::shared_ptr<http_session>>::iterator place; ///< in the listener's list

private:
    enum class state : std::uint8_t { idle, receiving, handling, sending, finishing, closed };

    void enter(state next, connection_phase phase, common::steady_time now);
    void next_request();
    void await_bytes();
    void read();
    void take_bytes(std::string_view bytes);
    void after_part(bool header_was_done, common::steady_time now);
    void send_continue();
    void hand_over(common::steady_time now);
    void end_of_input();
    void refuse(refusal why);
    void refuse_request(refusal_reason reason, const std::string& cause);
    void refuse_late();
    void write_some();
    void after_write(std::size_t size);
    void after_response();
    void finish();
    void discard();
    void update_held();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<http_listener> listener;
    memory_budget::account_id budget_account;
    request_reader reader;
    std::string peer;
    std::string head; ///< of the answer under way
    std::string body; ///< of the answer under way
    std::list<std::string> chunks;
    common::steady_time deadline;  ///< of the current state
    std::size_t written = 0;       ///< of head and body, or of the first chunk
    std::size_t request_bytes = 0; ///< of the request that is handled
    std::size_t chunk_bytes = 0;   ///< of all waiting chunks
    state current = state::idle;
    std::uint8_t version = 11;
    bool keep_alive = false;
    bool waiting = false; ///< for the socket to become readable
    bool writing = false;
    bool streaming = false;
    bool turn_away = false;
};

} // namespace chervilslip::net
