#include <criterion/criterion.h>

#include "daemon/job_frontend.h"
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
    int commits = 0;
    bool withhold_responses = false;
};

/// Counts the notifications.
class fake_owner_client final : public daemon::owner_client {
public:
    void notify_job(const jobs::job&, std::int64_t revision) override
    {
        ++this->notifications;
        this->notified_revision = revision;
    }

    void notify_cancel(const std::string&, std::int64_t revision) override
    {
        this->notified_revision = revision;
    }

    void query_state(const std::string&, store::handler<std::optional<jobs::job_state>>) override
    {
    }

    void query_waiting(const std::string&, store::handler<std::int64_t>) override
    {
    }

    int notifications = 0;
    std::int64_t notified_revision = 0; ///< of the latest notification
};

struct frontend_fixture {
    fake_store store;
    fake_owner_client owner;
    common::event_log log{"test"};
    bool store_unreachable = false;
    daemon::job_frontend frontend{this->store, this->owner, this->log, [this] {
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

Test(job_frontend, a_notification_carries_the_revision_of_the_write)
{
    // given
    frontend_fixture fixture;

    // when, then
    cr_assert(fixture.submit_job("j1") == job_call_result::accepted);
    cr_assert(fixture.owner.notified_revision == fixture.store.items.revision());
    fixture.frontend.cancel("j1", [](job_call_result) {});
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

} // namespace
