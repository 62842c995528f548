#include <criterion/criterion.h>

#include "settings/checker.h"

namespace {

using namespace chervilslip::settings;
using nlohmann::json;

document_tree valid_tree()
{
    return {
        {"/fleet", {json{{"spare_pool", "main"}}, "fleet.json"}},
        {"/zones/z", {json{{"region", "r"}, {"most_vms_out", 2}}, "zones/z.json"}},
        {"/pools/main",
         {json{{"vms", {"vm-1"}},
               {"least_vms", 1},
               {"most_vms", 2},
               {"budget", {{"most_vms_out", 1}, {"least_vms_serving", 1}}}},
          "pools/main.json"}},
        {"/workspaces/desk", {json{{"size", "small"}}, "workspaces/desk.json"}},
        {"/teams/red/rules",
         {json{{"workspace", "desk"}, {"share", 1.5}, {"limit", 7}}, "teams/red/rules.json"}},
        {"/queues/jobs",
         {json{
              {"workspace", "desk"}, {"pool", "main"}, {"most_waiting", 10}, {"deadline_ms", 1000}},
          "queues/jobs.json"}},
    };
}

/// Replaces one value of the valid tree and returns the only problem, which must be caused by it.
problem only_problem(const std::string& path, const json& value)
{
    auto tree = valid_tree();
    const auto replaced = replaced_value(tree, path, value).value();
    tree[replaced.first].value = replaced.second;
    const auto problems = check_tree(tree).problems;
    cr_assert(problems.size() == 1, "%zu problems at %s", problems.size(), path.c_str());
    return problems.front();
}

Test(checker, valid_tree_has_no_problems_and_is_typed)
{
    // given
    const auto tree = valid_tree();

    // when
    const auto checked = check_tree(tree);

    // then
    cr_assert(checked.problems.empty());
    cr_assert(checked.typed.teams.at("red").limit == 7);
    cr_assert(checked.typed.queues.at("jobs").deadline == std::chrono::seconds(1));
}

Test(checker, unknown_field_is_named_with_the_fields_allowed)
{
    // given / when
    const auto found = only_problem("/queues/jobs/dead_line_ms", 1);

    // then
    cr_assert(found.file == "queues/jobs.json");
    cr_assert(found.path == "/queues/jobs/dead_line_ms");
    cr_assert(found.allowed.find("deadline_ms") != std::string::npos);
}

Test(checker, wrong_type_names_what_was_found)
{
    // given / when
    const auto found = only_problem("/teams/red/rules/limit", "seven");

    // then
    cr_assert(found.found == "\"seven\"");
    cr_assert(found.allowed == "an integer from 1 to 1000000");
}

Test(checker, number_out_of_range_names_the_range)
{
    // given / when / then
    cr_assert(only_problem("/teams/red/rules/limit", 0).allowed == "an integer from 1 to 1000000");
    cr_assert(only_problem("/teams/red/rules/share", -1).found == "-1");
    cr_assert(only_problem("/teams/red/rules/limit", 18446744073709551615ULL).path ==
              "/teams/red/rules/limit");
}

Test(checker, dangling_references_name_what_exists)
{
    // given / when / then
    cr_assert(only_problem("/queues/jobs/pool", "other").allowed == "a pool that exists: main");
    cr_assert(only_problem("/queues/jobs/workspace", "other").file == "queues/jobs.json");
    cr_assert(only_problem("/teams/red/rules/workspace", "other").path ==
              "/teams/red/rules/workspace");
    cr_assert(only_problem("/fleet/spare_pool", "other").path == "/fleet/spare_pool");
}

Test(checker, missing_field_is_a_problem)
{
    // given
    auto tree = valid_tree();
    tree["/queues/jobs"].value.erase("pool");

    // when
    const auto problems = check_tree(tree).problems;

    // then
    cr_assert(problems.size() == 1);
    cr_assert(problems.front().found == "nothing");
}

Test(checker, vm_in_two_pools_is_refused)
{
    // given
    auto tree = valid_tree();
    tree["/pools/other"] = tree["/pools/main"];

    // when
    const auto problems = check_tree(tree).problems;

    // then
    cr_assert(problems.size() == 1);
    cr_assert(problems.front().allowed == "each VM in one pool");
}

Test(checker, all_problems_are_reported_at_once)
{
    // given
    auto tree = valid_tree();
    tree["/queues/jobs"].value["pool"] = "other";
    tree["/teams/red/rules"].value["limit"] = 0;
    tree["/teams/red/rules"].value["colour"] = "red";
    tree["/nonsense"] = {json::object(), "nonsense.json"};

    // when / then
    cr_assert(check_tree(tree).problems.size() == 4);
}

json key_in_state(const std::string& state)
{
    return {{"k1", {{"salt", "s"}, {"hash", std::string(64, 'a')}, {"state", state}}}};
}

Test(checker, withdrawn_key_cannot_be_reactivated_or_removed)
{
    // given
    auto tree = valid_tree();
    tree["/teams/red/keys"] = {key_in_state("withdrawn"), "keys"};
    const auto before = check_tree(tree).typed;

    // when
    tree["/teams/red/keys"].value = key_in_state("active");
    const auto reactivated = check_transition(before, check_tree(tree).typed);
    tree["/teams/red/keys"].value = json::object();
    const auto removed = check_transition(before, check_tree(tree).typed);

    // then
    cr_assert(reactivated.size() == 1);
    cr_assert(removed.size() == 1);
}

Test(checker, removed_team_may_keep_withdrawn_keys_alone)
{
    // given
    auto tree = valid_tree();
    tree.erase("/teams/red/rules");

    // when
    tree["/teams/red/keys"] = {key_in_state("active"), "keys"};
    const auto with_active = check_tree(tree).problems;
    tree["/teams/red/keys"] = {key_in_state("withdrawn"), "keys"};
    const auto with_withdrawn = check_tree(tree).problems;

    // then
    cr_assert(with_active.size() == 1);
    cr_assert(with_withdrawn.empty());
}

Test(document_tree, comments_are_allowed_and_duplicate_fields_are_not)
{
    // given / when / then
    cr_assert(parse_commented_json("// why\n{\"a\": 1 /* here */}", "f").has_value());
    const auto duplicate = parse_commented_json("{\"a\": {\"b\": 1, \"b\": 2}}", "f");
    cr_assert(duplicate.error().detail == "field \"b\" appears twice in one object");
    cr_assert(parse_commented_json("{\"a\": }", "f").error().detail.find("line 1") !=
              std::string::npos);
}

Test(document_tree, values_are_read_above_and_inside_documents)
{
    // given
    const auto tree = valid_tree();

    // when / then
    cr_assert(value_at(tree, "/teams/red/rules/limit").value() == 7);
    cr_assert(value_at(tree, "/teams").value().at("red").at("rules").at("limit") == 7);
    cr_assert_not(value_at(tree, "/teams/blue").has_value());
}

Test(examples, both_deployments_are_valid_and_full)
{
    for (const std::string name : {"ffvb", "nile-ember"}) {
        // given
        const auto loaded =
            load_directory(std::string(CHERVILSLIP_SOURCE_DIR) + "/examples/" + name);

        // when
        const auto checked = check_tree(loaded.tree);

        // then
        cr_assert(loaded.problems.empty() && checked.problems.empty());
        cr_assert(checked.typed.pools.size() == 5);
        cr_assert(checked.typed.workspaces.size() == 6);
        cr_assert(checked.typed.zones.size() == (name == "ffvb" ? 3U : 4U));
        for (const auto& [pool_name, pool] : checked.typed.pools) {
            cr_assert(pool.vms.size() >= 8 && pool.vms.size() <= 12, "%s", pool_name.c_str());
        }
    }
}

} // namespace
