#include "scheduling/crash_ledger.h"

#include <algorithm>
#include <cmath>

namespace chervilslip::scheduling {

namespace {

/// Crashes count towards the rate for this long.
constexpr common::milliseconds rate_window{15'000};

/// A series of crashes that is less likely than this is not chance.
constexpr double significance = 1e-4;

/// An event hits at least this share of a pool's workers, as the loss of a zone or a restart of the
/// pool does.
constexpr double event_share = 0.3;

/// In a small pool with frequent crashes, two others are often a coincidence.
constexpr std::size_t min_event_crashes = 3;

constexpr common::milliseconds first_delay{2000};
constexpr common::milliseconds first_long_delay{60'000};
constexpr common::milliseconds max_delay{600'000};

/// An instance that has been lost for this long is no longer expected back.
constexpr common::milliseconds loss_retention{30'000};

} // namespace

common::milliseconds delay_after_crash(std::int64_t crashes)
{
    const bool is_long = crashes >= max_crashes;
    common::milliseconds delay = is_long ? first_long_delay : first_delay;
    for (auto i = is_long ? max_crashes : max_certain_crashes; i < crashes && delay < max_delay;
         ++i) {
        delay *= 2;
    }
    return std::min(delay, max_delay);
}

void crash_rate::add(const std::vector<lost_start>& starting, common::steady_time now,
                     const std::string& pool)
{
    crash& added = this->crashes.emplace_back();
    added.at = now;
    added.pool = pool;
    for (const lost_start& each : starting) {
        added.starting.push_back(each.task);
    }
    while (now - this->crashes.front().at > rate_window) {
        this->crashes.pop_front();
    }
}

bool crash_rate::explains(const jobs::task_id& task, std::int64_t task_crashes, std::size_t workers,
                          common::steady_time now) const
{
    const auto others =
        std::count_if(this->crashes.begin(), this->crashes.end(), [&](const crash& each) {
            return now - each.at <= rate_window &&
                   std::find(each.starting.begin(), each.starting.end(), task) ==
                       each.starting.end();
        });
    const double windows = std::chrono::duration<double>(start_survival_time) /
                           std::chrono::duration<double>(rate_window);
    const double crashes_in_start = windows * static_cast<double>(others) /
                                    static_cast<double>(std::max<std::size_t>(workers, 1));
    const double chance = 1.0 - std::exp(-crashes_in_start);
    return std::pow(chance, static_cast<double>(task_crashes)) >= significance;
}

bool crash_rate::is_known(common::steady_time now) const
{
    return now >= this->observed_since + rate_window;
}

bool crash_rate::is_part_of_event(const std::string& job, const std::string& pool,
                                  std::size_t workers, common::steady_time at) const
{
    const auto share =
        static_cast<std::size_t>(std::ceil(event_share * static_cast<double>(workers)));
    const std::size_t needed = std::max(share, min_event_crashes);
    std::size_t others = 0;
    auto each = std::lower_bound(
        this->crashes.begin(), this->crashes.end(), at - event_span,
        [](const crash& left, common::steady_time right) { return left.at < right; });
    for (; each != this->crashes.end() && each->at <= at + event_span && others < needed; ++each) {
        const bool is_other =
            each->pool == pool &&
            std::none_of(each->starting.begin(), each->starting.end(),
                         [&job](const jobs::task_id& task) { return task.job == job; });
        others += is_other ? 1 : 0;
    }
    return others >= needed;
}

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
