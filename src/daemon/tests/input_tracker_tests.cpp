#include <criterion/criterion.h>

#include "daemon/input_tracker.h"

namespace {

using namespace chervilslip;
using daemon::input_tracker;

store::item_map items_at(const std::map<std::string, std::int64_t>& revisions)
{
    store::item_map items;
    for (const auto& [key, revision] : revisions) {
        items[key].key = key;
        items[key].revision = revision;
    }
    return items;
}

std::vector<std::string> take(input_tracker& tracker,
                              const std::map<std::string, std::int64_t>& revisions,
                              std::int64_t revision)
{
    const store::item_map items = items_at(revisions);
    std::vector<std::string> keys;
    for (const store::item* each : tracker.take_new(items, revision)) {
        keys.push_back(each->key);
    }
    return keys;
}

Test(input_tracker, an_item_is_new_once)
{
    input_tracker tracker;
    cr_assert(take(tracker, {{"a", 3}, {"b", 4}}, 4) == (std::vector<std::string>{"a", "b"}));
    cr_assert(take(tracker, {{"a", 3}, {"b", 4}, {"c", 6}}, 6) == std::vector<std::string>{"c"});
}

Test(input_tracker, an_item_of_a_key_that_was_used_before_is_new)
{
    // given a job that was closed and purged
    input_tracker tracker;
    take(tracker, {{"a", 3}}, 4);
    take(tracker, {}, 9);

    // when, then
    cr_assert(take(tracker, {{"a", 12}}, 12) == std::vector<std::string>{"a"});

    // when the removal was not seen on its own, then
    cr_assert(take(tracker, {{"a", 20}}, 20) == std::vector<std::string>{"a"});
}

Test(input_tracker, an_item_that_was_notified_is_not_new)
{
    // given
    input_tracker tracker;
    tracker.add("a", 8);

    // when, then
    cr_assert(take(tracker, {{"b", 5}}, 6) == std::vector<std::string>{"b"});
    cr_assert(take(tracker, {{"a", 8}, {"b", 5}}, 8).empty());
}

Test(input_tracker, removed_items_take_no_memory)
{
    input_tracker tracker;
    take(tracker, {{"a", 3}, {"b", 4}}, 4);
    take(tracker, {{"b", 4}}, 5);
    cr_assert(tracker.size() == 1);
}

} // namespace
