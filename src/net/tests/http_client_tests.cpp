#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "net/http_client.h"

namespace {

using namespace chervilslip;
using boost::asio::ip::tcp;

constexpr std::size_t max_response_size = std::size_t{1} << 20U;

/// Responds with a body of the given size, all at once. Precondition: a request has been sent.
void respond(tcp::socket& socket, std::size_t body_size)
{
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_size) +
                                 "\r\n\r\n" + std::string(body_size, 'x');
    boost::asio::write(socket, boost::asio::buffer(response));
}

/// Returns how many handlers the client's event loop runs for a response that has arrived as a
/// whole before the first of them.
int count_turns(std::size_t body_size)
{
    boost::asio::io_context server_context;
    tcp::acceptor acceptor(server_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    boost::asio::io_context context;
    net::http_client client(context, 1, max_response_size);
    std::optional<common::result<net::http_response>> answer;
    net::http_request request;
    request.method = "GET";
    request.target = "/";
    client.call({"127.0.0.1", acceptor.local_endpoint().port()}, request, std::chrono::seconds(10),
                [&answer](common::result<net::http_response> got) { answer = std::move(got); });
    tcp::socket connection = acceptor.accept();
    while (connection.available() == 0) {
        context.run_one();
    }
    respond(connection, body_size);
    int turns = 0;
    while (!answer && context.run_one() > 0) {
        ++turns;
    }
    cr_assert(answer && answer->has_value() && answer->value().body.size() == body_size);
    return turns;
}

Test(http_client, a_large_response_does_not_need_many_turns_of_a_busy_event_loop)
{
    // given: 1,100 workers change 200 kB of the registry a second, and a turn may take 150 ms
    constexpr std::size_t min_bytes_per_turn = 30'000;
    constexpr std::size_t body_size = 100'000;

    // when
    const int more_turns = count_turns(body_size) - count_turns(1);

    // then
    cr_assert(more_turns <= static_cast<int>(body_size / min_bytes_per_turn), "%d turns",
              more_turns);
}

} // namespace
