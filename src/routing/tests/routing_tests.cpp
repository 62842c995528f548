#include <criterion/criterion.h>

#include "routing/retry_budget.h"
#include "routing/run_time_estimator.h"
#include "routing/upstream_view.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::routing;
using common::milliseconds;

/// A view of four upstreams: two in the own zone, two in another.
class fixture {
public:
    fixture() : view("near", selection_policy::corrected_two_choice, {}, this->random)
    {
        settings::snapshot made;
        made.pools["main"].vms = {"n1", "n2", "f1", "f2"};
        this->view.update_settings(made);
        this->view.update_vm_list(this->list);
        for (const upstream_info& each : this->list) {
            this->view.update_usage(each.vm, {"e1", {}, false, {}, {}});
        }
    }

    std::optional<candidate> pick(bool repeatable = false, teams::resources need = {1, 1, 0, 1})
    {
        placement_query query;
        query.pool = "main";
        query.need = need;
        query.repeatable = repeatable;
        return this->view.pick(query, this->now);
    }

    static upstream_info info(const std::string& vm, const std::string& zone)
    {
        return {vm, vm, zone, "rack", {8, 1024, 0, 2}, false};
    }

    std::vector<upstream_info> list{info("n1", "near"), info("n2", "near"), info("f1", "far"),
                                    info("f2", "far")};
    common::random_source random{1};
    upstream_view view;
    common::steady_time now{std::chrono::hours(1)};
};

Test(upstream_view, own_zone_goes_first_and_another_zone_helps_when_it_is_full)
{
    // given
    fixture each;

    // when
    std::string order;
    while (const auto found = each.pick()) {
        order += found->vm.front();
        each.view.add_local_task(found->vm, {1, 1, 0, 1});
    }

    // then
    cr_assert(order == "nnnnffff", "%s", order.c_str());
}

Test(upstream_view, upstream_without_a_report_gets_nothing)
{
    // given
    fixture each;
    each.view.clear_epoch("n1");

    // when / then
    for (int i = 0; i < 20; ++i) {
        cr_assert(each.pick()->vm == "n2");
    }
}

Test(upstream_view, leaving_upstream_gets_nothing_whichever_source_says_so)
{
    // given
    fixture each;
    each.list[0].leaving = true;
    each.view.update_vm_list(each.list);
    each.view.update_usage("n2", {"e1", {}, true, {}, {}});
    each.view.mark_leaving("f1");

    // when / then
    for (int i = 0; i < 20; ++i) {
        cr_assert(each.pick()->vm == "f2");
    }
}

Test(upstream_view, tasks_of_other_nodes_take_room)
{
    // given an upstream whose memory other nodes have used up
    fixture each;
    each.view.update_usage("n1", {"e1", {1, 1024, 0, 1}, false, {}, {}});

    // when / then
    for (int i = 0; i < 20; ++i) {
        cr_assert(each.pick()->vm == "n2");
    }
}

Test(upstream_view, failing_upstream_is_ejected_and_comes_back_by_repeatable_probes)
{
    // given n1 fails everything at once while n2 succeeds
    fixture each;
    for (int i = 0; i < 6; ++i) {
        each.view.record("n2", outcome::succeeded, each.now);
        each.view.record("n1", outcome::failed, each.now);
    }
    cr_assert(each.view.health_of("n1", each.now) == health::ejected);

    // when its time is over
    each.now += milliseconds(2100);
    cr_assert(each.view.health_of("n1", each.now) == health::probing);
    each.view.mark_leaving("n2");
    const auto unrepeatable = each.pick(false);
    const auto probe = each.pick(true);
    for (int i = 0; i < 3; ++i) {
        each.view.record("n1", outcome::succeeded, each.now);
    }

    // then
    cr_assert(unrepeatable->vm.front() == 'f');
    cr_assert(probe->vm == "n1");
    cr_assert(each.view.health_of("n1", each.now) == health::healthy);
}

Test(upstream_view, never_more_than_half_of_a_pool_is_ejected)
{
    // given all four out of reach
    fixture each;
    for (int i = 0; i < 10; ++i) {
        for (const upstream_info& upstream : each.list) {
            each.view.record(upstream.vm, outcome::unreachable, each.now);
        }
    }

    // when
    const auto ejected =
        std::count_if(each.list.begin(), each.list.end(), [&each](const upstream_info& upstream) {
            return each.view.health_of(upstream.vm, each.now) != health::healthy;
        });

    // then
    cr_assert(ejected == 2);
}

Test(upstream_view, jobs_that_fail_everywhere_eject_nobody)
{
    // given
    fixture each;

    // when
    for (int i = 0; i < 30; ++i) {
        for (const upstream_info& upstream : each.list) {
            each.view.record(upstream.vm, outcome::failed, each.now);
        }
    }

    // then
    cr_assert(each.view.health_of("n1", each.now) == health::healthy);
}

Test(choice, corrected_two_choice_takes_the_less_loaded_by_own_and_reported_tasks)
{
    // given
    common::random_source random(1);
    const std::vector<candidate> candidates{{"a", "", "", 8, 5, 0}, {"b", "", "", 8, 0, 4}};

    // when / then
    for (int i = 0; i < 50; ++i) {
        cr_assert(corrected_two_choice{}(candidates, random) == 1);
    }
}

Test(retry_budget, retries_never_exceed_a_fifth_of_the_requests)
{
    // given
    retry_budget budget;
    int retries = 0;

    // when
    for (int i = 0; i < 1000; ++i) {
        budget.add_request();
        retries += budget.try_acquire() ? 1 : 0;
    }

    // then
    cr_assert(retries <= 200 && retries >= 190);
}

Test(run_time_estimator, declared_time_is_forgotten_once_tasks_have_ended)
{
    // given a declaration that is far off
    run_time_estimator estimator(milliseconds(60'000));

    // when
    for (int i = 0; i < 30; ++i) {
        estimator.record(milliseconds(100));
    }

    // then
    cr_assert(estimator.expected() < milliseconds(150));
    cr_assert(estimator.tenth_percentile() <= milliseconds(130));
}

} // namespace
