#include <criterion/criterion.h>

#include "requests/engine.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::requests;
using common::milliseconds;

/// One engine with one pool of two upstreams, and the actions of the last event.
class fixture {
public:
    explicit fixture(std::int64_t limit = 100, bool repeatable = false,
                     std::size_t most_records = 20000)
        : engine(make_options(most_records), teams::static_division({0, 1}), this->random,
                 this->invariants)
    {
        auto made = std::make_shared<settings::snapshot>();
        made->number = 1;
        made->workspaces["desk"] = {};
        made->pools["main"].vms = {"vm-1", "vm-2"};
        settings::queue queue;
        queue.workspace = "desk";
        queue.pool = "main";
        queue.most_waiting = 50;
        queue.repeatable = repeatable;
        made->queues["work"] = queue;
        for (const std::string team : {"red", "blue"}) {
            settings::team_rules rules;
            rules.workspace = "desk";
            rules.limit = limit;
            rules.share = team == "red" ? 2.0 : 1.0;
            made->teams[team] = rules;
            const auto issued = teams::issue_key(team, "test");
            made->keys[team][issued.id] = issued.record;
            this->keys[team] = issued.presented;
        }
        this->in_force = made;
        this->send(settings_accepted{made});
        this->send(vm_list_received{{upstream("vm-1"), upstream("vm-2")}});
        this->report("vm-1");
        this->report("vm-2");
    }

    actions send(const event& what, milliseconds later = milliseconds(1))
    {
        this->now += later;
        this->last = this->engine.on_event(what, this->now);
        for (const action& each : this->last) {
            if (const auto* given = std::get_if<give_answer>(&each)) {
                this->answers[given->id] = given->whole;
            }
            if (const auto* start = std::get_if<start_task>(&each)) {
                this->starts[start->request] = *start;
                ++this->start_count;
            }
        }
        return this->last;
    }

    void submit(const std::string& id, const std::string& team = "red", const std::string& key = {},
                bool urgent = false)
    {
        submitted wanted;
        wanted.id = id;
        wanted.queue = "work";
        wanted.presented_key = this->keys[team];
        wanted.idempotency_key = key;
        wanted.body = key.empty() ? id : "body";
        wanted.urgent = urgent;
        this->send(wanted);
    }

    void reply(const std::string& id, reply_kind kind, bool query = false, bool succeeded = true)
    {
        worker_replied reply;
        reply.attempt = this->starts.at(id).attempt;
        reply.kind = kind;
        reply.was_query = query;
        reply.succeeded = succeeded;
        reply.output = "output of " + id;
        reply.run_time = milliseconds(10);
        this->send(reply);
    }

    void report(const std::string& vm, const std::string& epoch = "e1")
    {
        this->send(usage_received{vm, {epoch, {}, false, {}, {}}});
    }

    void change(const std::function<void(settings::snapshot&)>& edit)
    {
        auto changed = std::make_shared<settings::snapshot>(*this->in_force);
        ++changed->number;
        edit(*changed);
        this->in_force = changed;
        this->send(settings_accepted{changed});
    }

    static routing::upstream_info upstream(const std::string& vm)
    {
        return {vm, vm, "zone", "rack", {32, 65536, 0, 8}, false};
    }

    static engine_options make_options(std::size_t most_records)
    {
        engine_options options;
        options.most_records = most_records;
        options.zone = "zone";
        return options;
    }

    common::random_source random{7};
    common::invariant_monitor invariants{[](common::invariant which, const std::string& detail) {
        cr_assert(false, "%s: %s", std::string(common::to_string(which)).c_str(), detail.c_str());
    }};
    node_engine engine;
    common::steady_time now;
    std::shared_ptr<const settings::snapshot> in_force;
    std::map<std::string, std::string> keys;
    std::map<std::string, answer> answers;
    std::map<std::string, start_task> starts;
    int start_count = 0;
    actions last;
};

Test(engine, request_is_started_and_its_whole_output_is_the_answer)
{
    // given
    fixture each;

    // when
    each.submit("a");
    each.reply("a", reply_kind::finished);

    // then
    cr_assert(each.answers.at("a").result == fate::done);
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
    cr_assert(each.engine.counters().dropped_answers == 1);
}

Test(engine, unrepeatable_request_is_unknown_after_its_worker_vanished)
{
    // given
    fixture each;
    each.submit("a");
    each.reply("a", reply_kind::lost);

    // when the worker stays out of reach until the task's lease is over
    for (int i = 0; i < 60 && each.answers.empty(); ++i) {
        each.send(ticked{}, milliseconds(1000));
        for (const action& done : each.last) {
            if (std::holds_alternative<query_task>(done)) {
                each.reply("a", reply_kind::not_sent, true);
                break;
            }
        }
    }

    // then
    cr_assert(each.answers.at("a").result == fate::unknown);
    cr_assert(each.start_count == 1);
}

Test(engine, lost_start_that_never_ran_is_started_elsewhere)
{
    // given an unrepeatable request whose reply was lost
    fixture each;
    each.submit("a");
    each.reply("a", reply_kind::lost);
    each.send(ticked{}, milliseconds(100));

    // when the worker says that it does not know the attempt and will never start it
    each.reply("a", reply_kind::not_started, true);

    // then
    cr_assert(each.start_count == 2);
    each.reply("a", reply_kind::finished);
    cr_assert(each.answers.at("a").result == fate::done);
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
    cr_assert(each.answers.at("a").result == fate::unknown);
}

Test(engine, start_refused_for_its_epoch_may_have_run_as_an_earlier_copy)
{
    // given an unrepeatable request whose worker has started anew
    fixture each;
    each.submit("a");

    // when
    each.reply("a", reply_kind::epoch_changed);

    // then
    cr_assert(each.answers.at("a").result == fate::unknown);
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
    cr_assert(each.answers.at("waiting").why_refused == refusal::key_withdrawn);
    each.submit("later");
    cr_assert(each.answers.at("later").why_refused == refusal::wrong_key);
    each.reply("running", reply_kind::finished);
    cr_assert(each.answers.at("running").result == fate::done);
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
    each.send(cancel_wanted{"first"});
    cr_assert(each.answers.at("first").why_refused == refusal::cancelled);

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
    submitted wanted;
    wanted.id = "a";
    wanted.queue = "work";
    wanted.presented_key = each.keys["red"];
    wanted.size = settings::task_size{33, 1, 0};

    // when
    each.send(wanted);

    // then
    cr_assert(each.answers.at("a").why_refused == refusal::never_fits);
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
    cr_assert(running == 16 || running == 15);
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
            each.send(ticked{}, milliseconds(500));
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
        each.send(cancel_wanted{"r" + std::to_string(i)});
    }

    // then those that wait are not run, and those that run are told by their worker
    cr_assert(each.engine.open_requests() == 8);
    each.reply("r0", reply_kind::finished, false, false);
    cr_assert(each.answers.at("r0").result == fate::failed);
    each.reply("r1", reply_kind::not_started, true);
    cr_assert(each.answers.at("r1").why_refused == refusal::cancelled);
}

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
    each.send(ticked{});

    // then
    cr_assert(before == 0);
    cr_assert(each.start_count == 1);
}

submitted keyed_request(fixture& each, const std::string& id)
{
    submitted wanted;
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
    reply.attempt = {keyed_task("red", "k"), kind == claim_kind::free ? 0 : 1, vm, "e1"};
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
    reply.attempt = {keyed_task("red", "k"), 1, "vm-1", "e1"};
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
        each.send(ticked{});
    }

    // then
    cr_assert(each.answers.at("a").result == fate::unknown);
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
    each.send(peers_heard{{"", "other"}, {}});
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
