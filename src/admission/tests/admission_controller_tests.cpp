#include <criterion/criterion.h>

#include <deque>
#include <queue>

#include "admission/admission_controller.h"
#include "admission/admission_gate.h"

namespace {

using namespace chervilslip;
using admission::admission_controller;
using common::milliseconds;

constexpr std::int64_t us_per_ms = 1000;
constexpr std::int64_t us_per_s = 1'000'000;

common::steady_time at_us(std::int64_t us)
{
    return common::steady_time(std::chrono::hours(1) + std::chrono::microseconds(us));
}

/// An owner that handles one event after another, each at the same cost, in virtual time. A job
/// starts its tasks when it is handled; the result of each start and the end of each run are
/// events. Jobs arrive evenly.
class owner_model {
public:
    static constexpr int tasks_per_job = 10;
    static constexpr int events_per_job = 1 + 2 * tasks_per_job;
    static constexpr std::int64_t normal_cost_us = 200; ///< 238 jobs a second
    static constexpr std::int64_t start_us = 20 * us_per_ms;
    static constexpr std::int64_t run_us = 600 * us_per_ms;
    static constexpr std::int64_t publication_us = 20 * us_per_ms;
    static constexpr std::int64_t tick_us = 15 * us_per_ms;

    struct span_counts {
        int arrived = 0;
        int refused = 0;
        int served = 0; ///< completed within the time that callers wait
    };

    /// Makes arrivals at a multiple of the rate that the owner can handle at its normal cost.
    explicit owner_model(bool is_controlled = true) : controlled(is_controlled)
    {
    }

    static double max_jobs_per_second(std::int64_t cost_us)
    {
        return static_cast<double>(us_per_s) / static_cast<double>(cost_us * events_per_job);
    }

    /// Plays some seconds with arrivals at a rate, and events at a cost.
    span_counts play(int seconds, double jobs_per_second, std::int64_t cost_us)
    {
        this->counts = {};
        const std::int64_t until = this->now + seconds * us_per_s;
        const auto gap = static_cast<std::int64_t>(us_per_s / jobs_per_second);
        this->next_arrival = std::max(this->next_arrival, this->now);
        while (this->now < until) {
            this->now = std::min({until, this->next_arrival, this->next_tick,
                                  this->timed.empty() ? until : this->timed.top().at,
                                  this->queue.empty() ? until : this->free_at});
            this->step(gap, cost_us);
        }
        return this->counts;
    }

    admission_controller controller{at_us(0)};
    admission::admission_gate gate;
    int share_rises_and_falls = 0; ///< changes of direction of the published share

private:
    static constexpr std::int64_t patience_us = 3 * us_per_s;

    struct job {
        std::int64_t arrived_at = 0;
        int open_tasks = tasks_per_job;
    };
    enum class kind { arrival, start_result, run_end, publication };
    struct event {
        std::int64_t at = 0;
        kind what = kind::arrival;
        std::shared_ptr<job> of;
        std::int64_t sent_at = 0;
        double share = 1.0;
        bool operator<(const event& other) const
        {
            return this->at > other.at;
        }
    };

    void step(std::int64_t gap, std::int64_t cost_us)
    {
        if (this->now >= this->next_arrival) {
            this->next_arrival += gap;
            this->arrive(cost_us);
        }
        while (!this->timed.empty() && this->timed.top().at <= this->now) {
            const event next = this->timed.top();
            this->timed.pop();
            if (next.what == kind::publication) {
                this->gate.observe_share({next.share, 1}, ++this->revision);
            } else {
                this->enqueue(next, cost_us);
            }
        }
        if (!this->queue.empty() && this->now >= this->free_at) {
            const event next = this->queue.front();
            this->queue.pop_front();
            this->free_at = this->now + cost_us;
            this->handle(next);
        }
        if (this->now >= this->next_tick) {
            this->next_tick += tick_us;
            this->controller.on_timer(milliseconds(0));
            this->controller.tick(at_us(this->now));
            const auto share = this->controller.take_publication();
            if (share && this->controlled) {
                this->note_direction(*share);
                this->timed.push(
                    {this->now + publication_us, kind::publication, nullptr, 0, *share});
            }
        }
    }

    void arrive(std::int64_t cost_us)
    {
        ++this->counts.arrived;
        if (!this->gate.admits(std::to_string(++this->last_id))) {
            ++this->counts.refused;
            return;
        }
        this->enqueue({this->now, kind::arrival, std::make_shared<job>(job{this->now})}, cost_us);
    }

    void enqueue(const event& next, std::int64_t cost_us)
    {
        if (this->queue.empty()) {
            this->free_at = std::max(this->free_at, this->now + cost_us);
        }
        this->queue.push_back(next);
    }

    void handle(const event& next)
    {
        switch (next.what) {
        case kind::arrival:
            this->controller.on_job(tasks_per_job);
            for (int i = 0; i < tasks_per_job; ++i) {
                this->controller.on_command_sent();
                this->timed.push({this->now + start_us, kind::start_result, next.of, this->now});
                this->timed.push({this->now + run_us, kind::run_end, next.of});
            }
            break;
        case kind::start_result:
            this->controller.on_command_completed(
                milliseconds((this->now - next.sent_at) / us_per_ms));
            break;
        case kind::run_end:
            if (--next.of->open_tasks == 0 && this->now - next.of->arrived_at <= patience_us) {
                ++this->counts.served;
            }
            break;
        case kind::publication:
            break;
        }
    }

    void note_direction(double share)
    {
        const bool rises = share > this->last_share;
        this->share_rises_and_falls += rises != this->rising ? 1 : 0;
        this->rising = rises;
        this->last_share = share;
    }

    bool controlled;
    std::int64_t now = 0;
    std::int64_t next_arrival = 0;
    std::int64_t next_tick = 0;
    std::int64_t free_at = 0;
    std::int64_t last_id = 0;
    std::int64_t revision = 1;
    double last_share = 1.0;
    bool rising = false;
    span_counts counts;
    std::priority_queue<event> timed;
    std::deque<event> queue;
};

constexpr std::int64_t cost = owner_model::normal_cost_us;

Test(admission_controller, refuses_nothing_while_the_owner_can_handle_the_load)
{
    // given
    owner_model model;

    // when
    const auto counts = model.play(20, 0.85 * owner_model::max_jobs_per_second(cost), cost);

    // then
    cr_assert(counts.refused == 0);
    cr_assert(model.share_rises_and_falls == 0);
}

/// Plays an overload after a calm time, and checks that the loss is in proportion to it.
void check_overload(double load)
{
    owner_model model;
    const double handled = owner_model::max_jobs_per_second(cost);
    model.play(3, 0.5 * handled, cost);

    // when: the first seconds are left to the controller
    model.play(3, load * handled, cost);
    const auto counts = model.play(20, load * handled, cost);

    // then: most of what the owner can handle is served, and hardly anything is accepted in vain
    cr_assert(counts.served >= 0.75 * 20 * handled, "load %g: served %d of %g", load, counts.served,
              20 * handled);
    const int accepted = counts.arrived - counts.refused;
    cr_assert(counts.served >= 0.9 * accepted, "load %g: served %d of %d accepted", load,
              counts.served, accepted);

    // when
    model.play(5, 0.5 * handled, cost);
    const auto later = model.play(3, 0.5 * handled, cost);

    // then
    cr_assert(model.controller.share() == 1.0, "share %f", model.controller.share());
    cr_assert(later.refused == 0);
}

Test(admission_controller, serves_in_proportion_when_load_is_half_more_than_the_owner_can_handle)
{
    check_overload(1.5);
}

Test(admission_controller, serves_in_proportion_when_load_is_three_times_what_the_owner_can_handle)
{
    check_overload(3.0);
}

Test(admission_controller, loss_of_more_than_half_of_the_processor_loses_no_more_of_the_jobs)
{
    // given
    owner_model model;
    const double rate = 0.8 * owner_model::max_jobs_per_second(cost);
    model.play(3, rate, cost);

    // when
    constexpr std::int64_t slow_cost = cost * 5 / 2;
    model.play(2, rate, slow_cost);
    const auto slow = model.play(30, rate, slow_cost);
    model.play(6, rate, cost);
    const auto after = model.play(5, rate, cost);

    // then
    cr_assert(slow.served >= 0.75 * 30 * owner_model::max_jobs_per_second(slow_cost), "served %d",
              slow.served);
    cr_assert(after.refused == 0 && after.served >= 0.97 * after.arrived, "refused %d, served %d",
              after.refused, after.served);
}

Test(admission_controller, one_long_turn_of_the_event_loop_does_not_count_as_an_overload)
{
    // given
    admission_controller controller(at_us(0));

    // when
    controller.on_timer(milliseconds(400));
    controller.tick(at_us(400 * us_per_ms));
    controller.on_timer(milliseconds(0));
    controller.tick(at_us(650 * us_per_ms));

    // then
    cr_assert(controller.share() == 1.0);
}

/// Returns the share after a second of overload in which an owner handled what was offered.
double share_after_overload(std::int64_t backlog)
{
    admission_controller controller(at_us(0));
    for (int i = 1; i <= 4; ++i) {
        controller.on_job(250);
        for (int k = 0; k < 250; ++k) {
            controller.on_command_sent();
            controller.on_command_completed(milliseconds(500));
        }
        controller.on_backlog(backlog);
        controller.tick(at_us(i * 250 * us_per_ms));
    }
    return controller.share();
}

Test(admission_controller, accepted_tasks_that_wait_are_started_before_as_many_are_accepted)
{
    // given: 1,000 tasks a second are offered and handled
    const double without_backlog = share_after_overload(0);

    // when: two seconds of work wait
    const double with_backlog = share_after_overload(2000);

    // then
    cr_assert(without_backlog > 0.5, "share %f", without_backlog);
    cr_assert(with_backlog < 0.2, "share %f", with_backlog);
}

Test(admission_controller, few_slow_workers_do_not_count_as_an_overload)
{
    // given
    admission_controller controller(at_us(0));

    // when
    for (int i = 1; i <= 100; ++i) {
        for (int k = 0; k < 100; ++k) {
            controller.on_command_sent();
            controller.on_command_completed(milliseconds(k < 40 ? 800 : 20));
        }
        controller.tick(at_us(i * 250 * us_per_ms));
    }

    // then
    cr_assert(controller.share() == 1.0);
}

Test(admission_controller, commands_held_back_to_be_sent_with_others_do_not_count_as_an_overload)
{
    // given
    admission_controller controller(at_us(0));

    // when
    for (int i = 1; i <= 100; ++i) {
        for (int k = 0; k < 100; ++k) {
            controller.on_command_sent();
            controller.on_command_completed(milliseconds(160), milliseconds(80));
        }
        controller.tick(at_us(i * 250 * us_per_ms));
    }

    // then
    cr_assert(controller.share() == 1.0);
}

Test(admission_controller, starts_without_any_result_count_as_an_overload)
{
    // given
    admission_controller controller(at_us(0));
    for (int k = 0; k < 100; ++k) {
        controller.on_command_sent();
    }

    // when
    for (int i = 1; i <= 4; ++i) {
        controller.tick(at_us(i * 250 * us_per_ms));
    }

    // then
    cr_assert(controller.share() < 1.0);
}

Test(admission_controller, a_share_that_could_not_be_stored_is_published_again)
{
    // given
    admission_controller controller(at_us(0));
    for (int i = 1; i <= 2; ++i) {
        for (int k = 0; k < 100; ++k) {
            controller.on_command_completed(milliseconds(500));
        }
        controller.tick(at_us(i * 250 * us_per_ms));
    }
    cr_assert(controller.take_publication().has_value());
    cr_assert(!controller.take_publication().has_value());

    // when
    controller.on_publication_failed();
    controller.tick(at_us(750 * us_per_ms));

    // then
    cr_assert(controller.take_publication().has_value());
}

Test(admission_controller, a_share_of_unknown_fate_is_published_again_after_the_overload)
{
    // given a publication that is still under way when the owner has recovered
    admission_controller controller(at_us(0));
    for (int i = 1; i <= 2; ++i) {
        for (int k = 0; k < 100; ++k) {
            controller.on_command_completed(milliseconds(500));
        }
        controller.tick(at_us(i * 250 * us_per_ms));
    }
    cr_assert(controller.take_publication().has_value());
    for (int i = 3; i <= 100; ++i) {
        controller.tick(at_us(i * 250 * us_per_ms));
    }
    cr_assert(controller.share() == 1.0);

    // when its response is lost
    controller.on_publication_failed();
    controller.tick(at_us(101 * 250 * us_per_ms));

    // then
    cr_assert(controller.take_publication() == 1.0);
}

} // namespace
