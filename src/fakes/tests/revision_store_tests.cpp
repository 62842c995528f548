#include <criterion/criterion.h>

#include "fakes/revision_store.h"

namespace {

using namespace chervilslip;
using common::milliseconds;

common::steady_time at(std::int64_t ms)
{
    return common::steady_time(milliseconds(ms));
}

store::transaction put(const std::string& key, const std::string& value, std::int64_t expected,
                       std::uint64_t lease = 0)
{
    store::transaction changes;
    changes.expected.push_back({key, expected});
    changes.set.push_back({key, value, lease});
    return changes;
}

Test(revision_store, makes_all_changes_or_none)
{
    // given
    fakes::revision_store items;
    const auto first = items.commit(put("a", "1", 0)).value();
    store::transaction both = put("a", "2", first.revision + 7);
    both.set.push_back({"b", "2", 0});

    // when
    const auto second = items.commit(both).value();

    // then
    cr_assert(!second.committed);
    cr_assert(second.current.size() == 1);
    cr_assert(second.current[0].value == "1");
    cr_assert(!items.read("b"));
}

Test(revision_store, keeps_the_creation_of_a_key_that_changes)
{
    // given
    fakes::revision_store items;
    const auto first = items.commit(put("a", "1", 0)).value();

    // when
    items.commit(put("a", "2", first.revision)).value();

    // then
    cr_assert(items.read("a")->created_revision == first.revision);
    cr_assert(items.read("a")->revision == first.revision + 1);
}

Test(revision_store, tells_changes_and_removals_in_order)
{
    // given
    fakes::revision_store items;
    const auto begin = items.revision();
    items.commit(put("x/a", "1", 0)).value();
    items.commit(put("y/a", "1", 0)).value();
    store::transaction removal;
    removal.remove = {"x/a"};
    items.commit(removal).value();

    // when
    const auto page = items.changes("x/", begin);

    // then
    cr_assert(page.has_value());
    cr_assert(page->changes.size() == 2);
    cr_assert(!page->changes[0].removed);
    cr_assert(page->changes[1].removed);
    cr_assert(page->store_revision == items.revision());
}

Test(revision_store, says_that_forgotten_changes_are_gone)
{
    // given
    fakes::revision_store items;
    const auto begin = items.revision();
    items.commit(put("a", "1", 0)).value();

    // when
    items.compact();

    // then
    cr_assert(!items.changes("", begin).has_value());
    cr_assert(items.changes("", items.revision()).has_value());
}

Test(revision_store, a_lease_takes_its_keys_along_when_it_ends)
{
    // given
    fakes::revision_store items;
    const auto lease = items.grant(milliseconds(1000), at(0));
    items.commit(put("claim", "n1", 0, lease.id)).value();
    items.renew(lease.id, at(900));

    // when, then
    items.lapse_leases(at(1500));
    cr_assert(items.read("claim").has_value());
    items.lapse_leases(at(1900));
    cr_assert(!items.read("claim").has_value());
    cr_assert(!items.renew(lease.id, at(1900)).has_value());
    cr_assert(items.commit(put("claim", "n1", 0, lease.id)).has_error());
}

Test(revision_store, pages_continue_after_the_last_key)
{
    // given
    fakes::revision_store items;
    for (int i = 0; i < 501; ++i) {
        items.commit(put("k/" + std::to_string(1000 + i), "v", 0)).value();
    }

    // when
    const auto first = items.range("k/", "");
    const auto second = items.range("k/", first.items.back().key);

    // then
    cr_assert(first.more);
    cr_assert(first.items.size() == 500);
    cr_assert(!second.more);
    cr_assert(second.items.size() == 1);
}

} // namespace
