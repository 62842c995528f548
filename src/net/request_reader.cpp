#include "net/request_reader.h"

#include <algorithm>

#include <boost/beast/http.hpp>

namespace chervilslip::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;
using common::errc;

namespace {

/// The memory for a larger body grows with what has arrived. A client that announces much and sends
/// little must not reserve it.
constexpr std::size_t max_reserved_body = std::size_t{16} * 1024;

/// What the header "name: value" has beside name and value.
constexpr std::size_t field_overhead = 4;

std::size_t heap_bytes(const std::string& text)
{
    static const std::size_t inline_capacity = std::string{}.capacity();
    return text.capacity() > inline_capacity ? text.capacity() : 0;
}

} // namespace

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::connection_limit:
        return "connection_limit";
    case refusal_reason::memory_limit:
        return "memory_limit";
    case refusal_reason::header_too_large:
        return "header_too_large";
    case refusal_reason::body_too_large:
        return "body_too_large";
    case refusal_reason::timed_out:
        return "timed_out";
    case refusal_reason::bad_request:
        return "bad_request";
    case refusal_reason::incomplete:
        return "incomplete";
    case refusal_reason::unread_answer:
        return "unread_answer";
    }
    return "unknown";
}

/// Fills a request from the parser's callbacks. The parser's own header limit bounds only the bytes
/// that it can't use yet, so all bytes of a section are counted here.
class request_reader::parser final : public http::basic_parser<true> {
public:
    parser(std::size_t header_bytes, std::size_t body_bytes) : max_section(header_bytes)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(header_bytes));
        this->body_limit(body_bytes);
    }

    [[nodiscard]] std::size_t held() const
    {
        return sizeof(*this) + this->field_heap_bytes +
               this->request.fields.capacity() * sizeof(http_field) +
               heap_bytes(this->request.method) + heap_bytes(this->request.target) +
               heap_bytes(this->request.body);
    }

    http_request request;
    unsigned version = 11;
    bool expects_continue = false;

private:
    void on_request_impl(http::verb /*method*/, beast::string_view method,
                         beast::string_view target, int http_version, error_code& failure) override
    {
        this->request.method.assign(method.data(), method.size());
        this->request.target.assign(target.data(), target.size());
        this->version = static_cast<unsigned>(http_version);
        this->count(this->header_size, method.size() + target.size() + field_overhead, failure);
    }

    void on_response_impl(int /*code*/, beast::string_view /*reason*/, int /*version*/,
                          error_code& /*failure*/) override
    {
    }

    void on_field_impl(http::field name, beast::string_view name_text, beast::string_view value,
                       error_code& failure) override
    {
        const std::size_t size = name_text.size() + value.size() + field_overhead;
        if (this->is_header_done()) {
            this->count(this->trailer_size, size, failure);
            return;
        }
        this->count(this->header_size, size, failure);
        if (failure) {
            return;
        }
        this->request.fields.push_back({std::string(name_text.data(), name_text.size()),
                                        std::string(value.data(), value.size())});
        const http_field& added = this->request.fields.back();
        this->field_heap_bytes += heap_bytes(added.name) + heap_bytes(added.value);
        if (name == http::field::expect && added.value == "100-continue") {
            this->expects_continue = true;
        }
    }

    void on_header_impl(error_code& /*failure*/) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           error_code& /*failure*/) override
    {
        if (length) {
            this->request.body.reserve(
                static_cast<std::size_t>(std::min<std::uint64_t>(*length, max_reserved_body)));
        }
    }

    std::size_t on_body_impl(beast::string_view part, error_code& /*failure*/) override
    {
        this->request.body.append(part.data(), part.size());
        return part.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view extensions,
                              error_code& failure) override
    {
        this->count(this->extension_size, extensions.size(), failure);
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, beast::string_view part,
                                   error_code& /*failure*/) override
    {
        this->request.body.append(part.data(), part.size());
        return part.size();
    }

    void on_finish_impl(error_code& /*failure*/) override
    {
    }

    void count(std::size_t& section, std::size_t size, error_code& failure) const
    {
        section += size;
        if (section > this->max_section) {
            failure = http::error::header_limit;
        }
    }

    std::size_t max_section;
    std::size_t header_size = 0;
    std::size_t extension_size = 0; ///< of all chunks
    std::size_t trailer_size = 0;
    std::size_t field_heap_bytes = 0;
};

request_reader::request_reader(std::size_t header_bytes, std::size_t body_bytes)
    : max_header(header_bytes), max_body(body_bytes)
{
}

request_reader::~request_reader() = default;

request_reader::progress request_reader::feed(std::string_view bytes)
{
    const bool continues = !this->unparsed.empty();
    if (continues) {
        this->unparsed.append(bytes);
        bytes = this->unparsed;
    }
    if (bytes.empty()) {
        return progress::needs_more;
    }
    if (!this->current) {
        this->current = std::make_unique<parser>(this->max_header, this->max_body);
    }
    std::size_t used = 0;
    error_code failure;
    while (used < bytes.size() && !failure && !this->current->is_done()) {
        const std::string_view rest = bytes.substr(used);
        used += this->current->put({rest.data(), rest.size()}, failure);
    }
    if (failure == http::error::header_limit) {
        return this->fail(this->too_large_section());
    }
    if (failure == http::error::body_limit) {
        return this->fail({413, refusal_reason::body_too_large, errc::too_large, "read body",
                           "the body is larger than " + std::to_string(this->max_body) + " bytes"});
    }
    if (failure && failure != http::error::need_more) {
        return this->fail({400, refusal_reason::bad_request, errc::bad_message,
                           this->current->is_header_done() ? "read body" : "read header",
                           "the request is not HTTP: " + failure.message()});
    }
    if (continues) {
        this->unparsed.erase(0, used);
    } else {
        this->unparsed.assign(bytes.substr(used));
    }
    if (this->unparsed.empty()) {
        std::string{}.swap(this->unparsed);
    }
    if (this->current->is_done()) {
        return progress::complete;
    }
    if (this->unparsed.size() > this->max_header) {
        return this->fail(this->too_large_section());
    }
    return progress::needs_more;
}

bool request_reader::has_bytes() const
{
    return this->current != nullptr || !this->unparsed.empty();
}

bool request_reader::is_header_done() const
{
    return this->current != nullptr && this->current->is_header_done();
}

bool request_reader::expects_continue() const
{
    return this->current->expects_continue;
}

bool request_reader::keep_alive() const
{
    return this->current->keep_alive();
}

unsigned request_reader::version() const
{
    return this->current->version;
}

const http_request& request_reader::request() const
{
    return this->current->request;
}

http_request request_reader::take()
{
    http_request whole = std::move(this->current->request);
    this->current.reset();
    return whole;
}

const refusal& request_reader::failure() const
{
    return *this->failed;
}

void request_reader::clear()
{
    this->current.reset();
    std::string{}.swap(this->unparsed);
}

std::size_t request_reader::held() const
{
    return heap_bytes(this->unparsed) + (this->current ? this->current->held() : 0);
}

request_reader::progress request_reader::fail(refusal why)
{
    this->failed = std::make_unique<refusal>(std::move(why));
    return progress::failed;
}

refusal request_reader::too_large_section() const
{
    const bool in_body = this->is_header_done();
    return {431, refusal_reason::header_too_large, errc::too_large,
            in_body ? "read body" : "read header",
            std::string(in_body ? "a chunk extension or the trailer section" : "the header") +
                " is larger than " + std::to_string(this->max_header) + " bytes"};
}

} // namespace chervilslip::net
