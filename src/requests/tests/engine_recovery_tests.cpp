#include "requests/tests/engine_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::requests;
using common::milliseconds;
using requests::tests::fixture;

Test(engine, tasks_of_an_earlier_incarnation_count_against_the_limit)
{
    // given a limit of 2, and two tasks that a node of this name left running
    fixture each(2);
    routing::usage_report report{"e1", {}, false, {}, {}};
    report.own = {{"old-1", "red", {1, 256, 0, 1}, "", {}},
                  {"old-2", "red", {1, 256, 0, 1}, "", {}}};
    each.send(usage_received{"vm-1", report});

    // when
    each.submit("a");
    const int before = each.start_count;
    each.report("vm-1");
    each.send(tick{});

    // then
    cr_assert(before == 0);
    cr_assert(each.start_count == 1);
}

request_submitted keyed_request(fixture& each, const std::string& id)
{
    request_submitted wanted;
    wanted.id = id;
    wanted.queue = "work";
    wanted.presented_key = each.keys["red"];
    wanted.idempotency_key = "k";
    wanted.must_claim = true;
    return wanted;
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
    fixture each;
    each.send(keyed_request(each, "a"));

    // when
    each.send(claim_reply("vm-1", claim_kind::free));
    const int after_one = each.start_count;
    each.send(claim_reply("vm-2", claim_kind::free));

    // then
    cr_assert(after_one == 0);
    cr_assert(each.start_count == 1);
}

Test(engine, claimed_task_that_another_node_ran_gives_the_earlier_answer)
{
    // given
    fixture each;
    each.send(keyed_request(each, "a"));

    // when
    each.send(claim_reply("vm-1", claim_kind::finished));

    // then
    cr_assert(each.answers.at("a").output == "earlier output");
    cr_assert(each.start_count == 0);
}

Test(engine, claimed_task_that_still_runs_is_adopted)
{
    // given
    fixture each;
    each.send(keyed_request(each, "a"));

    // when
    each.send(claim_reply("vm-1", claim_kind::running));
    worker_replied reply;
    reply.attempt = {task_id_for_key("red", "k"), 1, "vm-1", "e1"};
    reply.kind = reply_kind::finished;
    reply.was_query = true;
    reply.succeeded = true;
    reply.output = "its output";
    each.send(reply);

    // then
    cr_assert(each.answers.at("a").output == "its output");
    cr_assert(each.start_count == 0);
}

Test(engine, claim_that_an_upstream_cannot_answer_ends_as_unknown)
{
    // given
    fixture each;
    each.send(keyed_request(each, "a"));
    each.send(claim_reply("vm-1", claim_kind::free));

    // when vm-2 stays silent
    for (int i = 0; i < 30; ++i) {
        each.send(claim_reply("vm-2", claim_kind::unreachable), milliseconds(300));
        each.send(tick{});
    }

    // then
    cr_assert(each.answers.at("a").result == request_outcome::unknown);
    cr_assert(each.start_count == 0);
}

Test(engine, key_that_was_forgotten_for_lack_of_room_is_claimed_before_it_runs_again)
{
    // given room for two ended requests, and a keyed one that three others push out
    fixture each(100, false, 2);
    each.submit("first", "red", "k");
    each.reply("first", reply_kind::finished);
    for (const std::string id : {"a", "b", "c"}) {
        each.submit(id);
        each.reply(id, reply_kind::finished);
    }
    cr_assert(each.engine.find("first") == nullptr);

    // when the key comes again
    const int before = each.start_count;
    each.submit("second", "red", "k");

    // then the workers are asked, and know the answer
    cr_assert(each.start_count == before);
    each.send(claim_reply("vm-1", claim_kind::finished));
    cr_assert(each.answers.at("second").output == "earlier output");
}

Test(engine, long_task_of_a_dead_node_is_taken_over_within_the_limit)
{
    // given a limit of 1, and two tasks of a node that is gone, their leases half over
    fixture each(1);
    each.send(peer_status_received{{"", "other"}, {}});
    routing::usage_report report{"e1", {}, false, {}, {}};
    report.others = {{"t1", "red", {1, 256, 0, 1}, "gone", milliseconds(3000)},
                     {"t2", "red", {1, 256, 0, 1}, "gone", milliseconds(3000)},
                     {"t3", "red", {1, 256, 0, 1}, "other", milliseconds(3000)}};

    // when each node that lives is chosen for some tasks
    int adopted = 0;
    for (int i = 0; i < 20; ++i) {
        for (auto& task : report.others) {
            task.task += "x";
        }
        for (const action& done : each.send(usage_received{"vm-1", report})) {
            adopted += std::holds_alternative<adopt_task>(done) ? 1 : 0;
        }
    }

    // then
    cr_assert(adopted == 1);
    each.submit("a");
    cr_assert(each.start_count == 0, "the team's limit is used up by the adopted task");
}

} // namespace
