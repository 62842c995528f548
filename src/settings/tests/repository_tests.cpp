#include <criterion/criterion.h>

#include "settings/repository.h"
#include "store/tests/memory_store.h"

namespace {

using namespace chervilslip;
using settings::commit_outcome;
using settings::commit_status;
using settings::proposal;
using store::tests::memory_store;
using repository = settings::repository<memory_store>;

struct fixture {
    memory_store store;
    common::real_clock clock;
    repository settings{store, clock};

    commit_outcome commit(const proposal& wanted)
    {
        std::optional<commit_outcome> outcome;
        this->settings.commit(wanted, [&outcome](const commit_outcome& ended) { outcome = ended; });
        this->store.run();
        return outcome.value();
    }

    std::shared_ptr<const settings::loaded_tree> load()
    {
        std::shared_ptr<const settings::loaded_tree> found;
        this->settings.load([&found](auto loaded) { found = loaded.value(); });
        this->store.run();
        return found;
    }
};

proposal workspace_change(const std::string& id, const std::string& name,
                          const std::string& based_on = {})
{
    return {id, "ann", "", {{"/workspaces/" + name, based_on, nlohmann::json{{"size", "small"}}}}};
}

Test(repository, accepted_change_is_read_back)
{
    // given
    fixture each;

    // when
    const auto outcome = each.commit(workspace_change("c1", "desk"));

    // then
    cr_assert(outcome.status == commit_status::accepted);
    cr_assert(outcome.number == 1);
    cr_assert(each.load()->checked.typed.workspaces.contains("desk"));
}

Test(repository, invalid_change_writes_nothing)
{
    // given
    fixture each;
    proposal wanted = workspace_change("c1", "desk");
    wanted.edits.front().value = nlohmann::json{{"size", "huge"}};

    // when
    const auto outcome = each.commit(wanted);

    // then
    cr_assert(outcome.status == commit_status::invalid);
    cr_assert(outcome.problems.size() == 1);
    cr_assert(each.store.written_keys.empty());
}

Test(repository, lost_responses_leave_exactly_one_change)
{
    for (int lost = 1; lost <= 4; ++lost) {
        // given responses that are lost after the write
        fixture each;
        each.store.lost_swap_responses = lost;

        // when
        const auto outcome = each.commit(workspace_change("c1", "desk"));

        // then
        cr_assert(outcome.status == commit_status::accepted);
        cr_assert(each.load()->source.number == 1);
    }
}

Test(repository, retry_with_the_same_change_id_finds_the_first_change)
{
    // given
    fixture each;
    each.commit(workspace_change("c1", "desk"));
    each.commit(workspace_change("c2", "office"));

    // when
    const auto again = each.commit(workspace_change("c1", "desk"));

    // then
    cr_assert(again.status == commit_status::accepted);
    cr_assert(again.number == 1);
    cr_assert(each.load()->source.number == 2);
}

Test(repository, concurrent_change_of_another_path_is_merged)
{
    // given a concurrent operator who commits a change of another path first
    fixture each;
    const common::real_clock clock;
    repository other(each.store, clock);
    each.store.before_swap = [&] {
        other.commit(workspace_change("other", "office"), [](const commit_outcome&) {});
    };

    // when
    const auto outcome = each.commit(workspace_change("mine", "desk"));

    // then
    cr_assert(outcome.status == commit_status::accepted);
    const auto loaded = each.load();
    cr_assert(loaded->source.number == 2);
    cr_assert(loaded->checked.typed.workspaces.size() == 2);
}

Test(repository, conflict_reports_the_path_and_the_author)
{
    // given
    fixture each;
    each.commit(workspace_change("c1", "desk"));
    const auto based_on = each.load()->source.entries.at("/workspaces/desk").hash;
    proposal first = workspace_change("c2", "desk", based_on);
    first.author = "bea";
    first.edits.front().value = nlohmann::json{{"size", "large"}};
    each.commit(first);

    // when
    const auto outcome = each.commit(workspace_change("c3", "desk", based_on));

    // then
    cr_assert(outcome.status == commit_status::conflicting);
    cr_assert(outcome.conflicts ==
              std::vector<settings::edit_conflict>({{"/workspaces/desk", 2, "bea"}}));
}

Test(repository, unavailable_store_never_gives_accepted)
{
    // given
    fixture each;
    each.store.down = true;

    // when
    const auto outcome = each.commit(workspace_change("c1", "desk"));

    // then
    cr_assert(outcome.status == commit_status::uncertain);
}

Test(repository, history_is_chained_newest_first)
{
    // given
    fixture each;
    each.commit(workspace_change("c1", "desk"));
    each.commit(workspace_change("c2", "office"));

    // when
    std::vector<settings::change_record> records;
    each.settings.history(each.load()->source.change, 10,
                          [&records](auto found) { records = found.value(); });

    // then
    cr_assert(records.size() == 2);
    cr_assert(records[0].id == "c2" && records[1].id == "c1");
    cr_assert(records[0].edits.front().path == "/workspaces/office");
}

} // namespace
