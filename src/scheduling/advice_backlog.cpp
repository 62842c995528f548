#include "scheduling/advice_backlog.h"

#include <algorithm>

namespace chervilslip::scheduling {

namespace {

/// One call is decided while the next one is on its way to the service.
constexpr std::size_t max_calls = 2;

/// A service whose last answer took longer gets one call at a time, so that a call waits for no
/// other one within its time limit.
constexpr common::milliseconds quick_response{800};

constexpr std::size_t max_workers_alone = 30;

/// While other steps wait. Enough for a step to start on, and the others get their turns earlier.
constexpr std::size_t max_workers_shared = 10;

/// Calls pause for this time after a failed call, and twice as long after each further one.
constexpr common::milliseconds first_pause{100};
constexpr common::milliseconds max_pause{1600};

common::milliseconds pause_after(std::int64_t failures)
{
    common::milliseconds pause = first_pause;
    for (std::int64_t i = 1; i < failures && pause < max_pause; ++i) {
        pause *= 2;
    }
    return pause;
}

} // namespace

void advice_backlog::begin_round()
{
    ++this->round;
}

void advice_backlog::add(const step_id& step, common::steady_time now)
{
    this->waiting.try_emplace(step, waiting_step{now, this->round}).first->second.round =
        this->round;
}

void advice_backlog::remove_job(const std::string& job)
{
    const auto first = this->waiting.lower_bound({job, 0, 0});
    const auto last = std::find_if(first, this->waiting.end(),
                                   [&job](const auto& each) { return each.first.job != job; });
    this->waiting.erase(first, last);
}

bool advice_backlog::is_quick() const
{
    return this->failures == 0 && this->response_time && *this->response_time <= quick_response;
}

bool advice_backlog::is_askable(const step_id& step, const waiting_step& state) const
{
    return state.round == this->round && !this->sent_at.contains(step);
}

bool advice_backlog::may_call(common::steady_time now) const
{
    return now >= this->resume_at && this->sent_at.size() < (this->is_quick() ? max_calls : 1);
}

std::vector<step_id> advice_backlog::oldest_first() const
{
    std::vector<std::pair<common::steady_time, const step_id*>> askable;
    for (const auto& [step, state] : this->waiting) {
        if (this->is_askable(step, state)) {
            askable.emplace_back(state.since, &step);
        }
    }
    std::stable_sort(askable.begin(), askable.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<step_id> steps;
    steps.reserve(askable.size());
    for (const auto& [ignored, step] : askable) {
        steps.push_back(*step);
    }
    return steps;
}

std::size_t advice_backlog::max_workers() const
{
    const auto askable =
        std::count_if(this->waiting.begin(), this->waiting.end(), [this](const auto& each) {
            return this->is_askable(each.first, each.second);
        });
    return this->is_quick() && askable <= 1 ? max_workers_alone : max_workers_shared;
}

void advice_backlog::handle_request(const step_id& step, common::steady_time now)
{
    this->sent_at[step] = now;
}

void advice_backlog::handle_response(const step_id& step, bool answered, common::steady_time now)
{
    const auto call = this->sent_at.find(step);
    if (call == this->sent_at.end()) {
        return;
    }
    if (answered) {
        this->failures = 0;
        this->response_time = std::chrono::duration_cast<common::milliseconds>(now - call->second);
        this->waiting.erase(step);
    } else {
        this->resume_at = now + pause_after(++this->failures);
        // Behind the others, so that a step that the service never answers for holds up none.
        const auto found = this->waiting.find(step);
        if (found != this->waiting.end()) {
            found->second.since = now;
        }
    }
    this->sent_at.erase(call);
}

} // namespace chervilslip::scheduling
