#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

namespace {

/// A worker's clock may run 2% slow.
constexpr double slowest_clock_rate = 0.98;

// Margins for the time until a lease has surely expired: beside the slow clock, the worker's
// response takes time to arrive.
constexpr double clock_drift_factor = 1.03;
constexpr common::milliseconds response_margin{150};

/// Clock readings are rounded, and the times of events are those of their handling.
constexpr common::milliseconds clock_tolerance{20};

} // namespace

std::int64_t worker_state::clock_at(common::steady_time now) const
{
    if (!this->clock_read_at) {
        return 0;
    }
    const auto elapsed =
        std::chrono::duration_cast<common::milliseconds>(now - *this->clock_read_at);
    const double rate = elapsed.count() > 0 ? slowest_clock_rate : 1.0;
    return this->clock_ms + static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * rate);
}

void worker_state::observe_clock(std::int64_t shown_ms, common::steady_time sent_at,
                                 common::steady_time now)
{
    if (!this->clock_read_at || shown_ms >= this->clock_at(now)) {
        this->clock_ms = shown_ms;
        this->clock_read_at = now;
        this->clock_polled_at = sent_at;
    }
    this->alive_at = std::max(this->alive_at, sent_at);
    const common::milliseconds handled_late(
        std::max<std::int64_t>(this->clock_at(now) - shown_ms, 0));
    this->reported_at = now - handled_late;
}

answering_instance worker_state::answered_by(std::int64_t shown_ms, common::steady_time sent_at,
                                             common::steady_time now) const
{
    if (!this->clock_read_at) {
        return answering_instance::unclear;
    }
    const common::milliseconds shown(shown_ms);
    const common::milliseconds earliest(this->clock_at(sent_at));
    if (shown + clock_tolerance < earliest) {
        return answering_instance::next;
    }
    const auto since_reading =
        std::chrono::duration_cast<common::milliseconds>(now - this->clock_polled_at);
    const common::milliseconds latest =
        common::milliseconds(this->clock_ms) + since_reading + clock_tolerance;
    // The next instance began after the last response of the known one.
    const auto longest_next_life =
        std::chrono::duration_cast<common::milliseconds>(now - this->alive_at) + clock_tolerance;
    return shown <= latest && shown > longest_next_life ? answering_instance::known
                                                        : answering_instance::unclear;
}

std::int64_t worker_state::deadline_within(common::steady_time now, common::milliseconds time) const
{
    return this->clock_at(now + time);
}

void worker_state::extend_leases(std::int64_t deadline_ms, common::steady_time now)
{
    this->deadline_sent_at = std::max(this->deadline_sent_at, now);
    if (!this->clock_read_at) {
        return;
    }
    const auto remaining_ms =
        static_cast<double>(deadline_ms - this->clock_ms) * clock_drift_factor;
    const auto until = *this->clock_read_at +
                       common::milliseconds(static_cast<std::int64_t>(remaining_ms)) +
                       response_margin;
    this->leases_end_by = std::max(this->leases_end_by, until);
}

teams::resources worker_state::free() const
{
    teams::resources unused = this->entry.capacity;
    unused -= this->used;
    return unused;
}

void worker_state::acknowledge_durable()
{
    while (!this->pending_ends.empty() && this->pending_ends.front().durable) {
        this->acknowledged = std::max(this->acknowledged, this->pending_ends.front().number);
        this->pending_ends.pop_front();
    }
}

teams::resources footprint(const jobs::step& step)
{
    teams::resources size = step.task_resources;
    if (step.best_effort) {
        size.processors = 0;
    }
    return size;
}

teams::resources total_of(const teams::resources& size, std::int64_t count)
{
    return {size.processors * count, size.memory_mb * count, size.accelerators * count,
            size.slots * count};
}

} // namespace chervilslip::scheduling
