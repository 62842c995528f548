#include <criterion/criterion.h>

#include "scheduling/reservations.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling;
using common::milliseconds;
using common::steady_time;

steady_time time_at(std::int64_t ms)
{
    return steady_time(std::chrono::hours(1) + milliseconds(ms));
}

teams::resources processors(std::int64_t amount)
{
    return {amount, 0, 0, 0};
}

/// A worker of 8 processors with the given runs of one each, by the time of their end.
worker_forecast make_forecast(const std::string& worker, const std::vector<std::int64_t>& ends_ms,
                              const std::string& rack = "r1")
{
    worker_forecast forecast{worker, rack, processors(8), {}, 0};
    for (const std::int64_t each : ends_ms) {
        forecast.runs.push_back({each < 0 ? never_ends : time_at(each), processors(1)});
    }
    return forecast;
}

blocked_step make_blocked(const std::string& job, std::int64_t size = 8)
{
    return {{job, 0, 0}, "main", processors(size), 1, false, false, true, milliseconds(1000)};
}

placement_claim make_claim(const std::string& job, std::int64_t size, std::int64_t ends_ms)
{
    return {{job, 0, 0}, "main", processors(size), time_at(ends_ms), false, false};
}

/// A book with a reservation for `job` on w1, due at 500 ms beside a run that never ends.
reservation_book make_book(const blocked_step& what)
{
    reservation_book book;
    book.begin_round(time_at(0));
    book.note_blocked(what);
    book.note_placed(make_claim("other", 1, 1000), "w2", 0);
    cr_assert_eq(book.take_requests().size(), 1);
    book.reserve(what,
                 {make_forecast("w1", {-1, 100, 500, 500}), make_forecast("w2", {900, 900, 900})});
    cr_assert_eq(book.open().size(), 1);
    book.begin_round(time_at(10));
    return book;
}

/// Guards against a choice that starts later than necessary, or never.
Test(reservations, places_are_those_that_have_room_first)
{
    struct row {
        std::string name;
        std::int64_t size;
        std::int64_t tasks; ///< over 1: a gang
        bool same_rack;
        std::vector<worker_forecast> workers;
        std::int64_t due_ms; ///< -1: never
        std::vector<std::string> chosen;
    };
    const std::vector<row> rows{
        {"the earliest",
         8,
         1,
         false,
         {make_forecast("a", {900}), make_forecast("b", {100, 700})},
         700,
         {"b"}},
        {"not all runs need to end",
         6,
         1,
         false,
         {make_forecast("a", {100, 300, 900, 900}), make_forecast("b", {400, 400, 400})},
         300,
         {"a"}},
        {"long-running tasks hold their room",
         8,
         1,
         false,
         {make_forecast("a", {-1}), make_forecast("b", {900})},
         900,
         {"b"}},
        {"no room ever", 8, 1, false, {make_forecast("a", {-1})}, -1, {}},
        {"a gang on one worker",
         4,
         2,
         false,
         {make_forecast("a", {200, 200, 200, 200, 200}),
          make_forecast("b", {900, 900, 900, 900, 900})},
         200,
         {"a", "a"}},
        {"a gang on two workers",
         8,
         2,
         false,
         {make_forecast("a", {200}), make_forecast("b", {900}), make_forecast("c", {600})},
         600,
         {"a", "c"}},
        {"a gang on one rack",
         8,
         2,
         true,
         {make_forecast("a", {200}), make_forecast("b", {900}), make_forecast("c", {600}, "r2")},
         900,
         {"a", "b"}},
        {"a rack that is too late",
         8,
         2,
         true,
         {make_forecast("a", {200}), make_forecast("b", {2900}), make_forecast("c", {600}, "r2")},
         600,
         {"a", "c"}},
    };
    for (const row& each : rows) {
        blocked_step what = make_blocked("job", each.size);
        what.tasks = each.tasks;
        what.gang = each.tasks > 1;
        what.same_rack = each.same_rack;
        std::vector<const worker_forecast*> workers;
        for (const worker_forecast& worker : each.workers) {
            workers.push_back(&worker);
        }
        const auto plan = best_plan(what, workers, time_at(0));
        cr_assert_eq(plan.has_value(), each.due_ms >= 0, "%s", each.name.c_str());
        if (!plan) {
            continue;
        }
        std::vector<std::string> chosen;
        for (const worker_forecast* worker : plan->workers) {
            chosen.push_back(worker->worker);
        }
        cr_assert(plan->due == time_at(each.due_ms), "%s", each.name.c_str());
        cr_assert(chosen == each.chosen, "%s", each.name.c_str());
    }
}

/// Guards against backfill that delays a reservation, and against reservations that withhold more
/// than they need.
Test(reservations, only_what_would_delay_a_reservation_is_withheld)
{
    struct row {
        std::string name;
        placement_claim claim;
        std::string worker;
        bool allowed;
    };
    placement_claim large = make_claim("large", 8, 5000);
    large.large = true;
    placement_claim lasting = make_claim("lasting", 2, 0);
    lasting.ends = never_ends;
    placement_claim isolated = make_claim("isolated", 2, 5000);
    isolated.isolated = true;
    // Beside the reserved 6 and the run that never ends, one processor is left at 500 ms.
    const reservation_book book = make_book(make_blocked("job", 6));
    const std::vector<row> rows{
        {"ends in time", make_claim("small", 2, 500), "w1", true},
        {"ends too late", make_claim("small", 2, 501), "w1", false},
        {"fits beside", make_claim("small", 1, 5000), "w1", true},
        {"other worker", make_claim("small", 2, 5000), "w2", true},
        {"its own task", make_claim("job", 6, 5000), "w1", true},
        {"large, of earlier rank", large, "w1", true},
        {"long-running", lasting, "w1", true},
        {"isolated", isolated, "w1", true},
    };
    for (const row& each : rows) {
        cr_assert_eq(book.cost_of(each.worker, each.claim, {}).has_value(), each.allowed, "%s",
                     each.name.c_str());
    }
    reservation_book visited = book;
    visited.note_blocked(make_blocked("job", 6));
    cr_assert(!visited.cost_of("w1", large, {}), "large, of later rank");
    visited.note_refused(rows[1].claim);
    cr_assert(visited.refuses(make_claim("other", 3, 600)));
    cr_assert(!visited.refuses(make_claim("other", 3, 500)));
    cr_assert(!visited.refuses(make_claim("other", 1, 600)));
    cr_assert(!visited.refuses(make_claim("job", 6, 600)));
}

/// Guards against small tasks that each fit beside a reservation, but not together.
Test(reservations, what_is_placed_beside_is_counted)
{
    reservation_book book = make_book(make_blocked("job", 6));
    const placement_claim claim = make_claim("small", 1, 5000);
    book.note_placed(claim, "w1", 0);
    cr_assert(!book.cost_of("w1", claim, {}));
    cr_assert_eq(book.open()[0].problem, "");
}

/// Guards against room that is held for tasks which nothing competes with, or beyond a pool's
/// share.
Test(reservations, they_are_few_and_only_made_under_contention)
{
    reservation_book book;
    book.begin_round(time_at(0));
    book.set_capacity("main", {processors(8), processors(8 * 9)});
    blocked_step what = make_blocked("job");
    what.tasks = 50;
    book.note_blocked(what);
    cr_assert(book.take_requests().empty(), "nothing competes");

    book.begin_round(time_at(10));
    book.set_capacity("main", {processors(8), processors(8 * 9)});
    book.note_placed(make_claim("small", 1, 1000), "w0", 0);
    book.note_blocked(what);
    const auto requests = book.take_requests();
    cr_assert_eq(requests.size(), 4);
    std::vector<worker_forecast> workers;
    for (int i = 0; i < 9; ++i) {
        workers.push_back(make_forecast("w" + std::to_string(i), {500 + i}));
    }
    for (const blocked_step& each : requests) {
        book.reserve(each, workers);
    }
    cr_assert_eq(book.open().size(), 3, "a third of nine workers");

    book.begin_round(time_at(20));
    book.note_blocked(what);
    cr_assert(book.take_requests().empty(), "too soon to compare all workers again");
}

/// Guards against a place that is kept empty although a rule keeps the task from it.
Test(reservations, a_place_that_is_not_used_is_given_up)
{
    const blocked_step what = make_blocked("job", 6);
    reservation_book book = make_book(what);
    for (std::int64_t ms = 600; ms <= 2600; ms += 50) {
        cr_assert_eq(book.open().size(), 1);
        book.begin_round(time_at(ms));
        if (book.needs_refresh()) {
            book.refresh(make_forecast("w1", {-1}));
        }
        book.note_blocked(what);
        cr_assert(book.take_requests().empty());
    }
    cr_assert(book.open().empty());
    cr_assert_eq(book.counters().given_up, 1);
    cr_assert_gt(book.counters().held_core_ms, 6 * 2000);
}

} // namespace
