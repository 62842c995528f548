#include <criterion/criterion.h>

#include "cli/plan.h"

namespace {

using namespace chervilslip;
using nlohmann::json;

json key(const std::string& state)
{
    return {{"salt", "s"}, {"hash", std::string(64, 'a')}, {"state", state}};
}

settings::document_tree base_tree()
{
    return {{"/workspaces/desk", {json{{"size", "small"}}, "w"}},
            {"/teams/red/rules", {json{{"workspace", "desk"}, {"share", 1}, {"limit", 5}}, "t"}}};
}

cli::settings_in_force in_force(const settings::document_tree& tree)
{
    cli::settings_in_force now{{}, tree};
    for (const auto& [path, each] : tree) {
        now.source.entries[path] = {settings::content_hash(each.value), 1, "ann"};
    }
    return now;
}

Test(plan, unchanged_directory_has_no_edits)
{
    // given / when
    const auto all = cli::make_plan(in_force(base_tree()), {base_tree(), {}}, "bea", "");

    // then
    cr_assert(all.wanted.edits.empty() && all.problems.empty());
}

Test(plan, changed_value_is_shown_with_before_and_after)
{
    // given
    auto wanted = base_tree();
    wanted["/teams/red/rules"].value["limit"] = 6;

    // when
    const auto all = cli::make_plan(in_force(base_tree()), {wanted, {}}, "bea", "");

    // then
    cr_assert(cli::to_text(all.differences) == "~ /teams/red/rules/limit: 5 -> 6\n");
    cr_assert(all.wanted.edits.front().based_on ==
              settings::content_hash(base_tree().at("/teams/red/rules").value));
}

Test(plan, keys_issued_by_command_survive_applying_a_directory)
{
    // given a key that the directory does not know, and one that was withdrawn since
    auto now = base_tree();
    now["/teams/red/keys"] = {json{{"issued", key("active")}, {"declared", key("withdrawn")}}, "k"};
    auto wanted = base_tree();
    wanted["/teams/red/keys"] = {json{{"declared", key("active")}, {"added", key("active")}}, "k"};

    // when
    const auto all = cli::make_plan(in_force(now), {wanted, {}}, "bea", "");

    // then
    const json keys = *all.wanted.edits.front().value;
    cr_assert(keys.at("issued").at("state") == "active");
    cr_assert(keys.at("declared").at("state") == "withdrawn");
    cr_assert(keys.contains("added"));
}

Test(plan, removing_a_team_withdraws_its_keys)
{
    // given
    auto now = base_tree();
    now["/teams/red/keys"] = {json{{"issued", key("active")}}, "k"};
    auto wanted = base_tree();
    wanted.erase("/teams/red/rules");

    // when
    const auto all = cli::make_plan(in_force(now), {wanted, {}}, "bea", "");

    // then
    cr_assert(all.problems.empty());
    cr_assert(all.wanted.edits.size() == 2);
    cr_assert(all.wanted.edits.front().value->at("issued").at("state") == "withdrawn");
    cr_assert_not(all.wanted.edits.back().value.has_value());
}

Test(plan, value_below_no_document_is_an_error)
{
    // given / when
    const auto all = cli::plan_value(in_force(base_tree()), "/teams/blue/rules/limit", 3, "b", "");

    // then
    cr_assert(all.error().code == common::errc::not_found);
}

} // namespace
