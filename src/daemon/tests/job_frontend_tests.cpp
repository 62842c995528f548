#include <stdexcept>

#include <criterion/criterion.h>

#include "daemon/job_frontend.h"
#include "daemon/store_keys.h"
#include "fakes/revision_store.h"

namespace {

using namespace chervilslip;
using daemon::job_call_result;

/// In-memory store that can withhold the responses to transactions.
class fake_store final : public store::transactional_store {
public:
    void read(const std::string& key, store::handler<std::optional<store::item>> done) override
    {
        done(this->items.read(key));
    }

    void range(const std::string& prefix, const std::string& after,
               store::handler<store::range_page> done) override
    {
        done(this->items.range(prefix, after));
    }

    void watch(const std::string&, std::int64_t, common::milliseconds,
               store::handler<store::change_page>) override
    {
    }

    void commit(const store::transaction& changes,
                store::handler<store::commit_outcome> done) override
    {
        ++this->commits;
        this->last_transaction = changes;
        if (this->before_commit) {
            std::exchange(this->before_commit, nullptr)();
        }
        if (this->delay_execution) {
            this->delayed.push_back(changes);
        }
        if (this->withhold_responses || this->delay_execution) {
            this->unanswered.push_back(std::move(done));
        } else {
            done(this->items.commit(changes));
        }
    }

    void grant(common::milliseconds, store::handler<store::lease_grant>) override
    {
    }

    void renew(std::uint64_t, store::handler<common::milliseconds>) override
    {
    }

    void end_lease(std::uint64_t, store::handler<bool>) override
    {
    }

    fakes::revision_store items;
    std::vector<store::handler<store::commit_outcome>> unanswered;
    store::transaction last_transaction;
    int commits = 0;
    std::vector<store::transaction> delayed; ///< not executed yet
    std::function<void()> before_commit;     ///< runs once, as another node's write would
    bool withhold_responses = false;
    bool delay_execution = false;
};

/// Counts the notifications.
class fake_owner_client final : public daemon::owner_client {
public:
    void notify_job(const jobs::job&, std::int64_t revision) override
    {
        ++this->notifications;
        this->notified_revision = revision;
        if (this->throws) {
            throw std::length_error("a job that the owner can't take");
        }
    }

    void notify_cancel(const std::string&, std::int64_t revision) override
    {
        this->notified_revision = revision;
    }

    void query_state(const std::string&, const jobs::job_scope&,
                     store::handler<std::optional<jobs::job_state>> done) override
    {
        done(std::optional<jobs::job_state>{}); // a job that the owner does not know
    }

    void query_waiting(const std::string&, store::handler<std::int64_t>) override
    {
    }

    bool throws = false;
    int notifications = 0;
    std::int64_t notified_revision = 0; ///< of the latest notification
};

const jobs::job_scope fire_permits{"permits", "fire"};

struct frontend_fixture {
    fake_store store;
    fake_owner_client owner;
    common::real_clock clock;
    common::event_log log{"test"};
    admission::admission_gate gate;
    bool store_unreachable = false;
    /// Has been told what the peers know.
    admission::unconfirmed_submissions unconfirmed{
        this->clock.steady_now() - admission::unconfirmed_submissions::repeat_window};
    std::vector<std::string> announced;
    daemon::job_frontend frontend{this->store,
                                  this->owner,
                                  this->clock,
                                  this->log,
                                  this->gate,
                                  this->unconfirmed,
                                  {[this] { return this->store_unreachable; },
                                   [this](const std::vector<std::string>& ids) {
                                       this->announced = ids;
                                   }}};

    std::optional<job_call_result>& submit_job(const std::string& id,
                                               const std::string& team = "fire")
    {
        jobs::job job;
        job.id = id;
        job.team = team;
        job.queue = "permits";
        job.steps.emplace_back();
        auto& call_result = this->results[id + team];
        this->frontend.submit(std::move(job),
                              [&call_result](job_call_result got) { call_result = got; });
        return call_result;
    }

    job_call_result cancel_job(const std::string& id, const jobs::job_scope& caller = fire_permits)
    {
        std::optional<job_call_result> got;
        this->frontend.cancel(id, caller,
                              [&got](job_call_result call_result) { got = call_result; });
        cr_assert(got.has_value());
        return *got;
    }

    std::optional<jobs::job_state> state_of(const std::string& id,
                                            const jobs::job_scope& caller = fire_permits)
    {
        std::optional<jobs::job_state> state;
        this->frontend.state(id, caller,
                             [&state](common::result<std::optional<jobs::job_state>> got) {
                                 cr_assert(got.has_value());
                                 state = got.value();
                             });
        return state;
    }

    std::map<std::string, std::optional<job_call_result>> results;
};

Test(job_frontend, an_accepted_job_notifies_the_owner_once)
{
    // given
    frontend_fixture fixture;

    // when, then
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);
    cr_assert(fixture.owner.notifications == 1);
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);
    cr_assert(fixture.submit_job("j1", "police") == job_call_result::conflict);
    cr_assert(fixture.frontend.open_calls() == 0);
}

// Rule REFUSED: a stored job was answered with 500, as its notification threw.
Test(job_frontend, an_accepted_job_is_answered_whatever_the_owner_does_with_it)
{
    // given a job under way and one that waits behind it
    frontend_fixture fixture;
    fixture.owner.throws = true;
    fixture.store.withhold_responses = true;
    auto& first = fixture.submit_job("00000000000000a1");
    auto& second = fixture.submit_job("00000000000000a2");

    // when
    const auto done = std::move(fixture.store.unanswered.front());
    fixture.store.unanswered.clear();
    fixture.store.withhold_responses = false;
    cr_assert_throw(done(fixture.store.items.commit(fixture.store.last_transaction)),
                    std::length_error);

    // then
    cr_assert(first == job_call_result::accepted);
    cr_assert(second == job_call_result::accepted);
}

Test(job_frontend, a_notification_carries_the_revision_of_the_write)
{
    // given
    frontend_fixture fixture;

    // when, then
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);
    cr_assert(fixture.owner.notified_revision == fixture.store.items.revision());
    fixture.frontend.cancel("j1", fire_permits, [](job_call_result) {});
    cr_assert(fixture.owner.notified_revision == fixture.store.items.revision());
}

Test(job_frontend, nothing_is_sent_while_the_store_is_unreachable)
{
    // given
    frontend_fixture fixture;
    fixture.store_unreachable = true;

    // when
    const auto call_result = fixture.submit_job("j1");

    // then
    cr_assert(call_result == job_call_result::rejected);
    cr_assert(fixture.store.commits == 0);
    cr_assert(fixture.frontend.open_calls() == 0);
}

Test(job_frontend, jobs_queued_behind_an_unanswered_write_are_rejected_when_the_store_is_lost)
{
    // given
    frontend_fixture fixture;
    fixture.store.withhold_responses = true;
    auto& sent = fixture.submit_job("j1");
    auto& queued = fixture.submit_job("j2");
    cr_assert(!sent && !queued);

    // when
    fixture.store_unreachable = true;
    auto& later = fixture.submit_job("j3");

    // then
    cr_assert(later == job_call_result::rejected);
    cr_assert(queued == job_call_result::rejected);
    cr_assert(!sent.has_value());

    // when: no attempt to write the job gets a response
    for (int i = 0; i < 3; ++i) {
        const auto answer = fixture.store.unanswered.back();
        answer(common::make_error(common::errc::timed_out, "commit", "store", "no answer"));
    }

    // then
    cr_assert(sent == job_call_result::unknown);
    cr_assert(fixture.frontend.open_calls() == 0);
}

Test(job_frontend, a_job_that_another_node_may_have_stored_is_not_refused_for_good)
{
    // given: no attempt of another node to write the job got a response
    frontend_fixture first;
    first.store.withhold_responses = true;
    const auto& submitted = first.submit_job("j1");
    for (int i = 0; i < 3; ++i) {
        const auto answer = first.store.unanswered.back();
        answer(common::make_error(common::errc::timed_out, "commit", "store", "no answer"));
    }
    cr_assert(submitted == job_call_result::unknown);

    // when
    frontend_fixture second;
    second.store_unreachable = true;
    for (const std::string& id : first.announced) {
        second.unconfirmed.add(id, second.clock.steady_now());
    }

    // then
    cr_assert(second.submit_job("j1") == job_call_result::unknown);
    cr_assert(second.submit_job("j2") == job_call_result::rejected);
}

Test(job_frontend, a_job_that_is_being_written_is_not_refused_for_good)
{
    // given
    frontend_fixture fixture;
    fixture.store.withhold_responses = true;
    fixture.submit_job("j1");

    // when: the caller, whose connection was lost, submits it again
    fixture.store_unreachable = true;
    const auto again = fixture.submit_job("j1", "same caller");

    // then
    cr_assert(again == job_call_result::unknown);
}

Test(job_frontend, a_submission_that_takes_effect_after_its_cancellation_creates_no_job)
{
    // given a submission whose write has not been executed yet
    frontend_fixture fixture;
    fixture.store.delay_execution = true;
    auto& submitted = fixture.submit_job("j1");
    fixture.store.delay_execution = false;

    // when
    cr_assert(fixture.cancel_job("j1") == job_call_result::no_such_job);
    const auto outcome = fixture.store.items.commit(fixture.store.delayed.at(0));
    fixture.store.unanswered.at(0)(outcome);

    // then
    cr_assert(!fixture.store.items.read("chervilslip/in/job/j1").has_value());
    cr_assert(submitted == job_call_result::withdrawn);
    cr_assert(fixture.owner.notifications == 0);
    cr_assert(!fixture.state_of("j1"));
    cr_assert(fixture.frontend.open_calls() == 0);
}

Test(job_frontend, a_withdrawn_job_stays_unknown_and_is_not_accepted_later)
{
    // given
    frontend_fixture fixture;
    cr_assert(fixture.cancel_job("j1") == job_call_result::no_such_job);

    // when, then
    cr_assert(fixture.cancel_job("j1") == job_call_result::no_such_job);
    cr_assert(fixture.submit_job("j1") == job_call_result::withdrawn);
    cr_assert(!fixture.state_of("j1"));
}

Test(job_frontend, a_job_that_is_stored_while_it_is_withdrawn_is_cancelled)
{
    // given
    frontend_fixture fixture;
    fixture.store.before_commit = [&fixture] {
        fixture.submit_job("j1");
    };

    // when, then
    cr_assert(fixture.cancel_job("j1") == job_call_result::accepted);
    cr_assert(fixture.store.items.read("chervilslip/in/cancel/j1").has_value());
    cr_assert(fixture.state_of("j1") == jobs::job_state::pending);
}

Test(job_frontend, a_withdrawal_without_a_response_is_not_answered)
{
    // given
    frontend_fixture fixture;
    fixture.store.withhold_responses = true;
    std::optional<job_call_result> got;
    fixture.frontend.cancel("j1", fire_permits,
                            [&got](job_call_result call_result) { got = call_result; });

    // when
    fixture.store.unanswered.at(0)(
        common::make_error(common::errc::timed_out, "commit", "store", "no answer"));

    // then
    cr_assert(got == job_call_result::unknown);
}

// Rules LOST and MIXED, review/9: a client of another team saw and cancelled a job by its ID.
Test(job_frontend, a_job_does_not_exist_for_another_team_or_queue)
{
    for (const jobs::job_scope& other :
         {jobs::job_scope{"permits", "police"}, jobs::job_scope{"alarms", "fire"}}) {
        // given
        frontend_fixture fixture;
        cr_assert(fixture.submit_job("j1") == job_call_result::accepted);

        // when, then
        cr_assert(!fixture.state_of("j1", other));
        cr_assert(fixture.cancel_job("j1", other) == job_call_result::no_such_job);
        cr_assert(!fixture.store.items.read("chervilslip/in/cancel/j1").has_value());
        cr_assert(fixture.state_of("j1") == jobs::job_state::pending);

        // given: it has been closed
        const daemon::closed_job entry{jobs::job_state::completed, 17, false, fire_permits};
        cr_assert(fixture.store.items
                      .commit({{},
                               {{"chervilslip/closed/j1", daemon::encode_closed_job(entry), 0}},
                               {"chervilslip/in/job/j1"}})
                      .has_value());

        // when, then
        cr_assert(!fixture.state_of("j1", other));
        cr_assert(fixture.cancel_job("j1", other) == job_call_result::no_such_job);
        cr_assert(fixture.state_of("j1") == jobs::job_state::completed);
    }
}

// The same by a cancellation that comes before the submission.
Test(job_frontend, the_withdrawal_of_another_team_keeps_no_job_from_being_accepted)
{
    // given
    frontend_fixture fixture;
    cr_assert(fixture.cancel_job("j1", {"permits", "police"}) == job_call_result::no_such_job);

    // when, then
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);
    cr_assert(fixture.state_of("j1") == jobs::job_state::pending);
}

// The submission was written again without end, and kept all later ones waiting.
Test(job_frontend, the_withdrawal_of_another_team_may_be_purged_while_a_job_is_written)
{
    // given: a write that expects the withdrawal
    frontend_fixture fixture;
    cr_assert(fixture.cancel_job("j1", {"permits", "police"}) == job_call_result::no_such_job);
    fixture.store.delay_execution = true;
    const auto& submitted = fixture.submit_job("j1");
    const auto execute = [&fixture](std::size_t number) {
        fixture.store.unanswered.at(number)(
            fixture.store.items.commit(fixture.store.delayed.at(number)));
    };
    execute(0);

    // when
    cr_assert(fixture.store.items.commit({{}, {}, {"chervilslip/closed/j1"}}).has_value());
    execute(1);
    execute(2);

    // then
    cr_assert(submitted == job_call_result::accepted);
}

Test(job_frontend, a_withdrawal_takes_the_place_of_one_of_another_team)
{
    // given
    frontend_fixture fixture;
    cr_assert(fixture.cancel_job("j1", {"permits", "police"}) == job_call_result::no_such_job);

    // when
    cr_assert(fixture.cancel_job("j1") == job_call_result::no_such_job);

    // then
    cr_assert(fixture.submit_job("j1") == job_call_result::withdrawn);
}

Test(job_frontend, a_queue_that_is_open_to_all_shows_its_jobs_to_callers_without_a_key)
{
    // given
    frontend_fixture fixture;
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);

    // when, then
    cr_assert(fixture.state_of("j1", {"permits", std::nullopt}) == jobs::job_state::pending);
    cr_assert(fixture.cancel_job("j2", {"permits", std::nullopt}) == job_call_result::no_such_job);
    cr_assert(fixture.submit_job("j2") == job_call_result::withdrawn);
}

Test(job_frontend, entries_of_closed_jobs_are_read_as_written)
{
    for (const bool withdrawn : {false, true}) {
        for (const std::optional<jobs::job_scope>& scope :
             {std::optional<jobs::job_scope>{}, std::optional(fire_permits),
              std::optional(jobs::job_scope{"permits", std::nullopt})}) {
            const daemon::closed_job entry{jobs::job_state::cancelled, 1'700'000'000'000, withdrawn,
                                           scope};
            cr_assert(daemon::parse_closed_job(daemon::encode_closed_job(entry)) == entry);
        }
    }
    cr_assert(daemon::parse_closed_job("2 17") ==
              (daemon::closed_job{jobs::job_state::completed, 17, false}));
    cr_assert(!daemon::parse_closed_job("9 17").has_value());
    cr_assert(!daemon::parse_closed_job("").has_value());
}

/// Publishes a share as the owner of claim 1 does, and lets the frontend's watch see it.
void publish_share(frontend_fixture& fixture, double share)
{
    store::transaction changes;
    const std::string claim(daemon::store_keys::claim);
    if (!fixture.store.items.read(claim)) {
        changes.set.push_back({claim, "{}", 0});
    }
    const auto token = fixture.store.items.read(claim)
                           ? fixture.store.items.read(claim)->created_revision
                           : fixture.store.items.revision() + 1;
    const admission::published_share value{share, token};
    changes.set.push_back(
        {std::string(daemon::store_keys::admission), admission::encode_share(value), 0});
    const auto outcome = fixture.store.items.commit(changes);
    fixture.gate.observe_claim(token, outcome.value().revision);
    fixture.gate.observe_share(value, outcome.value().revision);
}

/// The share below which "j1" is refused by the gate in these tests.
constexpr double tiny_share = 0.0001;

Test(job_frontend, a_job_is_refused_under_overload_without_being_written)
{
    // given
    frontend_fixture fixture;
    publish_share(fixture, tiny_share);

    // when, then
    cr_assert(fixture.submit_job("j1") == job_call_result::overloaded);
    cr_assert(fixture.owner.notifications == 0);
    cr_assert(
        !fixture.store.items.read(daemon::store_keys::make_key(daemon::store_keys::jobs, "j1")));

    // when: the owner has recovered
    publish_share(fixture, 1.0);

    // then
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);
}

Test(job_frontend, a_repeated_submission_of_an_accepted_job_is_not_refused_under_overload)
{
    // given
    frontend_fixture fixture;
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);

    // when
    publish_share(fixture, tiny_share);

    // then
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);
}

Test(job_frontend, a_write_from_before_the_overload_does_not_take_effect_after_a_refusal)
{
    // given: a submission whose write is delayed on its way to the store
    frontend_fixture fixture;
    fixture.store.withhold_responses = true;
    fixture.submit_job("j1");
    const store::transaction delayed = fixture.store.last_transaction;
    fixture.store.withhold_responses = false;

    // when: the caller repeats it at another node, which refuses it, and the delayed write arrives
    publish_share(fixture, tiny_share);
    daemon::job_frontend other(fixture.store, fixture.owner, fixture.clock, fixture.log,
                               fixture.gate, fixture.unconfirmed,
                               {[] { return false; },
                                [](const auto&) {
                                }});
    jobs::job job;
    job.id = "j1";
    job.steps.emplace_back();
    std::optional<job_call_result> refusal;
    other.submit(job, [&refusal](job_call_result got) { refusal = got; });
    cr_assert(refusal == job_call_result::overloaded);
    const auto late = fixture.store.items.commit(delayed);

    // then: also when the share is full again
    cr_assert(!late.value().committed);
    publish_share(fixture, 1.0);
    cr_assert(!fixture.store.items.commit(delayed).value().committed);
}

Test(job_frontend, a_node_with_an_outdated_share_decides_by_the_share_in_the_store)
{
    // given
    frontend_fixture fixture;
    publish_share(fixture, tiny_share);
    admission::admission_gate outdated;
    daemon::job_frontend other(fixture.store, fixture.owner, fixture.clock, fixture.log, outdated,
                               fixture.unconfirmed,
                               {[] { return false; },
                                [](const auto&) {
                                }});
    jobs::job job;
    job.id = "j1";
    job.steps.emplace_back();
    std::optional<job_call_result> got;

    // when
    other.submit(job, [&got](job_call_result result) { got = result; });

    // then
    cr_assert(got == job_call_result::overloaded);
}

Test(job_frontend, nothing_is_refused_for_the_load_of_an_owner_that_has_gone)
{
    // given
    frontend_fixture fixture;
    publish_share(fixture, tiny_share);

    // when: the claim ends, unknown to the node
    store::transaction changes;
    changes.remove.emplace_back(daemon::store_keys::claim);
    cr_assert(fixture.store.items.commit(changes).value().committed);

    // then
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);
}

Test(job_frontend, long_running_and_scheduled_jobs_are_accepted_under_overload)
{
    // given
    frontend_fixture fixture;
    publish_share(fixture, tiny_share);
    jobs::job lasting;
    lasting.id = "j1";
    lasting.steps.emplace_back().long_running = true;
    jobs::job scheduled;
    scheduled.id = "j2";
    scheduled.steps.emplace_back();
    scheduled.repeats = 3;

    // when, then
    for (const jobs::job& each : {lasting, scheduled}) {
        std::optional<job_call_result> got;
        fixture.frontend.submit(each, [&got](job_call_result result) { got = result; });
        cr_assert(got == job_call_result::accepted);
    }
}

} // namespace
