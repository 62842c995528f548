#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "common/clock.h"
#include "common/error.h"
#include "net/http_message.h"

namespace chervilslip::net {

using http_answer = std::function<void(common::result<http_response>)>;

/// Is called whenever a part of the response has arrived.
using http_progress = std::function<void()>;

/// How a call handles connections that do not work. A network may drop the state of an open
/// connection: what is sent on it is never answered, while a new connection to the same peer works.
struct silence_policy {
    /// A kept connection on which no byte of the response arrives within this time counts as
    /// silent. Longer than the peer takes to answer.
    common::milliseconds limit{0};
    /// The request is sent again on a new connection if the kept one is silent or was lost.
    /// Requires that the peer may act on the request twice. Otherwise the call fails. A rejection
    /// (429 or 503) of the repeated request is an error, because it says nothing of the first copy,
    /// except of a GET, which has no effect.
    bool repeats = false;
    /// The body of the repeated request; unset: the same as before.
    std::optional<std::string> repeated_body;
    /// A new connection that is not made within this time is given up, and nothing is sent. Zero:
    /// the time limit of the call.
    common::milliseconds connect_limit{0};
};

/// A kept connection that has gone silent.
struct silent_connection {
    endpoint peer;
    common::milliseconds age{0};    ///< since it was opened
    common::milliseconds unused{0}; ///< between the last response on it and the unanswered request
    std::size_t closed = 0;         ///< connections to the peer that were closed, itself included

    friend bool operator==(const silent_connection&, const silent_connection&) = default;
};

/// Calls HTTP/1.1 peers and keeps idle connections for later calls. An error says
/// `connect_failed` only when no byte of the request was sent; every other error means that the
/// peer may have acted. Not thread safe: used on the io_context's thread.
class http_client {
public:
    /// Precondition: `idle_connections` bounds the idle connections kept for one peer.
    http_client(boost::asio::io_context& context, std::size_t idle_connections,
                std::size_t body_bytes);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /// Sends one request and hands the whole answer, or the error, to `answer` exactly once.
    /// `progress` may be empty; it isn't called after `answer`.
    void call(const endpoint& peer, http_request request, common::milliseconds time_limit,
              http_answer answer, http_progress progress = {});

    /// As `call`. If the request goes out on a kept connection that is silent, all connections to
    /// the peer that have been silent for as long are closed. Calls on them that may be repeated
    /// are sent once more on new ones, within their time limits; the others fail.
    void call(const endpoint& peer, http_request request, common::milliseconds time_limit,
              silence_policy policy, http_answer answer, http_progress progress = {});

    /// Returns the number of connections that are kept for later calls.
    [[nodiscard]] std::size_t idle_connections() const;

    /// Sets a callback for each silent connection.
    void on_silence(std::function<void(const silent_connection&)> callback);

private:
    class pool;
    std::shared_ptr<pool> connections;
};

/// Is called with each line of a streamed response.
using line_handler = std::function<void(const std::string& line)>;

/// Is called once, when a stream has ended, with the reason.
using stream_end_handler = std::function<void(const common::error& reason)>;

/// A streamed response read line by line. Not thread safe: used on the io_context's thread.
class http_stream {
public:
    http_stream(boost::asio::io_context& context, endpoint peer, http_request request,
                common::milliseconds connect_time, common::milliseconds silence_limit,
                line_handler on_line, stream_end_handler on_end);
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;

    /// Ends the stream without calling the end handler.
    ~http_stream();

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

/// Calls one peer and waits for the answer. Precondition: not called from an io_context's thread.
common::result<http_response> call_and_wait(const endpoint& peer, http_request request,
                                            common::milliseconds time_limit);

} // namespace chervilslip::net
