#include "requests/tests/engine_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::requests;
using common::milliseconds;
using requests::tests::fixture;

Test(engine, request_is_started_and_its_whole_output_is_the_answer)
{
    // given
    fixture each;

    // when
    each.submit("a");
    each.reply("a", reply_kind::finished);

    // then
    cr_assert(each.answers.at("a").result == request_outcome::done);
    cr_assert(each.answers.at("a").output == "output of a");
}

Test(engine, crossed_answer_meets_no_request)
{
    // given two running requests
    fixture each;
    each.submit("a");
    each.submit("b");

    // when the answer to a names b's worker and attempt under a's task
    worker_replied crossed;
    crossed.attempt = each.starts.at("a").attempt;
    crossed.attempt.number += 1;
    crossed.kind = reply_kind::finished;
    each.send(crossed);

    // then
    cr_assert(each.answers.empty());
    cr_assert(each.engine.counters().dropped_replies == 1);
}

Test(engine, unrepeatable_request_is_unknown_after_its_worker_vanished)
{
    // given
    fixture each;
    each.submit("a");
    each.reply("a", reply_kind::lost);

    // when the worker stays out of reach until the task's lease is over
    for (int i = 0; i < 60 && each.answers.empty(); ++i) {
        each.send(tick{}, milliseconds(1000));
        for (const action& done : each.last) {
            if (std::holds_alternative<query_task>(done)) {
                each.reply("a", reply_kind::not_sent, true);
                break;
            }
        }
    }

    // then
    cr_assert(each.answers.at("a").result == request_outcome::unknown);
    cr_assert(each.start_count == 1);
}

Test(engine, lost_start_that_never_ran_is_started_elsewhere)
{
    // given an unrepeatable request whose reply was lost
    fixture each;
    each.submit("a");
    each.reply("a", reply_kind::lost);
    each.send(tick{}, milliseconds(100));

    // when the worker says that it does not know the attempt and will never start it
    each.reply("a", reply_kind::not_started, true);

    // then
    cr_assert(each.start_count == 2);
    each.reply("a", reply_kind::finished);
    cr_assert(each.answers.at("a").result == request_outcome::done);
}

Test(engine, worker_that_started_anew_makes_an_unrepeatable_request_unknown)
{
    // given
    fixture each;
    each.submit("a");
    each.reply("a", reply_kind::running);

    // when
    each.reply("a", reply_kind::epoch_changed, true);

    // then
    cr_assert(each.answers.at("a").result == request_outcome::unknown);
}

Test(engine, start_refused_for_its_epoch_may_have_run_as_an_earlier_copy)
{
    // given an unrepeatable request whose worker has started anew
    fixture each;
    each.submit("a");

    // when
    each.reply("a", reply_kind::epoch_changed);

    // then
    cr_assert(each.answers.at("a").result == request_outcome::unknown);
    cr_assert(each.start_count == 1);
}

Test(engine, no_team_has_more_running_than_its_limit)
{
    // given a limit of 3
    fixture each(3);

    // when
    for (int i = 0; i < 10; ++i) {
        each.submit("r" + std::to_string(i));
    }

    // then
    cr_assert(each.start_count == 3);
    each.reply("r0", reply_kind::finished);
    cr_assert(each.start_count == 4);
}

Test(engine, lowered_limit_starts_nothing_until_enough_has_ended)
{
    // given three running of a limit of 3
    fixture each(3);
    for (int i = 0; i < 5; ++i) {
        each.submit("r" + std::to_string(i));
    }

    // when
    each.change([](settings::snapshot& made) { made.teams["red"].limit = 1; });
    each.reply("r0", reply_kind::finished);
    each.reply("r1", reply_kind::finished);

    // then
    cr_assert(each.start_count == 3);
    each.reply("r2", reply_kind::finished);
    cr_assert(each.start_count == 4);
}

Test(engine, withdrawn_key_refuses_what_waits_as_not_run)
{
    // given one running and one waiting
    fixture each(1);
    each.submit("running");
    each.submit("waiting");

    // when
    each.change([](settings::snapshot& made) {
        for (auto& [id, key] : made.keys["red"]) {
            key.state = settings::key_state::withdrawn;
        }
    });

    // then
    cr_assert(each.answers.at("waiting").refusal_reason == refusal::key_withdrawn);
    each.submit("later");
    cr_assert(each.answers.at("later").refusal_reason == refusal::wrong_key);
    each.reply("running", reply_kind::finished);
    cr_assert(each.answers.at("running").result == request_outcome::done);
}

Test(engine, older_settings_are_not_followed)
{
    // given
    fixture each;
    const auto old = each.in_force;
    each.change([](settings::snapshot& made) { made.teams["red"].limit = 1; });

    // when
    each.send(settings_accepted{old});

    // then
    cr_assert(each.engine.in_force()->number == 2);
}

Test(engine, same_idempotency_key_runs_once_and_gives_the_same_answer)
{
    // given
    fixture each;
    each.submit("first", "red", "k");
    each.submit("second", "red", "k");

    // when
    each.reply("first", reply_kind::finished);
    each.submit("third", "red", "k");

    // then
    cr_assert(each.start_count == 1);
    cr_assert(each.answers.at("second") == each.answers.at("first"));
    cr_assert(each.answers.at("third") == each.answers.at("first"));
}

Test(engine, same_idempotency_key_of_two_teams_stands_for_two_requests)
{
    // given / when
    fixture each;
    each.submit("first", "red", "k");
    each.submit("second", "blue", "k");

    // then
    cr_assert(each.start_count == 2);
}

Test(engine, refused_request_may_be_handed_in_again_under_its_key)
{
    // given a request that was cancelled before its start
    fixture each(1);
    each.submit("running");
    each.submit("first", "red", "k");
    each.send(cancel_requested{"first"});
    cr_assert(each.answers.at("first").refusal_reason == refusal::cancelled);

    // when
    each.submit("second", "red", "k");
    each.reply("running", reply_kind::finished);

    // then
    cr_assert(each.starts.contains("second"));
}

Test(engine, task_larger_than_every_vm_is_refused_at_once)
{
    // given
    fixture each;
    request_submitted wanted;
    wanted.id = "a";
    wanted.queue = "work";
    wanted.presented_key = each.keys["red"];
    wanted.size = settings::task_size{33, 1, 0};

    // when
    each.send(wanted);

    // then
    cr_assert(each.answers.at("a").refusal_reason == refusal::never_fits);
}

Test(engine, urgent_request_overtakes_those_that_wait)
{
    // given a full pool and a long line
    fixture each;
    for (int i = 0; i < 40; ++i) {
        each.submit("r" + std::to_string(i));
    }
    const int running = each.start_count;
    each.submit("urgent", "red", {}, true);

    // when one slot gets free
    each.reply("r0", reply_kind::finished);

    // then
    cr_assert(running == 15, "one of 16 slots is kept for urgent work");
    cr_assert(each.starts.contains("urgent"));
}

Test(engine, retries_stay_within_a_fifth_of_the_requests)
{
    // given upstreams that fail everything, and repeatable requests
    fixture each(100, true);
    constexpr int requests = 500;

    // when
    for (int i = 0; i < requests; ++i) {
        const std::string id = "r" + std::to_string(i);
        each.submit(id);
        for (int tries = 0; tries < 10 && !each.answers.contains(id); ++tries) {
            if (each.starts.contains(id)) {
                each.reply(id, reply_kind::finished, false, false);
            }
            each.send(tick{}, milliseconds(500));
        }
    }

    // then
    cr_assert(each.start_count <= requests * 12 / 10);
    cr_assert(each.engine.counters().retries > 0);
}

Test(engine, thousands_of_cancellations_say_truly_whether_the_task_ran)
{
    // given
    fixture each(8);
    each.change([](settings::snapshot& made) { made.queues["work"].most_waiting = 10'000; });
    for (int i = 0; i < 5000; ++i) {
        each.submit("r" + std::to_string(i));
    }

    // when
    for (int i = 0; i < 5000; ++i) {
        each.send(cancel_requested{"r" + std::to_string(i)});
    }

    // then those that wait are not run, and those that run are told by their worker
    cr_assert(each.engine.open_requests() == 8);
    each.reply("r0", reply_kind::finished, false, false);
    cr_assert(each.answers.at("r0").result == request_outcome::failed);
    each.reply("r1", reply_kind::not_started, true);
    cr_assert(each.answers.at("r1").refusal_reason == refusal::cancelled);
}

Test(engine, shares_follow_the_weights_when_everything_is_full)
{
    // given teams with weights 2 and 1 that both have more than enough to do
    fixture each;
    for (int i = 0; i < 45; ++i) {
        each.submit("red" + std::to_string(i), "red");
        each.submit("blue" + std::to_string(i), "blue");
    }

    // when tasks end one after another
    std::map<std::string, int> started;
    for (int i = 0; i < 30; ++i) {
        const auto running = each.starts;
        for (const auto& [id, start] : running) {
            if (!each.answers.contains(id)) {
                each.reply(id, reply_kind::finished);
                break;
            }
        }
    }
    const auto loads = each.engine.loads();

    // then
    const auto red = static_cast<double>(loads.at("red").running);
    const auto blue = static_cast<double>(loads.at("blue").running);
    cr_assert(red / blue >= 0.9 * 2.0 && red / blue <= 2.0 / 0.8, "%f to %f", red, blue);
}

} // namespace
