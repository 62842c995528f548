#pragma once

#include "requests/engine.h"

// Claims: the upstreams decide between nodes that were each other's home for an idempotency key.
namespace chervilslip::requests {

template <teams::limit_guard_type Guard>
std::vector<std::string> engine<Guard>::claim_pools(const record& each) const
{
    const settings::queue& queue = this->queue_of(each);
    const std::string& spare = this->settings_in_force->whole_fleet.spare_pool;
    std::vector<std::string> pools{queue.pool};
    if (queue.overflow_to_spare && !spare.empty() && spare != queue.pool) {
        pools.push_back(spare);
    }
    return pools;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::start_claiming(record& each)
{
    transition_to(each, stage::claiming, this->invariants);
    ++this->counts.claims;
    for (const std::string& pool : this->claim_pools(each)) {
        for (const routing::candidate& member : this->view.members_of(pool)) {
            each.pending_claims.insert(member.vm);
            this->pending_actions.push_back(claim_task{each.task, member.vm, member.address});
        }
        for (const auto& [vm, pool_and_time] : this->departed_vms) {
            if (pool_and_time.first == pool) {
                each.inconclusive_vm = vm;
            }
        }
    }
    this->set_timer(this->now + this->options.claim_timeout, timer_kind::claim_timeout,
                    each.request.id);
    if (each.pending_claims.empty()) {
        this->finish_claiming(each);
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const claim_replied& reply)
{
    const auto id = this->id_of_task.find(reply.attempt.task);
    if (id == this->id_of_task.end()) {
        return;
    }
    record& each = this->records.at(id->second);
    if (each.current_stage != stage::claiming ||
        !each.pending_claims.contains(reply.attempt.worker)) {
        return;
    }
    if (reply.kind == claim_kind::unreachable) {
        if (each.claims_to_retry.empty()) {
            this->set_timer(this->now + this->options.claim_retry_delay, timer_kind::claim_retry,
                            each.request.id);
        }
        each.claims_to_retry.insert(reply.attempt.worker);
        return;
    }
    each.pending_claims.erase(reply.attempt.worker);
    switch (reply.kind) {
    case claim_kind::free:
    case claim_kind::unreachable:
        break;
    case claim_kind::inconclusive:
        each.inconclusive_vm = reply.attempt.worker;
        break;
    case claim_kind::running:
        this->adopt(each, reply.attempt);
        return;
    case claim_kind::finished: {
        response whole;
        whole.result = reply.succeeded ? request_outcome::done : request_outcome::failed;
        whole.cause = reply.succeeded ? "" : "the task failed";
        whole.output = reply.output;
        whole.worker = reply.attempt.worker;
        this->end(each, std::move(whole));
        return;
    }
    }
    if (each.pending_claims.empty()) {
        this->finish_claiming(each);
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::retry_claims(record& each)
{
    for (const std::string& vm : std::exchange(each.claims_to_retry, {})) {
        this->pending_actions.push_back(claim_task{each.task, vm, this->view.address_of(vm)});
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::adopt(record& each, const attempt_id& run)
{
    // The run counts under the right of the node that started it.
    ++this->counts.adopted;
    each.attempt = run;
    each.address = this->view.address_of(run.worker);
    each.attempt_number = run.number;
    each.attempts = 1;
    each.unresolved_attempts = 1;
    each.started_at = this->now;
    transition_to(each, stage::started, this->invariants);
    this->pending_actions.push_back(query_task{run, each.address});
    if (each.cancel_requested) {
        this->pending_actions.push_back(stop_task{run, each.address});
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::finish_claiming(record& each)
{
    const std::string silent =
        each.pending_claims.empty() ? each.inconclusive_vm : *each.pending_claims.begin();
    if (!silent.empty()) {
        response whole;
        whole.result = request_outcome::unknown;
        whole.cause =
            "another node may have started this task on VM \"" + silent + "\", which cannot tell";
        this->end(each, std::move(whole));
        return;
    }
    if (each.cancel_requested) {
        this->refuse(each, refusal::cancelled, "cancelled before its start");
        return;
    }
    const bool queue_gone = !this->settings_in_force->queues.contains(each.request.queue);
    const bool key_gone =
        !each.caller.key_id.empty() && !teams::is_active(*this->settings_in_force, each.caller);
    if (queue_gone || key_gone) {
        this->end_queued(each, refusal::key_withdrawn, "the key or the queue was withdrawn");
        return;
    }
    this->enqueue(each);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::record_departed(const std::vector<routing::departed_upstream>& gone)
{
    for (const routing::departed_upstream& each : gone) {
        this->departed_vms.try_emplace(each.vm, each.pool, this->now);
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
