#include <deque>

#include <criterion/criterion.h>

#include "daemon/store_transport.h"
#include "net/http_server.h"
#include "net/http_status.h"

namespace {

using namespace chervilslip;
using common::milliseconds;

constexpr milliseconds call_limit{1400};

/// A store that handles each call as the script says, and the calls after its end with 503.
class scripted_store {
public:
    static constexpr unsigned executes_without_response = 0;

    explicit scripted_store(boost::asio::io_context& io)
        : server(
              io, net::http_limits{},
              [this](const net::http_request&,
                     const std::shared_ptr<net::http_exchange>& exchange) {
                  this->handle(*exchange);
              },
              [](net::refusal_reason, const common::error&) {})
    {
        this->address = this->server.listen({"127.0.0.1", 0}).value();
    }

    net::endpoint address;
    std::deque<unsigned> script; ///< the status of each response
    int calls = 0;

private:
    void handle(net::http_exchange& exchange)
    {
        ++this->calls;
        unsigned status = net::status_unavailable;
        if (!this->script.empty()) {
            status = this->script.front();
            this->script.pop_front();
        }
        if (status == executes_without_response) {
            exchange.drop();
        } else {
            exchange.respond(net::json_response(status, nlohmann::json::object()));
        }
    }

    net::http_server server;
};

struct node_without_peers {
    void run_until(const std::function<bool()>& condition)
    {
        const auto limit = this->clock.steady_now() + std::chrono::seconds(5);
        while (!condition() && this->clock.steady_now() < limit) {
            this->context.restart();
            this->context.run_one_for(milliseconds(50));
        }
        cr_assert(condition());
    }

    common::result<net::http_response> write()
    {
        std::optional<common::result<net::http_response>> answer;
        net::http_request request;
        request.method = "POST";
        request.target = "/write";
        this->transport.call(
            request, milliseconds{0}, call_limit,
            [&answer](common::result<net::http_response> got) { answer.emplace(std::move(got)); });
        this->run_until([&answer] { return answer.has_value(); });
        return *answer;
    }

    void receive_relayed(std::uint64_t number, std::vector<membership::relay_response>& replies)
    {
        membership::relay_call call;
        call.number = number;
        call.method = "POST";
        call.target = std::string(daemon::store_transport::relay_prefix) + "0/write";
        this->transport.serve_relayed(
            this->peer, call, [&replies](const membership::message& value) {
                replies.push_back(std::get<membership::relay_response>(value));
            });
    }

    membership::relay_response serve_relayed(std::uint64_t number)
    {
        std::vector<membership::relay_response> replies;
        this->receive_relayed(number, replies);
        this->run_until([&replies] { return !replies.empty(); });
        return replies.front();
    }

    membership::member peer{"other", "z", "127.0.0.1:0", 1};
    boost::asio::io_context context;
    common::real_clock clock;
    common::event_log log{"self"};
    daemon::fleet_metrics metrics;
    scripted_store store{this->context};
    membership::peer_network network{
        this->context, {"self", "z", "127.0.0.1:0", 1}, "secret", membership::network_hooks{}};
    daemon::peer_client peers{this->context, this->network};
    daemon::store_transport transport{
        this->context, this->store.address, this->clock, this->peers, this->metrics, this->log, 1};
};

} // namespace

Test(store_attempts, a_rejection_of_the_second_copy_is_not_taken_for_one_of_the_first)
{
    // given: a connection that is kept
    node_without_peers node;
    node.store.script = {net::status_ok, scripted_store::executes_without_response};
    cr_assert(node.write().has_value());

    // when
    const auto answer = node.write();

    // then
    cr_assert(node.store.calls == 3);
    cr_assert_not(answer.has_value());
    cr_assert(answer.error().may_have_been_done(), "%s", answer.error().to_string().c_str());
}

Test(store_attempts, a_peer_does_not_relay_a_rejection_of_the_second_copy_as_one_of_the_first)
{
    // given
    node_without_peers node;
    node.store.script = {net::status_ok, scripted_store::executes_without_response};
    cr_assert(node.serve_relayed(1).status == net::status_ok);

    // when
    const auto reply = node.serve_relayed(2);

    // then: it says that the store gave no response
    cr_assert(node.store.calls == 3);
    cr_assert(reply.status == 0, "%u", reply.status);
}

Test(store_attempts, a_write_of_which_every_copy_was_rejected_has_not_been_executed)
{
    node_without_peers node;
    const auto answer = node.write();
    cr_assert_not(answer.has_value());
    cr_assert_not(answer.error().may_have_been_done());
    cr_assert(node.serve_relayed(1).status == net::status_unavailable);
}

Test(store_attempts, a_relayed_write_that_is_executed_and_arrives_again_is_not_rejected)
{
    // given: a write whose response was lost with the connection of the peer
    node_without_peers node;
    node.store.script = {net::status_ok};
    cr_assert(node.serve_relayed(1).status == net::status_ok);

    // when: the store rejects the copy that the peer sends on its next connection
    const auto reply = node.serve_relayed(1);

    // then: it says that the store gave no response
    cr_assert(node.store.calls == 2);
    cr_assert(reply.status == 0, "%u", reply.status);
}

Test(store_attempts, a_relayed_write_that_was_rejected_is_not_executed_when_it_arrives_again)
{
    node_without_peers node;
    node.store.script = {net::status_unavailable, net::status_ok};
    cr_assert(node.serve_relayed(1).status == net::status_unavailable);
    cr_assert(node.serve_relayed(1).status == net::status_unavailable);
    cr_assert(node.store.calls == 1);
}

Test(store_attempts, a_relayed_write_that_arrives_again_while_it_is_under_way_is_sent_once)
{
    // given
    node_without_peers node;
    std::vector<membership::relay_response> on_silent_connection;
    std::vector<membership::relay_response> on_next_connection;

    // when
    node.receive_relayed(1, on_silent_connection);
    node.receive_relayed(1, on_next_connection);
    node.run_until([&] { return !on_next_connection.empty(); });

    // then: the rejection is true of both copies
    cr_assert(on_next_connection.front().status == net::status_unavailable);
    cr_assert(on_silent_connection.empty());
    cr_assert(node.store.calls == 1);
}

Test(store_attempts, the_next_process_of_a_peer_numbers_its_calls_anew)
{
    node_without_peers node;
    node.store.script = {net::status_unavailable, net::status_ok};
    cr_assert(node.serve_relayed(1).status == net::status_unavailable);
    ++node.peer.incarnation;
    cr_assert(node.serve_relayed(1).status == net::status_ok);
}
