#include "requests/tests/engine_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::requests;
using common::milliseconds;
using requests::tests::engine_fixture;

Test(engine, request_is_started_and_its_whole_output_is_the_answer)
{
    // given
    engine_fixture fixture;

    // when
    fixture.submit("a");
    fixture.reply("a", reply_kind::finished);

    // then
    cr_assert(fixture.responses.at("a").result == request_outcome::done);
    cr_assert(fixture.responses.at("a").output == "output of a");
}

Test(engine, reply_to_another_attempt_is_dropped)
{
    // given two running requests
    engine_fixture fixture;
    fixture.submit("a");
    fixture.submit("b");

    // when a reply for a's task carries the number of an attempt that was never sent
    worker_replied mismatched;
    mismatched.attempt = fixture.starts.at("a").attempt;
    mismatched.attempt.number += 1;
    mismatched.kind = reply_kind::finished;
    fixture.send(mismatched);

    // then
    cr_assert(fixture.responses.empty());
    cr_assert(fixture.engine.counters().dropped_replies == 1);
}

Test(engine, unrepeatable_request_is_unknown_after_its_worker_is_lost)
{
    // given
    engine_fixture fixture;
    fixture.submit("a");
    fixture.reply("a", reply_kind::lost);

    // when the worker stays unreachable until the task's lease has expired
    for (int i = 0; i < 60 && fixture.responses.empty(); ++i) {
        fixture.send(tick{}, milliseconds(1000));
        for (const action& produced : fixture.last_actions) {
            if (std::holds_alternative<query_task>(produced)) {
                fixture.reply("a", reply_kind::not_sent, true);
                break;
            }
        }
    }

    // then
    cr_assert(fixture.responses.at("a").result == request_outcome::unknown);
    cr_assert(fixture.start_count == 1);
}

Test(engine, lost_start_that_never_ran_is_started_again)
{
    // given an unrepeatable request whose reply was lost
    engine_fixture fixture;
    fixture.submit("a");
    fixture.reply("a", reply_kind::lost);
    fixture.send(tick{}, milliseconds(100));

    // when the worker replies that it does not know the attempt and will never start it
    fixture.reply("a", reply_kind::not_started, true);

    // then
    cr_assert(fixture.start_count == 2);
    fixture.reply("a", reply_kind::finished);
    cr_assert(fixture.responses.at("a").result == request_outcome::done);
}

Test(engine, worker_restart_makes_an_unrepeatable_request_unknown)
{
    // given
    engine_fixture fixture;
    fixture.submit("a");
    fixture.reply("a", reply_kind::running);

    // when
    fixture.reply("a", reply_kind::epoch_changed, true);

    // then
    cr_assert(fixture.responses.at("a").result == request_outcome::unknown);
}

Test(engine, start_rejected_for_an_old_epoch_ends_as_unknown)
{
    // given an unrepeatable request whose worker has restarted
    engine_fixture fixture;
    fixture.submit("a");

    // when
    fixture.reply("a", reply_kind::epoch_changed);

    // then
    cr_assert(fixture.responses.at("a").result == request_outcome::unknown);
    cr_assert(fixture.start_count == 1);
}

Test(engine, no_team_has_more_running_than_its_limit)
{
    // given a limit of 3
    engine_fixture fixture(3);

    // when
    for (int i = 0; i < 10; ++i) {
        fixture.submit("r" + std::to_string(i));
    }

    // then
    cr_assert(fixture.start_count == 3);
    fixture.reply("r0", reply_kind::finished);
    cr_assert(fixture.start_count == 4);
}

Test(engine, lowered_limit_starts_nothing_until_enough_has_ended)
{
    // given a limit of 3 that is fully used
    engine_fixture fixture(3);
    for (int i = 0; i < 5; ++i) {
        fixture.submit("r" + std::to_string(i));
    }

    // when
    fixture.change_settings(
        [](settings::snapshot& new_settings) { new_settings.teams["red"].limit = 1; });
    fixture.reply("r0", reply_kind::finished);
    fixture.reply("r1", reply_kind::finished);

    // then
    cr_assert(fixture.start_count == 3);
    fixture.reply("r2", reply_kind::finished);
    cr_assert(fixture.start_count == 4);
}

Test(engine, withdrawing_a_key_refuses_its_waiting_requests)
{
    // given a running and a waiting request
    engine_fixture fixture(1);
    fixture.submit("running");
    fixture.submit("waiting");

    // when
    fixture.change_settings([](settings::snapshot& new_settings) {
        for (auto& [id, key] : new_settings.keys["red"]) {
            key.state = settings::key_state::withdrawn;
        }
    });

    // then
    cr_assert(fixture.responses.at("waiting").refusal_reason == refusal::key_withdrawn);
    fixture.submit("later");
    cr_assert(fixture.responses.at("later").refusal_reason == refusal::wrong_key);
    fixture.reply("running", reply_kind::finished);
    cr_assert(fixture.responses.at("running").result == request_outcome::done);
}

Test(engine, older_settings_are_ignored)
{
    // given
    engine_fixture fixture;
    const auto old = fixture.in_force;
    fixture.change_settings(
        [](settings::snapshot& new_settings) { new_settings.teams["red"].limit = 1; });

    // when
    fixture.send(settings_accepted{old});

    // then
    cr_assert(fixture.engine.in_force()->number == 2);
}

Test(engine, same_idempotency_key_runs_once_and_gives_the_same_answer)
{
    // given
    engine_fixture fixture;
    fixture.submit("first", "red", "k");
    fixture.submit("second", "red", "k");

    // when
    fixture.reply("first", reply_kind::finished);
    fixture.submit("third", "red", "k");

    // then
    cr_assert(fixture.start_count == 1);
    cr_assert(fixture.responses.at("second") == fixture.responses.at("first"));
    cr_assert(fixture.responses.at("third") == fixture.responses.at("first"));
}

Test(engine, same_idempotency_key_of_two_teams_means_two_requests)
{
    // given / when
    engine_fixture fixture;
    fixture.submit("first", "red", "k");
    fixture.submit("second", "blue", "k");

    // then
    cr_assert(fixture.start_count == 2);
}

Test(engine, refused_request_can_be_submitted_again_with_its_key)
{
    // given a request that was cancelled before it started
    engine_fixture fixture(1);
    fixture.submit("running");
    fixture.submit("first", "red", "k");
    fixture.send(cancel_requested{"first"});
    cr_assert(fixture.responses.at("first").refusal_reason == refusal::cancelled);

    // when
    fixture.submit("second", "red", "k");
    fixture.reply("running", reply_kind::finished);

    // then
    cr_assert(fixture.starts.contains("second"));
}

Test(engine, task_larger_than_every_vm_is_refused_at_once)
{
    // given
    engine_fixture fixture;
    request_submitted request;
    request.id = "a";
    request.queue = "work";
    request.presented_key = fixture.keys["red"];
    request.size = settings::task_size{33, 1, 0};

    // when
    fixture.send(request);

    // then
    cr_assert(fixture.responses.at("a").refusal_reason == refusal::never_fits);
}

Test(engine, urgent_request_starts_before_waiting_requests)
{
    // given a full pool and many waiting requests
    engine_fixture fixture;
    for (int i = 0; i < 40; ++i) {
        fixture.submit("r" + std::to_string(i));
    }
    const int running = fixture.start_count;
    fixture.submit("urgent", "red", {}, true);

    // when one slot becomes free
    fixture.reply("r0", reply_kind::finished);

    // then
    cr_assert(running == 15, "one of 16 slots is kept for urgent work");
    cr_assert(fixture.starts.contains("urgent"));
}

Test(engine, retries_stay_within_a_fifth_of_the_requests)
{
    // given repeatable requests, and upstreams that fail every task
    engine_fixture fixture(100, true);
    constexpr int requests = 500;

    // when
    for (int i = 0; i < requests; ++i) {
        const std::string id = "r" + std::to_string(i);
        fixture.submit(id);
        for (int tries = 0; tries < 10 && !fixture.responses.contains(id); ++tries) {
            if (fixture.starts.contains(id)) {
                fixture.reply(id, reply_kind::finished, false, false);
            }
            fixture.send(tick{}, milliseconds(500));
        }
    }

    // then
    cr_assert(fixture.start_count <= requests * 12 / 10);
    cr_assert(fixture.engine.counters().retries > 0);
}

Test(engine, mass_cancellation_reports_whether_each_task_ran)
{
    // given
    engine_fixture fixture(8);
    fixture.change_settings([](settings::snapshot& new_settings) {
        new_settings.queues["work"].most_waiting = 10'000;
    });
    for (int i = 0; i < 5000; ++i) {
        fixture.submit("r" + std::to_string(i));
    }

    // when
    for (int i = 0; i < 5000; ++i) {
        fixture.send(cancel_requested{"r" + std::to_string(i)});
    }

    // then waiting requests are refused, and running ones end with the reply of their worker
    cr_assert(fixture.engine.open_requests() == 8);
    fixture.reply("r0", reply_kind::finished, false, false);
    cr_assert(fixture.responses.at("r0").result == request_outcome::failed);
    fixture.reply("r1", reply_kind::not_started, true);
    cr_assert(fixture.responses.at("r1").refusal_reason == refusal::cancelled);
}

Test(engine, shares_follow_the_weights_when_everything_is_full)
{
    // given teams with weights 2 and 1, both with more requests than the pool can run
    engine_fixture fixture;
    for (int i = 0; i < 45; ++i) {
        fixture.submit("red" + std::to_string(i), "red");
        fixture.submit("blue" + std::to_string(i), "blue");
    }

    // when tasks end one by one
    std::map<std::string, int> started;
    for (int i = 0; i < 30; ++i) {
        const auto running = fixture.starts;
        for (const auto& [id, start] : running) {
            if (!fixture.responses.contains(id)) {
                fixture.reply(id, reply_kind::finished);
                break;
            }
        }
    }
    const auto loads = fixture.engine.loads();

    // then
    const auto red = static_cast<double>(loads.at("red").running);
    const auto blue = static_cast<double>(loads.at("blue").running);
    cr_assert(red / blue >= 0.9 * 2.0 && red / blue <= 2.0 / 0.8, "%f to %f", red, blue);
}

} // namespace
