#include <criterion/criterion.h>

#include "ownership/claim_manager.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::ownership;
using common::milliseconds;

common::steady_time at(std::int64_t ms)
{
    return common::steady_time(std::chrono::hours(1) + milliseconds(ms));
}

template <typename Action>
std::optional<Action> take_single_action(claim_manager& manager)
{
    const auto actions = manager.take_actions();
    if (actions.size() != 1 || !std::holds_alternative<Action>(actions[0])) {
        return std::nullopt;
    }
    return std::get<Action>(actions[0]);
}

/// Returns a manager that holds the claim with token 7 under lease 5, requested at 100 ms.
claim_manager make_owner()
{
    claim_manager manager("node-1", claim_options{}, 1);
    manager.observe_claim(std::nullopt, at(0));
    manager.tick(at(100));
    cr_assert(take_single_action<grant_lease>(manager).has_value());
    manager.on_lease_response(5, milliseconds(1500), at(100), at(105));
    manager.tick(at(105));
    cr_assert(take_single_action<create_claim>(manager).has_value());
    manager.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 7}, 5, at(110));
    return manager;
}

Test(claim_manager, wins_a_free_claim_and_acts_no_longer_than_its_lease)
{
    // given, when
    const claim_manager manager = make_owner();

    // then: the lease runs from when it was requested, less a safety margin
    cr_assert(manager.token() == 7);
    cr_assert(manager.authority_until() ==
              at(100) + milliseconds(1500) - claim_options{}.expiry_margin);
}

Test(claim_manager, does_not_try_while_another_holds_the_claim)
{
    // given
    claim_manager manager("node-1", claim_options{}, 1);

    // when
    manager.observe_claim(claim_record{"node-2", "b", 3}, at(0));
    manager.tick(at(1000));

    // then
    cr_assert(manager.take_actions().empty());
}

Test(claim_manager, a_renewal_extends_the_lease_from_when_it_was_sent)
{
    // given
    claim_manager manager = make_owner();
    manager.tick(at(600));
    cr_assert(take_single_action<renew_lease>(manager).has_value());

    // when
    manager.on_renewal_response(call_outcome::done, at(600), at(900));

    // then
    cr_assert(manager.authority_until() ==
              at(600) + milliseconds(1500) - claim_options{}.expiry_margin);
}

Test(claim_manager, a_lost_response_keeps_the_claim_but_does_not_extend_authority)
{
    // given
    claim_manager manager = make_owner();
    manager.tick(at(600));
    manager.take_actions();

    // when
    manager.on_renewal_response(call_outcome::unknown, at(600), at(2000));

    // then
    cr_assert(manager.token() == 7);
    cr_assert(manager.authority_until() < at(2000));
}

Test(claim_manager, an_expired_lease_ends_the_claim)
{
    // given
    claim_manager manager = make_owner();
    manager.tick(at(600));
    manager.take_actions();

    // when
    manager.on_renewal_response(call_outcome::refused, at(600), at(620));

    // then
    cr_assert(!manager.token().has_value());
}

Test(claim_manager, steps_down_when_another_node_has_a_newer_claim)
{
    // given
    claim_manager manager = make_owner();

    // when
    manager.observe_claim(claim_record{"node-2", "b", 9}, at(700));

    // then
    cr_assert(!manager.token().has_value());
}

Test(claim_manager, recognizes_its_own_claim_after_a_lost_response)
{
    // given
    claim_manager manager("node-1", claim_options{}, 1);
    manager.observe_claim(std::nullopt, at(0));
    manager.tick(at(100));
    manager.take_actions();
    manager.on_lease_response(5, milliseconds(1500), at(100), at(105));
    manager.tick(at(105));
    manager.take_actions();
    manager.on_claim_response(call_outcome::unknown, std::nullopt, 0, at(500));

    // when: the second attempt finds the claim that the first one created
    manager.tick(at(800));
    cr_assert(take_single_action<create_claim>(manager).has_value());
    manager.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 7}, 5, at(810));

    // then
    cr_assert(manager.token() == 7);
}

Test(claim_manager, a_claim_that_is_seen_after_its_lost_response_is_not_left_to_expire)
{
    // given
    claim_manager manager("node-1", claim_options{}, 1);
    manager.observe_claim(std::nullopt, at(0));
    manager.tick(at(100));
    manager.take_actions();
    manager.on_lease_response(5, milliseconds(1500), at(100), at(105));
    manager.tick(at(105));
    manager.take_actions();
    manager.on_claim_response(call_outcome::unknown, std::nullopt, 0, at(500));

    // when: the watch shows the claim that the attempt has created
    manager.observe_claim(claim_record{"node-1", "a", 7}, at(510));
    manager.tick(at(800));

    // then: another attempt tells under which lease
    cr_assert(take_single_action<create_claim>(manager).has_value());
    manager.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 7}, 5, at(810));
    cr_assert(manager.token() == 7);
}

Test(claim_manager, a_claim_of_an_earlier_process_of_the_same_name_is_not_its_own)
{
    // given
    claim_manager manager("node-1", claim_options{}, 1);
    manager.observe_claim(std::nullopt, at(0));
    manager.tick(at(100));
    manager.take_actions();
    manager.on_lease_response(5, milliseconds(1500), at(100), at(105));
    manager.tick(at(105));
    manager.take_actions();

    // when
    manager.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 4}, 2, at(110));

    // then
    cr_assert(!manager.token().has_value());
}

Test(claim_manager, a_claim_won_after_resigning_is_given_up)
{
    // given
    claim_manager manager("node-1", claim_options{}, 1);
    manager.observe_claim(std::nullopt, at(0));
    manager.tick(at(100));
    manager.take_actions();
    manager.on_lease_response(5, milliseconds(1500), at(100), at(105));
    manager.tick(at(105));
    manager.take_actions();
    manager.resign();
    manager.take_actions();

    // when
    manager.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 7}, 5, at(110));

    // then
    cr_assert(!manager.token().has_value());
}

Test(claim_manager, a_renewal_that_is_answered_late_does_not_delay_the_next)
{
    // given: a renewal whose response an overloaded owner reads 900 ms later
    claim_manager manager = make_owner();
    manager.tick(at(500));
    cr_assert(take_single_action<renew_lease>(manager).has_value());
    manager.on_renewal_response(call_outcome::done, at(500), at(1400));

    // when
    manager.tick(at(1400));

    // then: the next is sent at once
    cr_assert(take_single_action<renew_lease>(manager).has_value());
}

} // namespace
