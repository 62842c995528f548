#include <criterion/criterion.h>

#include "cli/explain.h"

namespace {

using namespace chervilslip::cli;

std::vector<logged_event> read(const std::vector<std::string>& lines)
{
    std::vector<logged_event> events;
    for (const std::string& line : lines) {
        if (auto event = read_event(line)) {
            events.push_back(std::move(*event));
        }
    }
    return events;
}

const std::string accepted =
    R"(2026-12-04T10:00:00.100 {"event":5101,"job":"j1","name":"job_accepted","node":"n1"})";
const std::string won =
    R"(2026-12-04T10:00:01.500 {"event":3101,"name":"claim_won","node":"n2","token":7})";
const std::string started =
    R"(2026-12-04T10:00:01.600 {"event":5201,"detail":"run 1 on w1","name":"task_started","node":"n2","subject":"j1.0.0.0"})";
const std::string suspected =
    R"(2026-12-04T10:00:01.700 {"event":5303,"detail":"unknown","name":"worker_suspected","node":"n2","subject":"w1"})";
const std::string other_worker =
    R"(2026-12-04T10:00:01.800 {"event":5303,"detail":"unknown","name":"worker_suspected","node":"n2","subject":"w2"})";
const std::string ended =
    R"(2026-12-04T10:00:01.900 {"event":5105,"detail":"completed","name":"job_ended","node":"n2","subject":"j1"})";

Test(explain, gathers_what_bears_on_a_job_by_time)
{
    // given, when
    const auto told =
        explain(read({ended, other_worker, suspected, started, won, accepted, "no event"}), "j1");

    // then
    std::vector<std::string> names;
    for (const logged_event& each : told.events) {
        names.push_back(each.name);
    }
    cr_assert(names == (std::vector<std::string>{"job_accepted", "claim_won", "task_started",
                                                 "worker_suspected", "job_ended"}));
}

Test(explain, names_the_cause_of_the_longest_wait)
{
    // given, when
    const auto told = explain(read({accepted, won, started, ended}), "j1");

    // then
    cr_assert(told.finding == "completed after 1.80 s; longest wait 1.50 s, between job_accepted "
                              "and task_started; meanwhile claim_won at n2");
}

Test(explain, names_why_the_store_refused_a_job)
{
    // given, when
    const auto told = explain(
        read(
            {R"(2026-12-04T10:00:00.000 {"event":3004,"cause":"status 429","name":"store_lost","node":"n1"})",
             R"(2026-12-04T10:00:00.000 {"event":3004,"cause":"timed out","name":"store_lost","node":"n2"})",
             R"(2026-12-04T10:00:02.000 {"event":5102,"job":"j1","name":"job_refused","node":"n1"})"}),
        "j1");

    // then
    cr_assert(told.finding == "refused as not run by n1: the store was out of reach, status 429");
}

Test(explain, an_unknown_outcome_and_an_unknown_id_are_said_so)
{
    // given, when
    const auto unknown = explain(
        read(
            {R"(2026-12-04T10:00:02.000 {"event":5103,"job":"j1","name":"job_unknown_fate","node":"n1"})"}),
        "j1");
    const auto none = explain(read({accepted}), "j2");

    // then
    cr_assert(unknown.finding.starts_with("unknown outcome"));
    cr_assert(!none.found);
    cr_assert(none.finding.starts_with("no event names it"));
}

} // namespace
