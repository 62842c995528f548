#include <criterion/criterion.h>

#include "membership/peer_network.h"
#include "membership/tests/silenceable_proxy.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::membership;
using common::milliseconds;

/// Longer than it takes to find that a connection is silent and to replace it.
constexpr milliseconds recovery_time{1500};

/// A node that sends to another through a proxy.
struct proxied_pair {
    proxied_pair()
        : sender(this->context, {"sender", "z", "127.0.0.1:0", 1}, "secret", this->sender_hooks()),
          receiver(this->context, {"receiver", "z", "127.0.0.1:0", 1}, "secret",
                   this->receiver_hooks()),
          proxy(this->context, this->receiver.listen().value())
    {
        this->sender.connect_to(this->proxy.address());
        this->run_until([this] { return this->connected == 1; });
    }

    ~proxied_pair()
    {
        this->sender.close();
        this->receiver.close();
    }

    proxied_pair(const proxied_pair&) = delete;
    proxied_pair& operator=(const proxied_pair&) = delete;

    network_hooks sender_hooks()
    {
        network_hooks hooks;
        hooks.on_message = [](const member&, const message&, const response_sender&) {
        };
        hooks.on_connected = [this](const member&) {
            ++this->connected;
        };
        hooks.on_disconnected = [this](const member&) {
            ++this->disconnected;
        };
        hooks.on_rejected = [](const common::error&) {
        };
        hooks.on_silence = [this](const silent_peer& silent) {
            this->silences.push_back(silent);
        };
        return hooks;
    }

    network_hooks receiver_hooks()
    {
        network_hooks hooks = this->sender_hooks();
        hooks.on_rejected = [this](const common::error&) {
            ++this->rejected;
        };
        hooks.on_message = [this](const member&, const message& value, const response_sender&) {
            this->received.push_back(std::get<relay_call>(value).body);
        };
        hooks.on_connected = [](const member&) {
        };
        return hooks;
    }

    void send(const std::string& body, delivery how)
    {
        relay_call call;
        call.number = 1;
        call.body = body;
        cr_assert(this->sender.send("receiver", call, how));
    }

    void run_for(milliseconds time)
    {
        this->context.run_for(time);
    }

    void run_until(const std::function<bool()>& done)
    {
        const auto end = std::chrono::steady_clock::now() + recovery_time;
        while (!done() && std::chrono::steady_clock::now() < end) {
            this->context.run_one_for(milliseconds(10));
        }
        cr_assert(done());
    }

    boost::asio::io_context context;
    int connected = 0;
    int disconnected = 0;
    int rejected = 0; ///< connections to the receiver
    std::vector<silent_peer> silences;
    std::vector<std::string> received;
    peer_network sender;
    peer_network receiver;
    tests::silenceable_proxy proxy;
};

Test(peer_network, a_message_on_a_connection_that_went_silent_arrives_on_the_next_one)
{
    // given
    proxied_pair nodes;
    nodes.send("first", delivery::at_least_once);
    nodes.run_until([&nodes] { return nodes.received.size() == 1; });

    // when
    nodes.proxy.silence();
    nodes.send("second", delivery::at_least_once);

    // then: without a loss of the peer
    nodes.run_until([&nodes] { return nodes.received.size() > 1; });
    cr_assert(nodes.received.back() == "second");
    cr_assert(nodes.disconnected == 0);
    cr_assert(nodes.silences.size() == 1);
}

Test(peer_network, a_message_that_may_not_arrive_twice_is_lost_with_its_silent_connection)
{
    // given
    proxied_pair nodes;
    nodes.proxy.silence();

    // when
    nodes.send("unsafe", delivery::at_most_once);

    // then: its sender is told
    nodes.run_until([&nodes] { return nodes.connected == 2; });
    cr_assert(nodes.disconnected == 1);
    nodes.run_for(milliseconds(200));
    cr_assert(nodes.received.empty());
}

Test(peer_network, the_connection_to_a_busy_peer_is_not_replaced)
{
    // given
    proxied_pair nodes;
    nodes.proxy.hold(milliseconds(800));

    // when
    nodes.send("late", delivery::at_most_once);
    nodes.run_for(recovery_time);

    // then
    cr_assert(nodes.received.size() == 1);
    cr_assert(nodes.connected == 1);
    cr_assert(nodes.disconnected == 0);
}

Test(peer_network, a_message_that_arrived_long_ago_is_not_sent_again)
{
    // given
    proxied_pair nodes;
    nodes.send("old", delivery::at_least_once);
    nodes.run_for(recovery_time);

    // when
    nodes.proxy.silence();
    nodes.send("new", delivery::at_least_once);
    nodes.run_until([&nodes] { return nodes.received.size() > 1; });

    // then
    nodes.run_for(milliseconds(200));
    const std::vector<std::string> expected{"old", "new"};
    cr_assert(nodes.received == expected);
}

Test(peer_network, a_replacement_that_goes_silent_itself_is_replaced)
{
    // given: two severances in quick succession
    proxied_pair nodes;
    nodes.proxy.silence();
    nodes.send("late", delivery::at_least_once);
    while (nodes.proxy.connections() < 2) {
        nodes.context.run_one_for(milliseconds(1));
    }

    // when
    nodes.proxy.silence();

    // then
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(8);
    while (nodes.received.empty() && std::chrono::steady_clock::now() < end) {
        nodes.context.run_one_for(milliseconds(10));
    }
    cr_assert(nodes.received.size() == 1);
}

/// Guards against connections without a proof that keep entry nodes out.
Test(peer_network, a_peer_connects_beside_many_connections_without_a_proof)
{
    // given: more than may be open at once
    using tcp = boost::asio::ip::tcp;
    constexpr std::size_t count = 200;
    proxied_pair nodes;
    const auto target = nodes.proxy.address();
    std::vector<tcp::socket> unproven;
    for (std::size_t i = 0; i < count; ++i) {
        unproven.emplace_back(nodes.context);
        unproven.back().connect({boost::asio::ip::make_address(target.address), target.port});
    }
    nodes.run_until([&nodes] { return nodes.rejected > 0; });

    // when
    peer_network another(nodes.context, {"another", "z", "127.0.0.1:0", 1}, "secret",
                         nodes.sender_hooks());
    another.connect_to(target);

    // then
    nodes.run_until([&nodes] { return nodes.connected == 2; });
    cr_assert(nodes.disconnected == 0);
    another.close();
}

} // namespace
