#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include "common/random.h"
#include "membership/peer_network.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::membership;

const member sender{"a", "north", "127.0.0.1:1", 7};

Test(messages, every_message_is_decoded_as_encoded)
{
    // given
    const std::vector<message> all{
        hello{message_version, sender, "nonce"},
        proof{"code"},
        heartbeat{12, "change", {{"red", {1, 2, 3, 4}}}, true},
        relay_call{9, "POST", "/v1/x", "Bearer k", "key", "body"},
        relay_response{9, 200, "body"},
        settings_request{},
        settings_response{"manifest", {{"hash", "text"}}},
    };

    for (const message& original : all) {
        // when
        const auto decoded = decode(encode(original), "peer");

        // then
        cr_assert(decoded.has_value() && decoded.value() == original);
    }
}

Test(messages, truncated_messages_are_errors)
{
    // given
    const std::string encoded = encode(relay_call{9, "POST", "/v1/x", "Bearer k", "key", "body"});
    common::random_source random(3);

    for (int i = 0; i < 2000; ++i) {
        // when
        std::string truncated = encoded.substr(0, random.below(encoded.size()));
        const auto decoded = decode(truncated, "peer");

        // then
        cr_assert_not(decoded.has_value());
    }
}

/// Two networks on loopback; run() returns after a message, a rejection or two seconds.
struct node_pair {
    explicit node_pair(const std::string& second_secret)
        : first(this->context, {"one", "z", "127.0.0.1:0", 1}, "first secret", this->hooks()),
          second(this->context, {"two", "z", "127.0.0.1:0", 1}, second_secret, this->hooks())
    {
        cr_assert(this->first.listen().has_value());
        this->address = this->second.listen().value();
        this->first.connect_to(this->address);
    }

    network_hooks hooks()
    {
        return {[this](const member&, const message& value, const response_sender&) {
                    this->received.push_back(value);
                    this->context.stop();
                    if (this->fails) {
                        throw std::out_of_range("no such task");
                    }
                },
                [this](const member& peer) {
                    this->connected.push_back(peer.name);
                    this->first.send("two", heartbeat{5, "c", {}, false});
                },
                [](const member&) {},
                [this](const common::error& cause) {
                    this->rejected.push_back(cause);
                    this->context.stop();
                }};
    }

    void run()
    {
        this->context.run_for(std::chrono::seconds(2));
        this->first.close();
        this->second.close();
    }

    bool fails = false; ///< the handler of messages throws
    boost::asio::io_context context;
    net::endpoint address; ///< of the second network
    std::vector<message> received;
    std::vector<std::string> connected;
    std::vector<common::error> rejected;
    peer_network first;
    peer_network second;
};

Test(peer_network, nodes_with_the_same_secret_exchange_messages)
{
    // given
    node_pair nodes("first secret");

    // when
    nodes.run();

    // then
    cr_assert(nodes.received.size() == 1);
    cr_assert(std::get<heartbeat>(nodes.received.front()).settings_number == 5);
}

Test(peer_network, an_error_while_a_message_is_handled_ends_its_connection_and_nothing_else)
{
    // given
    node_pair nodes("first secret");
    nodes.fails = true;

    // when
    bool thrown = false;
    try {
        nodes.context.run_for(std::chrono::seconds(2));
    } catch (const std::out_of_range&) {
        thrown = true;
    }
    nodes.fails = false;
    nodes.context.restart();
    nodes.run();

    // then
    cr_assert(thrown);
    cr_assert(nodes.rejected.front().code == common::errc::bad_message);
    cr_assert(nodes.received.size() > 1, "the connection was not made again");
}

Test(peer_network, node_with_another_secret_is_rejected)
{
    // given
    node_pair nodes("second secret");

    // when
    nodes.run();

    // then
    cr_assert(nodes.received.empty() && nodes.connected.empty());
    cr_assert(nodes.rejected.front().code == common::errc::refused);
}

Test(peer_network, frame_larger_than_a_handshake_message_is_rejected_before_authentication)
{
    // given
    node_pair nodes("first secret");
    boost::asio::ip::tcp::socket socket(nodes.context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), nodes.address.port});

    // when an unauthenticated client announces a frame of 16 MB
    const std::string header("\x01\x00\x00\x00", 4);
    boost::asio::write(socket, boost::asio::buffer(header));
    while (nodes.rejected.empty() && nodes.context.run_one_for(std::chrono::seconds(2)) > 0) {
    }

    // then
    cr_assert(nodes.rejected.front().code == common::errc::too_large);
    nodes.first.close();
    nodes.second.close();
}

Test(messages, have_the_bytes_that_earlier_versions_wrote)
{
    // given, when, then
    cr_assert(encode(proof{"c"}) == std::string("\x92\xa5proof\xa1") + "c");
    cr_assert(encode(relay_response{7, 200, "b"}) ==
              std::string("\x94\xa6") + "answer\x07\xcc\xc8\xa1" + "b");
}

} // namespace
