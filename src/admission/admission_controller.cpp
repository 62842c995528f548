#include "admission/admission_controller.h"

#include <cmath>
#include <utility>

namespace chervilslip::admission {

namespace {

using common::milliseconds;

/// Pressure is 1 at the bound of overload.
constexpr double overloaded = 1.0;

/// Queues count as shrinking when the pressure falls below this part of its earlier value.
constexpr double shrinking = 0.95;

/// A signal as a part of its bound of overload; below 0 while it is calm.
double relative(milliseconds value, milliseconds calm, milliseconds bound)
{
    return static_cast<double>((value - calm).count()) /
           static_cast<double>((bound - calm).count());
}

} // namespace

admission_controller::admission_controller(common::steady_time now, controller_options tuning)
    : options(tuning), interval_begin(now), interval_end(now + tuning.interval)
{
}

void admission_controller::on_job(std::int64_t tasks)
{
    this->tasks_received += tasks;
}

void admission_controller::on_command_sent()
{
    ++this->commands_open;
}

void admission_controller::on_command_completed(milliseconds round_trip, milliseconds gathered)
{
    this->commands_open -= std::min<std::size_t>(this->commands_open, 1);
    this->round_trips.push_back(std::max(round_trip - gathered, milliseconds(0)));
}

void admission_controller::on_timer(milliseconds lag)
{
    this->timer_lag_sum += std::max(lag, milliseconds(0));
    ++this->timer_count;
}

bool admission_controller::is_due(common::steady_time now) const
{
    return now >= this->interval_end;
}

void admission_controller::on_backlog(std::int64_t tasks)
{
    this->backlog = tasks;
}

void admission_controller::tick(common::steady_time now)
{
    if (!this->is_due(now)) {
        return;
    }
    this->update_signals();
    const double pressure_now = this->pressure();
    this->update_rates(now, pressure_now >= overloaded);
    this->update_share(pressure_now);
    this->last_pressure = pressure_now;
    this->interval_begin = now;
    this->interval_end = now + this->options.interval;
    this->may_publish = true;
}

double admission_controller::pressure() const
{
    return std::max(relative(this->latest.round_trip, this->options.calm_round_trip,
                             this->options.overloaded_round_trip),
                    relative(this->latest.timer_lag, this->options.calm_timer_lag,
                             this->options.overloaded_timer_lag));
}

void admission_controller::update_signals()
{
    this->latest.round_trip = {};
    this->latest.timer_lag = {};
    if (this->round_trips.size() >= this->options.min_samples) {
        // The median, because a few slow workers or relays do not show that the owner is slow.
        const auto middle =
            this->round_trips.begin() + static_cast<std::ptrdiff_t>(this->round_trips.size() / 2);
        std::nth_element(this->round_trips.begin(), middle, this->round_trips.end());
        this->latest.round_trip = *middle;
    } else if (this->round_trips.empty() && this->open_at_start >= this->options.min_samples) {
        this->latest.round_trip = this->options.overloaded_round_trip;
    }
    if (this->timer_count > 0) {
        this->latest.timer_lag = this->timer_lag_sum / this->timer_count;
    }
    this->timer_lag_sum = milliseconds(0);
    this->timer_count = 0;
    this->open_at_start = this->commands_open;
}

void admission_controller::update_rates(common::steady_time now, bool is_overloaded)
{
    const double elapsed = std::chrono::duration<double>(now - this->interval_begin).count();
    const auto mix = [this](double& average, double value) {
        average = average == 0.0 ? value : average + this->options.rate_weight * (value - average);
    };
    mix(this->latest.offered_rate,
        static_cast<double>(this->tasks_received) / elapsed / this->published_share);
    if (is_overloaded) {
        mix(this->latest.handled_rate, static_cast<double>(this->round_trips.size()) / elapsed);
    }
    this->tasks_received = 0;
    this->round_trips.clear();
}

void admission_controller::update_share(double pressure_now)
{
    const double sustainable =
        this->latest.handled_rate == 0.0
            ? 1.0
            : std::min(1.0, this->latest.handled_rate / std::max(1.0, this->latest.offered_rate));
    const double drained_rate = static_cast<double>(this->backlog) /
                                std::chrono::duration<double>(this->options.drain_time).count();
    const double draining_share = this->options.draining * sustainable -
                                  drained_rate / std::max(1.0, this->latest.offered_rate);
    double& share = this->current_share;
    const bool is_first = share == 1.0 && this->last_pressure < overloaded;
    if (pressure_now >= overloaded && !is_first &&
        pressure_now >= this->last_pressure * shrinking) {
        share = std::clamp(std::max(draining_share, 0.0), share * this->options.max_decrease,
                           share * this->options.min_decrease);
    } else if (pressure_now < 0.0) {
        share *= share < draining_share ? this->options.fast_increase : this->options.increase;
    }
    share = std::clamp(share, this->options.min_share, 1.0);
    if (share == 1.0 && pressure_now < 0.0) {
        this->latest.handled_rate = 0.0; // may be out of date at the next overload
    }
}

std::optional<double> admission_controller::take_publication()
{
    if (!std::exchange(this->may_publish, false)) {
        return std::nullopt;
    }
    const double change = std::abs(this->current_share - this->published_share);
    const bool is_full_again = this->current_share >= 1.0 && this->published_share < 1.0;
    const bool is_notable = change >= this->options.notable_change * this->published_share;
    if (!this->stored_share_unknown && !is_full_again && !is_notable) {
        return std::nullopt;
    }
    this->stored_share_unknown = false;
    this->earlier_published_share = std::exchange(this->published_share, this->current_share);
    return this->published_share;
}

void admission_controller::on_publication_failed()
{
    this->published_share = this->earlier_published_share;
    this->stored_share_unknown = true;
}

double admission_controller::share() const
{
    return this->current_share;
}

const controller_signals& admission_controller::signals() const
{
    return this->latest;
}

} // namespace chervilslip::admission
