#pragma once

#include "common/crypto.h"
#include "requests/engine.h"

// Recovery: running tasks whose node is gone or has restarted.
namespace chervilslip::requests {

template <teams::limit_guard_type Guard>
bool engine<Guard>::is_recovering() const
{
    const auto max_lease_left = this->options.task_lease + this->options.lease_margin;
    return !this->unreported_vms.empty() && this->now < *this->first_event_at + max_lease_left;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::has_recovered() const
{
    return this->first_event_at && !this->last_report_at.empty() && !this->is_recovering();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::release_stale_inherited()
{
    std::vector<std::string> stale_vms;
    for (const auto& [vm, tasks] : this->inherited_tasks) {
        // Past this time the upstream is gone, or has stopped the tasks that nobody renewed.
        const auto stopped_by =
            this->last_report_at.at(vm) + this->options.task_lease + this->options.lease_margin;
        if (this->now > stopped_by) {
            stale_vms.push_back(vm);
        }
    }
    for (const std::string& vm : stale_vms) {
        this->update_inherited(vm, {});
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::acquire_inherited(const std::string& vm, const routing::reported_task& task)
{
    this->guard.acquire(task.team);
    this->shares.add_running(task.team, task.need);
    this->view.add_local_task(vm, task.need);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::update_inherited(const std::string& vm,
                                     const std::vector<routing::reported_task>& tasks)
{
    auto& known = this->inherited_tasks[vm];
    std::map<std::string, inherited_task> reported;
    for (const routing::reported_task& running_task : tasks) {
        if (!this->id_of_task.contains(running_task.task)) {
            reported[running_task.task] = {running_task, this->now};
        }
    }
    for (const auto& [task, inherited] : reported) {
        if (!known.contains(task)) {
            this->acquire_inherited(vm, inherited.task);
        }
    }
    for (const auto& [task, inherited] : known) {
        if (reported.contains(task)) {
            continue;
        }
        if (this->now < inherited.keep_until) {
            reported[task] = inherited; // Reports sent before the takeover omit it.
            continue;
        }
        this->guard.release(inherited.task.team);
        this->shares.remove_running(inherited.task.team, inherited.task.need);
        this->view.remove_local_task(vm, inherited.task.need);
    }
    known = std::move(reported);
    if (known.empty()) {
        this->inherited_tasks.erase(vm);
    }
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::needs_renewal(const routing::reported_task& task) const
{
    return task.lease_left < this->options.task_lease / 2;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::renew_inherited(const usage_received& received)
{
    for (const routing::reported_task& running_task : received.report.local_tasks) {
        if (!this->id_of_task.contains(running_task.task) && this->needs_renewal(running_task)) {
            this->pending_actions.push_back(
                adopt_task{running_task.task, received.vm, this->view.address_of(received.vm)});
        }
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::adopt_orphaned(const usage_received& received)
{
    for (const routing::reported_task& running_task : received.report.remote_tasks) {
        const bool orphaned = !this->live_nodes.empty() &&
                              !this->live_nodes.contains(running_task.node) &&
                              this->needs_renewal(running_task);
        if (!orphaned || !this->is_rendezvous_owner(running_task.task) ||
            !this->guard.has_room(running_task.team)) {
            continue;
        }
        auto& known = this->inherited_tasks[received.vm];
        if (known.contains(running_task.task)) {
            continue;
        }
        // From now on the task counts against this node's part of the limit. Its original node may
        // be alive but partitioned; it frees its own part when the last lease it knows of expires.
        this->acquire_inherited(received.vm, running_task);
        known[running_task.task] = {running_task, this->now + this->options.task_lease};
        ++this->counts.taken_over;
        this->pending_actions.push_back(
            adopt_task{running_task.task, received.vm, this->view.address_of(received.vm)});
    }
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::is_rendezvous_owner(const std::string& task) const
{
    const auto weight = [&task](const std::string& node) {
        return common::sha256_hex(task + "\n" + node);
    };
    const std::string own = weight(this->options.node);
    return std::all_of(
        this->live_nodes.begin(), this->live_nodes.end(),
        [&](const std::string& node) { return node == this->options.node || weight(node) < own; });
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const peer_status_received& received)
{
    this->live_nodes = received.live;
    this->shares.set_remote_running(received.running);
}

} // namespace chervilslip::requests
