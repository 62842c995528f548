#pragma once

#include "requests/engine.h"

// Admission: what happens to a request until it waits for room, and how requests end.
namespace chervilslip::requests {

template <teams::limit_guard_type Guard>
engine<Guard>::engine(engine_options wanted, Guard limit_guard, common::random_source& source,
                      common::invariant_monitor& monitor)
    : options(std::move(wanted)), guard(std::move(limit_guard)), random(source),
      invariants(monitor),
      view(this->options.zone, this->options.choice, this->options.outliers, source)
{
}

template <teams::limit_guard_type Guard>
actions engine<Guard>::on_event(const event& what, common::steady_time at)
{
    this->now = at;
    if (!this->first_event_at) {
        this->first_event_at = at;
    }
    this->pending_actions.clear();
    std::visit([this](const auto& each) { this->handle(each); }, what);
    return std::move(this->pending_actions);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const request_submitted& wanted)
{
    ++this->counts.submitted;
    record& each = this->records[wanted.id];
    each.request = wanted;
    each.arrived_at = this->now;
    each.task = wanted.id;
    ++this->open_count;
    const bool goes_on = this->check_queue(each) && this->check_key(each) &&
                         !this->join_existing(each) && this->check_size(each) &&
                         this->check_backlog(each);
    if (!goes_on) {
        return;
    }
    this->budget.add_request();
    this->id_of_task[each.task] = wanted.id;
    // The workers remember keys that this node had to forget for lack of room.
    const bool forgot_keys =
        !wanted.idempotency_key.empty() && this->now < this->evicted_keys_until;
    if ((wanted.must_claim || forgot_keys) && this->options.fault != injected_fault::skip_claims) {
        this->start_claiming(each);
        return;
    }
    this->enqueue(each);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::enqueue(record& each)
{
    transition_to(each, stage::queued, this->invariants);
    each.wait_pool = this->queue_of(each).pool;
    this->wait_queues[each.wait_pool].push(each.caller.team, each.request.urgent, each.request.id,
                                           false);
    this->set_timer(each.deadline, timer_kind::queue_deadline, each.request.id);
    this->dispatch(each.wait_pool);
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::check_queue(record& each)
{
    if (this->stopping) {
        this->refuse(each, refusal::stopping, "this node is stopping");
        return false;
    }
    if (!this->settings_in_force) {
        this->refuse(each, refusal::no_settings, "this node has no settings yet");
        return false;
    }
    if (!this->settings_in_force->queues.contains(each.request.queue)) {
        this->refuse(each, refusal::unknown_queue,
                     "queue \"" + each.request.queue + "\" does not exist");
        return false;
    }
    return true;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::check_key(record& each)
{
    const settings::queue& queue = this->queue_of(each);
    const auto caller = identify_caller(*this->settings_in_force, each.request);
    if (!caller) {
        this->refuse(each, refusal::wrong_key, caller.error().detail);
        return false;
    }
    each.caller = caller.value();
    if (this->options.fault == injected_fault::wrong_team) {
        each.caller.team = this->settings_in_force->teams.rbegin()->first;
    }
    each.repeatable = each.request.repeatable.value_or(queue.repeatable);
    each.size = each.request.size.value_or(queue.task);
    each.deadline = this->now + each.request.deadline.value_or(queue.deadline);
    if (this->options.fault != injected_fault::skip_stage) {
        transition_to(each, stage::authenticated, this->invariants);
    }
    return true;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::join_existing(record& each)
{
    if (each.request.idempotency_key.empty()) {
        return false;
    }
    each.task = task_id_for_key(each.caller.team, each.request.idempotency_key);
    const auto found = this->id_of_task.find(each.task);
    if (found == this->id_of_task.end()) {
        return false;
    }
    record& earlier = this->records.at(found->second);
    if (earlier.request.queue != each.request.queue || earlier.request.body != each.request.body) {
        this->refuse(each, refusal::key_reused,
                     "the idempotency key stands for another request of this team");
        return true;
    }
    ++this->counts.joined;
    if (earlier.result) {
        transition_to(each, stage::ended, this->invariants);
        each.result = earlier.result;
        --this->open_count;
        this->pending_actions.push_back(send_response{each.request.id, *earlier.result});
        this->set_timer(this->now + this->options.response_retention, timer_kind::evict,
                        each.request.id);
        return true;
    }
    earlier.joined_ids.push_back(each.request.id);
    return true;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::check_size(record& each)
{
    const settings::queue& queue = this->queue_of(each);
    const teams::resources need = teams::resources_of(each.size);
    const std::string& spare = this->settings_in_force->whole_fleet.spare_pool;
    const bool pool_known = !this->view.members_of(queue.pool).empty();
    const bool fits = this->view.can_ever_run(queue.pool, need) ||
                      (queue.overflow_to_spare && this->view.can_ever_run(spare, need));
    if (pool_known && !fits) {
        this->refuse(each, refusal::never_fits,
                     "the task is larger than every VM of pool \"" + queue.pool + "\"");
        return false;
    }
    return true;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::check_backlog(record& each)
{
    const settings::queue& queue = this->queue_of(each);
    if (this->wait_queues[queue.pool].size(each.caller.team) >= queue.most_waiting) {
        this->refuse(each, refusal::queue_full,
                     "team \"" + each.caller.team + "\" has " + std::to_string(queue.most_waiting) +
                         " requests waiting, its most in this queue");
        return false;
    }
    const auto wait = this->expected_wait(each);
    const auto shortest_run = this->estimator_of(each.request.queue).optimistic();
    if (this->now + wait + shortest_run > each.deadline) {
        this->refuse(each, refusal::deadline_too_close,
                     "the expected wait is " + std::to_string(wait.count()) +
                         " ms and a short run takes " + std::to_string(shortest_run.count()) +
                         " ms");
        return false;
    }
    return true;
}

template <teams::limit_guard_type Guard>
common::milliseconds engine<Guard>::expected_wait(const record& each) const
{
    const std::string& pool = this->queue_of(each).pool;
    const auto waiting = this->wait_queues.find(pool);
    const std::int64_t slots = this->view.slots_of(pool);
    if (waiting == this->wait_queues.end() || waiting->second.size() == 0 || slots == 0 ||
        each.request.urgent) {
        return common::milliseconds{0};
    }
    double weights = 0.0;
    for (const std::string& team : waiting->second.teams_waiting(false)) {
        const auto rules = this->settings_in_force->teams.find(team);
        weights += rules == this->settings_in_force->teams.end() ? 0.0 : rules->second.share;
    }
    const double own_weight = this->settings_in_force->teams.at(each.caller.team).share;
    const bool already_waiting = waiting->second.size(each.caller.team) > 0;
    const double fraction = own_weight / (already_waiting ? weights : weights + own_weight);
    const auto estimator = this->estimators.find(each.request.queue);
    const double run_time = static_cast<double>(estimator == this->estimators.end()
                                                    ? this->queue_of(each).expected_run_time.count()
                                                    : estimator->second.expected().count());
    const auto ahead = static_cast<double>(waiting->second.size(each.caller.team));
    const double team_slots = std::max(1.0, static_cast<double>(slots) * fraction);
    return common::milliseconds(static_cast<std::int64_t>(run_time * ahead / team_slots));
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const settings_accepted& accepted)
{
    const bool older =
        this->settings_in_force && accepted.in_force->number < this->settings_in_force->number;
    if (older) {
        return;
    }
    this->settings_in_force = accepted.in_force;
    this->guard.update(*accepted.in_force);
    this->view.update_settings(*accepted.in_force);
    for (const auto& [team, rules] : accepted.in_force->teams) {
        this->shares.set_weight(team, rules.share);
    }
    this->refuse_unauthorized();
    this->dispatch_all();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const vm_list_received& received)
{
    this->record_departed(this->view.update_vm_list(received.vms));
    this->unreported_vms.clear();
    for (const routing::upstream_info& each : received.vms) {
        this->departed_vms.erase(each.vm);
        if (!this->last_report_at.contains(each.vm)) {
            this->unreported_vms.insert(each.vm);
        }
    }
    this->shares.set_capacity(this->view.total_size());
    this->dispatch_all();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const usage_received& received)
{
    this->view.update_usage(received.vm, received.report);
    this->last_report_at[received.vm] = this->now;
    this->update_inherited(received.vm, received.report.own);
    this->renew_inherited(received);
    this->adopt_orphaned(received);
    this->unreported_vms.erase(received.vm);
}

template <teams::limit_guard_type Guard>
const record* engine<Guard>::find(const std::string& id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : &found->second;
}

template <teams::limit_guard_type Guard>
std::size_t engine<Guard>::open_requests() const
{
    return this->open_count;
}

template <teams::limit_guard_type Guard>
std::map<std::string, team_load> engine<Guard>::loads() const
{
    std::map<std::string, team_load> all;
    if (!this->settings_in_force) {
        return all;
    }
    for (const auto& [team, rules] : this->settings_in_force->teams) {
        team_load& load = all[team];
        load.running = this->guard.running(team);
        load.allowed = this->guard.allowed(team);
        load.weighted_share = this->shares.weighted_dominant_share(team);
        for (const auto& [pool, waiting] : this->wait_queues) {
            load.waiting += waiting.size(team);
        }
    }
    return all;
}

template <teams::limit_guard_type Guard>
std::map<std::string, teams::resources> engine<Guard>::running() const
{
    return this->shares.local_running();
}

template <teams::limit_guard_type Guard>
const engine_counters& engine<Guard>::counters() const
{
    return this->counts;
}

template <teams::limit_guard_type Guard>
const routing::upstream_view& engine<Guard>::upstreams() const
{
    return this->view;
}

template <teams::limit_guard_type Guard>
std::shared_ptr<const settings::snapshot> engine<Guard>::in_force() const
{
    return this->settings_in_force;
}

template <teams::limit_guard_type Guard>
const settings::queue& engine<Guard>::queue_of(const record& each) const
{
    return this->settings_in_force->queues.at(each.request.queue);
}

template <teams::limit_guard_type Guard>
routing::run_time_estimator& engine<Guard>::estimator_of(const std::string& queue)
{
    const auto found = this->estimators.find(queue);
    if (found != this->estimators.end()) {
        return found->second;
    }
    const auto declared = this->settings_in_force->queues.at(queue).expected_run_time;
    return this->estimators.emplace(queue, routing::run_time_estimator(declared)).first->second;
}

} // namespace chervilslip::requests
