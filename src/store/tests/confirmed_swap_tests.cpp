#include <criterion/criterion.h>

#include "store/confirmed_swap.h"
#include "store/tests/memory_store.h"

namespace {

using namespace chervilslip;
using store::swap_result;
using store::tests::memory_store;

const store::swap_request wanted{"key", store::no_revision, "mine", store::no_lease};

void is_mine(const std::optional<store::versioned_value>& now,
             const std::function<void(bool)>& done)
{
    done(now && now->value == "mine");
}

swap_result swap(memory_store& store)
{
    std::optional<swap_result> result;
    store::confirmed_swap(store, wanted, store::purpose::duty, is_mine,
                          [&result](swap_result ended, const common::error&) { result = ended; });
    store.run();
    return result.value();
}

Test(confirmed_swap, lost_response_is_read_back_and_not_written_twice)
{
    // given a store whose response is lost after the write
    memory_store store;
    store.lost_swap_responses = 1;

    // when
    const auto result = swap(store);

    // then
    cr_assert(result == swap_result::applied);
    cr_assert(store.written_keys.size() == 1);
}

Test(confirmed_swap, lost_response_to_a_rejected_write_is_reported_as_conflict)
{
    // given a concurrent writer that writes first, and a lost response
    memory_store store;
    store.lost_swap_responses = 1;
    store.before_swap = [&store] {
        store.values["key"] = {"another", ++store.revision};
    };

    // when
    const auto result = swap(store);

    // then
    cr_assert(result == swap_result::conflict);
    cr_assert(store.values["key"].value == "another");
}

Test(confirmed_swap, unavailable_store_gives_an_uncertain_result)
{
    // given
    memory_store store;
    store.down = true;

    // when
    const auto result = swap(store);

    // then
    cr_assert(result == swap_result::uncertain);
    cr_assert(store.swaps + store.reads < 10, "the calls must be bounded");
}

} // namespace
