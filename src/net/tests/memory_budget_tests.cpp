#include <criterion/criterion.h>

#include "net/memory_budget.h"

namespace {

using namespace chervilslip;
using net::connection_phase;
using net::memory_budget;

constexpr common::steady_time start;
constexpr common::milliseconds ms(1);

struct connection {
    connection_phase phase = connection_phase::idle;
    std::size_t held = 0;
    common::milliseconds age{0}; ///< of the phase

    friend bool operator==(const connection&, const connection&) = default;
};

/// Guards against shedding the wrong connections: each case lists connections by account, and the
/// accounts to shed in order, of a budget of 1,000 bytes.
Test(memory_budget, sheds_what_holds_most_for_least_progress)
{
    using phase = connection_phase;
    const struct {
        const char* name;
        std::vector<connection> connections;
        std::vector<memory_budget::account_id> shed;
    } cases[] = {
        {"nothing up to the total", {{phase::receiving, 600, 9000 * ms}, {phase::idle, 400}}, {}},
        {"the largest of one age",
         {{phase::receiving, 100, 5 * ms}, {phase::receiving, 950, 5 * ms}},
         {1}},
        {"a stalled one before a larger new one",
         {{phase::receiving, 700, 0 * ms}, {phase::receiving, 400, 5000 * ms}},
         {1}},
        {"the oldest of equal ones",
         {{phase::receiving, 510, 5 * ms}, {phase::receiving, 510, 5 * ms}},
         {0}},
        {"no complete request",
         {{phase::handling, 2000, 9000 * ms}, {phase::receiving, 10, 1 * ms}},
         {1}},
        {"no answer that the client reads",
         {{phase::sending, 2000, 900 * ms}, {phase::receiving, 10, 1 * ms}},
         {1}},
        {"an answer that the client does not read",
         {{phase::sending, 2000, 1000 * ms}, {phase::receiving, 10, 1 * ms}},
         {0}},
        {"no idle connection",
         {{phase::idle, 900, 60'000 * ms}, {phase::receiving, 200, 1 * ms}},
         {1}},
        {"until an eighth is free",
         {{phase::receiving, 120, 3 * ms},
          {phase::receiving, 120, 2 * ms},
          {phase::handling, 770, 9 * ms}},
         {0, 1}},
    };
    for (const auto& each : cases) {
        // given
        memory_budget budget(1000);
        const auto now = start + 10'000 * ms;
        for (const connection& one : each.connections) {
            const auto account = budget.open(start);
            budget.set_phase(account, one.phase, now - one.age);
            budget.set_held(account, one.held);
        }

        // when / then
        cr_assert(budget.choose_to_shed(now) == each.shed, "%s", each.name);
    }
}

/// Guards against bytes that stay counted after a connection has ended.
Test(memory_budget, counts_what_open_connections_hold)
{
    // given
    memory_budget budget(1000);
    const auto first = budget.open(start);
    const auto second = budget.open(start);
    budget.set_held(first, 800);
    budget.set_held(second, 300);
    cr_assert(budget.is_exceeded());

    // when
    budget.set_held(first, 100);
    budget.close(second);
    const auto third = budget.open(start);

    // then
    cr_assert(budget.held() == 100);
    cr_assert(third == second);
    cr_assert_not(budget.is_exceeded());
}

/// Guards against closing a connection on which a request may be on its way.
Test(memory_budget, finds_the_connection_that_has_been_idle_for_longest)
{
    // given
    memory_budget budget(1000);
    const auto busy = budget.open(start);
    budget.set_phase(busy, connection_phase::receiving, start);
    const auto younger = budget.open(start + 2 * ms);
    const auto older = budget.open(start + 1 * ms);

    // when / then
    cr_assert(budget.longest_idle(start + 500 * ms, 1000 * ms) == std::nullopt);
    cr_assert(budget.longest_idle(start + 1500 * ms, 1000 * ms) == older);
    budget.set_phase(older, connection_phase::idle, start + 1400 * ms);
    cr_assert(budget.longest_idle(start + 1500 * ms, 1000 * ms) == younger);
}

} // namespace
