#pragma once

#include "requests/engine.h"

// How requests end: answers, refusals, cancellations, deadlines, timers.
namespace chervilslip::requests {

template <teams::limit_guard_type Guard>
void engine<Guard>::refuse(record& each, refusal why, std::string cause)
{
    ++this->counts.refused[why];
    response whole;
    whole.result = request_outcome::refused;
    whole.refusal_reason = why;
    whole.cause = std::move(cause);
    this->end(each, std::move(whole));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::end(record& each, response whole)
{
    const bool not_run = whole.result == request_outcome::refused;
    this->invariants.check(
        common::invariant::not_run_is_true, !not_run || each.unresolved_attempts == 0, [&] {
            return each.request.id + " is refused with " +
                   std::to_string(each.unresolved_attempts) + " starts that may have run";
        });
    transition_to(each, stage::ended, this->invariants);
    whole.attempts = each.attempts;
    ++this->counts.ended[whole.result];
    --this->open_count;
    each.result = whole;
    each.ended_at = this->now;
    const auto owner = this->id_of_task.find(each.task);
    if (not_run && owner != this->id_of_task.end() && owner->second == each.request.id) {
        // A request that was not run may be handed in again under the same idempotency key.
        this->id_of_task.erase(owner);
    }
    this->pending_actions.push_back(send_response{each.request.id, whole});
    for (const std::string& id : each.joined_ids) {
        record& other = this->records.at(id);
        if (other.current_stage != stage::ended) {
            transition_to(other, stage::ended, this->invariants);
            other.result = whole;
            --this->open_count;
            this->pending_actions.push_back(send_response{id, whole});
            this->set_timer(this->now + this->options.response_retention, timer_kind::evict, id);
        }
    }
    this->set_timer(this->now + this->options.response_retention, timer_kind::evict,
                    each.request.id);
    this->ended_ids.push_back(each.request.id);
    this->evict_oldest();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::end_queued(record& each, refusal why, const std::string& cause)
{
    if (each.unresolved_attempts == 0 && each.failed_attempts == 0) {
        this->refuse(each, why, cause + " before a start");
        return;
    }
    response whole;
    whole.result =
        each.unresolved_attempts > 0 ? request_outcome::unknown : request_outcome::failed;
    whole.cause = cause + " while it waited for a retry";
    this->end(each, std::move(whole));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::record_evicted_key(const record& each)
{
    if (!each.request.idempotency_key.empty()) {
        this->evicted_keys_until =
            std::max(this->evicted_keys_until, each.ended_at + this->options.claim_retention);
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::evict_oldest()
{
    while (this->ended_ids.size() > this->options.max_records) {
        this->run_timer({timer_kind::evict, this->ended_ids.front()});
        this->ended_ids.pop_front();
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const cancel_requested& wanted)
{
    const auto found = this->records.find(wanted.id);
    if (found == this->records.end()) {
        return;
    }
    record& each = found->second;
    switch (each.current_stage) {
    case stage::queued:
        this->remove_from_wait_queue(each);
        this->end_queued(each, refusal::cancelled, "it was cancelled");
        break;
    case stage::placed:
    case stage::started:
    case stage::resolving:
        each.cancel_requested = true;
        this->pending_actions.push_back(stop_task{*each.attempt, each.address});
        break;
    case stage::claiming:
        each.cancel_requested = true;
        break;
    case stage::received:
    case stage::authenticated:
    case stage::ended:
        break;
    }
}

template <teams::limit_guard_type Guard>
std::vector<std::string> engine<Guard>::queued_requests() const
{
    std::vector<std::string> queued;
    for (const auto& [id, each] : this->records) {
        if (each.current_stage == stage::queued) {
            queued.push_back(id);
        }
    }
    // A fixed order, so that the same events always lead to the same actions.
    std::sort(queued.begin(), queued.end());
    return queued;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::refuse_unauthorized()
{
    for (const std::string& id : this->queued_requests()) {
        record& each = this->records.at(id);
        const bool with_key = !each.caller.key_id.empty();
        const bool queue_gone = !this->settings_in_force->queues.contains(each.request.queue);
        const bool key_gone = with_key && !teams::is_active(*this->settings_in_force, each.caller);
        if (queue_gone || key_gone) {
            this->remove_from_wait_queue(each);
            this->end_queued(each, refusal::key_withdrawn, "the key or the queue was withdrawn");
        }
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const tick& /*passed*/)
{
    while (!this->timers.empty() && this->timers.begin()->first <= this->now) {
        const timer due = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        this->run_timer(due);
    }
    if (this->now >= this->next_maintenance) {
        this->next_maintenance = this->now + maintenance_interval;
        this->release_stale_inherited();
        this->prune_departed();
    }
    this->dispatch_all();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const shutdown_requested& /*wanted*/)
{
    this->stopping = true;
    for (const std::string& id : this->queued_requests()) {
        record& each = this->records.at(id);
        this->remove_from_wait_queue(each);
        this->end_queued(each, refusal::stopping, "this node stopped");
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::set_timer(common::steady_time at, timer_kind kind, const std::string& id)
{
    this->timers.emplace(at, timer{kind, id});
}

template <teams::limit_guard_type Guard>
void engine<Guard>::run_timer(const timer& due)
{
    if (due.kind == timer_kind::release_orphan) {
        const auto found = this->orphaned_tasks.find(due.id);
        this->guard.release(found->second.team);
        this->shares.remove_running(found->second.team, found->second.need);
        this->view.remove_own(found->second.worker, found->second.need);
        this->orphaned_tasks.erase(found);
        return;
    }
    const auto found = this->records.find(due.id);
    if (found == this->records.end()) {
        return;
    }
    record& each = found->second;
    switch (due.kind) {
    case timer_kind::queue_deadline:
        if (each.current_stage == stage::queued && this->now >= each.deadline) {
            this->remove_from_wait_queue(each);
            this->end_queued(each, refusal::deadline_passed, "its deadline passed");
        }
        break;
    case timer_kind::claim_timeout:
        if (each.current_stage == stage::claiming) {
            this->finish_claiming(each);
        }
        break;
    case timer_kind::claim_retry:
        if (each.current_stage == stage::claiming) {
            this->retry_claims(each);
        }
        break;
    case timer_kind::query:
        if (each.current_stage == stage::resolving) {
            this->retry_query(each);
        }
        break;
    case timer_kind::evict:
        if (each.current_stage == stage::ended) {
            const auto owner = this->id_of_task.find(each.task);
            if (owner != this->id_of_task.end() && owner->second == due.id) {
                this->id_of_task.erase(owner);
                this->record_evicted_key(each);
            }
            this->records.erase(found);
        }
        break;
    case timer_kind::release_orphan:
        break;
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::remove_from_wait_queue(const record& each)
{
    this->wait_queues[each.wait_pool].remove(each.caller.team, each.request.id);
}

} // namespace chervilslip::requests
