#pragma once

#include "requests/engine.h"

// Admission: validation of a submitted request until it is queued; settings, VM list and usage
// updates; accessors.
namespace chervilslip::requests {

template <teams::limit_guard_type Guard>
engine<Guard>::engine(engine_options initial_options, Guard limit_guard,
                      common::random_source& source, common::invariant_monitor& monitor)
    : options(std::move(initial_options)), guard(std::move(limit_guard)), random(source),
      invariants(monitor),
      view(this->options.zone, this->options.choice, this->options.outliers, source)
{
}

template <teams::limit_guard_type Guard>
actions engine<Guard>::on_event(const event& incoming, common::steady_time at)
{
    this->now = at;
    if (!this->first_event_at) {
        this->first_event_at = at;
    }
    this->pending_actions.clear();
    std::visit([this](const auto& alternative) { this->handle(alternative); }, incoming);
    return std::move(this->pending_actions);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const request_submitted& submitted)
{
    ++this->counts.submitted;
    record& entry = this->records[submitted.id];
    entry.request = submitted;
    entry.arrived_at = this->now;
    entry.task = submitted.id;
    ++this->open_count;
    const bool admitted = this->check_queue(entry) && this->check_key(entry) &&
                          !this->join_existing(entry) && this->check_size(entry) &&
                          this->check_backlog(entry);
    if (!admitted) {
        return;
    }
    this->budget.add_request();
    this->id_of_task[entry.task] = submitted.id;
    // The workers still know keyed tasks whose records were evicted here to stay within
    // `max_records`.
    const bool key_may_be_evicted =
        !submitted.idempotency_key.empty() && this->now < this->evicted_keys_until;
    if ((submitted.must_claim || key_may_be_evicted) &&
        this->options.fault != injected_fault::skip_claims) {
        this->start_claiming(entry);
        return;
    }
    this->enqueue(entry);
}

template <teams::limit_guard_type Guard>
void engine<Guard>::enqueue(record& entry)
{
    transition_to(entry, stage::queued, this->invariants);
    entry.wait_pool = this->queue_of(entry).pool;
    this->wait_queues[entry.wait_pool].push(entry.caller.team, entry.request.urgent,
                                            entry.request.id, false);
    this->set_timer(entry.deadline, timer_kind::queue_deadline, entry.request.id);
    this->dispatch(entry.wait_pool);
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::check_queue(record& entry)
{
    if (this->stopping) {
        this->refuse(entry, refusal::stopping, "this node is shutting down");
        return false;
    }
    if (!this->settings_in_force) {
        this->refuse(entry, refusal::no_settings, "this node has not received any settings yet");
        return false;
    }
    if (!this->settings_in_force->queues.contains(entry.request.queue)) {
        this->refuse(entry, refusal::unknown_queue,
                     "queue \"" + entry.request.queue + "\" does not exist");
        return false;
    }
    return true;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::check_key(record& entry)
{
    const settings::queue& queue = this->queue_of(entry);
    const auto caller = identify_caller(*this->settings_in_force, entry.request);
    if (!caller) {
        this->refuse(entry, refusal::wrong_key, caller.error().detail);
        return false;
    }
    entry.caller = caller.value();
    if (this->options.fault == injected_fault::wrong_team) {
        entry.caller.team = this->settings_in_force->teams.rbegin()->first;
    }
    entry.repeatable = entry.request.repeatable.value_or(queue.repeatable);
    entry.size = entry.request.size.value_or(queue.task);
    entry.deadline = this->now + entry.request.deadline.value_or(queue.deadline);
    if (this->options.fault != injected_fault::skip_stage) {
        transition_to(entry, stage::authenticated, this->invariants);
    }
    return true;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::join_existing(record& entry)
{
    if (entry.request.idempotency_key.empty()) {
        return false;
    }
    entry.task = task_id_for_key(entry.caller.team, entry.request.idempotency_key);
    const auto found = this->id_of_task.find(entry.task);
    if (found == this->id_of_task.end()) {
        return false;
    }
    record& earlier = this->records.at(found->second);
    if (earlier.request.queue != entry.request.queue ||
        earlier.request.body != entry.request.body) {
        this->refuse(entry, refusal::key_reused,
                     "the idempotency key was already used for a different request of this team");
        return true;
    }
    ++this->counts.joined;
    if (earlier.result) {
        transition_to(entry, stage::ended, this->invariants);
        entry.result = earlier.result;
        --this->open_count;
        this->pending_actions.push_back(send_response{entry.request.id, *earlier.result});
        this->set_timer(this->now + this->options.response_retention, timer_kind::evict,
                        entry.request.id);
        return true;
    }
    earlier.joined_ids.push_back(entry.request.id);
    return true;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::check_size(record& entry)
{
    const settings::queue& queue = this->queue_of(entry);
    const teams::resources need = teams::resources_of(entry.size);
    const std::string& spare = this->settings_in_force->whole_fleet.spare_pool;
    const bool pool_known = !this->view.pool_members(queue.pool).empty();
    const bool fits = this->view.fits_any_vm(queue.pool, need) ||
                      (queue.overflow_to_spare && this->view.fits_any_vm(spare, need));
    if (pool_known && !fits) {
        this->refuse(entry, refusal::never_fits,
                     "the task does not fit on any VM of pool \"" + queue.pool + "\"");
        return false;
    }
    return true;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::check_backlog(record& entry)
{
    const settings::queue& queue = this->queue_of(entry);
    if (this->wait_queues[queue.pool].size(entry.caller.team) >= queue.most_waiting) {
        this->refuse(entry, refusal::queue_full,
                     "team \"" + entry.caller.team + "\" has reached the limit of " +
                         std::to_string(queue.most_waiting) + " waiting requests");
        return false;
    }
    const auto wait = this->expected_wait(entry);
    const auto shortest_run = this->estimator_of(entry.request.queue).tenth_percentile();
    if (this->now + wait + shortest_run > entry.deadline) {
        this->refuse(entry, refusal::deadline_too_close,
                     "the expected wait of " + std::to_string(wait.count()) +
                         " ms plus a short run time of " + std::to_string(shortest_run.count()) +
                         " ms exceeds the deadline");
        return false;
    }
    return true;
}

template <teams::limit_guard_type Guard>
common::milliseconds engine<Guard>::expected_wait(const record& entry) const
{
    const std::string& pool = this->queue_of(entry).pool;
    const auto waiting = this->wait_queues.find(pool);
    const std::int64_t slots = this->view.serving_slots(pool);
    if (waiting == this->wait_queues.end() || waiting->second.size() == 0 || slots == 0 ||
        entry.request.urgent) {
        return common::milliseconds{0};
    }
    double weights = 0.0;
    for (const std::string& team : waiting->second.teams_waiting(false)) {
        const auto rules = this->settings_in_force->teams.find(team);
        weights += rules == this->settings_in_force->teams.end() ? 0.0 : rules->second.share;
    }
    const double own_weight = this->settings_in_force->teams.at(entry.caller.team).share;
    const bool already_waiting = waiting->second.size(entry.caller.team) > 0;
    const double fraction = own_weight / (already_waiting ? weights : weights + own_weight);
    const auto estimator = this->estimators.find(entry.request.queue);
    const double run_time = static_cast<double>(
        estimator == this->estimators.end() ? this->queue_of(entry).expected_run_time.count()
                                            : estimator->second.expected().count());
    const auto ahead = static_cast<double>(waiting->second.size(entry.caller.team));
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
    for (const routing::upstream_info& info : received.vms) {
        this->departed_vms.erase(info.vm);
        if (!this->last_report_at.contains(info.vm)) {
            this->unreported_vms.insert(info.vm);
        }
    }
    this->shares.set_capacity(this->view.total_capacity());
    this->dispatch_all();
}

template <teams::limit_guard_type Guard>
void engine<Guard>::handle(const usage_received& received)
{
    this->view.update_usage(received.vm, received.report);
    this->last_report_at[received.vm] = this->now;
    this->update_inherited(received.vm, received.report.local_tasks);
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
const settings::queue& engine<Guard>::queue_of(const record& entry) const
{
    return this->settings_in_force->queues.at(entry.request.queue);
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
