#include <criterion/criterion.h>

#include "routing/retry_budget.h"
#include "routing/run_time_estimator.h"
#include "routing/upstream_view.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::routing;
using common::milliseconds;

/// A view of four upstreams: two in the own zone, two in another.
class view_fixture {
public:
    view_fixture() : view("near", selection_policy::corrected_two_choice, {}, this->random)
    {
        settings::snapshot snapshot;
        snapshot.pools["main"].vms = {"n1", "n2", "f1", "f2"};
        this->view.update_settings(snapshot);
        this->view.update_vm_list(this->list);
        for (const upstream_info& upstream : this->list) {
            this->view.update_usage(upstream.vm, {"e1", {}, false, {}, {}});
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

    static upstream_info make_upstream(const std::string& vm, const std::string& zone)
    {
        return {vm, vm, zone, "rack", {8, 1024, 0, 2}, false};
    }

    std::vector<upstream_info> list{make_upstream("n1", "near"), make_upstream("n2", "near"),
                                    make_upstream("f1", "far"), make_upstream("f2", "far")};
    common::random_source random{1};
    upstream_view view;
    common::steady_time now{std::chrono::hours(1)};
};

Test(upstream_view, own_zone_is_preferred_and_other_zones_are_used_when_it_is_full)
{
    // given
    view_fixture fixture;

    // when
    std::string zones_in_order;
    while (const auto found = fixture.pick()) {
        zones_in_order += found->vm.front();
        fixture.view.add_local_task(found->vm, {1, 1, 0, 1});
    }

    // then
    cr_assert(zones_in_order == "nnnnffff", "%s", zones_in_order.c_str());
}

Test(upstream_view, upstream_without_a_report_receives_no_tasks)
{
    // given
    view_fixture fixture;
    fixture.view.clear_epoch("n1");

    // when / then
    for (int i = 0; i < 20; ++i) {
        cr_assert(fixture.pick()->vm == "n2");
    }
}

Test(upstream_view, leaving_upstream_receives_no_tasks_whichever_source_reports_it)
{
    // given
    view_fixture fixture;
    fixture.list[0].leaving = true;
    fixture.view.update_vm_list(fixture.list);
    fixture.view.update_usage("n2", {"e1", {}, true, {}, {}});
    fixture.view.mark_leaving("f1");

    // when / then
    for (int i = 0; i < 20; ++i) {
        cr_assert(fixture.pick()->vm == "f2");
    }
}

Test(upstream_view, tasks_of_other_nodes_reduce_free_capacity)
{
    // given an upstream whose memory is fully used by other nodes
    view_fixture fixture;
    fixture.view.update_usage("n1", {"e1", {1, 1024, 0, 1}, false, {}, {}});

    // when / then
    for (int i = 0; i < 20; ++i) {
        cr_assert(fixture.pick()->vm == "n2");
    }
}

Test(upstream_view, failing_upstream_is_ejected_and_restored_by_repeatable_probes)
{
    // given n1 fails every task while n2 succeeds
    view_fixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.view.record("n2", outcome::succeeded, fixture.now);
        fixture.view.record("n1", outcome::failed, fixture.now);
    }
    cr_assert(fixture.view.health_of("n1", fixture.now) == health::ejected);

    // when the ejection time is over
    fixture.now += milliseconds(2100);
    cr_assert(fixture.view.health_of("n1", fixture.now) == health::probing);
    fixture.view.mark_leaving("n2");
    const auto unrepeatable = fixture.pick(false);
    const auto probe = fixture.pick(true);
    for (int i = 0; i < 3; ++i) {
        fixture.view.record("n1", outcome::succeeded, fixture.now);
    }

    // then
    cr_assert(unrepeatable->vm.front() == 'f');
    cr_assert(probe->vm == "n1");
    cr_assert(fixture.view.health_of("n1", fixture.now) == health::healthy);
}

Test(upstream_view, at_most_half_of_a_pool_is_ejected)
{
    // given four unreachable upstreams
    view_fixture fixture;
    for (int i = 0; i < 10; ++i) {
        for (const upstream_info& upstream : fixture.list) {
            fixture.view.record(upstream.vm, outcome::unreachable, fixture.now);
        }
    }

    // when
    const auto ejected = std::count_if(
        fixture.list.begin(), fixture.list.end(), [&fixture](const upstream_info& upstream) {
            return fixture.view.health_of(upstream.vm, fixture.now) != health::healthy;
        });

    // then
    cr_assert(ejected == 2);
}

Test(upstream_view, tasks_that_fail_on_all_upstreams_eject_none)
{
    // given
    view_fixture fixture;

    // when
    for (int i = 0; i < 30; ++i) {
        for (const upstream_info& upstream : fixture.list) {
            fixture.view.record(upstream.vm, outcome::failed, fixture.now);
        }
    }

    // then
    cr_assert(fixture.view.health_of("n1", fixture.now) == health::healthy);
}

Test(choice, corrected_two_choice_selects_the_less_loaded_by_local_and_remote_tasks)
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

Test(run_time_estimator, declared_time_has_no_weight_once_tasks_have_ended)
{
    // given a declared time far above the real run time
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
