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
              [this](const common::error& cause) { this->rejected.push_back(cause); })
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
    std::vector<common::error> rejected;
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
