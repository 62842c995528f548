#pragma once

#include <functional>
#include <limits>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "common/clock.h"
#include "common/error.h"
#include "net/http_message.h"
#include "net/request_reader.h"

namespace chervilslip::net {

/// The total of a listener whose clients are trusted.
inline constexpr std::size_t no_total_limit = std::numeric_limits<std::size_t>::max();

/// Bounds on what one listener accepts.
struct http_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{1024} * 1024;
    std::size_t connections = 1024;
    /// All that the listener's clients make it hold together.
    std::size_t total_bytes = std::size_t{64} * 1024 * 1024;
    common::milliseconds header_time{5000}; ///< to receive a whole header, once it has begun
    common::milliseconds body_time{10000};  ///< to receive a whole body
    common::milliseconds idle_time{60000};  ///< a connection without a request
    common::milliseconds write_time{10000}; ///< to send a response

    friend bool operator==(const http_limits&, const http_limits&) = default;
};

/// The two ways to answer one request: whole, or as a stream of chunks.
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    /// Answers with a whole response. Precondition: called once, on the io_context's thread, and
    /// no stream was begun.
    virtual void respond(http_response response) = 0;

    /// Starts a streamed response. Precondition: called once, on the io_context's thread.
    virtual void begin_stream(const std::string& content_type) = 0;

    /// Sends a chunk; returns false when the caller is gone. Precondition: a stream was begun.
    virtual bool write_chunk(const std::string& text) = 0;

    /// Closes the connection without an answer, as a failing peer would.
    virtual void drop() = 0;
};

using http_handler =
    std::function<void(const http_request& request, std::shared_ptr<http_exchange> exchange)>;

/// Is told why a connection or request was turned away before it reached the handler, or why an
/// answer was given up.
using http_reject_observer = std::function<void(refusal_reason reason, const common::error& cause)>;

/// Tells whether 503 may be the answer to a request of which the header has been read, that is,
/// whether what it asks for certainly never runs.
using http_refusal_check = std::function<bool(const http_request& request)>;

/// An HTTP/1.1 listener that bounds its connections, the time they take and all that they make it
/// hold. Requests are parsed with Boost.Beast. Not thread safe: used on the io_context's thread.
class http_server {
public:
    http_server(boost::asio::io_context& context, http_limits limits, http_handler handler,
                http_reject_observer observer);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Sets what decides between 503 and 504 for a request that is refused for lack of room.
    /// Without it all get 503.
    void set_refusal_check(http_refusal_check check);

    /// Opens the port; port 0 takes a free one. Errors: `connect_failed` when it is not to be had.
    common::result<endpoint> listen(const endpoint& address);

    /// Accepts what the kernel has queued already, then closes the port. Held requests go on.
    void stop_accepting();

    /// Closes connections that hold no request; others close after their response.
    void close_idle();

    /// Closes every connection, also in the middle of a request.
    void close_all();

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t open_connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chervilslip::net
