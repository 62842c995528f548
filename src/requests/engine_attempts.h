#pragma once

#include "requests/engine.h"

// Replies: what an upstream, or the loss of its reply, means for a request.
namespace chervilslip::requests {

namespace detail {

inline constexpr int max_query_doublings = 6;

} // namespace detail

template <teams::limit_guard_type Guard>
record* engine<Guard>::match_reply(const worker_replied& reply)
{
    const auto id = this->id_of_task.find(reply.attempt.task);
    record* each = nullptr;
    if (id != this->id_of_task.end()) {
        each = &this->records.at(id->second);
    }
    const bool open = each != nullptr && (each->current_stage == stage::placed ||
                                          each->current_stage == stage::started ||
                                          each->current_stage == stage::resolving);
    const bool same = open && each->attempt == reply.attempt;
    if (!same && !(open && this->options.fault == injected_fault::accept_any_answer)) {
        ++this->counts.dropped_replies;
        this->pending_actions.push_back(
            operator_event{operator_event::kind::answer_dropped, reply.attempt.task,
                           "late, repeated or crossed answer of " + reply.attempt.worker});
        return nullptr;
    }
    this->invariants.check(common::invariant::answer_matches_request, same, [&] {
        return each->request.id + " got the answer to attempt " +
               std::to_string(reply.attempt.number) + " on " + reply.attempt.worker;
    });
    return each;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const worker_replied& reply)
{
    record* each = this->match_reply(reply);
    if (each == nullptr) {
        return;
    }
    switch (reply.kind) {
    case reply_kind::running:
        this->on_running(*each, reply);
        break;
    case reply_kind::finished:
        this->on_finished(*each, reply);
        break;
    case reply_kind::not_started:
    case reply_kind::full:
    case reply_kind::draining:
        this->on_not_started(*each, reply);
        break;
    case reply_kind::claimed:
        this->on_claimed(*each);
        break;
    case reply_kind::epoch_changed:
        this->view.forget_epoch(reply.attempt.worker);
        // Also for a start: a first copy of the message may have run before the worker forgot it.
        this->on_worker_lost(*each, "the worker started anew");
        break;
    case reply_kind::not_sent:
        if (reply.was_query || each->current_stage != stage::placed) {
            this->on_reply_lost(*each);
        } else {
            this->report_outcome(reply.attempt.worker, routing::outcome::unreachable);
            this->on_not_started(*each, reply);
        }
        break;
    case reply_kind::lost:
        if (this->options.fault == injected_fault::repeat_unrepeatable) {
            this->release_capacity(*each);
            this->requeue(*each, true);
        } else if (this->options.fault == injected_fault::claim_not_run) {
            this->release_capacity(*each);
            this->refuse(*each, refusal::cancelled, "planted");
        } else {
            this->on_reply_lost(*each);
        }
        break;
    }
    this->dispatch_all();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_running(record& each, const worker_replied& /*reply*/)
{
    if (each.current_stage != stage::started) {
        transition_to(each, stage::started, this->invariants);
    }
    each.queries = 0;
    // The query waits at the upstream for the end, and renews the task's lease there.
    this->pending_actions.push_back(query_task{*each.attempt, each.address});
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_finished(record& each, const worker_replied& reply)
{
    this->release_capacity(each);
    --each.unresolved_attempts;
    response whole;
    whole.output = reply.output;
    whole.worker = reply.attempt.worker;
    if (reply.succeeded) {
        this->report_outcome(reply.attempt.worker, routing::outcome::succeeded);
        this->estimator_of(each.request.queue).record(reply.run_time);
        whole.result = request_outcome::done;
        this->end(each, std::move(whole));
        return;
    }
    whole.result = request_outcome::failed;
    if (each.cancel_requested) {
        whole.cause = "cancelled after its start";
        this->end(each, std::move(whole));
        return;
    }
    this->report_outcome(reply.attempt.worker, routing::outcome::failed);
    whole.cause = "the task failed";
    each.avoid.insert(reply.attempt.worker);
    ++each.failed_attempts;
    this->retry_or_end(each, std::move(whole));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_not_started(record& each, const worker_replied& reply)
{
    this->release_capacity(each);
    --each.attempts;
    --each.unresolved_attempts;
    const std::string& worker = reply.attempt.worker;
    switch (reply.kind) {
    case reply_kind::draining:
        this->view.mark_leaving(worker);
        break;
    case reply_kind::not_sent:
        each.avoid.insert(worker);
        // Without a pause, requests would try a zone that is cut off over and over.
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
    if (each.cancel_requested) {
        this->end_queued(each, refusal::cancelled, "it was cancelled");
        return;
    }
    this->requeue(each, true);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_claimed(record& each)
{
    this->release_capacity(each);
    --each.attempts;
    --each.unresolved_attempts;
    response whole;
    whole.result = request_outcome::unknown;
    whole.cause = "another node has taken over this idempotency key; ask again with the same key";
    this->end(each, std::move(whole));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_reply_lost(record& each)
{
    if (each.current_stage != stage::resolving) {
        transition_to(each, stage::resolving, this->invariants);
        // After its lease the upstream has stopped the task by itself.
        const auto lease_over = this->options.task_lease + this->options.lease_margin;
        each.resolve_deadline =
            this->now + (each.repeatable ? this->options.repeatable_resolve_timeout : lease_over);
    }
    if (this->now >= each.resolve_deadline) {
        this->on_worker_lost(each, "the worker cannot be reached");
        return;
    }
    const int doublings = std::min(each.queries, detail::max_query_doublings);
    const auto delay =
        std::min(this->options.first_query_delay * (1 << doublings), this->options.max_query_delay);
    ++each.queries;
    this->set_timer(this->now + delay, timer_kind::query, each.request.id);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::retry_query(record& each)
{
    this->pending_actions.push_back(query_task{*each.attempt, each.address});
}

template <teams::limit_guard_type Guard>
void engine<Guard>::on_worker_lost(record& each, const std::string& cause)
{
    this->report_outcome(each.attempt->worker, routing::outcome::unreachable);
    each.avoid.insert(each.attempt->worker);
    this->orphan_attempt(each);
    response whole;
    whole.result = request_outcome::unknown;
    whole.cause = cause + ", and the task may have run";
    whole.worker = each.attempt->worker;
    this->retry_or_end(each, std::move(whole));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::retry_or_end(record& each, response otherwise)
{
    const bool in_time =
        this->now + this->estimator_of(each.request.queue).optimistic() <= each.deadline;
    const bool may_retry = each.repeatable && !each.cancel_requested && in_time &&
                           each.attempts < this->options.max_attempts;
    if (may_retry && this->budget.take()) {
        ++this->counts.retries;
        this->requeue(each, false);
        return;
    }
    if (otherwise.result == request_outcome::unknown) {
        this->pending_actions.push_back(operator_event{operator_event::kind::request_unknown,
                                                       each.request.id, otherwise.cause});
    }
    this->end(each, std::move(otherwise));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::requeue(record& each, bool at_front)
{
    if (!this->settings_in_force->queues.contains(each.request.queue) ||
        (!each.caller.key_id.empty() && !teams::is_active(*this->settings_in_force, each.caller))) {
        this->end_queued(each, refusal::key_withdrawn, "the key or the queue was withdrawn");
        return;
    }
    if (this->now >= each.deadline) {
        this->end_queued(each, refusal::deadline_passed, "its deadline passed");
        return;
    }
    transition_to(each, stage::queued, this->invariants);
    each.attempt.reset();
    each.wait_pool = this->queue_of(each).pool;
    this->wait_queues[each.wait_pool].push(each.caller.team, each.request.urgent, each.request.id,
                                           at_front);
    this->set_timer(each.deadline, timer_kind::queue_deadline, each.request.id);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::release_capacity(record& each)
{
    if (!std::exchange(each.holds_capacity, false)) {
        return;
    }
    const teams::resources need = teams::resources_of(each.size);
    this->guard.release(each.caller.team);
    this->shares.remove_running(each.caller.team, need);
    this->view.remove_own(each.attempt->worker, need);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::orphan_attempt(record& each)
{
    if (!std::exchange(each.holds_capacity, false)) {
        return;
    }
    // The task may run until its lease is over; until then its team's right stays taken.
    const std::string id = "o" + std::to_string(++this->orphan_count);
    this->orphaned_tasks[id] = {each.caller.team, each.attempt->worker,
                                teams::resources_of(each.size)};
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
