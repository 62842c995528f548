#pragma once

#include "requests/engine.h"

// Dispatch: selects the next waiting request to start and the upstream to start it on.
namespace chervilslip::requests {

namespace detail {

/// Number of consecutive urgent starts in a pool after which a normal request takes precedence.
inline constexpr int max_consecutive_urgent = 3;

} // namespace detail

template <teams::limit_guard_type Guard>
void engine<Guard>::dispatch_all()
{
    if (!this->settings_in_force) {
        return;
    }
    for (auto& [pool, waiting] : this->wait_queues) {
        if (waiting.size() > 0) {
            this->dispatch(pool);
        }
    }
}

template <teams::limit_guard_type Guard>
void engine<Guard>::dispatch(const std::string& pool)
{
    while (true) {
        int& streak = this->urgent_streaks[pool];
        const bool normal_turn = streak >= detail::max_consecutive_urgent;
        if (normal_turn && this->dispatch_one(pool, false)) {
            streak = 0;
            continue;
        }
        if (this->dispatch_one(pool, true)) {
            ++streak;
            continue;
        }
        if (!this->dispatch_one(pool, false)) {
            return;
        }
        streak = 0;
    }
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::dispatch_one(const std::string& pool, bool urgent)
{
    if (this->is_recovering()) {
        return false;
    }
    wait_queue& waiting = this->wait_queues[pool];
    std::vector<std::pair<double, std::string>> order;
    for (const std::string& team : waiting.teams_waiting(urgent)) {
        const bool may_start =
            this->guard.has_room(team) || this->options.fault == injected_fault::ignore_limit;
        if (may_start && !waiting.front(team, urgent).empty()) {
            order.emplace_back(this->shares.weighted_dominant_share(team), team);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto& [share, team] : order) {
        record& entry = this->records.at(waiting.front(team, urgent));
        if (this->place(entry)) {
            return true;
        }
    }
    return false;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::place(record& entry)
{
    const auto upstream = this->pick_upstream(entry);
    if (!upstream) {
        return false;
    }
    this->wait_queues[entry.wait_pool].pop(entry.caller.team, entry.request.urgent);
    this->start(entry, *upstream);
    return true;
}

template <teams::limit_guard_type Guard>
std::optional<routing::candidate> engine<Guard>::pick_upstream(record& entry)
{
    const settings::queue& queue = this->queue_of(entry);
    if (auto found = this->pick_from_pool(entry, queue.pool)) {
        return found;
    }
    const std::string& spare = this->settings_in_force->whole_fleet.spare_pool;
    const bool may_overflow =
        queue.overflow_to_spare && spare != queue.pool && this->wait_queues[spare].size() == 0;
    if (!may_overflow) {
        return std::nullopt;
    }
    auto found = this->pick_from_pool(entry, spare);
    this->counts.overflowed += found ? 1 : 0;
    return found;
}

template <teams::limit_guard_type Guard>
std::optional<routing::candidate> engine<Guard>::pick_from_pool(record& entry,
                                                                const std::string& pool)
{
    routing::placement_query query;
    query.pool = pool;
    query.need = teams::resources_of(entry.size);
    if (this->options.fault == injected_fault::ignore_slots) {
        query.need = {};
    }
    query.repeatable = entry.repeatable;
    query.urgent = entry.request.urgent;
    query.avoid = entry.avoid;
    auto found = this->view.pick(query, this->now);
    if (!found && !entry.avoid.empty()) {
        // No other upstream has capacity: fall back to those tried before.
        query.avoid.clear();
        found = this->view.pick(query, this->now);
    }
    if (found) {
        entry.pool = pool;
    }
    return found;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::start(record& entry, const routing::candidate& upstream)
{
    const teams::resources need = teams::resources_of(entry.size);
    this->guard.acquire(entry.caller.team);
    this->shares.add_running(entry.caller.team, need);
    const std::int64_t own = this->view.add_local_task(upstream.vm, need);
    entry.holds_capacity = true;
    this->check_start_invariants(entry, upstream.vm, own);
    ++entry.attempt_number;
    ++entry.attempts;
    ++entry.unresolved_attempts;
    entry.queries = 0;
    entry.attempt = attempt_id{entry.task, entry.attempt_number, upstream.vm, upstream.epoch};
    entry.address = upstream.address;
    entry.started_at = this->now;
    transition_to(entry, stage::placed, this->invariants);
    ++this->counts.starts;
    this->pending_actions.push_back(start_task{*entry.attempt, entry.address, entry.request.id,
                                               entry.caller.team, entry.request.queue,
                                               entry.request.body, entry.size});
}

template <teams::limit_guard_type Guard>
void engine<Guard>::check_start_invariants(const record& entry, const std::string& vm,
                                           std::int64_t own_tasks)
{
    using common::invariant;
    const auto& settings = *this->settings_in_force;
    const bool open_without_key = entry.caller.key_id.empty() && this->queue_of(entry).open &&
                                  entry.caller.team == this->queue_of(entry).open_team;
    const auto key_owner = teams::authenticate(settings, entry.request.presented_key);
    this->invariants.check(
        invariant::team_of_key,
        open_without_key || (key_owner && key_owner.value() == entry.caller),
        [&] { return entry.request.id + " starts under team " + entry.caller.team; });
    this->invariants.check(
        invariant::upper_limit,
        this->guard.running(entry.caller.team) <= this->guard.allowed(entry.caller.team), [&] {
            return "team " + entry.caller.team + " runs " +
                   std::to_string(this->guard.running(entry.caller.team)) +
                   " tasks, limit on this node " +
                   std::to_string(this->guard.allowed(entry.caller.team));
        });
    this->invariants.check(
        invariant::at_most_once, entry.repeatable || entry.unresolved_attempts == 0,
        [&] { return entry.request.id + " starts again, but an earlier attempt may have run"; });
    this->invariants.check(
        invariant::slots_not_oversold, own_tasks <= this->view.declared_slots(vm), [&] {
            return vm + " is assigned " + std::to_string(own_tasks) + " tasks, more than its slots";
        });
}

} // namespace chervilslip::requests
