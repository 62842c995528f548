#include "scheduling/worker_book.h"

namespace chervilslip::scheduling {

namespace {

// A worker's clock may run 2% slow, and an answer takes its time; both lengthen what a lease lasts.
constexpr double slow_clock = 1.03;
constexpr common::milliseconds answer_margin{150};

} // namespace

std::int64_t worker_state::clock_at(common::steady_time now) const
{
    const auto passed = std::chrono::duration_cast<common::milliseconds>(now - this->clock_read);
    return this->clock_ms + passed.count();
}

void worker_state::extend(std::int64_t deadline_ms)
{
    const auto left = static_cast<double>(deadline_ms - this->clock_ms) * slow_clock;
    const auto until =
        this->clock_read + common::milliseconds(static_cast<std::int64_t>(left)) + answer_margin;
    this->runs_until = std::max(this->runs_until, until);
}

teams::resources worker_state::free() const
{
    teams::resources rest = this->entry.capacity;
    rest -= this->used;
    return rest;
}

void worker_state::acknowledge_durable()
{
    while (!this->pending.empty() && this->pending.front().durable) {
        this->acknowledged = std::max(this->acknowledged, this->pending.front().number);
        this->pending.pop_front();
    }
}

teams::resources footprint(const jobs::step& of)
{
    teams::resources taken = of.task_resources;
    if (of.best_effort) {
        taken.processors = 0;
    }
    return taken;
}

} // namespace chervilslip::scheduling
