#include <limits>

#include <criterion/criterion.h>

#include "maintenance/wave_planner.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::maintenance;
using common::milliseconds;
using outcome = wave_planner::order_outcome;
using kind = wave_step::kind;

common::steady_time at(std::int64_t ms)
{
    return common::steady_time(std::chrono::hours(1) + milliseconds(ms));
}

const wave_request two_of_three{1, {"a", "b", "c"}, milliseconds(20000), 2};

std::map<std::string, vm_snapshot> idle_vms(std::int64_t read_ms)
{
    std::map<std::string, vm_snapshot> vms;
    for (const char* name : {"a", "b", "c"}) {
        vms[name] = {true, false, true, 0, 0, at(read_ms)};
    }
    return vms;
}

std::vector<std::string> vms_with_step(const std::vector<wave_step>& steps, kind what)
{
    std::vector<std::string> names;
    for (const wave_step& each : steps) {
        if (each.what == what) {
            names.push_back(each.vm);
        }
    }
    return names;
}

Test(wave_planner, never_takes_down_more_than_the_wave_allows)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({two_of_three}, at(0));
    planner.plan(idle_vms(0), at(0));

    // when
    const auto first = vms_with_step(planner.plan(idle_vms(0), at(100)), kind::start_maintenance);
    const auto second =
        vms_with_step(planner.plan(idle_vms(100), at(200)), kind::start_maintenance);

    // then
    cr_assert(first.size() == 2);
    cr_assert(second.empty());
}

// Twice the limit overflowed, and the wave stayed `running` for good.
Test(wave_planner, a_limit_beyond_all_vms_allows_them_all)
{
    // given
    wave_planner planner(wave_options{});
    wave_request unlimited = two_of_three;
    unlimited.max_unavailable = std::numeric_limits<std::int64_t>::max();
    planner.update_waves({unlimited}, at(0));
    planner.plan(idle_vms(0), at(0));

    // when, then
    cr_assert(vms_with_step(planner.plan(idle_vms(0), at(100)), kind::start_maintenance).size() ==
              3);
}

Test(wave_planner, a_limit_of_none_or_less_allows_no_maintenance)
{
    for (const std::int64_t limit : {std::int64_t{0}, std::numeric_limits<std::int64_t>::min()}) {
        // given
        wave_planner planner(wave_options{});
        wave_request blocked = two_of_three;
        blocked.max_unavailable = limit;
        planner.update_waves({blocked}, at(0));
        planner.plan(idle_vms(0), at(0));

        // when, then
        const auto steps = planner.plan(idle_vms(0), at(100));
        cr_assert(vms_with_step(steps, kind::start_maintenance).empty());
        cr_assert(vms_with_step(steps, kind::drain_vm).empty());
    }
}

Test(wave_planner, an_unanswered_order_still_counts_against_the_limit)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({two_of_three}, at(0));
    planner.plan(idle_vms(0), at(0));
    const auto first = vms_with_step(planner.plan(idle_vms(0), at(100)), kind::start_maintenance);

    // when: both orders get no response
    for (const std::string& vm : first) {
        planner.on_order_response(1, vm, outcome::unknown, at(150));
    }
    const auto at_once =
        vms_with_step(planner.plan(idle_vms(150), at(200)), kind::start_maintenance);
    const auto later = vms_with_step(planner.plan(idle_vms(500), at(600)), kind::start_maintenance);

    // then: the same two orders are repeated, and no third VM is ordered
    cr_assert(at_once.empty());
    cr_assert(later == first);
}

Test(wave_planner, a_vm_with_long_running_tasks_is_drained_first)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));
    auto vms = idle_vms(0);
    vms["a"].long_running = 1;
    planner.plan(vms, at(0));

    // when
    const auto steps = planner.plan(vms, at(60000));

    // then: even an overdue wave does not end a long-running task beyond its budget
    cr_assert(vms_with_step(steps, kind::start_maintenance).empty());
    cr_assert(vms_with_step(steps, kind::drain_vm).size() == 1);
}

Test(wave_planner, other_runs_may_finish_within_the_drain_timeout)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));
    auto vms = idle_vms(0);
    vms["a"].other_running = 3;
    planner.plan(vms, at(0));

    // when, then
    cr_assert(vms_with_step(planner.plan(vms, at(1000)), kind::start_maintenance).empty());
    cr_assert(vms_with_step(planner.plan(vms, at(4000)), kind::start_maintenance).size() == 1);
}

Test(wave_planner, a_wave_completes_when_maintenance_of_every_remaining_vm_has_started)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a", "gone"}, milliseconds(20000), 2}}, at(0));
    planner.plan(idle_vms(0), at(0));
    planner.on_report_response(1, false, true);
    cr_assert(vms_with_step(planner.plan(idle_vms(100), at(100)), kind::start_maintenance).size() ==
              1);

    // when: maintenance of "a" has started, and "gone" is not in the list
    planner.on_order_response(1, "a", outcome::accepted, at(120));
    const auto before = planner.plan(idle_vms(200), at(200));
    const auto after = planner.plan(idle_vms(6000), at(6000));

    // then
    cr_assert(vms_with_step(before, kind::report_completed).empty());
    cr_assert(vms_with_step(after, kind::report_completed).size() == 1);
}

Test(wave_planner, a_later_owner_repeats_no_maintenance)
{
    // given
    wave_planner planner(wave_options{});
    planner.restore(1, {"a", "b"}, false, at(0));
    planner.restore(2, {"a"}, true, at(0));
    planner.update_waves({two_of_three, {2, {"a"}, milliseconds(20000), 1}}, at(0));

    // when
    std::vector<std::string> emptied;
    std::vector<std::string> reports;
    for (std::int64_t ms = 0; ms < 1000; ms += 100) {
        const auto steps = planner.plan(idle_vms(ms), at(ms));
        for (const std::string& vm : vms_with_step(steps, kind::drain_vm)) {
            emptied.push_back(vm);
        }
        for (const wave_step& each : steps) {
            if (each.wave == 2) {
                reports.push_back(each.vm);
            }
        }
    }

    // then
    cr_assert(reports.empty());
    cr_assert(std::all_of(emptied.begin(), emptied.end(),
                          [](const std::string& vm) { return vm == "c"; }));
}

Test(wave_planner, a_maintenance_shown_by_the_list_counts_against_the_limit)
{
    // given: an earlier owner took "c" down, which only the VM list shows
    wave_planner planner(wave_options{});
    planner.update_waves({two_of_three}, at(0));
    auto vms = idle_vms(0);
    vms["c"].up = false;
    vms["c"].under_maintenance = true;
    planner.plan(vms, at(0));

    // when
    const auto ordered = vms_with_step(planner.plan(vms, at(100)), kind::start_maintenance);

    // then
    cr_assert(ordered.size() == 1);
}

Test(wave_planner, a_vm_is_undrained_after_its_maintenance)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));
    planner.plan(idle_vms(0), at(0));
    planner.plan(idle_vms(100), at(100));
    planner.on_order_response(1, "a", outcome::accepted, at(110));

    // when
    const auto steps = planner.plan(idle_vms(3000), at(3000));

    // then
    cr_assert(vms_with_step(steps, kind::undrain_vm).size() == 1);
}

Test(wave_planner, a_vm_whose_maintenance_was_rejected_for_good_does_not_stay_drained)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));
    planner.plan(idle_vms(0), at(0));
    planner.on_report_response(1, false, true);
    cr_assert(vms_with_step(planner.plan(idle_vms(100), at(100)), kind::start_maintenance).size() ==
              1);

    // when
    planner.on_order_response(1, "a", outcome::permanently_rejected, at(110));
    const auto steps = planner.plan(idle_vms(200), at(200));
    const auto next_steps = planner.plan(idle_vms(300), at(300));

    // then: it serves again, and its wave stays open
    cr_assert(vms_with_step(steps, kind::undrain_vm).size() == 1);
    cr_assert(vms_with_step(steps, kind::drain_vm).empty());
    cr_assert(next_steps.empty());
    cr_assert_not(planner.is_draining_or_down("a"));

    // when
    planner.plan(idle_vms(6000), at(6000));

    // then
    cr_assert(planner.is_draining_or_down("a"));
}

Test(wave_planner, a_vm_that_one_list_misses_does_not_count_as_gone)
{
    // given: maintenance of "a" has started, and "b" waits for its turn
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a", "b"}, milliseconds(20000), 1}}, at(0));
    planner.plan(idle_vms(0), at(0));
    planner.on_report_response(1, false, true);
    planner.plan(idle_vms(100), at(100));
    planner.on_order_response(1, "a", outcome::accepted, at(120));
    planner.plan(idle_vms(5000), at(5000));

    // when
    auto without_b = idle_vms(6000);
    without_b.erase("b");
    const auto steps = planner.plan(without_b, at(6000));
    const auto later = planner.plan(without_b, at(12000));

    // then
    cr_assert(vms_with_step(steps, kind::report_completed).empty());
    cr_assert(vms_with_step(later, kind::report_completed).empty(), "all lists but one show it");
}

/// A wave of "a" alone whose order was sent at 100 ms and got no response.
wave_planner planner_with_unanswered_order()
{
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));
    planner.plan(idle_vms(0), at(0));
    planner.on_report_response(1, false, true);
    cr_assert(vms_with_step(planner.plan(idle_vms(100), at(100)), kind::start_maintenance).size() ==
              1);
    planner.on_order_response(1, "a", outcome::unknown, at(1600));
    return planner;
}

std::map<std::string, vm_snapshot> vms_with_a_under_maintenance(std::int64_t read_ms)
{
    auto vms = idle_vms(read_ms);
    vms["a"].up = false;
    vms["a"].under_maintenance = true;
    return vms;
}

// Rule LOST, review/7: the VM was drained once more, and its wave completed before it was released.
Test(wave_planner, a_vm_is_undrained_although_its_wave_has_been_reported_as_completed)
{
    // given: the repeated order is accepted, as the first one was carried out
    wave_planner planner = planner_with_unanswered_order();
    cr_assert(
        vms_with_step(planner.plan(idle_vms(2000), at(2000)), kind::start_maintenance).size() == 1);
    planner.on_order_response(1, "a", outcome::accepted, at(2010));
    cr_assert(
        vms_with_step(planner.plan(idle_vms(2100), at(2100)), kind::report_completed).size() == 1);
    planner.on_report_response(1, true, true);

    // when
    cr_assert(planner.has_unfinished_wave());
    cr_assert(planner.is_draining_or_down("a"));
    const auto steps = planner.plan(idle_vms(5000), at(5000));

    // then
    cr_assert(vms_with_step(steps, kind::undrain_vm) == std::vector<std::string>{"a"});
    cr_assert_not(planner.has_unfinished_wave());
    cr_assert_not(planner.is_draining_or_down("a"));
}

// Rule LOST, review/7: the tasks of the serviced VM were stopped for an order that had been carried
// out.
Test(wave_planner, a_vm_that_the_list_shows_under_maintenance_is_not_drained_again)
{
    // given
    wave_planner planner = planner_with_unanswered_order();

    // when
    const auto steps = planner.plan(vms_with_a_under_maintenance(1700), at(1800));
    const auto later_steps = planner.plan(idle_vms(4500), at(4500));

    // then
    cr_assert(vms_with_step(steps, kind::save_progress).size() == 1);
    cr_assert(vms_with_step(later_steps, kind::drain_vm).empty());
    cr_assert(vms_with_step(later_steps, kind::start_maintenance).empty());
    cr_assert(vms_with_step(later_steps, kind::undrain_vm).size() == 1);
}

Test(wave_planner, a_late_response_does_not_undo_what_the_list_has_shown)
{
    for (const outcome late : {outcome::unknown, outcome::try_later}) {
        // given: the list shows the effect of an order before its response
        wave_planner planner(wave_options{});
        planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));
        planner.plan(idle_vms(0), at(0));
        planner.plan(idle_vms(100), at(100));
        planner.plan(vms_with_a_under_maintenance(500), at(600));

        // when
        planner.on_order_response(1, "a", late, at(1600));

        // then
        const auto steps = planner.plan(idle_vms(4000), at(4000));
        cr_assert(vms_with_step(steps, kind::drain_vm).empty());
        cr_assert(vms_with_step(steps, kind::undrain_vm).size() == 1);
    }
}

// The order of an earlier owner that ended before the response.
Test(wave_planner, the_list_tells_a_later_owner_of_an_order_that_is_not_in_the_store)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));

    // when
    planner.plan(vms_with_a_under_maintenance(0), at(100));
    const auto steps = planner.plan(idle_vms(3000), at(3000));

    // then
    cr_assert(vms_with_step(steps, kind::drain_vm).empty());
    cr_assert(planner.started_vms(1).contains("a"));
}

// Rule MIXED: the maintenance may be that of the other wave.
Test(wave_planner, the_maintenance_of_a_vm_in_two_open_waves_is_taken_for_neither)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}, {2, {"a"}, milliseconds(20000), 1}},
                         at(0));

    // when
    planner.plan(vms_with_a_under_maintenance(0), at(100));

    // then
    cr_assert(planner.started_vms(1).empty());
    cr_assert(planner.started_vms(2).empty());
}

/// Plays two waves over the VM "a", the first one with the record of an earlier owner, while the
/// maintenance that the list shows at 0 ends at 1800. Returns the orders for the second wave.
std::vector<std::string> orders_after_restored_wave(wave_planner& planner)
{
    const wave_request second{2, {"a"}, milliseconds(20000), 1};
    std::vector<std::string> ordered;
    for (std::int64_t ms = 200; ms < 6000; ms += 100) {
        planner.update_waves({{1, {"a"}, milliseconds(20000), 1}, second}, at(ms));
        const bool is_up = ms >= 1800;
        for (const wave_step& step :
             planner.plan(is_up ? idle_vms(ms) : vms_with_a_under_maintenance(ms), at(ms))) {
            const bool completes = step.what == kind::report_completed && step.wave == 2;
            cr_assert(!completes || !ordered.empty(), "completed without an order at %d",
                      static_cast<int>(ms));
            if (step.what == kind::report_running) {
                planner.on_report_response(step.wave, false, true);
            } else if (step.what == kind::start_maintenance && step.wave == 2) {
                cr_assert(is_up);
                ordered.push_back(step.vm);
                planner.on_order_response(2, step.vm, outcome::accepted, at(ms));
            }
        }
    }
    return ordered;
}

// Rule MIXED: a new owner took the maintenance that the earlier owner had ordered for a completed
// wave for that of another wave.
Test(wave_planner, the_maintenance_of_a_completed_wave_is_not_taken_for_that_of_another_wave)
{
    // given
    wave_planner planner(wave_options{});
    planner.restore(1, {"a"}, true, at(0));

    // when, then
    cr_assert(orders_after_restored_wave(planner).size() == 1);
}

Test(wave_planner, the_maintenance_of_a_restored_open_wave_is_not_taken_for_that_of_another_wave)
{
    // given
    wave_planner planner(wave_options{});
    planner.restore(1, {"a"}, false, at(0));

    // when, then
    cr_assert(orders_after_restored_wave(planner).size() == 1);
}

// The order of the earlier owner is in no record, as it ended before the response.
Test(wave_planner, a_maintenance_without_a_record_is_not_taken_for_that_of_another_wave)
{
    // given
    wave_planner planner(wave_options{});

    // when, then
    cr_assert(orders_after_restored_wave(planner).size() == 1);
}

Test(wave_planner, the_maintenance_of_a_withdrawn_wave_is_not_taken_for_that_of_another_wave)
{
    // given: wave 9 is in the record, but no longer requested
    wave_planner planner(wave_options{});
    planner.restore(9, {"a"}, true, at(0));
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));

    // when
    planner.plan(vms_with_a_under_maintenance(200), at(200));

    // then
    cr_assert(planner.started_vms(1).empty());

    // when the list has shown the VM up, a later maintenance is that of wave 1
    planner.plan(idle_vms(2500), at(2500));
    planner.plan(vms_with_a_under_maintenance(3000), at(3000));

    // then
    cr_assert(planner.started_vms(1).contains("a"));
}

// A list is up to 100 ms old: one requested at the takeover may show the VM before its maintenance.
Test(wave_planner, an_old_list_does_not_tell_that_an_earlier_maintenance_is_over)
{
    // given
    wave_planner planner(wave_options{});
    planner.restore(1, {"a"}, true, at(0));
    planner.update_waves(
        {{1, {"a"}, milliseconds(20000), 1}, {2, {"a", "b"}, milliseconds(20000), 1}}, at(0));

    // when
    planner.plan(idle_vms(50), at(50));
    planner.plan(vms_with_a_under_maintenance(500), at(500));

    // then
    cr_assert(planner.started_vms(2).empty());
}

// The maintenance of a completed wave withholds nothing under a later owner.
Test(wave_planner, a_restored_completed_wave_reserves_no_vm)
{
    // given
    wave_planner planner(wave_options{});
    planner.restore(1, {"a"}, true, at(0));
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));

    // when, then
    cr_assert(!planner.is_draining_or_down("a"));
    cr_assert(!planner.has_unfinished_wave());
}

Test(wave_planner, a_drained_vm_that_the_list_misses_does_not_stay_drained)
{
    // given
    wave_planner planner(wave_options{});
    planner.update_waves({{1, {"a"}, milliseconds(20000), 1}}, at(0));
    auto vms = idle_vms(0);
    vms["a"].long_running = 1;
    planner.plan(vms, at(0));

    // when
    vms = idle_vms(1000);
    vms.erase("a");
    planner.plan(vms, at(1000));
    for (auto& [name, vm] : vms) {
        vm.list_requested_at = at(6000);
    }
    planner.plan(vms, at(6000));
    const auto steps = planner.plan(vms, at(6100));

    // then
    cr_assert(vms_with_step(steps, kind::undrain_vm).size() == 1);
}

} // namespace
