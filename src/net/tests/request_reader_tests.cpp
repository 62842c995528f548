#include <random>

#include <criterion/criterion.h>

#include "net/request_reader.h"

namespace {

using namespace chervilslip;
using net::refusal_reason;
using net::request_reader;
using progress = request_reader::progress;

constexpr std::size_t header_bytes = 1024;
constexpr std::size_t body_bytes = 4096;
constexpr std::size_t read_bytes = 512;

/// What the reader may hold: header fields with their places in the list, the body with what a
/// growing text reserves, one section, one read, and the parser.
constexpr std::size_t max_held = header_bytes / 4 * 2 * sizeof(net::http_field) + header_bytes +
                                 2 * body_bytes + 2 * (header_bytes + read_bytes) + 1024;

struct outcome {
    std::vector<net::http_request> requests;
    std::optional<net::refusal> failure;
    std::size_t most_held = 0;
};

/// Hands the bytes to a reader in pieces, as a session does.
outcome read_all(const std::string& bytes, std::size_t piece)
{
    outcome seen;
    request_reader reader(header_bytes, body_bytes);
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        auto got = reader.feed(std::string_view(bytes).substr(at, piece));
        seen.most_held = std::max(seen.most_held, reader.held());
        while (got == progress::complete) {
            seen.requests.push_back(reader.take());
            got = reader.feed({});
        }
        if (got == progress::failed) {
            seen.failure = reader.failure();
            break;
        }
    }
    return seen;
}

std::string repeat(const std::string& text, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

const std::string chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

Test(request_reader, makes_the_same_requests_however_the_bytes_arrive)
{
    // given: pipelined requests with and without body, chunk extensions and trailers
    const std::string bytes = "GET /x?y=1 HTTP/1.1\r\nHost: h\r\n\r\n"
                              "POST /b HTTP/1.1\r\nContent-Length: 5\r\nX: 1\r\n\r\nhello" +
                              chunked + "3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n" +
                              "DELETE /c HTTP/1.1\r\n\r\n";
    const auto whole = read_all(bytes, bytes.size());

    // when / then
    cr_assert(whole.requests.size() == 4 && !whole.failure);
    cr_assert(whole.requests[0].target == "/x?y=1" && whole.requests[0].field("host") == "h");
    cr_assert(whole.requests[1].body == "hello" && whole.requests[1].field("X") == "1");
    cr_assert(whole.requests[2].body == "abcde" && whole.requests[2].field("T").empty());
    cr_assert(whole.requests[3].method == "DELETE");
    for (std::size_t piece = 1; piece < bytes.size(); ++piece) {
        cr_assert(read_all(bytes, piece).requests == whole.requests, "pieces of %zu", piece);
    }
}

/// Guards against sections that the parser itself doesn't bound.
Test(request_reader, bounds_every_section)
{
    const std::string field = "X-Field: " + std::string(54, 'x') + "\r\n"; // 65 bytes
    const struct {
        const char* name;
        std::string bytes;
        std::size_t piece;
        unsigned status;
    } cases[] = {
        {"one long field", "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x'), 100, 431},
        {"fields that each end with a read",
         "GET / HTTP/1.1\r\nX: " + std::string(44, 'x') + "\r\n" + repeat(field, 1000), 65, 431},
        {"long target", "GET /" + std::string(100'000, 'x'), 100, 431},
        {"trailers", chunked + "2\r\n{}\r\n0\r\n" + repeat(field, 1000), 100, 431},
        {"one extension", chunked + "2;x=" + std::string(100'000, 'x'), 100, 431},
        {"many extensions", chunked + repeat("1;x=" + std::string(100, 'x') + "\r\na\r\n", 1000),
         100, 431},
        {"announced body", "POST / HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", 100, 413},
        {"announced chunk", chunked + "1001\r\n", 100, 413},
        {"many chunks", chunked + repeat("1\r\nx\r\n", 5000), 100, 413},
        {"overflowing chunk", chunked + "fffffffffffffffff\r\n", 100, 400},
        {"negative chunk", chunked + "-1\r\n", 100, 400},
        {"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 100, 400},
        {"both lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\n" + chunked.substr(17), 100, 400},
        {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 100,
         400},
    };
    for (const auto& each : cases) {
        // when
        const auto seen = read_all(each.bytes, each.piece);

        // then
        cr_assert(seen.requests.empty(), "%s", each.name);
        cr_assert(seen.failure && seen.failure->status == each.status, "%s: %u", each.name,
                  seen.failure ? seen.failure->status : 0U);
        cr_assert(seen.most_held <= max_held, "%s: %zu", each.name, seen.most_held);
    }
}

/// Guards against memory that is reserved for what a client only announces, and against a cost of
/// small chunks.
Test(request_reader, holds_what_has_arrived)
{
    // given
    request_reader announced(header_bytes, std::size_t{1} << 30U);
    request_reader tiny(header_bytes, std::size_t{1} << 20U);
    request_reader large(header_bytes, std::size_t{1} << 20U);

    // when
    announced.feed("POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\nabc");
    tiny.feed(chunked);
    large.feed(chunked);
    for (int i = 0; i < 100'000; ++i) {
        tiny.feed("1\r\nx\r\n");
    }
    large.feed("186a0\r\n" + std::string(100'000, 'x') + "\r\n");

    // then
    cr_assert(announced.held() < 20'000, "%zu", announced.held());
    cr_assert(tiny.held() < 150'000, "%zu", tiny.held());
    cr_assert(large.held() < 150'000, "%zu", large.held());
}

/// Guards against bytes that crash the reader, make it hold more than its bounds, or make requests
/// that depend on how the bytes arrive.
Test(request_reader, survives_mutated_requests)
{
    const std::string seeds[] = {
        chunked + "3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nhello",
        "GET /x HTTP/1.0\r\nConnection: keep-alive\r\nX:  a\r\n b\r\n\r\n"};
    const std::string splices[] = {"\r\n",
                                   "\r\n\r\n",
                                   "0\r\n",
                                   ";",
                                   ":",
                                   "ffffffffffffffff",
                                   "Content-Length: 3\r\n",
                                   "\0",
                                   ",",
                                   "-",
                                   " ",
                                   "Transfer-Encoding: chunked\r\n"};
    std::mt19937 random(1);
    for (int round = 0; round < 60'000; ++round) {
        // given
        std::string bytes = seeds[random() % std::size(seeds)];
        for (unsigned edits = 1 + random() % 4; edits > 0 && !bytes.empty(); --edits) {
            const std::size_t at = random() % bytes.size();
            switch (random() % 5) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes.erase(at, 1 + random() % 8);
                break;
            case 2:
                bytes.insert(at, splices[random() % std::size(splices)]);
                break;
            case 3:
                bytes.insert(at, bytes.substr(random() % bytes.size(), random() % 40));
                break;
            default:
                bytes.insert(at, random() % 2000, bytes[at]);
                break;
            }
        }

        // when
        const auto whole = read_all(bytes, bytes.size() + 1);
        const auto pieces = read_all(bytes, 1 + random() % read_bytes);

        // then: a section may end in the piece that passes its limit
        cr_assert(pieces.most_held <= max_held, "round %d: %zu", round, pieces.most_held);
        const std::size_t same = std::min(whole.requests.size(), pieces.requests.size());
        cr_assert(std::equal(whole.requests.begin(),
                             whole.requests.begin() + static_cast<std::ptrdiff_t>(same),
                             pieces.requests.begin()),
                  "round %d", round);
    }
}

} // namespace
