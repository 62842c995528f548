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
        if (this->withhold_responses) {
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
    bool withhold_responses = false;
};

/// Counts the notifications.
class fake_owner_client final : public daemon::owner_client {
public:
    void notify_job(const jobs::job&) override
    {
        ++this->notifications;
    }

    void notify_cancel(const std::string&) override
    {
    }

    void query_state(const std::string&, store::handler<std::optional<jobs::job_state>>) override
    {
    }

    void query_waiting(const std::string&, store::handler<std::int64_t>) override
    {
    }

    int notifications = 0;
};

struct frontend_fixture {
    fake_store store;
    fake_owner_client owner;
    common::event_log log{"test"};
    admission::admission_gate gate;
    bool store_unreachable = false;
    daemon::job_frontend frontend{this->store, this->owner, this->log, this->gate, [this] {
                                      return this->store_unreachable;
                                  }};

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
    daemon::job_frontend other(fixture.store, fixture.owner, fixture.log, fixture.gate,
                               [] { return false; });
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
    daemon::job_frontend other(fixture.store, fixture.owner, fixture.log, outdated,
                               [] { return false; });
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
