#pragma once

#include "requests/engine.h"

// Attempts: processing of upstream replies and of lost replies.
namespace chervilslip::requests {

namespace detail {

inline constexpr int max_query_doublings = 6;

} // namespace detail

template <teams::limit_guard_type Guard>
record* engine<Guard>::match_reply(const worker_replied& reply)
{
    const auto id = this->id_of_task.find(reply.attempt.task);
    record* entry = nullptr;
    if (id != this->id_of_task.end()) {
        entry = &this->records.at(id->second);
    }
    const bool is_open = entry != nullptr && (entry->current_stage == stage::placed ||
                                              entry->current_stage == stage::started ||
                                              entry->current_stage == stage::resolving);
    const bool matches = is_open && entry->attempt == reply.attempt;
    if (!matches && !(is_open && this->options.fault == injected_fault::accept_any_answer)) {
        ++this->counts.dropped_replies;
        this->pending_actions.push_back(
            operator_event{operator_event::kind::answer_dropped, reply.attempt.task,
                           "late, duplicate or mismatched reply from " + reply.attempt.worker});
        return nullptr;
    }
    this->invariants.check(common::invariant::answer_matches_request, matches, [&] {
        return entry->request.id + " received the reply to attempt " +
               std::to_string(reply.attempt.number) + " on " + reply.attempt.worker;
    });
    return entry;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const worker_replied& reply)
{
    record* entry = this->match_reply(reply);
    if (entry == nullptr) {
        return;
    }
    switch (reply.kind) {
    case reply_kind::running:
        this->on_running(*entry, reply);
        break;
    case reply_kind::finished:
        this->on_finished(*entry, reply);
        break;
    case reply_kind::not_started:
    case reply_kind::full:
    case reply_kind::draining:
        this->on_not_started(*entry, reply);
        break;
    case reply_kind::claimed:
        this->on_claimed(*entry);
        break;
    case reply_kind::epoch_changed:
        this->view.clear_epoch(reply.attempt.worker);
        // Applies to a start as well: an earlier copy of the message may have run before the worker
        // restarted.
        this->on_worker_lost(*entry, "the worker has restarted");
        break;
    case reply_kind::not_sent:
        if (reply.was_query || entry->current_stage != stage::placed) {
            this->on_reply_lost(*entry);
        } else {
            this->report_outcome(reply.attempt.worker, routing::outcome::unreachable);
            this->on_not_started(*entry, reply);
        }
        break;
    case reply_kind::lost:
        if (this->options.fault == injected_fault::repeat_unrepeatable) {
            this->release_capacity(*entry);
            this->requeue(*entry, true);
        } else if (this->options.fault == injected_fault::claim_not_run) {
            this->release_capacity(*entry);
            this->refuse(*entry, refusal::cancelled, "planted");
        } else {
            this->on_reply_lost(*entry);
        }
        break;
    }
    this->dispatch_all();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_running(record& entry, const worker_replied& /*reply*/)
{
    if (entry.current_stage != stage::started) {
        transition_to(entry, stage::started, this->invariants);
    }
    entry.queries = 0;
    // The query is held by the upstream until the task ends, and renews the task's lease.
    this->pending_actions.push_back(query_task{*entry.attempt, entry.address});
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_finished(record& entry, const worker_replied& reply)
{
    this->release_capacity(entry);
    --entry.unresolved_attempts;
    response final_response;
    final_response.output = reply.output;
    final_response.worker = reply.attempt.worker;
    if (reply.succeeded) {
        this->report_outcome(reply.attempt.worker, routing::outcome::succeeded);
        this->estimator_of(entry.request.queue).record(reply.run_time);
        final_response.result = request_outcome::done;
        this->end(entry, std::move(final_response));
        return;
    }
    final_response.result = request_outcome::failed;
    if (entry.cancel_requested) {
        final_response.cause = "cancelled after its start";
        this->end(entry, std::move(final_response));
        return;
    }
    this->report_outcome(reply.attempt.worker, routing::outcome::failed);
    final_response.cause = "the task failed";
    entry.avoid.insert(reply.attempt.worker);
    ++entry.failed_attempts;
    this->retry_or_end(entry, std::move(final_response));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_not_started(record& entry, const worker_replied& reply)
{
    this->release_capacity(entry);
    --entry.attempts;
    --entry.unresolved_attempts;
    const std::string& worker = reply.attempt.worker;
    switch (reply.kind) {
    case reply_kind::draining:
        this->view.mark_leaving(worker);
        break;
    case reply_kind::not_sent:
        entry.avoid.insert(worker);
        // Without a back-off, requests would keep being sent to an unreachable zone.
        this->view.mark_full(worker, this->now + this->options.unreachable_backoff);
        break;
    case reply_kind::full:
    case reply_kind::not_started:
        this->view.mark_full(worker, this->now + this->options.full_backoff);
        break;
    default:
        break;
    }
    if (reply.was_query) {
        ++this->counts.resolved_not_started;
    }
    if (entry.cancel_requested) {
        this->end_queued(entry, refusal::cancelled, "cancelled");
        return;
    }
    this->requeue(entry, true);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_claimed(record& entry)
{
    this->release_capacity(entry);
    --entry.attempts;
    --entry.unresolved_attempts;
    response final_response;
    final_response.result = request_outcome::unknown;
    final_response.cause = "another node has claimed this idempotency key; retry with the same key";
    this->end(entry, std::move(final_response));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_reply_lost(record& entry)
{
    if (entry.current_stage != stage::resolving) {
        transition_to(entry, stage::resolving, this->invariants);
        // When the lease has expired, the upstream stops the task on its own.
        const auto lease_timeout = this->options.task_lease + this->options.lease_margin;
        entry.resolve_deadline =
            this->now +
            (entry.repeatable ? this->options.repeatable_resolve_timeout : lease_timeout);
    }
    if (this->now >= entry.resolve_deadline) {
        this->on_worker_lost(entry, "the worker is unreachable");
        return;
    }
    const int doublings = std::min(entry.queries, detail::max_query_doublings);
    const auto delay =
        std::min(this->options.first_query_delay * (1 << doublings), this->options.max_query_delay);
    ++entry.queries;
    this->set_timer(this->now + delay, timer_kind::query, entry.request.id);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::retry_query(record& entry)
{
    this->pending_actions.push_back(query_task{*entry.attempt, entry.address});
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_worker_lost(record& entry, const std::string& cause)
{
    this->report_outcome(entry.attempt->worker, routing::outcome::unreachable);
    entry.avoid.insert(entry.attempt->worker);
    this->orphan_attempt(entry);
    response final_response;
    final_response.result = request_outcome::unknown;
    final_response.cause = cause + ", and the task may have run";
    final_response.worker = entry.attempt->worker;
    this->retry_or_end(entry, std::move(final_response));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::retry_or_end(record& entry, response fallback)
{
    const bool in_time =
        this->now + this->estimator_of(entry.request.queue).tenth_percentile() <= entry.deadline;
    const bool may_retry = entry.repeatable && !entry.cancel_requested && in_time &&
                           entry.attempts < this->options.max_attempts;
    if (may_retry && this->budget.try_acquire()) {
        ++this->counts.retries;
        this->requeue(entry, false);
        return;
    }
    if (fallback.result == request_outcome::unknown) {
        this->pending_actions.push_back(operator_event{operator_event::kind::request_unknown,
                                                       entry.request.id, fallback.cause});
    }
    this->end(entry, std::move(fallback));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::requeue(record& entry, bool at_front)
{
    if (!this->settings_in_force->queues.contains(entry.request.queue) ||
        (!entry.caller.key_id.empty() &&
         !teams::is_active(*this->settings_in_force, entry.caller))) {
        this->end_queued(entry, refusal::key_withdrawn, "the key or the queue was withdrawn");
        return;
    }
    if (this->now >= entry.deadline) {
        this->end_queued(entry, refusal::deadline_passed, "the deadline passed");
        return;
    }
    transition_to(entry, stage::queued, this->invariants);
    entry.attempt.reset();
    entry.wait_pool = this->queue_of(entry).pool;
    this->wait_queues[entry.wait_pool].push(entry.caller.team, entry.request.urgent,
                                            entry.request.id, at_front);
    this->set_timer(entry.deadline, timer_kind::queue_deadline, entry.request.id);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::release_capacity(record& entry)
{
    if (!std::exchange(entry.holds_capacity, false)) {
        return;
    }
    const teams::resources need = teams::resources_of(entry.size);
    this->guard.release(entry.caller.team);
    this->shares.remove_running(entry.caller.team, need);
    this->view.remove_local_task(entry.attempt->worker, need);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::orphan_attempt(record& entry)
{
    if (!std::exchange(entry.holds_capacity, false)) {
        return;
    }
    // The task may run until its lease expires, and keeps its capacity until then.
    const std::string id = "o" + std::to_string(++this->orphan_count);
    this->orphaned_tasks[id] = {entry.caller.team, entry.attempt->worker,
                                teams::resources_of(entry.size)};
    this->set_timer(this->now + this->options.task_lease + this->options.lease_margin,
                    timer_kind::release_orphan, id);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::report_outcome(const std::string& vm, routing::outcome result)
{
    if (!this->view.record(vm, result, this->now)) {
        return;
    }
    const bool healthy = this->view.health_of(vm, this->now) == routing::health::healthy;
    this->pending_actions.push_back(operator_event{healthy ? operator_event::kind::upstream_restored
                                                           : operator_event::kind::upstream_ejected,
                                                   vm,
                                                   {}});
}

} // namespace chervilslip::requests
