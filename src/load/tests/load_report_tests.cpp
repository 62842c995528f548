#include <criterion/criterion.h>

#include "load/load_report.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::load;

load_plan two_streams(arrival_profile profile)
{
    load_plan plan;
    plan.profile = profile;
    plan.turn = std::chrono::seconds(4);
    plan.streams.resize(2);
    plan.streams[0].mean_per_second = 10;
    plan.streams[1].mean_per_second = 20;
    plan.streams[1].repeatable = true;
    return plan;
}

request_fate fate_of(std::size_t stream, request_end end, int starts)
{
    request_fate fate;
    fate.stream = stream;
    fate.end = end;
    fate.starts = starts;
    fate.latency = std::chrono::milliseconds(10);
    return fate;
}

Test(load_plan, each_queue_in_turn_asks_five_times_its_mean)
{
    // given
    const auto plan = two_streams(arrival_profile::burst);

    // when / then
    cr_assert(rate_at(plan, 0, std::chrono::seconds(1)) == 50.0);
    cr_assert(rate_at(plan, 1, std::chrono::seconds(1)) == 1.0);
    cr_assert(rate_at(plan, 0, std::chrono::seconds(5)) == 0.5);
    cr_assert(rate_at(plan, 1, std::chrono::seconds(5)) == 100.0);
}

Test(load_report, each_broken_promise_is_counted)
{
    // given one fate of each kind of fault
    const auto plan = two_streams(arrival_profile::steady);
    auto crossed = fate_of(0, request_end::done, 1);
    crossed.crossed = true;
    const std::vector<request_fate> fates{
        fate_of(0, request_end::done, 1),    fate_of(0, request_end::done, 2),
        fate_of(1, request_end::done, 2),    fate_of(0, request_end::none, 0),
        fate_of(0, request_end::refused, 1), fate_of(0, request_end::refused, 0),
        fate_of(0, request_end::cut, 1),     crossed};

    // when
    const auto report = summarize(plan, fates);

    // then
    cr_assert(report.sent == 8);
    cr_assert(report.doubled == 1);
    cr_assert(report.lost == 1);
    cr_assert(report.false_refusals == 1);
    cr_assert(report.crossed == 1);
    cr_assert(report.ends.at(request_end::cut) == 1);
    cr_assert_not(is_clean(report));
}

Test(load_report, percentiles_are_within_two_percent)
{
    // given latencies of 1 to 1000 ms
    const auto plan = two_streams(arrival_profile::steady);
    std::vector<request_fate> fates;
    for (int i = 1; i <= 1000; ++i) {
        fates.push_back(fate_of(0, request_end::done, 1));
        fates.back().latency = std::chrono::milliseconds(i);
    }

    // when
    const auto report = summarize(plan, fates);

    // then
    cr_assert(report.through_system.p50_ms > 490 && report.through_system.p50_ms < 510);
    cr_assert(report.through_system.p99_ms > 970 && report.through_system.p99_ms < 1010);
}

} // namespace
