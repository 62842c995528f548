#include <criterion/criterion.h>

#include "membership/view.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::membership;
using common::milliseconds;

const std::vector<std::string> zones{"north", "south"};
const view_options options{milliseconds(2500), milliseconds(60'000)};

member make_member(const std::string& name, const std::string& zone, std::int64_t incarnation = 1)
{
    return {name, zone, "127.0.0.1:1", incarnation};
}

/// Returns a key whose home is the given node.
std::string key_with_home(const view& node_view, const std::string& home)
{
    for (int i = 0; i < 10'000; ++i) {
        const std::string key = "key-" + std::to_string(i);
        if (node_view.home_of(key, zones) == home) {
            return key;
        }
    }
    cr_assert(false, "no key has its home at %s", home.c_str());
    return {};
}

/// Advances the time by `time` with messages of all peers and a tick every 500 ms.
common::steady_time advance(view& node_view, common::steady_time now, milliseconds time,
                            const std::vector<member>& peers)
{
    const auto until = now + time;
    while (now < until) {
        now += milliseconds(500);
        for (const member& peer : peers) {
            node_view.mark_alive(peer, now);
        }
        node_view.tick(now);
    }
    return now;
}

Test(view, silent_peer_is_suspected_and_live_again_after_a_message)
{
    // given
    common::steady_time now{};
    view node_view(make_member("a", "north"), options, now);
    now = advance(node_view, now, milliseconds(1000), {make_member("b", "north")});
    cr_assert(node_view.is_live("b"));

    // when
    now = advance(node_view, now, milliseconds(3000), {});
    const bool after_silence = node_view.is_live("b");
    node_view.mark_alive(make_member("b", "north"), now);

    // then
    cr_assert_not(after_silence);
    cr_assert(node_view.is_live("b"));
}

Test(view, delayed_message_of_an_earlier_incarnation_is_ignored)
{
    // given
    common::steady_time now{};
    view node_view(make_member("a", "north"), options, now);
    node_view.mark_alive(make_member("b", "north", 5), now);

    // when
    node_view.mark_alive({"b", "north", "127.0.0.1:9", 4}, now);

    // then
    cr_assert(node_view.find("b")->incarnation == 5);
}

Test(view, zone_of_a_key_does_not_depend_on_live_nodes)
{
    // given a key whose zone is south
    common::steady_time now{};
    view node_view(make_member("a", "north"), options, now);
    node_view.mark_alive(make_member("s", "south"), now);
    const std::string key = key_with_home(node_view, "s");

    // when no node of that zone is live
    now = advance(node_view, now, milliseconds(4000), {});

    // then
    cr_assert_not(node_view.home_of(key, zones).has_value());
}

Test(view, node_is_always_home_only_after_the_history_retention)
{
    // given
    common::steady_time now{};
    view node_view(make_member("a", "north"), options, now);
    const std::string key = key_with_home(node_view, "a");
    cr_assert_not(node_view.was_always_home(key, zones, now));

    // when
    now = advance(node_view, now, milliseconds(61'000), {});

    // then
    cr_assert(node_view.was_always_home(key, zones, now));
}

Test(view, key_inherited_from_a_failed_peer_was_not_always_at_home)
{
    // given two nodes of a zone for longer than the history retention
    common::steady_time now{};
    view node_view(make_member("a", "north"), options, now);
    now = advance(node_view, now, milliseconds(61'000), {make_member("b", "north")});
    const std::string own_key = key_with_home(node_view, "a");
    const std::string peer_key = key_with_home(node_view, "b");

    // when the peer fails
    now = advance(node_view, now, milliseconds(5000), {});

    // then
    cr_assert(node_view.home_of(peer_key, zones) == "a");
    cr_assert_not(node_view.was_always_home(peer_key, zones, now));
    cr_assert(node_view.was_always_home(own_key, zones, now));
}

Test(view, stopping_peer_is_not_a_home_until_it_restarts)
{
    // given
    common::steady_time now{};
    view node_view(make_member("a", "north"), options, now);
    node_view.mark_alive(make_member("b", "north"), now);
    const std::string key = key_with_home(node_view, "b");

    // when
    node_view.mark_stopping("b", now);
    node_view.mark_alive(make_member("b", "north"), now);
    const auto while_stopping = node_view.home_of(key, zones);
    node_view.mark_alive(make_member("b", "north", 2), now);

    // then
    cr_assert(while_stopping == "a");
    cr_assert(node_view.home_of(key, zones) == "b");
}

Test(view, paused_node_has_not_always_been_home_of_its_keys)
{
    // given
    common::steady_time now{};
    view node_view(make_member("a", "north"), options, now);
    const std::string key = key_with_home(node_view, "a");
    now = advance(node_view, now, milliseconds(61'000), {});

    // when the node is paused; checked before and after its first tick
    now += milliseconds(10'000);
    const bool before_tick = node_view.was_always_home(key, zones, now);
    node_view.tick(now);
    const bool after_tick = node_view.was_always_home(key, zones, now);

    // then
    cr_assert_not(before_tick);
    cr_assert_not(after_tick);
}

} // namespace
