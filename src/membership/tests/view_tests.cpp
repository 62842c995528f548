#include <criterion/criterion.h>

#include "membership/view.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::membership;
using common::milliseconds;

const std::vector<std::string> zones{"north", "south"};
const view_options options{milliseconds(2500), milliseconds(60'000)};

member node(const std::string& name, const std::string& zone, std::int64_t incarnation = 1)
{
    return {name, zone, "127.0.0.1:1", incarnation};
}

/// Returns a key whose home is the given node.
std::string key_at(const view& known, const std::string& home)
{
    for (int i = 0; i < 10'000; ++i) {
        const std::string key = "key-" + std::to_string(i);
        if (known.home_of(key, zones) == home) {
            return key;
        }
    }
    cr_assert(false, "no key has its home at %s", home.c_str());
    return {};
}

/// Lets time pass with heartbeats of all peers.
common::steady_time pass(view& known, common::steady_time now, milliseconds time,
                         const std::vector<member>& peers)
{
    const auto until = now + time;
    while (now < until) {
        now += milliseconds(500);
        for (const member& peer : peers) {
            known.mark_alive(peer, now);
        }
        known.tick(now);
    }
    return now;
}

Test(view, silent_peer_is_suspected_and_comes_back)
{
    // given
    common::steady_time now{};
    view known(node("a", "north"), options, now);
    now = pass(known, now, milliseconds(1000), {node("b", "north")});
    cr_assert(known.is_live("b"));

    // when
    now = pass(known, now, milliseconds(3000), {});
    const bool after_silence = known.is_live("b");
    known.mark_alive(node("b", "north"), now);

    // then
    cr_assert_not(after_silence);
    cr_assert(known.is_live("b"));
}

Test(view, late_message_of_an_earlier_incarnation_is_ignored)
{
    // given
    common::steady_time now{};
    view known(node("a", "north"), options, now);
    known.mark_alive(node("b", "north", 5), now);

    // when
    known.mark_alive({"b", "north", "127.0.0.1:9", 4}, now);

    // then
    cr_assert(known.find("b")->incarnation == 5);
}

Test(view, zone_of_a_key_does_not_depend_on_who_lives)
{
    // given a key whose zone is south, where no node lives
    common::steady_time now{};
    view known(node("a", "north"), options, now);
    known.mark_alive(node("s", "south"), now);
    const std::string key = key_at(known, "s");

    // when
    now = pass(known, now, milliseconds(4000), {});

    // then
    cr_assert_not(known.home_of(key, zones).has_value());
}

Test(view, home_is_trusted_only_after_it_was_home_for_the_memory_time)
{
    // given
    common::steady_time now{};
    view known(node("a", "north"), options, now);
    const std::string key = key_at(known, "a");
    cr_assert_not(known.was_always_home(key, zones, now));

    // when
    now = pass(known, now, milliseconds(61'000), {});

    // then
    cr_assert(known.was_always_home(key, zones, now));
}

Test(view, key_taken_over_from_a_dead_peer_is_not_trusted)
{
    // given two nodes of a zone for longer than the memory time
    common::steady_time now{};
    view known(node("a", "north"), options, now);
    now = pass(known, now, milliseconds(61'000), {node("b", "north")});
    const std::string own = key_at(known, "a");
    const std::string of_peer = key_at(known, "b");

    // when the peer dies
    now = pass(known, now, milliseconds(5000), {});

    // then
    cr_assert(known.home_of(of_peer, zones) == "a");
    cr_assert_not(known.was_always_home(of_peer, zones, now));
    cr_assert(known.was_always_home(own, zones, now));
}

Test(view, stopping_peer_is_no_home_until_it_starts_anew)
{
    // given
    common::steady_time now{};
    view known(node("a", "north"), options, now);
    known.mark_alive(node("b", "north"), now);
    const std::string key = key_at(known, "b");

    // when
    known.mark_stopping("b", now);
    known.mark_alive(node("b", "north"), now);
    const auto while_stopping = known.home_of(key, zones);
    known.mark_alive(node("b", "north", 2), now);

    // then
    cr_assert(while_stopping == "a");
    cr_assert(known.home_of(key, zones) == "b");
}

Test(view, paused_node_trusts_no_key)
{
    // given
    common::steady_time now{};
    view known(node("a", "north"), options, now);
    const std::string key = key_at(known, "a");
    now = pass(known, now, milliseconds(61'000), {});

    // when the node is frozen, both before and after its first tick
    now += milliseconds(10'000);
    const bool before_tick = known.was_always_home(key, zones, now);
    known.tick(now);
    const bool after_tick = known.was_always_home(key, zones, now);

    // then
    cr_assert_not(before_tick);
    cr_assert_not(after_tick);
}

} // namespace
