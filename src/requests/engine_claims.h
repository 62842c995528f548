#pragma once

#include "requests/engine.h"

// Claims: when the home node of an idempotency key changes, the upstreams arbitrate which node may
// start the task.
namespace chervilslip::requests {

template <teams::limit_guard_type Guard>
std::vector<std::string> engine<Guard>::claim_pools(const record& entry) const
{
    const settings::queue& queue = this->queue_of(entry);
    const std::string& spare = this->settings_in_force->whole_fleet.spare_pool;
    std::vector<std::string> pools{queue.pool};
    if (queue.overflow_to_spare && !spare.empty() && spare != queue.pool) {
        pools.push_back(spare);
    }
    return pools;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::start_claiming(record& entry)
{
    transition_to(entry, stage::claiming, this->invariants);
    ++this->counts.claims;
    for (const std::string& pool : this->claim_pools(entry)) {
        for (const routing::candidate& member : this->view.pool_members(pool)) {
            entry.pending_claims.insert(member.vm);
            this->pending_actions.push_back(claim_task{entry.task, member.vm, member.address});
        }
        for (const auto& [vm, pool_and_time] : this->departed_vms) {
            if (pool_and_time.first == pool) {
                entry.inconclusive_vm = vm;
            }
        }
    }
    this->set_timer(this->now + this->options.claim_timeout, timer_kind::claim_timeout,
                    entry.request.id);
    if (entry.pending_claims.empty()) {
        this->finish_claiming(entry);
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const claim_replied& reply)
{
    const auto id = this->id_of_task.find(reply.attempt.task);
    if (id == this->id_of_task.end()) {
        return;
    }
    record& entry = this->records.at(id->second);
    if (entry.current_stage != stage::claiming ||
        !entry.pending_claims.contains(reply.attempt.worker)) {
        return;
    }
    if (reply.kind == claim_kind::unreachable) {
        if (entry.claims_to_retry.empty()) {
            this->set_timer(this->now + this->options.claim_retry_delay, timer_kind::claim_retry,
                            entry.request.id);
        }
        entry.claims_to_retry.insert(reply.attempt.worker);
        return;
    }
    entry.pending_claims.erase(reply.attempt.worker);
    switch (reply.kind) {
    case claim_kind::free:
    case claim_kind::unreachable:
        break;
    case claim_kind::inconclusive:
        entry.inconclusive_vm = reply.attempt.worker;
        break;
    case claim_kind::running:
        this->adopt(entry, reply.attempt);
        return;
    case claim_kind::finished: {
        response final_response;
        final_response.result = reply.succeeded ? request_outcome::done : request_outcome::failed;
        final_response.cause = reply.succeeded ? "" : "the task failed";
        final_response.output = reply.output;
        final_response.worker = reply.attempt.worker;
        this->end(entry, std::move(final_response));
        return;
    }
    }
    if (entry.pending_claims.empty()) {
        this->finish_claiming(entry);
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::retry_claims(record& entry)
{
    for (const std::string& vm : std::exchange(entry.claims_to_retry, {})) {
        this->pending_actions.push_back(claim_task{entry.task, vm, this->view.address_of(vm)});
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::adopt(record& entry, const attempt_id& run)
{
    // The task counts against the limit of the node that started it, so no capacity is taken here.
    ++this->counts.adopted;
    entry.attempt = run;
    entry.address = this->view.address_of(run.worker);
    entry.attempt_number = run.number;
    entry.attempts = 1;
    entry.unresolved_attempts = 1;
    entry.started_at = this->now;
    transition_to(entry, stage::started, this->invariants);
    this->pending_actions.push_back(query_task{run, entry.address});
    if (entry.cancel_requested) {
        this->pending_actions.push_back(stop_task{run, entry.address});
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::finish_claiming(record& entry)
{
    const std::string unresolved_vm =
        entry.pending_claims.empty() ? entry.inconclusive_vm : *entry.pending_claims.begin();
    if (!unresolved_vm.empty()) {
        response final_response;
        final_response.result = request_outcome::unknown;
        final_response.cause = "another node may have started this task on VM \"" + unresolved_vm +
                               "\", which could not confirm either way";
        this->end(entry, std::move(final_response));
        return;
    }
    if (entry.cancel_requested) {
        this->refuse(entry, refusal::cancelled, "cancelled before its start");
        return;
    }
    const bool queue_gone = !this->settings_in_force->queues.contains(entry.request.queue);
    const bool key_gone =
        !entry.caller.key_id.empty() && !teams::is_active(*this->settings_in_force, entry.caller);
    if (queue_gone || key_gone) {
        this->end_queued(entry, refusal::key_withdrawn, "the key or the queue was withdrawn");
        return;
    }
    this->enqueue(entry);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::record_departed(const std::vector<routing::removed_upstream>& removed)
{
    for (const routing::removed_upstream& upstream : removed) {
        this->departed_vms.try_emplace(upstream.vm, upstream.pool, this->now);
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::prune_departed()
{
    std::erase_if(this->departed_vms, [this](const auto& item) {
        return this->now - item.second.second > this->options.claim_retention;
    });
}

} // namespace chervilslip::requests
