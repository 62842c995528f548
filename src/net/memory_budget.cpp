#include "net/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace chervilslip::net {

namespace {

/// An answer of which the client has taken nothing for this long counts as not being read. A client
/// over a slow link takes a part of a socket buffer several times a second.
constexpr common::milliseconds unread_time{1000};

/// Shedding goes on until this part of the total is free, so that the accounts are not searched for
/// every byte over the total.
constexpr std::size_t free_divisor = 8;

std::uint64_t elapsed_ms(common::steady_time begin, common::steady_time end)
{
    const auto elapsed = std::chrono::duration_cast<common::milliseconds>(end - begin).count();
    return elapsed < 0 ? 0 : static_cast<std::uint64_t>(elapsed);
}

} // namespace

memory_budget::memory_budget(std::size_t total_bytes) : total(total_bytes)
{
}

memory_budget::account_id memory_budget::open(common::steady_time now)
{
    if (this->unused.empty()) {
        this->unused.push_back(this->accounts.size());
        this->accounts.emplace_back();
    }
    const account_id id = this->unused.back();
    this->unused.pop_back();
    this->accounts[id] = {0, now, this->opened++, connection_phase::idle, true};
    return id;
}

void memory_budget::close(account_id account)
{
    this->set_held(account, 0);
    this->accounts[account].is_open = false;
    this->unused.push_back(account);
}

void memory_budget::set_held(account_id account, std::size_t bytes)
{
    std::size_t& held = this->accounts[account].held;
    this->held_by_all = this->held_by_all - held + bytes;
    held = bytes;
}

void memory_budget::set_phase(account_id account, connection_phase phase, common::steady_time now)
{
    this->accounts[account].phase = phase;
    this->accounts[account].since = now;
}

void memory_budget::note_progress(account_id account, common::steady_time now)
{
    this->accounts[account].since = now;
}

std::size_t memory_budget::held() const
{
    return this->held_by_all;
}

bool memory_budget::is_exceeded() const
{
    return this->held_by_all > this->total;
}

bool memory_budget::may_be_shed(const account& of, common::steady_time now)
{
    switch (of.phase) {
    case connection_phase::receiving:
        return of.is_open;
    case connection_phase::sending:
        return of.is_open && now - of.since >= unread_time;
    default:
        return false;
    }
}

std::vector<memory_budget::account_id> memory_budget::choose_to_shed(common::steady_time now) const
{
    if (!this->is_exceeded()) {
        return {};
    }
    using candidate = std::tuple<std::uint64_t, std::uint64_t, account_id>;
    std::vector<candidate> candidates;
    for (account_id id = 0; id < this->accounts.size(); ++id) {
        const account& each = this->accounts[id];
        if (may_be_shed(each, now)) {
            const std::uint64_t cost = each.held * (elapsed_ms(each.since, now) + 1);
            candidates.emplace_back(cost, ~each.number, id);
        }
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>{});
    const std::size_t target = this->total - this->total / free_divisor;
    std::size_t left = this->held_by_all;
    std::vector<account_id> chosen;
    for (const candidate& each : candidates) {
        if (left <= target) {
            break;
        }
        chosen.push_back(std::get<2>(each));
        left -= this->accounts[chosen.back()].held;
    }
    return chosen;
}

std::optional<memory_budget::account_id>
memory_budget::longest_idle(common::steady_time now, common::milliseconds min_time) const
{
    std::optional<account_id> longest;
    for (account_id id = 0; id < this->accounts.size(); ++id) {
        const account& each = this->accounts[id];
        if (each.is_open && each.phase == connection_phase::idle && now - each.since >= min_time &&
            (!longest || each.since < this->accounts[*longest].since)) {
            longest = id;
        }
    }
    return longest;
}

} // namespace chervilslip::net
