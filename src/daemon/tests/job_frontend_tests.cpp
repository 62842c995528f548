#include <criterion/criterion.h>

#include "daemon/job_frontend.h"
#include "fakes/revision_store.h"

namespace {

using namespace chervilslip;
using daemon::job_call_result;

/// A store in memory whose transactions may stay unanswered.
class played_store final : public store::transactional_store {
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
        if (this->silent) {
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
    bool silent = false;
};

/// Counts the hints.
class played_owner final : public daemon::owner_client {
public:
    void hint_job(const jobs::job&) override
    {
        ++this->hints;
    }

    void hint_cancel(const std::string&) override
    {
    }

    void ask_state(const std::string&, store::handler<std::optional<jobs::job_state>>) override
    {
    }

    void ask_waiting(const std::string&, store::handler<std::int64_t>) override
    {
    }

    int hints = 0;
};

struct desk_fixture {
    played_store store;
    played_owner owner;
    common::event_log log{"test"};
    bool out_of_reach = false;
    daemon::job_frontend desk{this->store, this->owner, this->log, [this] {
                                  return this->out_of_reach;
                              }};

    std::optional<job_call_result>& accept(const std::string& id, const std::string& team = "fire")
    {
        jobs::job job;
        job.id = id;
        job.team = team;
        job.queue = "permits";
        job.steps.emplace_back();
        auto& fate = this->fates[id + team];
        this->desk.submit(std::move(job), [&fate](job_call_result got) { fate = got; });
        return fate;
    }

    std::map<std::string, std::optional<job_call_result>> fates;
};

Test(job_frontend, a_job_is_accepted_once_and_its_owner_is_told)
{
    // given
    desk_fixture at;

    // when, then
    cr_assert(at.accept("j1") == job_call_result::accepted);
    cr_assert(at.owner.hints == 1);
    cr_assert(at.accept("j1") == job_call_result::accepted);
    cr_assert(at.accept("j1", "police") == job_call_result::conflict);
    cr_assert(at.desk.open_calls() == 0);
}

Test(job_frontend, nothing_is_sent_while_the_store_is_out_of_reach)
{
    // given
    desk_fixture at;
    at.out_of_reach = true;

    // when
    const auto fate = at.accept("j1");

    // then
    cr_assert(fate == job_call_result::not_run);
    cr_assert(at.store.commits == 0);
    cr_assert(at.desk.open_calls() == 0);
}

Test(job_frontend, jobs_behind_an_unanswered_write_are_refused_when_the_store_is_lost)
{
    // given
    desk_fixture at;
    at.store.silent = true;
    auto& sent = at.accept("j1");
    auto& behind = at.accept("j2");
    cr_assert(!sent && !behind);

    // when
    at.out_of_reach = true;
    auto& later = at.accept("j3");

    // then
    cr_assert(later == job_call_result::not_run);
    cr_assert(behind == job_call_result::not_run);
    cr_assert(!sent.has_value());

    // when: what was sent may have been carried out, however often it is tried
    for (int i = 0; i < 3; ++i) {
        const auto answer = at.store.unanswered.back();
        answer(common::make_error(common::errc::timed_out, "commit", "store", "no answer"));
    }

    // then
    cr_assert(sent == job_call_result::unknown);
    cr_assert(at.desk.open_calls() == 0);
}

} // namespace
