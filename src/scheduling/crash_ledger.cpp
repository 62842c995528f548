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

void crash_ledger::add(const worker_entry& lost, std::vector<jobs::task_id> tasks,
                       common::steady_time now)
{
    if (tasks.empty()) {
        return;
    }
    loss& known = this->losses[lost.instance];
    known.worker = lost;
    known.at = now;
    for (jobs::task_id& each : tasks) {
        ++this->count_by_task[each];
        known.tasks.push_back(std::move(each));
    }
}

void crash_ledger::forget(const loss& lost)
{
    for (const jobs::task_id& each : lost.tasks) {
        const auto found = this->count_by_task.find(each);
        if (--found->second == 0) {
            this->count_by_task.erase(found);
        }
    }
}

std::vector<jobs::task_id> crash_ledger::take_crashed(const worker_entry& added)
{
    std::vector<jobs::task_id> crashed;
    std::erase_if(this->losses, [&](const auto& each) {
        const worker_entry& lost = each.second.worker;
        const bool replaced =
            lost.instance.started_at_ms < added.instance.started_at_ms &&
            (lost.instance.id == added.instance.id || (!lost.vm.empty() && lost.vm == added.vm));
        if (replaced && (lost.pool.empty() || lost.pool == added.pool)) {
            crashed.insert(crashed.end(), each.second.tasks.begin(), each.second.tasks.end());
        }
        if (replaced) {
            this->forget(each.second);
        }
        return replaced;
    });
    return crashed;
}

void crash_ledger::remove(const worker_instance& alive)
{
    const auto found = this->losses.find(alive);
    if (found != this->losses.end()) {
        this->forget(found->second);
        this->losses.erase(found);
    }
}

void crash_ledger::expire(common::steady_time now)
{
    std::erase_if(this->losses, [this, now](const auto& each) {
        const bool expired = now >= each.second.at + loss_retention;
        if (expired) {
            this->forget(each.second);
        }
        return expired;
    });
}

std::int64_t crash_ledger::count(const jobs::task_id& task) const
{
    const auto found = this->count_by_task.find(task);
    return found == this->count_by_task.end() ? 0 : found->second;
}

} // namespace chervilslip::scheduling
