// Execution and persistence of the scheduler's decisions.
#include "daemon/closed_job.h"
#include "daemon/scheduler_host.h"
#include "daemon/store_keys.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// Delay before a journal write without a usable response is retried.
constexpr common::milliseconds journal_retry_delay{60};

/// Deletions that fit into one transaction beside its condition.
constexpr std::size_t purge_batch_size = 30;

event_id event_of(scheduling::decision_record::kind what)
{
    using kind = scheduling::decision_record::kind;
    switch (what) {
    case kind::job_taken:
        return event_id::job_taken;
    case kind::task_started:
        return event_id::task_started;
    case kind::task_ended:
        return event_id::task_ended;
    case kind::task_lost:
        return event_id::task_lost;
    case kind::start_refused:
        return event_id::start_refused;
    case kind::run_unexpected:
        return event_id::run_unexpected;
    case kind::job_ended:
        return event_id::job_ended;
    case kind::job_cancelled:
        return event_id::job_cancelled;
    case kind::worker_added:
        return event_id::worker_added;
    case kind::worker_lost:
        return event_id::worker_lost;
    case kind::worker_suspected:
        return event_id::worker_suspected;
    case kind::worker_trusted:
        return event_id::worker_trusted;
    case kind::worker_slow:
        return event_id::worker_slow;
    case kind::worker_recovered:
        return event_id::worker_recovered;
    case kind::reservation_made:
        return event_id::reservation_made;
    case kind::reservation_used:
        return event_id::reservation_used;
    case kind::reservation_given_up:
        return event_id::reservation_given_up;
    case kind::team_below_share:
        return event_id::team_below_share;
    case kind::evacuation_begun:
        return event_id::evacuation_begun;
    case kind::evacuation_done:
        return event_id::evacuation_done;
    case kind::evacuation_ended:
        return event_id::evacuation_ended;
    case kind::evacuation_unknown:
        return event_id::evacuation_unknown;
    }
    return event_id::worker_suspected;
}

} // namespace

void scheduler_host::purge_closed_jobs()
{
    this->dependencies.store.range(
        std::string(store_keys::closed), this->purge_cursor,
        this->bind_to_claim([this](common::result<store::range_page> page) {
            this->handle_closed_page(std::move(page));
        }));
}

void scheduler_host::handle_closed_page(common::result<store::range_page> page)
{
    if (!page) {
        return; // the next purge resumes from the same key
    }
    std::vector<std::string> expired_keys;
    for (const store::item& each : page.value().items) {
        this->purge_cursor = each.key;
        const std::int64_t closed_ms =
            parse_closed_job(each.value).value_or(closed_job{}).closed_ms;
        if (closed_ms + this->dependencies.closed_job_retention.count() < this->unix_ms() &&
            expired_keys.size() < purge_batch_size) {
            expired_keys.push_back(each.key);
        }
    }
    if (!page.value().more) {
        this->purge_cursor.clear();
    }
    if (!expired_keys.empty()) {
        this->delete_closed_jobs(std::move(expired_keys));
    }
}

void scheduler_host::delete_closed_jobs(std::vector<std::string> keys)
{
    // Forgotten first: once an entry is deleted, its id is free for another job, also if the
    // store's response is lost.
    for (const std::string& key : keys) {
        this->scheduler->forget_closed_job(key.substr(store_keys::closed.size()));
    }
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->token});
    changes.remove = std::move(keys);
    this->dependencies.store.commit(
        changes, this->bind_to_claim([this](common::result<store::commit_outcome> outcome) {
            if (outcome && outcome.value().committed) {
                this->scheduler->ignore_notifications_until(outcome.value().revision);
            } // otherwise a later purge finds what is left of them
        }));
}

void scheduler_host::execute_actions()
{
    if (!this->scheduler) {
        return;
    }
    for (scheduling::action& each : this->scheduler->take_actions()) {
        this->execute(std::move(each));
        if (!this->scheduler) {
            return; // a command was completed at once, and its outcome ended the claim
        }
    }
    if (this->scheduler->is_fenced()) {
        this->abandon("a worker has received a newer owner's token");
    }
}

void scheduler_host::execute(scheduling::action&& what)
{
    if (auto* poll = std::get_if<scheduling::poll_command>(&what)) {
        const auto sent_at = this->now();
        const auto instance = poll->worker;
        this->dependencies.workers.poll(
            *poll,
            this->bind_to_claim([this, sent_at, instance](scheduling::command_outcome outcome,
                                                          scheduling::worker_report report) {
                ++this->handled.polls;
                this->scheduler->handle_poll_result({instance, sent_at, outcome, std::move(report)},
                                                    this->now());
                this->react();
            }));
    } else if (auto* start = std::get_if<scheduling::start_command>(&what)) {
        this->send_start(*start);
    } else if (auto* stop = std::get_if<scheduling::stop_command>(&what)) {
        this->dependencies.workers.stop(
            *stop, this->bind_to_claim([this](scheduling::command_result answer) {
                this->scheduler->handle_stop_result(answer, this->now());
                this->react();
            }));
    } else if (auto* throttle = std::get_if<scheduling::throttle_command>(&what)) {
        this->dependencies.workers.throttle(*throttle);
    } else if (auto* advice = std::get_if<scheduling::advice_request>(&what)) {
        this->dependencies.workers.advise(
            *advice, this->bind_to_claim([this](scheduling::advice_response answer) {
                this->scheduler->handle_advice(answer, this->now());
                this->react();
            }));
    } else if (auto* journal = std::get_if<scheduling::journal_write>(&what)) {
        this->write_journal(std::move(*journal));
    } else if (auto* decision = std::get_if<scheduling::decision_record>(&what)) {
        this->log_decision(*decision);
    }
}

void scheduler_host::send_start(const scheduling::start_command& command)
{
    // A process that was suspended in between may have been deposed, and a worker that has
    // restarted since does not know its successor's token.
    if (this->now() >= this->ownership_claim.authority_until()) {
        this->scheduler->handle_start_result(
            {command.worker, command.task, command.run, scheduling::command_outcome::not_sent, 0},
            this->now());
        return;
    }
    this->admission_control->on_command_sent();
    this->dependencies.workers.start(
        command,
        this->bind_to_claim([this, sent_at = this->now(),
                             window = this->gathering.length()](scheduling::command_result answer) {
            ++this->handled.starts;
            // The command waits for the window here, and its result at the relay.
            this->admission_control->on_command_completed(
                std::chrono::duration_cast<common::milliseconds>(this->now() - sent_at),
                2 * window);
            this->scheduler->handle_start_result(answer, this->now());
            this->react();
        }));
}

void scheduler_host::log_decision(const scheduling::decision_record& decision)
{
    this->dependencies.log.write_lazily(event_of(decision.event), [&] {
        return nlohmann::json{{"subject", decision.subject},
                              {"detail", decision.detail},
                              {"token", this->token},
                              {"configuration", this->configuration->version}};
    });
}

void scheduler_host::write_journal(scheduling::journal_write&& order)
{
    pending_journal_write& pending = this->pending_writes[order.lane];
    pending = {};
    pending.batch = order.batch;
    pending.head_value = std::to_string(this->token) + ":" + std::to_string(order.batch);
    const std::string head = store_keys::journal_head(order.lane);
    store::transaction& changes = pending.changes;
    // The claim's creation revision fences out a deposed owner. The lane's head serializes this
    // owner's own writes in it, so that a write whose response was lost cannot take effect after a
    // later one.
    changes.expected.push_back({std::string(store_keys::claim), this->token});
    changes.expected.push_back({head, this->journal_revisions[order.lane]});
    changes.set.push_back({head, pending.head_value, 0});
    for (scheduling::document_change& each : order.changes) {
        const std::string progress_key = store_keys::make_key(store_keys::progress, each.job);
        if (!each.closed) {
            changes.set.push_back({progress_key, std::move(each.progress), 0});
            continue;
        }
        changes.set.push_back({store_keys::make_key(store_keys::closed, each.job),
                               encode_closed_job({each.state, this->unix_ms(), false,
                                                  jobs::job_scope{each.queue, each.team}}),
                               0});
        changes.remove.push_back(store_keys::make_key(store_keys::jobs, each.job));
        changes.remove.push_back(store_keys::make_key(store_keys::cancels, each.job));
        changes.remove.push_back(progress_key);
    }
    this->send_journal_write(order.lane);
}

void scheduler_host::send_journal_write(std::size_t lane)
{
    this->dependencies.store.commit(
        this->pending_writes.at(lane).changes,
        this->bind_to_claim([this, lane](common::result<store::commit_outcome> outcome) {
            this->handle_journal_result(lane, std::move(outcome));
        }));
}

void scheduler_host::handle_journal_result(std::size_t lane,
                                           common::result<store::commit_outcome> outcome)
{
    const pending_journal_write& pending = this->pending_writes.at(lane);
    if (!outcome) {
        this->dependencies.log.write(
            event_id::journal_failed,
            {{"error", outcome.error().to_string()}, {"batch", pending.batch}});
        auto retry = std::make_shared<boost::asio::steady_timer>(this->dependencies.context,
                                                                 journal_retry_delay);
        retry->async_wait(
            this->bind_to_claim([this, retry, lane](const boost::system::error_code&) {
                this->send_journal_write(lane);
            }));
        return;
    }
    bool applied = outcome.value().committed;
    std::int64_t revision = outcome.value().revision;
    for (const store::item& each : outcome.value().current) {
        if (each.key == store_keys::journal_head(lane) && each.value == pending.head_value) {
            applied = true; // an earlier attempt of the same write was committed
            revision = each.revision;
        }
    }
    if (!applied) {
        this->abandon("the claim or the journal head has changed");
        return;
    }
    this->journal_revisions[lane] = revision;
    const std::uint64_t batch = pending.batch;
    this->pending_writes.erase(lane);
    ++this->handled.commits;
    this->scheduler->handle_journal_commit(batch, this->now());
    this->execute_actions();
}

} // namespace chervilslip::daemon
