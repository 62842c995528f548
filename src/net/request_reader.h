#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "common/error.h"
#include "net/http_message.h"

namespace chervilslip::net {

/// Why a request or connection was refused before it reached the handler.
enum class refusal_reason : std::uint8_t {
    connection_limit, ///< too many connections are open
    memory_limit,     ///< the listener holds too many bytes
    header_too_large, ///< the header, the chunk extensions or the trailer section
    body_too_large,
    timed_out,    ///< the request did not arrive in time
    bad_request,  ///< the bytes are not HTTP
    incomplete,   ///< the client ended a request before it was whole
    unread_answer ///< the client does not read its answer
};

/// Returns the name of a reason in logs and metrics. Thread safe.
std::string_view to_string(refusal_reason reason);

/// A refusal with the status that the client gets.
struct refusal {
    unsigned status = 400;
    refusal_reason reason = refusal_reason::bad_request;
    common::errc code = common::errc::bad_message;
    std::string step;
    std::string cause;

    friend bool operator==(const refusal&, const refusal&) = default;
};

/// Makes requests from the bytes of one connection, and bounds what is held for them: the header,
/// the chunk extensions of all chunks and the trailer section each by `header_bytes`, the body by
/// `body_bytes`. Trailer fields are checked and dropped. Uses no I/O. Not thread safe.
class request_reader {
public:
    enum class progress : std::uint8_t { needs_more, complete, failed };

    request_reader(std::size_t header_bytes, std::size_t body_bytes);
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    ~request_reader();

    /// Takes in bytes up to the end of a request and keeps what follows for the next one. May be
    /// called without bytes to go on with those. Precondition: the last call returned `needs_more`,
    /// or `take` was called since.
    progress feed(std::string_view bytes);

    /// Returns whether bytes of the current or next request are there.
    [[nodiscard]] bool has_bytes() const;

    [[nodiscard]] bool is_header_done() const;

    /// Returns whether the client waits for "100 Continue". Precondition: the header is done.
    [[nodiscard]] bool expects_continue() const;

    /// Returns whether the client allows another request. Precondition: the header is done.
    [[nodiscard]] bool keep_alive() const;

    /// Returns 10 or 11. Precondition: the header is done.
    [[nodiscard]] unsigned version() const;

    /// Returns the request as far as it is there. Precondition: the header is done.
    [[nodiscard]] const http_request& request() const;

    /// Returns the whole request. Precondition: the last call of `feed` returned `complete`.
    http_request take();

    /// Returns why reading failed. Precondition: the last call of `feed` returned `failed`.
    [[nodiscard]] const refusal& failure() const;

    /// Drops all that is held.
    void clear();

    /// Returns the bytes of memory that are held.
    [[nodiscard]] std::size_t held() const;

private:
    class parser;

    progress fail(refusal why);
    [[nodiscard]] refusal too_large_section() const;

    std::size_t max_header;
    std::size_t max_body;
    std::string unparsed;            ///< the part of a line or section that is not complete
    std::unique_ptr<parser> current; ///< none while there is no request
    std::unique_ptr<refusal> failed;
};

} // namespace chervilslip::net
