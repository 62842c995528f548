#pragma once

#include "requests/engine.h"

// Completion of requests: responses, refusals, cancellations, deadlines and timers.
namespace chervilslip::requests {

template <teams::limit_guard_type Guard>
void engine<Guard>::refuse(record& entry, refusal why, std::string cause)
{
    ++this->counts.refused[why];
    response final_response;
    final_response.result = request_outcome::refused;
    final_response.refusal_reason = why;
    final_response.cause = std::move(cause);
    this->end(entry, std::move(final_response));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::end(record& entry, response final_response)
{
    const bool not_run = final_response.result == request_outcome::refused;
    this->invariants.check(
        common::invariant::not_run_is_true, !not_run || entry.unresolved_attempts == 0, [&] {
            return entry.request.id + " is refused despite " +
                   std::to_string(entry.unresolved_attempts) + " attempts that may have run";
        });
    transition_to(entry, stage::ended, this->invariants);
    final_response.attempts = entry.attempts;
    ++this->counts.ended[final_response.result];
    --this->open_count;
    entry.result = final_response;
    entry.ended_at = this->now;
    const auto owner = this->id_of_task.find(entry.task);
    if (not_run && owner != this->id_of_task.end() && owner->second == entry.request.id) {
        // A request that was not run may be submitted again with the same idempotency key.
        this->id_of_task.erase(owner);
    }
    this->pending_actions.push_back(send_response{entry.request.id, final_response});
    for (const std::string& id : entry.joined_ids) {
        record& other = this->records.at(id);
        if (other.current_stage != stage::ended) {
            transition_to(other, stage::ended, this->invariants);
            other.result = final_response;
            --this->open_count;
            this->pending_actions.push_back(send_response{id, final_response});
            this->set_timer(this->now + this->options.response_retention, timer_kind::evict, id);
        }
    }
    this->set_timer(this->now + this->options.response_retention, timer_kind::evict,
                    entry.request.id);
    this->ended_ids.push_back(entry.request.id);
    this->evict_oldest();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::end_queued(record& entry, refusal why, const std::string& cause)
{
    if (entry.unresolved_attempts == 0 && entry.failed_attempts == 0) {
        this->refuse(entry, why, cause + " before a start");
        return;
    }
    response final_response;
    final_response.result =
        entry.unresolved_attempts > 0 ? request_outcome::unknown : request_outcome::failed;
    final_response.cause = cause + " while it was queued for a retry";
    this->end(entry, std::move(final_response));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::record_evicted_key(const record& entry)
{
    if (!entry.request.idempotency_key.empty()) {
        this->evicted_keys_until =
            std::max(this->evicted_keys_until, entry.ended_at + this->options.claim_retention);
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
void engine<Guard>::handle(const cancel_requested& requested)
{
    const auto found = this->records.find(requested.id);
    if (found == this->records.end()) {
        return;
    }
    record& entry = found->second;
    switch (entry.current_stage) {
    case stage::queued:
        this->remove_from_wait_queue(entry);
        this->end_queued(entry, refusal::cancelled, "cancelled");
        break;
    case stage::placed:
    case stage::started:
    case stage::resolving:
        entry.cancel_requested = true;
        this->pending_actions.push_back(stop_task{*entry.attempt, entry.address});
        break;
    case stage::claiming:
        entry.cancel_requested = true;
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
    for (const auto& [id, entry] : this->records) {
        if (entry.current_stage == stage::queued) {
            queued.push_back(id);
        }
    }
    // Sorted for determinism: the same events always yield the same actions.
    std::sort(queued.begin(), queued.end());
    return queued;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::refuse_unauthorized()
{
    for (const std::string& id : this->queued_requests()) {
        record& entry = this->records.at(id);
        const bool with_key = !entry.caller.key_id.empty();
        const bool queue_gone = !this->settings_in_force->queues.contains(entry.request.queue);
        const bool key_gone = with_key && !teams::is_active(*this->settings_in_force, entry.caller);
        if (queue_gone || key_gone) {
            this->remove_from_wait_queue(entry);
            this->end_queued(entry, refusal::key_withdrawn, "the key or the queue was withdrawn");
        }
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const tick& /*elapsed*/)
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
void engine<Guard>::handle(const shutdown_requested& /*requested*/)
{
    this->stopping = true;
    for (const std::string& id : this->queued_requests()) {
        record& entry = this->records.at(id);
        this->remove_from_wait_queue(entry);
        this->end_queued(entry, refusal::stopping, "this node shut down");
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
        this->view.remove_local_task(found->second.worker, found->second.need);
        this->orphaned_tasks.erase(found);
        return;
    }
    const auto found = this->records.find(due.id);
    if (found == this->records.end()) {
        return;
    }
    record& entry = found->second;
    switch (due.kind) {
    case timer_kind::queue_deadline:
        if (entry.current_stage == stage::queued && this->now >= entry.deadline) {
            this->remove_from_wait_queue(entry);
            this->end_queued(entry, refusal::deadline_passed, "the deadline passed");
        }
        break;
    case timer_kind::claim_timeout:
        if (entry.current_stage == stage::claiming) {
            this->finish_claiming(entry);
        }
        break;
    case timer_kind::claim_retry:
        if (entry.current_stage == stage::claiming) {
            this->retry_claims(entry);
        }
        break;
    case timer_kind::query:
        if (entry.current_stage == stage::resolving) {
            this->retry_query(entry);
        }
        break;
    case timer_kind::evict:
        if (entry.current_stage == stage::ended) {
            const auto owner = this->id_of_task.find(entry.task);
            if (owner != this->id_of_task.end() && owner->second == due.id) {
                this->id_of_task.erase(owner);
                this->record_evicted_key(entry);
            }
            this->records.erase(found);
        }
        break;
    case timer_kind::release_orphan:
        break;
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::remove_from_wait_queue(const record& entry)
{
    this->wait_queues[entry.wait_pool].remove(entry.caller.team, entry.request.id);
}

} // namespace chervilslip::requests
