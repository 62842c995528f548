// How the owner's decisions are carried out and made durable.
#include <charconv>

#include "daemon/scheduler_host.h"
#include "daemon/store_keys.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// A journal write without a usable answer is repeated after this time.
constexpr common::milliseconds write_retry{60};

constexpr std::size_t cleaning_batch =
    30; ///< a transaction has room for so many beside its condition

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
    }
    return event_id::worker_suspected;
}

} // namespace

void scheduler_host::clean_closed()
{
    this->parts.store.range(std::string(store_keys::closed), this->closed_after,
                            this->for_this_cell([this](common::result<store::range_page> page) {
                                this->take_closed_page(std::move(page));
                            }));
}

void scheduler_host::take_closed_page(common::result<store::range_page> page)
{
    if (!page) {
        return; // the next cleaning goes on here
    }
    std::vector<std::string> old;
    for (const store::item& each : page.value().items) {
        this->closed_after = each.key;
        std::int64_t closed_ms = 0;
        const auto space = each.value.find(' ');
        if (space != std::string::npos) {
            const auto* end = each.value.data() + each.value.size();
            std::from_chars(each.value.data() + space + 1, end, closed_ms);
        }
        if (closed_ms + this->parts.state_time.count() < this->unix_ms() &&
            old.size() < cleaning_batch) {
            old.push_back(each.key);
        }
    }
    if (!page.value().more) {
        this->closed_after.clear();
    }
    if (!old.empty()) {
        this->remove_closed(std::move(old));
    }
}

void scheduler_host::remove_closed(std::vector<std::string> keys)
{
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->token});
    changes.remove = keys;
    this->parts.store.commit(
        changes, this->for_this_cell([this, keys](common::result<store::commit_outcome> outcome) {
            if (!outcome || !outcome.value().committed) {
                return; // the next cleaning finds them again
            }
            for (const std::string& key : keys) {
                this->scheduler->forget_closed_job(key.substr(store_keys::closed.size()));
            }
        }));
}

void scheduler_host::run_cell()
{
    if (!this->scheduler) {
        return;
    }
    for (scheduling::action& each : this->scheduler->take_actions()) {
        this->carry_out(std::move(each));
    }
    if (this->scheduler->is_fenced()) {
        this->parts.log.write(event_id::claim_lost,
                              {{"token", this->token}, {"cause", "a worker has a newer owner"}});
        this->keeper.step_down(this->now());
        this->drop_cell();
        this->run_claim_actions();
    }
}

void scheduler_host::carry_out(scheduling::action&& what)
{
    if (auto* poll = std::get_if<scheduling::poll_command>(&what)) {
        const auto sent_at = this->now();
        const auto instance = poll->worker;
        this->parts.workers.poll(
            *poll, this->token,
            this->for_this_cell([this, sent_at, instance](scheduling::command_outcome outcome,
                                                          scheduling::worker_report report) {
                this->scheduler->handle_poll_result({instance, sent_at, outcome, std::move(report)},
                                                    this->now());
                this->scheduler->tick(this->now(), this->unix_ms());
                this->run_cell();
            }));
    } else if (auto* start = std::get_if<scheduling::start_command>(&what)) {
        this->parts.workers.start(*start, this->token,
                                  this->for_this_cell([this](scheduling::command_result answer) {
                                      this->scheduler->handle_start_result(answer, this->now());
                                      this->run_cell();
                                  }));
    } else if (auto* stop = std::get_if<scheduling::stop_command>(&what)) {
        this->parts.workers.stop(*stop, this->token,
                                 this->for_this_cell([this](scheduling::command_result answer) {
                                     this->scheduler->handle_stop_result(answer, this->now());
                                     this->run_cell();
                                 }));
    } else if (auto* throttle = std::get_if<scheduling::throttle_command>(&what)) {
        this->parts.workers.throttle(*throttle, this->token);
    } else if (auto* advice = std::get_if<scheduling::advice_request>(&what)) {
        this->parts.workers.advise(*advice,
                                   this->for_this_cell([this](scheduling::advice_response answer) {
                                       this->scheduler->handle_advice(answer, this->now());
                                       this->scheduler->tick(this->now(), this->unix_ms());
                                       this->run_cell();
                                   }));
    } else if (auto* journal = std::get_if<scheduling::journal_write>(&what)) {
        this->write_journal(std::move(*journal));
    } else if (auto* note = std::get_if<scheduling::decision_record>(&what)) {
        this->log_note(*note);
    }
}

void scheduler_host::log_note(const scheduling::decision_record& note)
{
    this->parts.log.write(event_of(note.event), {{"subject", note.subject},
                                                 {"detail", note.detail},
                                                 {"token", this->token},
                                                 {"configuration", this->configuration->version}});
}

void scheduler_host::write_journal(scheduling::journal_write&& order)
{
    this->write = std::make_unique<write_under_way>();
    this->write->batch = order.batch;
    this->write->mark = std::to_string(this->token) + ":" + std::to_string(order.batch);
    store::transaction& changes = this->write->changes;
    // The claim's creation fences out a deposed owner. The journal head orders this owner's own
    // writes, so that one whose answer was lost can not take effect after a later one.
    changes.expected.push_back({std::string(store_keys::claim), this->token});
    changes.expected.push_back({std::string(store_keys::journal), this->journal_revision});
    changes.set.push_back({std::string(store_keys::journal), this->write->mark, 0});
    for (scheduling::document_change& each : order.changes) {
        const std::string progress_key = store_keys::of(store_keys::progress, each.job);
        if (!each.closed) {
            changes.set.push_back({progress_key, std::move(each.progress), 0});
            continue;
        }
        changes.set.push_back(
            {store_keys::of(store_keys::closed, each.job),
             std::to_string(static_cast<int>(each.state)) + " " + std::to_string(this->unix_ms()),
             0});
        changes.remove.push_back(store_keys::of(store_keys::jobs, each.job));
        changes.remove.push_back(store_keys::of(store_keys::cancels, each.job));
        changes.remove.push_back(progress_key);
    }
    this->send_write();
}

void scheduler_host::send_write()
{
    this->parts.store.commit(
        this->write->changes,
        this->for_this_cell([this](common::result<store::commit_outcome> outcome) {
            this->take_write(std::move(outcome));
        }));
}

void scheduler_host::take_write(common::result<store::commit_outcome> outcome)
{
    if (!outcome) {
        this->parts.log.write(event_id::journal_failed, {{"error", outcome.error().to_string()},
                                                         {"batch", this->write->batch}});
        auto retry = std::make_shared<boost::asio::steady_timer>(this->parts.context, write_retry);
        retry->async_wait(this->for_this_cell(
            [this, retry](const boost::system::error_code&) { this->send_write(); }));
        return;
    }
    bool applied = outcome.value().committed;
    std::int64_t revision = outcome.value().revision;
    for (const store::item& each : outcome.value().current) {
        if (each.key == store_keys::journal && each.value == this->write->mark) {
            applied = true; // an earlier try of the same write was carried out
            revision = each.revision;
        }
    }
    if (!applied) {
        this->parts.log.write(event_id::claim_lost,
                              {{"token", this->token}, {"cause", "the journal has a newer owner"}});
        this->keeper.step_down(this->now());
        this->drop_cell();
        this->run_claim_actions();
        return;
    }
    this->journal_revision = revision;
    const std::uint64_t batch = this->write->batch;
    this->write.reset();
    this->scheduler->handle_journal_commit(batch, this->now());
    this->run_cell();
}

} // namespace chervilslip::daemon
