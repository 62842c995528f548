#include <criterion/criterion.h>

#include "daemon/route_plan.h"

namespace {

using namespace chervilslip;
using daemon::route_plan;

const std::string direct(route_plan::direct_route);

std::vector<std::string> all_routes(route_plan plan, const std::set<std::string>& reachable,
                                    const std::string& preferred, std::uint64_t seed = 1)
{
    common::random_source random(seed);
    std::vector<std::string> routes;
    while (const auto route = plan.next(reachable, preferred, random)) {
        routes.push_back(*route);
    }
    return routes;
}

std::set<std::string> make_peers(int count)
{
    std::set<std::string> peers;
    for (int i = 0; i < count; ++i) {
        peers.insert("peer-" + std::to_string(i));
    }
    return peers;
}

} // namespace

Test(route_plan, tries_the_direct_route_then_the_preferred_peer_then_three_others)
{
    const auto routes = all_routes(route_plan(false), make_peers(20), "peer-7");
    cr_assert(routes.size() == 2 + route_plan::max_random_peers);
    cr_assert(routes.at(0) == direct);
    cr_assert(routes.at(1) == "peer-7");
    cr_assert(std::set(routes.begin(), routes.end()).size() == routes.size());
}

Test(route_plan, tries_the_direct_route_last_if_it_has_just_failed)
{
    const auto routes = all_routes(route_plan(true), make_peers(20), {});
    cr_assert(routes.size() == 1 + route_plan::max_random_peers);
    cr_assert(routes.back() == direct);
}

Test(route_plan, tries_every_peer_once_if_there_are_few)
{
    const auto routes = all_routes(route_plan(false), make_peers(2), "peer-1");
    const std::vector<std::string> expected{direct, "peer-1", "peer-0"};
    cr_assert(routes == expected);
    const std::vector<std::string> direct_only{direct};
    cr_assert(all_routes(route_plan(true), {}, "peer-1") == direct_only);
}

Test(route_plan, leaves_out_a_peer_that_became_unreachable)
{
    common::random_source random(1);
    route_plan plan(false);
    cr_assert(plan.next(make_peers(5), {}, random) == direct);
    for (const auto& only : {"peer-4", "peer-2"}) {
        cr_assert(plan.next({only}, {}, random) == only);
    }
    cr_assert(!plan.next({"peer-4", "peer-2"}, {}, random));
}

Test(route_plan, spreads_calls_over_all_peers)
{
    std::map<std::string, int> first_choices;
    constexpr int calls = 1000;
    for (std::uint64_t seed = 0; seed < calls; ++seed) {
        ++first_choices[all_routes(route_plan(false), make_peers(5), {}, seed).at(1)];
    }
    for (const auto& [peer, count] : first_choices) {
        cr_assert(count > calls / 10, "%s: %d of %d", peer.c_str(), count, calls);
    }
    cr_assert(first_choices.size() == 5);
}

Test(route_plan, reads_no_peers_while_the_direct_route_serves)
{
    common::random_source random(1);
    common::random_source untouched(1);
    cr_assert(route_plan(false).next(make_peers(200), "peer-7", random) == direct);
    cr_assert(random.below(1'000'000) == untouched.below(1'000'000));
}
