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
std::optional<Action> only(claim_manager& keeper)
{
    const auto actions = keeper.take_actions();
    if (actions.size() != 1 || !std::holds_alternative<Action>(actions[0])) {
        return std::nullopt;
    }
    return std::get<Action>(actions[0]);
}

/// Brings a keeper to hold the claim with token 7 under lease 5, granted at 100 ms.
claim_manager make_owner()
{
    claim_manager keeper("node-1", claim_options{}, 1);
    keeper.observe_claim(std::nullopt, at(0));
    keeper.tick(at(100));
    cr_assert(only<grant_lease>(keeper).has_value());
    keeper.on_lease_response(5, milliseconds(1500), at(100), at(105));
    keeper.tick(at(105));
    cr_assert(only<create_claim>(keeper).has_value());
    keeper.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 7}, 5, at(110));
    return keeper;
}

Test(claim_manager, wins_a_free_claim_and_acts_no_longer_than_its_lease)
{
    // given, when
    const claim_manager keeper = make_owner();

    // then: the lease counts from when it was asked for, less a margin
    cr_assert(keeper.token() == 7);
    cr_assert(keeper.authority_until() ==
              at(100) + milliseconds(1500) - claim_options{}.clock_margin);
}

Test(claim_manager, does_not_try_while_another_holds_the_claim)
{
    // given
    claim_manager keeper("node-1", claim_options{}, 1);

    // when
    keeper.observe_claim(claim_record{"node-2", "b", 3}, at(0));
    keeper.tick(at(1000));

    // then
    cr_assert(keeper.take_actions().empty());
}

Test(claim_manager, a_renewal_extends_from_when_it_was_sent)
{
    // given
    claim_manager keeper = make_owner();
    keeper.tick(at(600));
    cr_assert(only<renew_lease>(keeper).has_value());

    // when
    keeper.on_renewal_response(call_outcome::done, at(600), at(900));

    // then
    cr_assert(keeper.authority_until() ==
              at(600) + milliseconds(1500) - claim_options{}.clock_margin);
}

Test(claim_manager, a_lost_answer_keeps_the_claim_but_not_the_authority)
{
    // given
    claim_manager keeper = make_owner();
    keeper.tick(at(600));
    keeper.take_actions();

    // when
    keeper.on_renewal_response(call_outcome::unknown, at(600), at(2000));

    // then
    cr_assert(keeper.token() == 7);
    cr_assert(keeper.authority_until() < at(2000));
}

Test(claim_manager, an_ended_lease_ends_the_claim)
{
    // given
    claim_manager keeper = make_owner();
    keeper.tick(at(600));
    keeper.take_actions();

    // when
    keeper.on_renewal_response(call_outcome::refused, at(600), at(620));

    // then
    cr_assert(!keeper.token().has_value());
}

Test(claim_manager, a_newer_claim_of_another_deposes)
{
    // given
    claim_manager keeper = make_owner();

    // when
    keeper.observe_claim(claim_record{"node-2", "b", 9}, at(700));

    // then
    cr_assert(!keeper.token().has_value());
}

Test(claim_manager, recognizes_its_own_claim_after_a_lost_answer)
{
    // given
    claim_manager keeper("node-1", claim_options{}, 1);
    keeper.observe_claim(std::nullopt, at(0));
    keeper.tick(at(100));
    keeper.take_actions();
    keeper.on_lease_response(5, milliseconds(1500), at(100), at(105));
    keeper.tick(at(105));
    keeper.take_actions();
    keeper.on_claim_response(call_outcome::unknown, std::nullopt, 0, at(500));

    // when: the second try finds the claim that the first has made
    keeper.tick(at(800));
    cr_assert(only<create_claim>(keeper).has_value());
    keeper.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 7}, 5, at(810));

    // then
    cr_assert(keeper.token() == 7);
}

Test(claim_manager, a_claim_of_an_earlier_process_of_the_same_name_is_not_its_own)
{
    // given
    claim_manager keeper("node-1", claim_options{}, 1);
    keeper.observe_claim(std::nullopt, at(0));
    keeper.tick(at(100));
    keeper.take_actions();
    keeper.on_lease_response(5, milliseconds(1500), at(100), at(105));
    keeper.tick(at(105));
    keeper.take_actions();

    // when
    keeper.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 4}, 2, at(110));

    // then
    cr_assert(!keeper.token().has_value());
}

Test(claim_manager, a_claim_won_after_resigning_is_given_up)
{
    // given
    claim_manager keeper("node-1", claim_options{}, 1);
    keeper.observe_claim(std::nullopt, at(0));
    keeper.tick(at(100));
    keeper.take_actions();
    keeper.on_lease_response(5, milliseconds(1500), at(100), at(105));
    keeper.tick(at(105));
    keeper.take_actions();
    keeper.resign();
    keeper.take_actions();

    // when
    keeper.on_claim_response(call_outcome::done, claim_record{"node-1", "a", 7}, 5, at(110));

    // then
    cr_assert(!keeper.token().has_value());
}

} // namespace
