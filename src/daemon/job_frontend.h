#pragma once

#include <deque>

#include <boost/asio/io_context.hpp>

#include "common/event_log.h"
#include "daemon/fleet_configuration.h"
#include "daemon/peer_client.h"
#include "jobs/job.h"
#include "store/transactional_store.h"

namespace chervilslip::daemon {

/// What callers are told.
enum class job_call_result {
    accepted, ///< durable; also when it was handed in before
    conflict, ///< another team's job has that id
    not_run,  ///< refused; it never runs under this call
    unknown,  ///< may have been accepted
    no_such_job,
};

/// How the owner of the fleet is reached from this node.
class owner_client {
public:
    owner_client() = default;
    owner_client(const owner_client&) = delete;
    owner_client& operator=(const owner_client&) = delete;
    virtual ~owner_client() = default;

    /// Tells the owner of an accepted job or cancel; a lost hint only costs time.
    virtual void hint_job(const jobs::job& accepted) = 0;
    virtual void hint_cancel(const std::string& id) = 0;

    /// Asks the owner for a job's state: nothing inside when it does not know the job. Errors when
    /// no owner answered.
    virtual void ask_state(const std::string& id,
                           store::handler<std::optional<jobs::job_state>> done) = 0;

    /// Asks the owner how many jobs of a queue wait.
    virtual void ask_waiting(const std::string& queue, store::handler<std::int64_t> done) = 0;
};

/// Takes jobs and cancels of callers, makes them durable, and tells states. Any node can. Not
/// thread safe: used on the io_context's thread.
class job_frontend {
public:
    /// `store_lost` tells whether the store is out of reach altogether: what has not been sent to
    /// it is refused then, as it would only become uncertain. Precondition: all references outlive
    /// the desk.
    job_frontend(store::transactional_store& keeps, owner_client& owner,
                 const common::event_log& log, std::function<bool()> store_lost);

    /// Makes a job durable. Precondition: it was checked.
    void submit(jobs::job wanted, std::function<void(job_call_result)> done);

    /// Makes a cancel durable.
    void cancel(const std::string& id, std::function<void(job_call_result)> done);

    /// Tells a job's state; nothing inside when there is none. Errors when it can not be known now.
    void state(const std::string& id, store::handler<std::optional<jobs::job_state>> done);

    /// Tells how many jobs of a queue wait for their first start.
    void waiting(const std::string& queue, store::handler<std::int64_t> done);

    /// Returns how many calls are not answered yet.
    [[nodiscard]] std::size_t open_calls() const;

private:
    struct handed_in {
        jobs::job job;
        std::string encoded;
        std::function<void(job_call_result)> done;
        int tries = 0;
    };

    void refuse_unsent();
    void write_next();
    void take_written(std::vector<handed_in> batch, common::result<store::commit_outcome> outcome);
    void settle(handed_in& each, job_call_result fate);
    void read_state(const std::string& id, store::handler<std::optional<jobs::job_state>> done);
    void read_closed(const std::string& id, store::handler<std::optional<jobs::job_state>> done);

    store::transactional_store& store;
    owner_client& owner;
    const common::event_log& log;
    std::function<bool()> store_lost;
    std::deque<handed_in> queue;
    bool writing = false;
    std::size_t calls = 0;
};

} // namespace chervilslip::daemon
