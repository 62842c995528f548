#pragma once

#include "requests/engine.h"

// Placement: which waiting request starts next, and on which upstream.
namespace chervilslip::requests {

namespace detail {

/// After so many urgent starts in a row a normal request has its turn.
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
        record& each = this->records.at(waiting.front(team, urgent));
        if (this->place(each)) {
            return true;
        }
    }
    return false;
}

template <teams::limit_guard_type Guard>
bool engine<Guard>::place(record& each)
{
    const auto upstream = this->pick_upstream(each);
    if (!upstream) {
        return false;
    }
    this->wait_queues[each.wait_pool].pop(each.caller.team, each.request.urgent);
    this->start(each, *upstream);
    return true;
}

template <teams::limit_guard_type Guard>
std::optional<routing::candidate> engine<Guard>::pick_upstream(record& each)
{
    const settings::queue& queue = this->queue_of(each);
    if (auto found = this->pick_from_pool(each, queue.pool)) {
        return found;
    }
    const std::string& spare = this->settings_in_force->whole_fleet.spare_pool;
    const bool may_overflow =
        queue.overflow_to_spare && spare != queue.pool && this->wait_queues[spare].size() == 0;
    if (!may_overflow) {
        return std::nullopt;
    }
    auto found = this->pick_from_pool(each, spare);
    this->counts.overflowed += found ? 1 : 0;
    return found;
}

template <teams::limit_guard_type Guard>
std::optional<routing::candidate> engine<Guard>::pick_from_pool(record& each,
                                                                const std::string& pool)
{
    routing::placement_query query;
    query.pool = pool;
    query.need = teams::resources_of(each.size);
    if (this->options.fault == injected_fault::ignore_slots) {
        query.need = {};
    }
    query.repeatable = each.repeatable;
    query.urgent = each.request.urgent;
    query.avoid = each.avoid;
    auto found = this->view.pick(query, this->now);
    if (!found && !each.avoid.empty()) {
        // Every other upstream is taken; one that was tried before is better than none.
        query.avoid.clear();
        found = this->view.pick(query, this->now);
    }
    if (found) {
        each.pool = pool;
    }
    return found;
}

template <teams::limit_guard_type Guard>
void engine<Guard>::start(record& each, const routing::candidate& upstream)
{
    const teams::resources need = teams::resources_of(each.size);
    this->guard.acquire(each.caller.team);
    this->shares.add_running(each.caller.team, need);
    const std::int64_t own = this->view.add_own(upstream.vm, need);
    each.holds_capacity = true;
    this->check_start_invariants(each, upstream.vm, own);
    ++each.attempt_number;
    ++each.attempts;
    ++each.unresolved_attempts;
    each.queries = 0;
    each.attempt = attempt_id{each.task, each.attempt_number, upstream.vm, upstream.epoch};
    each.address = upstream.address;
    each.started_at = this->now;
    transition_to(each, stage::placed, this->invariants);
    ++this->counts.starts;
    this->pending_actions.push_back(start_task{*each.attempt, each.address, each.request.id,
                                               each.caller.team, each.request.queue,
                                               each.request.body, each.size});
}

template <teams::limit_guard_type Guard>
void engine<Guard>::check_start_invariants(const record& each, const std::string& vm,
                                           std::int64_t own_there)
{
    using common::invariant;
    const auto& settings = *this->settings_in_force;
    const bool open_without_key = each.caller.key_id.empty() && this->queue_of(each).open &&
                                  each.caller.team == this->queue_of(each).open_team;
    const auto key_owner = teams::authenticate(settings, each.request.presented_key);
    this->invariants.check(
        invariant::team_of_key, open_without_key || (key_owner && key_owner.value() == each.caller),
        [&] { return each.request.id + " starts for team " + each.caller.team; });
    this->invariants.check(
        invariant::upper_limit,
        this->guard.running(each.caller.team) <= this->guard.allowed(each.caller.team), [&] {
            return "team " + each.caller.team + " has " +
                   std::to_string(this->guard.running(each.caller.team)) + " of " +
                   std::to_string(this->guard.allowed(each.caller.team));
        });
    this->invariants.check(invariant::at_most_once,
                           each.repeatable || each.unresolved_attempts == 0,
                           [&] { return each.request.id + " starts again"; });
    this->invariants.check(invariant::slots_not_oversold,
                           own_there <= this->view.declared_slots(vm),
                           [&] { return vm + " gets " + std::to_string(own_there) + " tasks"; });
}

} // namespace chervilslip::requests
