#include "requests/tests/engine_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::requests;
using common::milliseconds;
using requests::tests::engine_fixture;

Test(engine, tasks_of_an_earlier_incarnation_count_against_the_limit)
{
    // given a limit of 2, and two running tasks of an earlier incarnation of this node
    engine_fixture fixture(2);
    routing::usage_report report{"e1", {}, false, {}, {}};
    report.local_tasks = {{"old-1", "red", {1, 256, 0, 1}, "", {}},
                          {"old-2", "red", {1, 256, 0, 1}, "", {}}};
    fixture.send(usage_received{"vm-1", report});

    // when
    fixture.submit("a");
    const int before = fixture.start_count;
    fixture.report_usage("vm-1");
    fixture.send(tick{});

    // then
    cr_assert(before == 0);
    cr_assert(fixture.start_count == 1);
}

request_submitted keyed_request(engine_fixture& fixture, const std::string& id)
{
    request_submitted request;
    request.id = id;
    request.queue = "work";
    request.presented_key = fixture.keys["red"];
    request.idempotency_key = "k";
    request.must_claim = true;
    return request;
}

claim_replied claim_reply(const std::string& vm, claim_kind kind)
{
    claim_replied reply;
    reply.attempt = {task_id_for_key("red", "k"), kind == claim_kind::free ? 0 : 1, vm, "e1"};
    reply.kind = kind;
    reply.succeeded = true;
    reply.output = "earlier output";
    return reply;
}

Test(engine, claimed_task_starts_only_after_every_upstream_said_that_it_never_ran)
{
    // given
    engine_fixture fixture;
    fixture.send(keyed_request(fixture, "a"));

    // when
    fixture.send(claim_reply("vm-1", claim_kind::free));
    const int after_one = fixture.start_count;
    fixture.send(claim_reply("vm-2", claim_kind::free));

    // then
    cr_assert(after_one == 0);
    cr_assert(fixture.start_count == 1);
}

Test(engine, claimed_task_that_another_node_ran_gives_the_earlier_answer)
{
    // given
    engine_fixture fixture;
    fixture.send(keyed_request(fixture, "a"));

    // when
    fixture.send(claim_reply("vm-1", claim_kind::finished));

    // then
    cr_assert(fixture.responses.at("a").output == "earlier output");
    cr_assert(fixture.start_count == 0);
}

Test(engine, claimed_task_that_still_runs_is_adopted)
{
    // given
    engine_fixture fixture;
    fixture.send(keyed_request(fixture, "a"));

    // when
    fixture.send(claim_reply("vm-1", claim_kind::running));
    worker_replied reply;
    reply.attempt = {task_id_for_key("red", "k"), 1, "vm-1", "e1"};
    reply.kind = reply_kind::finished;
    reply.was_query = true;
    reply.succeeded = true;
    reply.output = "its output";
    fixture.send(reply);

    // then
    cr_assert(fixture.responses.at("a").output == "its output");
    cr_assert(fixture.start_count == 0);
}

Test(engine, claim_that_an_upstream_cannot_answer_ends_as_unknown)
{
    // given
    engine_fixture fixture;
    fixture.send(keyed_request(fixture, "a"));
    fixture.send(claim_reply("vm-1", claim_kind::free));

    // when vm-2 stays unreachable
    for (int i = 0; i < 30; ++i) {
        fixture.send(claim_reply("vm-2", claim_kind::unreachable), milliseconds(300));
        fixture.send(tick{});
    }

    // then
    cr_assert(fixture.responses.at("a").result == request_outcome::unknown);
    cr_assert(fixture.start_count == 0);
}

Test(engine, evicted_key_is_claimed_before_it_runs_again)
{
    // given a limit of two ended records, and a keyed request whose record three others evict
    engine_fixture fixture(100, false, 2);
    fixture.submit("first", "red", "k");
    fixture.reply("first", reply_kind::finished);
    for (const std::string id : {"a", "b", "c"}) {
        fixture.submit(id);
        fixture.reply(id, reply_kind::finished);
    }
    cr_assert(fixture.engine.find("first") == nullptr);

    // when the key is submitted again
    const int before = fixture.start_count;
    fixture.submit("second", "red", "k");

    // then the task is claimed on the workers, and the response comes from there
    cr_assert(fixture.start_count == before);
    fixture.send(claim_reply("vm-1", claim_kind::finished));
    cr_assert(fixture.responses.at("second").output == "earlier output");
}

Test(engine, long_task_of_a_dead_node_is_taken_over_within_the_limit)
{
    // given a limit of 1, and two tasks of a dead node whose leases are due for renewal
    engine_fixture fixture(1);
    fixture.send(peer_status_received{{"", "other"}, {}});
    routing::usage_report report{"e1", {}, false, {}, {}};
    report.remote_tasks = {{"t1", "red", {1, 256, 0, 1}, "gone", milliseconds(3000)},
                           {"t2", "red", {1, 256, 0, 1}, "gone", milliseconds(3000)},
                           {"t3", "red", {1, 256, 0, 1}, "other", milliseconds(3000)}};

    // when rendezvous hashing assigns some of the tasks to each live node
    int adopted = 0;
    for (int i = 0; i < 20; ++i) {
        for (auto& task : report.remote_tasks) {
            task.task += "x";
        }
        for (const action& produced : fixture.send(usage_received{"vm-1", report})) {
            adopted += std::holds_alternative<adopt_task>(produced) ? 1 : 0;
        }
    }

    // then
    cr_assert(adopted == 1);
    fixture.submit("a");
    cr_assert(fixture.start_count == 0, "the team's limit is used up by the adopted task");
}

} // namespace
