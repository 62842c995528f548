#pragma once

#include <deque>
#include <set>

#include <boost/asio/io_context.hpp>

#include "admission/admission_gate.h"
#include "admission/unconfirmed_submissions.h"
#include "common/clock.h"
#include "common/event_log.h"
#include "daemon/closed_job.h"
#include "daemon/fleet_configuration.h"
#include "daemon/peer_client.h"
#include "jobs/job.h"
#include "store/transactional_store.h"

namespace chervilslip::daemon {

/// Result of a client's call.
enum class job_call_result {
    accepted,   ///< durable; also when the job had been submitted before
    conflict,   ///< the ID belongs to a job of another team or queue
    rejected,   ///< nothing was written; no submission of the job has taken or takes effect
    withdrawn,  ///< cancelled before it was stored; this call never takes effect
    overloaded, ///< as `rejected`, because the owner is overloaded
    unknown,    ///< may have been accepted
    no_such_job,
};

/// Sends notifications and queries to the node that owns the fleet.
class owner_client {
public:
    owner_client() = default;
    owner_client(const owner_client&) = delete;
    owner_client& operator=(const owner_client&) = delete;
    virtual ~owner_client() = default;

    /// Notifies the owner of an accepted job or cancellation that was written at a revision of the
    /// store. A lost notification only adds delay.
    virtual void notify_job(const jobs::job& accepted, std::int64_t revision) = 0;
    virtual void notify_cancel(const std::string& id, std::int64_t revision) = 0;

    /// Queries the owner for a job's state; empty when the owner does not know such a job of the
    /// caller. Fails when no owner responds.
    virtual void query_state(const std::string& id, const jobs::job_scope& caller,
                             store::handler<std::optional<jobs::job_state>> done) = 0;

    /// Queries the owner for the number of waiting jobs of a queue.
    virtual void query_waiting(const std::string& queue, store::handler<std::int64_t> done) = 0;
};

/// Callbacks of the frontend into its node.
struct job_frontend_hooks {
    /// Returns whether the store is unreachable on every route. Jobs that have not been sent to the
    /// store are rejected then, because the outcome of sending them would be unknown.
    std::function<bool()> store_lost;
    /// Tells the peers of jobs that may be stored although their callers were not told so.
    std::function<void(const std::vector<std::string>& ids)> announce_unconfirmed;
};

/// Accepts jobs and cancellations from clients, persists them, and answers queries for job states.
/// Runs on every node. Not thread safe: used on the io_context's thread.
class job_frontend {
public:
    /// `gate` says which new jobs are accepted; the frontend updates it from the store's responses.
    /// `unconfirmed` says of which jobs earlier submissions may have been stored; the frontend adds
    /// its own. Precondition: all references outlive the frontend.
    job_frontend(store::transactional_store& job_store, owner_client& owner,
                 const common::clock& clock, const common::event_log& log,
                 admission::admission_gate& gate, admission::unconfirmed_submissions& unconfirmed,
                 job_frontend_hooks hooks);

    /// Persists a job. Precondition: the job has been validated.
    void submit(jobs::job submitted, std::function<void(job_call_result)> done);

    /// Persists the cancellation of a job. If there is no such job of the caller, its submission
    /// that is still under way is kept from taking effect.
    void cancel(const std::string& id, const jobs::job_scope& caller,
                std::function<void(job_call_result)> done);

    /// Looks up a job's state; empty when there is no such job of the caller. Fails when the state
    /// cannot be determined now.
    void state(const std::string& id, const jobs::job_scope& caller,
               store::handler<std::optional<jobs::job_state>> done);

    /// Looks up how many jobs of a queue are waiting for their first start.
    void waiting(const std::string& queue, store::handler<std::int64_t> done);

    /// Returns whether it is known that no submission of a job may have been stored, so that it may
    /// be refused for good.
    [[nodiscard]] bool is_refusal_certain(const std::string& id) const;

    /// Returns the number of calls that have not been answered.
    [[nodiscard]] std::size_t open_calls() const;

private:
    using call_result_handler = std::function<void(job_call_result)>;

    struct pending_job {
        jobs::job job;
        std::string encoded;
        std::function<void(job_call_result)> done;
        int attempts = 0;
        bool shed = false; ///< to be refused because the owner is overloaded
        /// Revision of an entry by which another caller has withdrawn a job of this ID; 0: none.
        std::int64_t foreign_withdrawal = 0;
        common::steady_time received_at;
        std::string failure; ///< of the latest write
    };

    void reject_unsent();
    void write_next_batch();
    /// Returns the jobs that are stored now.
    std::vector<jobs::job>
    handle_write_result(std::vector<pending_job> batch,
                        const common::result<store::commit_outcome>& outcome);
    void add_unconfirmed(const std::vector<pending_job>& batch);
    [[nodiscard]] bool is_shed(const jobs::job& submitted) const;
    void add_admission_conditions(store::transaction& changes, bool any_shed) const;
    void observe_admission(const std::map<std::string, const store::item*>& present,
                           bool claim_was_expected);
    void complete(pending_job& each, job_call_result call_result);
    /// What the store has of a closed job.
    struct stored_closed_job {
        closed_job entry;
        std::int64_t revision = 0;
    };

    void read_state(const std::string& id, const jobs::job_scope& caller,
                    store::handler<std::optional<jobs::job_state>> done);
    void read_closed(const std::string& id, store::handler<std::optional<stored_closed_job>> done);
    void cancel_unless_closed(const std::string& id, const jobs::job_scope& caller,
                              call_result_handler done);
    void store_cancellation(const std::string& id, std::int64_t job_revision,
                            call_result_handler done);
    void cancel_stored(const store::item& stored, const std::string& id,
                       const jobs::job_scope& caller, call_result_handler done);
    void withdraw(const std::string& id, const jobs::job_scope& caller,
                  std::int64_t foreign_withdrawal, call_result_handler done);

    store::transactional_store& store;
    owner_client& owner;
    const common::clock& clock;
    const common::event_log& log;
    admission::admission_gate& gate;
    admission::unconfirmed_submissions& unconfirmed;
    job_frontend_hooks hooks;
    std::deque<pending_job> queue;
    std::set<std::string> ids_being_written;
    bool writing = false;
    std::size_t open_call_count = 0;
};

} // namespace chervilslip::daemon
