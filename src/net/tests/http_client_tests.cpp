#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <thread>

#include "net/http_client.h"

namespace {

using namespace chervilslip;
using boost::asio::ip::tcp;

constexpr std::size_t max_response_size = std::size_t{1} << 20U;
constexpr std::size_t max_endless_size = std::size_t{64} << 20U;

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

/// Returns the error of a call whose response begins with `head` and goes on with `piece` without
/// end.
common::error call_endless(const std::string& head, const std::string& piece)
{
    boost::asio::io_context server_context;
    tcp::acceptor acceptor(server_context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        std::string received;
        boost::system::error_code failure;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
        boost::asio::write(socket, boost::asio::buffer(head), failure);
        for (std::size_t sent = 0; !failure && sent < max_endless_size; sent += piece.size()) {
            boost::asio::write(socket, boost::asio::buffer(piece), failure);
        }
    });
    net::http_request request;
    request.method = "GET";
    request.target = "/";
    const auto answer = net::call_and_wait({"127.0.0.1", acceptor.local_endpoint().port()}, request,
                                           std::chrono::seconds(20));
    server.join();
    return answer.error();
}

/// Guards against a peer whose response takes all memory: the parser bounds neither trailers nor
/// chunk extensions.
Test(http_client, every_section_of_a_response_is_bounded)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string field = "X-Field: " + std::string(500, 'x') + "\r\n";
    const std::vector<std::pair<std::string, std::string>> responses{
        {"HTTP/1.1 200 OK\r\n", field},
        {chunked + "2\r\n{}\r\n0\r\n", field},
        {chunked + "2;x=", std::string(1000, 'x')}};
    for (const auto& [head, piece] : responses) {
        cr_assert(call_endless(head, piece).code == common::errc::too_large, "%s", head.c_str());
    }
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

/// Answers requests, except on connections that were silenced. Counts what arrives.
class silenceable_server {
public:
    explicit silenceable_server(boost::asio::io_context& io)
        : context(io), acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        this->accept();
    }

    [[nodiscard]] net::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    /// Ends the answers on all connections that are open now.
    void silence()
    {
        this->first_answering = this->sockets.size();
    }

    std::vector<std::string> bodies; ///< of all requests
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    std::chrono::milliseconds delay{0}; ///< of the answers
    bool resets = false;                ///< silenced connections are reset instead

private:
    void accept()
    {
        this->acceptor.async_accept(
            [this](const boost::system::error_code& failure, tcp::socket socket) {
                if (failure) {
                    return;
                }
                this->sockets.push_back(std::make_unique<tcp::socket>(std::move(socket)));
                this->read(this->sockets.size() - 1, std::make_shared<std::string>());
                this->accept();
            });
    }

    void read(std::size_t number, const std::shared_ptr<std::string>& request)
    {
        boost::asio::async_read_until(
            *this->sockets[number], boost::asio::dynamic_buffer(*request), "}",
            [this, number, request](const boost::system::error_code& failure, std::size_t) {
                if (failure) {
                    return;
                }
                this->bodies.push_back(request->substr(request->find('{')));
                request->clear();
                this->answer(number);
                this->read(number, request);
            });
    }

    void answer(std::size_t number)
    {
        if (number < this->first_answering) {
            if (this->resets) {
                boost::system::error_code ignored;
                this->sockets[number]->set_option(boost::asio::socket_base::linger(true, 0),
                                                  ignored);
                this->sockets[number]->close(ignored);
            }
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(this->context, this->delay);
        timer->async_wait([this, number, timer](const boost::system::error_code&) {
            boost::system::error_code ignored;
            boost::asio::write(
                *this->sockets[number],
                boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                ignored);
        });
    }

    boost::asio::io_context& context;
    tcp::acceptor acceptor;
    std::size_t first_answering = 0;
};

/// A client with connections that are kept from earlier calls.
struct kept_connections {
    static constexpr std::chrono::milliseconds silence_limit{60};
    static constexpr std::chrono::seconds time_limit{3};

    explicit kept_connections(std::size_t count)
    {
        this->server.delay = std::chrono::milliseconds(10); // the calls overlap
        for (std::size_t i = 0; i < count; ++i) {
            this->call("{first}", {silence_limit, true, std::nullopt, {}});
        }
        this->run_until_answered(count);
        this->server.delay = {};
        this->outcomes.clear();
        this->server.bodies.clear();
        cr_assert(this->server.sockets.size() == count);
    }

    void call(const std::string& body, net::silence_policy policy)
    {
        net::http_request request;
        request.method = "POST";
        request.target = "/";
        request.body = body;
        this->client.call(this->server.address(), request, time_limit, std::move(policy),
                          [this](common::result<net::http_response> got) {
                              this->outcomes.push_back(std::move(got));
                          });
    }

    void run_until_answered(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + time_limit / 2;
        while (this->outcomes.size() < count && std::chrono::steady_clock::now() < end) {
            this->context.run_one_for(std::chrono::milliseconds(10));
        }
        cr_assert(this->outcomes.size() == count);
    }

    boost::asio::io_context context;
    silenceable_server server{this->context};
    net::http_client client{this->context, 4, max_response_size};
    std::vector<common::result<net::http_response>> outcomes;
};

Test(http_client, a_request_on_a_silent_connection_is_sent_again_on_a_new_one)
{
    // given
    kept_connections kept(1);
    kept.server.silence();

    // when
    kept.call("{wait}", {kept_connections::silence_limit, true, "{no wait}", {}});
    kept.run_until_answered(1);

    // then
    cr_assert(kept.outcomes.front().has_value());
    const std::vector<std::string> expected{"{wait}", "{no wait}"};
    cr_assert(kept.server.bodies == expected);
    cr_assert(kept.server.sockets.size() == 2);
}

Test(http_client, a_request_that_may_not_be_repeated_fails_early_on_a_silent_connection)
{
    // given
    kept_connections kept(1);
    kept.server.silence();

    // when
    kept.call("{start}", {kept_connections::silence_limit, false, std::nullopt, {}});
    kept.run_until_answered(1);

    // then
    cr_assert(kept.outcomes.front().error().code == common::errc::timed_out);
    cr_assert(kept.outcomes.front().error().may_have_reached_peer());

    // when
    kept.call("{next}", {kept_connections::silence_limit, false, std::nullopt, {}});
    kept.run_until_answered(2);

    // then: it goes out on a new connection
    cr_assert(kept.outcomes.back().has_value());
    const std::vector<std::string> expected{"{start}", "{next}"};
    cr_assert(kept.server.bodies == expected);
}

Test(http_client, a_long_poll_does_not_wait_on_a_connection_once_another_one_is_found_silent)
{
    // given
    kept_connections kept(3);
    std::vector<net::silent_connection> silences;
    kept.client.on_silence(
        [&silences](const net::silent_connection& each) { silences.push_back(each); });
    kept.server.silence();

    // when
    kept.call("{poll}", {std::chrono::seconds(60), true, std::nullopt, {}});
    kept.call("{start}", {kept_connections::silence_limit, false, std::nullopt, {}});
    kept.run_until_answered(2);

    // then: all three connections are closed
    cr_assert(kept.outcomes[0].has_value() != kept.outcomes[1].has_value());
    cr_assert(silences.size() == 1);
    cr_assert(silences.front().closed == 3);
    cr_assert(kept.server.sockets.size() == 4);
}

Test(http_client, a_request_on_a_kept_connection_that_is_reset_is_sent_again)
{
    // given
    kept_connections kept(1);
    kept.server.silence();
    kept.server.resets = true;

    // when
    kept.call("{poll}", {kept_connections::silence_limit, true, std::nullopt, {}});
    kept.run_until_answered(1);

    // then
    cr_assert(kept.outcomes.front().has_value());
    cr_assert(kept.server.bodies.size() == 2);
}

Test(http_client,
     a_response_that_waits_while_the_process_is_busy_does_not_make_its_connection_silent)
{
    // given
    kept_connections kept(1);
    kept.call("{poll}", {kept_connections::silence_limit, true, std::nullopt, {}});
    while (kept.server.bodies.empty()) {
        kept.context.run_one_for(std::chrono::milliseconds(10));
    }
    kept.context.run_one_for(std::chrono::milliseconds(10)); // the answer is sent

    // when
    std::this_thread::sleep_for(2 * kept_connections::silence_limit);
    kept.run_until_answered(1);

    // then
    cr_assert(kept.outcomes.front().has_value());
    cr_assert(kept.server.bodies.size() == 1);
}

Test(http_client, idle_connections_to_a_server_that_is_gone_are_closed)
{
    // given
    kept_connections kept(3);
    silenceable_server other(kept.context);
    cr_assert(kept.client.idle_connections() == 3);

    // when: nobody calls the server again
    kept.server.sockets.clear();
    std::this_thread::sleep_for(std::chrono::milliseconds(2100));
    net::http_request request;
    request.method = "POST";
    request.target = "/";
    request.body = "{}";
    kept.client.call(other.address(), request, kept_connections::time_limit,
                     [&kept](common::result<net::http_response> got) {
                         kept.outcomes.push_back(std::move(got));
                     });
    kept.run_until_answered(1);

    // then
    cr_assert(kept.client.idle_connections() == 1);
}

} // namespace
