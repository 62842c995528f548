#include "daemon/fleet_metrics.h"
#include "scheduling/tests/scheduler_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling::tests;

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

// Guards against a label for every queue, and against rows that stay when the claim is lost.
Test(fleet_metrics, learned_run_times_are_exported_for_a_bounded_number_of_queues)
{
    scheduler_fixture fixture({make_worker("w1")});
    fixture.answer_first_polls();
    for (int i = 0; i < 40; ++i) {
        jobs::job job = make_job("j" + std::to_string(i));
        job.queue = "q" + std::to_string(i);
        fixture.submit_job(job);
        fixture.advance(fixture.now_ms + 100);
        cr_assert(fixture.starts.size() == 1);
        const auto start = std::exchange(fixture.starts, {}).front();
        fixture.answer_start(start, scheduling::command_outcome::accepted);
        fixture.advance(fixture.now_ms + 300);
        fixture.answer_poll("w1", {},
                            {make_finished_run(i + 1, start, scheduling::end_cause::done)});
    }
    daemon::fleet_metrics metrics;
    daemon::fleet_metrics::state state;
    state.active_scheduler = &fixture.under_test;
    for (int reading = 0; reading < 2; ++reading) {
        const std::string text = metrics.text(state);
        cr_assert(count_of(text, "chervilslip_run_time_seconds{") == 2 * 32, "%s", text.c_str());
        cr_assert(count_of(text, "chervilslip_workers{state=\"slow\"} 0") == 1);
    }
    state.active_scheduler = nullptr;
    cr_assert(count_of(metrics.text(state), "chervilslip_run_time_seconds{") == 0);
}

Test(fleet_metrics, the_number_of_rows_by_team_is_bounded)
{
    // given
    constexpr std::size_t extra = 3;
    std::vector<scheduling::team_share> rows;
    for (std::size_t i = 0; i < daemon::max_team_rows + extra; ++i) {
        rows.push_back({"main", "t" + std::to_string(i), 0.5, 0.25, common::milliseconds(1000)});
    }

    // when
    const auto families = daemon::team_share_metrics(rows);

    // then
    for (const auto& each : families) {
        cr_assert(each.metric.size() == daemon::max_team_rows + 1);
        cr_assert(each.metric.back().label[1].value == "other");
    }
    cr_assert(families[0].metric.back().gauge.value == extra * 0.25);
    cr_assert(families[1].metric.back().gauge.value == extra * 0.5);
    cr_assert(families[2].metric.back().counter.value == extra);
}

} // namespace
