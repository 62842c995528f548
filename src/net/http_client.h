#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>

#include "common/clock.h"
#include "common/error.h"
#include "net/http_message.h"

namespace chervilslip::net {

using http_answer = std::function<void(common::result<http_response>)>;

/// Is called whenever a part of the response has arrived.
using http_progress = std::function<void()>;

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
