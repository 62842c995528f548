#include "scheduling/crash_ledger.h"

namespace chervilslip::scheduling {

namespace {

/// An instance that has been lost for this long is no longer expected back.
constexpr common::milliseconds loss_retention{30'000};

} // namespace

worker_loss loss_of_replaced(const worker_state& lost, const worker_entry& successor)
{
    // The pool is unknown if only the journal names the instance.
    const bool moved = !lost.entry.pool.empty() && lost.entry.pool != successor.pool;
    return lost.entry.draining || lost.cordoned || moved ? worker_loss::planned
                                                         : worker_loss::crashed;
}

void crash_ledger::add(const worker_entry& lost, std::vector<lost_start> starts,
                       common::steady_time now)
{
    if (starts.empty()) {
        return;
    }
    loss& known = this->losses[lost.instance];
    known.worker = lost;
    known.at = now;
    for (lost_start& each : starts) {
        ++this->count_by_task[each.task];
        known.starts.push_back(std::move(each));
    }
}

void crash_ledger::forget(const loss& lost)
{
    for (const lost_start& each : lost.starts) {
        const auto found = this->count_by_task.find(each.task);
        if (--found->second == 0) {
            this->count_by_task.erase(found);
        }
    }
}

std::vector<lost_start> crash_ledger::take_crashed(const worker_entry& added)
{
    std::vector<lost_start> crashed;
    std::erase_if(this->losses, [&](const auto& each) {
        const worker_entry& lost = each.second.worker;
        const bool replaced =
            lost.instance.started_at_ms < added.instance.started_at_ms &&
            (lost.instance.id == added.instance.id || (!lost.vm.empty() && lost.vm == added.vm));
        if (replaced && (lost.pool.empty() || lost.pool == added.pool)) {
            crashed.insert(crashed.end(), each.second.starts.begin(), each.second.starts.end());
        }
        if (replaced) {
            this->forget(each.second);
        }
        return replaced;
    });
    return crashed;
}

std::vector<lost_start> crash_ledger::take_alive(const worker_instance& alive)
{
    const auto found = this->losses.find(alive);
    if (found == this->losses.end()) {
        return {};
    }
    this->forget(found->second);
    std::vector<lost_start> starts = std::move(found->second.starts);
    this->losses.erase(found);
    return starts;
}

std::vector<lost_start> crash_ledger::take_expired(common::steady_time now)
{
    std::vector<lost_start> expired;
    std::erase_if(this->losses, [&](const auto& each) {
        const auto& [instance, lost] = each;
        const bool is_expired = now >= lost.at + loss_retention;
        if (is_expired) {
            this->forget(lost);
            expired.insert(expired.end(), lost.starts.begin(), lost.starts.end());
        }
        return is_expired;
    });
    return expired;
}

std::int64_t crash_ledger::count(const jobs::task_id& task) const
{
    const auto found = this->count_by_task.find(task);
    return found == this->count_by_task.end() ? 0 : found->second;
}

} // namespace chervilslip::scheduling
