#pragma once

#include "common/crypto.h"
#include "requests/engine.h"

// Recovery: tasks that run although the node that started them is gone, or has started anew.
namespace chervilslip::requests {

template <teams::limit_guard_type Guard>
bool engine<Guard>::is_recovering() const
{
    const auto longest_left = this->options.task_lease + this->options.lease_margin;
    return !this->unreported_vms.empty() && this->now < *this->first_event_at + longest_left;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::has_recovered() const
{
    return this->first_event_at && !this->last_report_at.empty() && !this->is_recovering();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::release_stale_inherited()
{
    std::vector<std::string> silent;
    for (const auto& [vm, tasks] : this->inherited_tasks) {
        // By now the upstream has stopped what nobody asked for, or it is gone.
        const auto stopped_at =
            this->last_report_at.at(vm) + this->options.task_lease + this->options.lease_margin;
        if (this->now > stopped_at) {
            silent.push_back(vm);
        }
    }
    for (const std::string& vm : silent) {
        this->update_inherited(vm, {});
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::acquire_inherited(const std::string& vm, const routing::reported_task& task)
{
    this->guard.acquire(task.team);
    this->shares.add_running(task.team, task.need);
    this->view.add_own(vm, task.need);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::update_inherited(const std::string& vm,
                                     const std::vector<routing::reported_task>& tasks)
{
    auto& known = this->inherited_tasks[vm];
    std::map<std::string, inherited_task> reported;
    for (const routing::reported_task& each : tasks) {
        if (!this->id_of_task.contains(each.task)) {
            reported[each.task] = {each, this->now};
        }
    }
    for (const auto& [task, each] : reported) {
        if (!known.contains(task)) {
            this->acquire_inherited(vm, each.task);
        }
    }
    for (const auto& [task, each] : known) {
        if (reported.contains(task)) {
            continue;
        }
        if (this->now < each.keep_until) {
            reported[task] = each; // Reports from before the takeover do not show it yet.
            continue;
        }
        this->guard.release(each.task.team);
        this->shares.remove_running(each.task.team, each.task.need);
        this->view.remove_own(vm, each.task.need);
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
    for (const routing::reported_task& each : received.report.own) {
        if (!this->id_of_task.contains(each.task) && this->needs_renewal(each)) {
            this->pending_actions.push_back(
                adopt_task{each.task, received.vm, this->view.address_of(received.vm)});
        }
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::adopt_orphaned(const usage_received& received)
{
    for (const routing::reported_task& each : received.report.others) {
        const bool orphaned = !this->live_nodes.empty() && !this->live_nodes.contains(each.node) &&
                              this->needs_renewal(each);
        if (!orphaned || !this->is_rendezvous_owner(each.task) ||
            !this->guard.has_room(each.team)) {
            continue;
        }
        auto& known = this->inherited_tasks[received.vm];
        if (known.contains(each.task)) {
            continue;
        }
        // The task counts under this node's part of the limit from now on: its own node, which may
        // be cut off and alive, frees its right when the lease that it knows of is over.
        this->acquire_inherited(received.vm, each);
        known[each.task] = {each, this->now + this->options.task_lease};
        ++this->counts.taken_over;
        this->pending_actions.push_back(
            adopt_task{each.task, received.vm, this->view.address_of(received.vm)});
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
void engine<Guard>::handle(const peer_status_received& heard)
{
    this->live_nodes = heard.live;
    this->shares.set_remote_running(heard.running);
}

} // namespace chervilslip::requests
