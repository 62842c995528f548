#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "net/http_client.h"
#include "net/http_server.h"

namespace {

using namespace chervilslip;
using boost::asio::ip::tcp;

/// A server on a free port of loopback, run by its own thread.
class running_server {
public:
    explicit running_server(net::http_limits limits)
        : server(
              this->context, limits,
              [](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
                  exchange->respond(net::json_response(200, {{"size", request.body.size()}}));
              },
              [this](net::refusal_reason reason, const common::error&) {
                  this->rejected.push_back(reason);
              })
    {
        this->address = this->server.listen({"127.0.0.1", 0}).value();
        this->thread = std::thread([this] { this->context.run(); });
    }

    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;

    ~running_server()
    {
        this->context.stop();
        this->thread.join();
    }

    /// Sends bytes, optionally ends the sending side, and returns all that comes back.
    std::string talk(const std::string& bytes, bool half_close) const
    {
        boost::asio::io_context io;
        tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), this->address.port});
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        if (half_close) {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        std::string received;
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
        return received;
    }

    /// Checks that other callers are still served.
    void assert_serves() const
    {
        net::http_request request;
        request.method = "GET";
        request.target = "/";
        const auto answer = net::call_and_wait(this->address, request, std::chrono::seconds(2));
        cr_assert(answer.has_value() && answer.value().status == 200);
    }

    boost::asio::io_context context;
    std::vector<net::refusal_reason> rejected;
    net::http_server server;
    net::endpoint address;
    std::thread thread;
};

net::http_limits small_limits()
{
    net::http_limits limits;
    limits.header_bytes = 1024;
    limits.body_bytes = 2048;
    limits.connections = 4;
    limits.header_time = common::milliseconds(200);
    limits.body_time = common::milliseconds(200);
    limits.idle_time = common::milliseconds(5000);
    return limits;
}

void assert_refused(const std::string& answer, const std::string& status, const std::string& cause)
{
    cr_assert(answer.find("HTTP/1.1 " + status) == 0, "got: %s", answer.c_str());
    cr_assert(answer.find("\"step\"") != std::string::npos);
    cr_assert(answer.find(cause) != std::string::npos, "got: %s", answer.c_str());
}

Test(http_server, malformed_request_gets_an_error_with_step_and_cause)
{
    // given
    const running_server server(small_limits());

    // when / then
    assert_refused(server.talk("this is no HTTP\r\n\r\n", false), "400", "not HTTP");
    server.assert_serves();
}

Test(http_server, oversize_header_and_body_are_refused_with_their_limits)
{
    // given
    const running_server server(small_limits());
    const std::string large_header = "GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n";
    const std::string large_body =
        "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x');

    // when / then
    assert_refused(server.talk(large_header, false), "431", "1024 bytes");
    assert_refused(server.talk(large_body, false), "413", "2048 bytes");
    server.assert_serves();
}

Test(http_server, slow_sender_is_told_that_its_time_is_over)
{
    // given
    const running_server server(small_limits());

    // when / then
    assert_refused(server.talk("GET / HTTP/1.1\r\nX-Half", false), "408", "in time");
    assert_refused(server.talk("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", false), "408",
                   "in time");
    server.assert_serves();
}

Test(http_server, body_cut_short_is_never_handed_on_as_whole)
{
    // given
    const running_server server(small_limits());

    // when / then
    assert_refused(server.talk("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", true), "400",
                   "before it was whole");
}

Test(http_server, half_closed_caller_still_gets_its_answer)
{
    // given
    const running_server server(small_limits());

    // when
    const auto answer = server.talk("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nwork", true);

    // then
    cr_assert(answer.find("HTTP/1.1 200") == 0);
    cr_assert(answer.find("{\"size\":4}") != std::string::npos);
}

Test(http_server, connections_above_the_limit_are_turned_away_with_the_reason)
{
    // given four idle connections
    const running_server server(small_limits());
    boost::asio::io_context io;
    std::vector<tcp::socket> idle;
    for (int i = 0; i < 4; ++i) {
        idle.emplace_back(io);
        idle.back().connect({boost::asio::ip::make_address("127.0.0.1"), server.address.port});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));

    // when / then
    assert_refused(server.talk("GET / HTTP/1.1\r\n\r\n", false), "503", "the limit is 4");
}

/// Holds connections on which bytes were sent.
class held_connections {
public:
    void add(const running_server& server, const std::string& bytes)
    {
        this->sockets.emplace_back(this->io);
        this->sockets.back().connect(
            {boost::asio::ip::make_address("127.0.0.1"), server.address.port});
        boost::asio::write(this->sockets.back(), boost::asio::buffer(bytes));
    }

    /// Returns all that comes back on one of them.
    std::string receive(std::size_t index)
    {
        std::string received;
        boost::system::error_code ignored;
        boost::asio::read(this->sockets[index], boost::asio::dynamic_buffer(received), ignored);
        return received;
    }

private:
    boost::asio::io_context io;
    std::vector<tcp::socket> sockets;
};

/// Guards against stalled requests that fill the memory, each within its own limits, and against a
/// promise (503) for a request whose work may run.
Test(http_server, stalled_requests_over_the_total_are_refused)
{
    const std::string body(1000, 'x');
    for (const bool is_certain : {true, false}) {
        // given
        net::http_limits limits = small_limits();
        limits.body_time = common::milliseconds(60'000);
        limits.connections = 64;
        limits.total_bytes = 16'000;
        running_server server(limits);
        server.server.set_refusal_check(
            [is_certain](const net::http_request&) { return is_certain; });
        held_connections held;

        // when
        for (int i = 0; i < 16; ++i) {
            held.add(server, "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + body);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }

        // then
        const std::string answer = held.receive(0);
        assert_refused(answer, is_certain ? "503" : "504", "memory");
        cr_assert((answer.find("\r\nRetry-After: 1\r\n") != std::string::npos) == is_certain);
        server.assert_serves();
    }
}

/// Guards against idle connections that keep others out.
Test(http_server, a_long_idle_connection_makes_room_for_a_new_one)
{
    // given
    const running_server server(small_limits());
    held_connections idle;
    for (int i = 0; i < 4; ++i) {
        idle.add(server, "");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));

    // when / then
    server.assert_serves();
    cr_assert(idle.receive(0).empty());
}

/// Guards against pipelined requests that are lost, mixed up, or held without bound.
Test(http_server, pipelined_requests_are_answered_in_order)
{
    // given
    const running_server server(small_limits());
    std::string bytes;
    std::string expected;
    for (int i = 0; i < 200; ++i) {
        const std::string body(static_cast<std::size_t>(i), 'x');
        bytes += "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(i) + "\r\n\r\n" + body;
        expected += "{\"size\":" + std::to_string(i) + "}";
    }

    // when
    const std::string answers = server.talk(bytes, true);

    // then
    std::string bodies;
    for (std::size_t at = answers.find('{'); at != std::string::npos;
         at = answers.find('{', at + 1)) {
        bodies += answers.substr(at, answers.find('}', at) - at + 1);
    }
    cr_assert(bodies == expected);
}

/// Guards against a client that waits for the invitation to send its body.
Test(http_server, a_client_that_expects_it_gets_100_continue)
{
    // given
    const running_server server(small_limits());

    // when
    const std::string answer =
        server.talk("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", true);

    // then
    cr_assert(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 400"));
}

Test(http_client, refused_connection_says_that_nothing_was_sent)
{
    // given a port that nobody listens on
    net::endpoint closed;
    {
        const running_server server(small_limits());
        closed = server.address;
    }
    net::http_request request;
    request.method = "GET";
    request.target = "/";

    // when
    const auto answer = net::call_and_wait(closed, request, std::chrono::seconds(1));

    // then
    cr_assert(answer.error().code == common::errc::connect_failed);
    cr_assert_not(answer.error().may_have_reached_peer());
    cr_assert(answer.error().peer == closed.to_string());
}

} // namespace
