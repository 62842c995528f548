// Run times of tasks, and the speed of workers.
#include <algorithm>

#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// Interval at which the speed of all workers is judged. A slow worker has to be avoided within 2
/// s.
constexpr common::milliseconds speed_review_interval{100};

/// Slow workers take up to this many times as long. A task with more slack than that takes longer
/// than expected may run on one.
constexpr std::int64_t most_slowdown = 8;

} // namespace

const duration_estimator& scheduler::run_times() const
{
    return this->durations;
}

double scheduler::run_scale(const worker_state& worker, const jobs::step& step) const
{
    const bool is_far = !step.preferred_rack.empty() && worker.entry.rack != step.preferred_rack;
    return is_far ? this->options.far_run_factor : 1.0;
}

step_shape scheduler::run_shape(const worker_state& worker, const active_job& job,
                                jobs::step_index step) const
{
    const jobs::step& spec = job.spec.steps.at(step);
    step_shape shape = shape_of(spec, step);
    const bool is_far = !spec.preferred_rack.empty() && worker.entry.rack != spec.preferred_rack;
    shape.far = is_far && this->options.far_run_factor <= 1.0;
    return shape;
}

void scheduler::begin_run_time(worker_state& worker, const active_job& job,
                               const jobs::task_id& task, open_run& run, common::steady_time now)
{
    const jobs::step& step = job.spec.steps.at(task.step);
    run.resumed = !job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                       .at(task.step)
                       .at(static_cast<std::size_t>(task.index))
                       .checkpoint.empty();
    // A best-effort task takes what others leave, a gang waits for its slowest member.
    if (run.resumed || run.redundant || step.long_running || step.best_effort || step.gang) {
        return;
    }
    const run_time_distribution& times =
        this->durations.of_shape(job.spec.queue, this->run_shape(worker, job, task.step));
    judged_run judged;
    judged.key = run_key(task, run.run);
    judged.step = step_key(task);
    judged.shape = &this->speeds.reference_of(times);
    judged.begun_at = now;
    judged.scale = this->run_scale(worker, step);
    judged.may_be_older = run.inherited;
    worker.speed.worker = std::hash<std::string>{}(worker.entry.instance.id);
    this->speeds.begin(worker.entry.pool, worker.speed, judged);
}

void scheduler::learn_run_time(worker_state& worker, const active_job& job, const open_run& run,
                               const finished_run& finished, common::steady_time now)
{
    if (run.phase != run_phase::running || !finished.checkpoint.empty()) {
        return;
    }
    const auto run_time = std::chrono::duration_cast<common::milliseconds>(now - run.confirmed_at);
    const bool is_whole = !run.resumed && !run.inherited;
    this->durations.add(job.spec.queue, run_time, is_whole);
    const bool is_sample =
        this->speeds.complete(worker.speed, run_key(finished.task, run.run), now);
    if (!is_whole || !is_sample) {
        return;
    }
    const double scale = this->run_scale(worker, job.spec.steps.at(finished.task.step));
    run_time_distribution& times =
        this->durations.of_shape(job.spec.queue, this->run_shape(worker, job, finished.task.step));
    times.add(common::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(run_time.count()) / scale)));
    this->speeds.refresh(times);
}

void scheduler::drop_run_time(worker_state& worker, const jobs::task_id& task, const open_run& run)
{
    if (worker.missed_polls > 0) {
        worker_speed::ignore_open(worker.speed);
    }
    worker_speed::drop(worker.speed, run_key(task, run.run), this->last_now);
}

void scheduler::review_speeds(common::steady_time now)
{
    if (now < this->next_speed_review) {
        return;
    }
    this->next_speed_review = now + speed_review_interval;
    for (const auto& [pool, all] : *this->workers_by_pool) {
        std::vector<worker_speed::pool_worker> usable;
        usable.reserve(all.size());
        for (worker_state* each : all) {
            if (is_usable(*each, now)) {
                usable.push_back({each->entry.instance.id, &each->speed});
            }
        }
        for (const speed_change& each : this->speeds.review(pool, usable, now)) {
            this->record(each.is_slow ? decision_record::kind::worker_slow
                                      : decision_record::kind::worker_recovered,
                         each.worker, each.detail);
        }
    }
}

bool scheduler::has_little_slack(const jobs::task_id& task)
{
    active_job& job = this->jobs_by_id.at(task.job);
    const jobs::step& step = job.spec.steps.at(task.step);
    const rank order = this->rank_of(job, this->last_unix_ms);
    if (step.best_effort) {
        return false;
    }
    const common::milliseconds expected = this->durations.expected(job.spec.queue, step.estimate);
    const auto most_delay = static_cast<double>((most_slowdown - 1) * expected.count());
    return order.group != dispatch_group::likely_in_time || order.score < most_delay;
}

speed_needs scheduler::speed_needs_of(const jobs::task_id& task, const placement_request& request)
{
    if (!this->speeds.avoids_any(request.pool)) {
        return {};
    }
    const active_job& job = this->jobs_by_id.at(task.job);
    const jobs::step& step = job.spec.steps.at(task.step);
    speed_needs needs;
    needs.has_little_slack = this->has_little_slack(task);
    // A task that no other worker could run, whatever runs there now, does not wait.
    const auto& usable = this->round->usable_in(request.pool);
    needs.may_wait =
        needs.has_little_slack && !step.long_running && !step.gang && !request.isolated_task &&
        request.max_per_vm == 0 &&
        std::any_of(usable.begin(), usable.end(), [&request](const worker_state* each) {
            return each->speed.verdict != speed_verdict::slow &&
                   each->entry.capacity.can_fit(request.size) &&
                   has_label(each->entry, request.required_label) &&
                   (request.tickets == nullptr ||
                    request.tickets->contains(each->entry.instance.id));
        });
    const bool is_plain = !step.long_running && !step.gang && !step.best_effort &&
                          !request.retried && !request.suspect && !request.isolated_task;
    const bool is_resumed = !job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                 .at(task.step)
                                 .at(static_cast<std::size_t>(task.index))
                                 .checkpoint.empty();
    needs.is_trial = is_plain && !is_resumed &&
                     this->speeds.is_conclusive(
                         this->durations.find_shape(job.spec.queue, shape_of(step, task.step)));
    return needs;
}

} // namespace chervilslip::scheduling
