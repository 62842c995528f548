#include "scheduling/worker_speed.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace chervilslip::scheduling {

namespace {

/// Runs of a shape before its times are compared.
constexpr std::int64_t min_samples = 20;

/// A run is lengthy beyond this multiple of the time within which 9 of 10 runs end. Less than that
/// would take the upper edge of a histogram bucket for the distribution's.
constexpr double upper_share = 0.9;
constexpr double limit_factor = 1.25;

/// Ends are reported with a delay of some 10 ms, more while ends are stored, which would make runs
/// of a few milliseconds lengthy.
constexpr common::milliseconds min_excess{100};

/// 3 in 100 runs take 7 times as long on any worker, also if the samples do not show it yet.
constexpr double tail_share = 0.03;
constexpr double tail_factor = 7.0;

/// From the decision to start a run to its report: journal write, command and poll.
constexpr common::milliseconds start_overhead{150};

/// The speed of a slow worker is assumed to be one in this many of the others'.
constexpr double assumed_slowdown = 5.0;

/// The times of a shape are of use if a slow worker makes runs lengthy so many times as often.
constexpr double min_likelihood_ratio = 4.0;

/// Logarithms of odds. A worker is slow at 100,000 to 1, which takes 4 lengthy runs in a row at a
/// tail of 3 in 100: by chance that happens to one run in 1.2 million (0.03^4). It is suspected at
/// 317 to 1, which takes two.
const double slow_evidence = std::log(100'000.0);
const double suspicion_evidence = slow_evidence / 2;

/// A slow worker is trusted again at odds of 9 to 1, which takes one run that isn't lengthy where
/// run times differ little.
const double recovery_evidence = -std::log(9.0);

/// The runs of a step may be long by their input. As long as none of its tasks ends normally, so
/// many of its runs count on one worker, which is not enough to call it slow.
constexpr std::int64_t counted_runs_of_step = 2;
constexpr std::int64_t normal_ends_to_trust_step = 3;
constexpr std::size_t max_known_steps = 10'000;

/// Runs that are remembered of each worker, and for how long while it is not slow.
constexpr std::size_t max_runs = 64;
constexpr common::milliseconds memory{30'000};

/// One in this many of the usable workers of a pool may be avoided. If more are slow, the pool is.
constexpr std::size_t workers_per_slow = 3;

/// A lengthy run counts once runs of its shape that began after it took a normal time on so many
/// other workers. Otherwise the run times may have changed, not the worker.
constexpr std::size_t normal_workers = 2;

/// A run with much slack tries a slow worker after this pause.
constexpr common::milliseconds cheap_trial_pause{500};

/// One with little slack tries it after this pause and as many starts on an average worker of the
/// pool, so that it gets a twentieth of theirs. After the long pause it tries it in any case.
constexpr common::milliseconds trial_pause{2000};
constexpr double starts_per_trial = 20.0;
constexpr common::milliseconds long_trial_pause{10'000};

common::milliseconds scaled(common::milliseconds time, double factor)
{
    return common::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/// Returns the time from one point to another, divided by `scale`.
common::milliseconds elapsed(common::steady_time from, common::steady_time to, double scale)
{
    return scaled(std::chrono::duration_cast<common::milliseconds>(to - from), 1 / scale);
}

/// Records that a run of a shape took a normal time.
void note_normal(shape_reference& shape, std::uint64_t worker, common::steady_time begun_at)
{
    auto& runs = shape.normal_runs;
    auto place = std::find_if(runs.begin(), runs.end(),
                              [worker](const auto& each) { return each.worker == worker; });
    if (place == runs.end()) {
        place = std::prev(runs.end()); // the earliest one
    }
    if (place->begun_at < begun_at) {
        *place = {worker, begun_at};
        std::sort(runs.begin(), runs.end(), [](const auto& left, const auto& right) {
            return left.begun_at > right.begun_at;
        });
    }
}

judged_run* find_open(speed_record& worker, std::uint64_t key)
{
    const auto found =
        std::find_if(worker.runs.rbegin(), worker.runs.rend(), [key](const judged_run& each) {
            return each.key == key && each.state == judged_run::outcome::open;
        });
    return found == worker.runs.rend() ? nullptr : &*found;
}

void begin_pause(speed_record& worker, common::steady_time now)
{
    worker.last_trial = now;
    worker.starts_at_trial.reset();
    worker.next_trial = now + long_trial_pause;
    worker.next_cheap_trial = now + cheap_trial_pause;
}

void mark_slow(speed_record& worker, common::steady_time now)
{
    worker.verdict = speed_verdict::slow;
    worker.slow_since = now;
    worker.trials = 0;
    begin_pause(worker, now);
}

/// Runs that began while the worker was slow may still be lengthy, so they count no more.
void trust(speed_record& worker, common::steady_time now)
{
    worker.verdict = speed_verdict::normal;
    worker.trusted_since = now;
    for (judged_run& each : worker.runs) {
        each.state = judged_run::outcome::ignored;
    }
}

std::uint64_t combine(std::uint64_t seed, std::int64_t value)
{
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15;
    return seed ^ (std::hash<std::int64_t>{}(value) + golden_ratio + (seed << 6) + (seed >> 2));
}

} // namespace

std::uint64_t step_key(const jobs::task_id& task)
{
    return combine(combine(std::hash<std::string>{}(task.job), task.occurrence),
                   static_cast<std::int64_t>(task.step));
}

std::uint64_t run_key(const jobs::task_id& task, std::int64_t run)
{
    return combine(combine(step_key(task), task.index), run);
}

shape_reference& worker_speed::reference_of(const run_time_distribution& times)
{
    std::unique_ptr<shape_reference>& known = this->references[&times];
    if (!known) {
        known = std::make_unique<shape_reference>();
        known->times = &times;
    }
    return *known;
}

bool worker_speed::is_conclusive(const run_time_distribution* times) const
{
    const auto found = this->references.find(times);
    return found != this->references.end() && found->second->is_conclusive;
}

void worker_speed::refresh(const run_time_distribution& times)
{
    shape_reference& shape = this->reference_of(times);
    if (times.samples() < min_samples) {
        return;
    }
    shape.median = times.quantile(0.5);
    shape.limit =
        std::max(scaled(times.quantile(upper_share), limit_factor), shape.median + min_excess);
    const common::milliseconds slow_limit = scaled(shape.limit, 1 / assumed_slowdown);
    const double lengthy = std::max(times.share_longer(shape.limit), tail_share);
    const double lengthy_if_slow = std::min(times.share_longer(slow_limit), 1 - tail_share);
    shape.is_conclusive = lengthy_if_slow >= min_likelihood_ratio * lengthy;
    if (shape.is_conclusive) {
        shape.lengthy_evidence = std::log(lengthy_if_slow / lengthy);
        shape.normal_evidence = std::log((1 - lengthy_if_slow) / (1 - lengthy));
    }
}

void worker_speed::begin(const std::string& pool, speed_record& worker, const judged_run& run)
{
    ++this->pools[pool].starts;
    worker.runs.push_back(run);
    if (worker.runs.size() > max_runs) {
        worker.runs.pop_front();
    }
}

bool worker_speed::complete(speed_record& worker, std::uint64_t key, common::steady_time now)
{
    judged_run* run = find_open(worker, key);
    if (run == nullptr) {
        const bool is_ignored =
            std::any_of(worker.runs.begin(), worker.runs.end(),
                        [key](const judged_run& each) { return each.key == key; });
        return !is_ignored && worker.verdict != speed_verdict::slow;
    }
    run->run_time = elapsed(run->begun_at, now, run->scale);
    const bool lengthy = run->run_time > run->shape->limit;
    if (!run->shape->is_conclusive || (run->may_be_older && !lengthy)) {
        run->state = judged_run::outcome::ignored;
    } else {
        run->state = lengthy ? judged_run::outcome::lengthy : judged_run::outcome::normal;
        if (!lengthy) {
            note_normal(*run->shape, worker.worker, run->begun_at);
            if (this->normal_ends.size() >= max_known_steps) {
                this->normal_ends.clear();
            }
            ++this->normal_ends[run->step];
        }
    }
    return !run->may_be_older && worker.verdict != speed_verdict::slow;
}

void worker_speed::drop(speed_record& worker, std::uint64_t key, common::steady_time now)
{
    judged_run* run = find_open(worker, key);
    if (run == nullptr) {
        return;
    }
    run->run_time = elapsed(run->begun_at, now, run->scale);
    const bool lengthy = run->shape->is_conclusive && run->run_time > run->shape->limit;
    run->state = lengthy ? judged_run::outcome::lengthy : judged_run::outcome::ignored;
}

void worker_speed::ignore_open(speed_record& worker)
{
    for (judged_run& each : worker.runs) {
        if (each.state == judged_run::outcome::open) {
            each.state = judged_run::outcome::ignored;
        }
    }
}

void worker_speed::note_trial(speed_record& worker, common::steady_time now)
{
    if (worker.verdict == speed_verdict::slow) {
        ++worker.trials;
        begin_pause(worker, now);
    }
}

double worker_speed::evidence_of(judged_run& run, const speed_record& worker,
                                 common::steady_time now)
{
    if (run.state == judged_run::outcome::normal) {
        return run.shape->normal_evidence;
    }
    if (run.state == judged_run::outcome::open) {
        run.run_time = elapsed(run.begun_at, now, run.scale);
    }
    // A run that has ended may be normal by what was learned since then.
    const bool is_lengthy = run.shape->is_conclusive && run.run_time > run.shape->limit;
    const auto& others = run.shape->normal_runs;
    const auto normal = static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(), [&](const shape_reference::normal_run& each) {
            return each.worker != worker.worker && each.begun_at >= run.begun_at;
        }));
    return is_lengthy && normal >= normal_workers ? run.shape->lengthy_evidence : 0;
}

worker_speed::assessment worker_speed::assess(speed_record& worker, common::steady_time now)
{
    const bool is_slow = worker.verdict == speed_verdict::slow;
    while (!worker.runs.empty() && !is_slow &&
           worker.runs.front().state != judged_run::outcome::open &&
           worker.runs.front().begun_at + memory < now) {
        worker.runs.pop_front();
    }
    assessment found;
    double sum = 0;
    double sum_of_squares = 0;
    std::vector<std::pair<std::uint64_t, std::int64_t>> lengthy_by_step;
    // In the order in which the runs began: the long runs of a tail stay open while many normal
    // ones that began later end, and those outweigh them.
    for (judged_run& run : worker.runs) {
        if (run.state == judged_run::outcome::ignored || run.begun_at < worker.trusted_since) {
            continue;
        }
        double evidence = evidence_of(run, worker, now);
        if (evidence > 0) {
            auto step = std::find_if(lengthy_by_step.begin(), lengthy_by_step.end(),
                                     [&run](const auto& each) { return each.first == run.step; });
            if (step == lengthy_by_step.end()) {
                step = lengthy_by_step.insert(step, {run.step, 0});
            }
            const auto normal = this->normal_ends.find(run.step);
            const bool is_step_normal =
                normal != this->normal_ends.end() && normal->second >= normal_ends_to_trust_step;
            if (++step->second > counted_runs_of_step && !is_step_normal) {
                evidence = 0;
            }
        }
        found.evidence = std::max(found.evidence + evidence, 0.0);
        if (is_slow && run.begun_at >= worker.slow_since) {
            found.recovery = std::min(found.recovery + evidence, 0.0);
        }
        if (found.evidence <= 0) {
            found.lengthy = 0;
            sum = 0;
            sum_of_squares = 0;
        } else if (evidence > 0) {
            const double ratio = std::log(static_cast<double>(run.run_time.count()) /
                                          static_cast<double>(run.shape->median.count()));
            ++found.lengthy;
            sum += ratio;
            sum_of_squares += ratio * ratio;
        }
    }
    if (found.lengthy > 0) {
        const auto count = static_cast<double>(found.lengthy);
        const double mean = sum / count;
        const double variance = std::max(sum_of_squares / count - mean * mean, 0.0);
        found.slowdown = std::exp(mean);
        found.slowdown_error = std::exp(std::sqrt(variance / count));
    }
    return found;
}

std::string worker_speed::describe(const assessment& found)
{
    const auto rounded = [](double value) {
        constexpr double tenths = 10.0;
        const auto in_tenths = std::llround(value * tenths);
        return std::to_string(in_tenths / 10) + "." + std::to_string(in_tenths % 10);
    };
    // Runs that are still open make the estimate a lower bound.
    return std::to_string(found.lengthy) + " lengthy runs, at least " + rounded(found.slowdown) +
           " times as long as in its pool (" + rounded(found.slowdown / found.slowdown_error) +
           " to " + rounded(found.slowdown * found.slowdown_error) + "), odds " +
           std::to_string(std::llround(std::exp(std::min(found.evidence, 20.0)))) + " to 1";
}

void worker_speed::schedule_trials(speed_record& worker, const pool_state& pool,
                                   common::steady_time now)
{
    if (!worker.starts_at_trial) {
        worker.starts_at_trial = pool.mean_starts;
    } else if (now >= worker.last_trial + trial_pause &&
               pool.mean_starts - *worker.starts_at_trial >= starts_per_trial) {
        worker.next_trial = std::min(worker.next_trial, now);
    }
}

std::vector<speed_change> worker_speed::review(const std::string& pool,
                                               const std::vector<pool_worker>& workers,
                                               common::steady_time now)
{
    pool_state& state = this->pools[pool];
    std::vector<assessment> found;
    found.reserve(workers.size());
    std::size_t suspects = 0;
    std::size_t slow = 0;
    for (const pool_worker& each : workers) {
        found.push_back(this->assess(*each.record, now));
        slow += each.record->verdict == speed_verdict::slow ? 1 : 0;
        suspects += found.back().evidence >= suspicion_evidence ? 1 : 0;
    }
    const std::size_t allowed = workers.size() / workers_per_slow;
    // Half as many end the pool's slowness, so that it does not alternate.
    state.is_slow = suspects > (state.is_slow ? allowed / 2 : allowed);
    state.mean_starts += static_cast<double>(std::exchange(state.starts, 0)) /
                         static_cast<double>(std::max<std::size_t>(workers.size() - slow, 1));
    state.avoids_any = false;
    std::vector<speed_change> changes;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        speed_record& record = *workers[i].record;
        const bool was_slow = record.verdict == speed_verdict::slow;
        if (was_slow && (found[i].recovery <= recovery_evidence || state.is_slow ||
                         found[i].evidence < suspicion_evidence)) {
            const std::string after = "after " +
                                      std::to_string(elapsed(record.slow_since, now, 1.0).count()) +
                                      " ms and " + std::to_string(record.trials) + " trials: ";
            if (state.is_slow) {
                record.verdict = speed_verdict::normal;
                changes.push_back({std::string(workers[i].id), false,
                                   after + "more of its pool is slow than may be avoided"});
            } else {
                trust(record, now);
                changes.push_back({std::string(workers[i].id), false,
                                   after + "its runs take as long as those of its pool"});
            }
        } else if (!was_slow && !state.is_slow && found[i].evidence >= slow_evidence) {
            mark_slow(record, now);
            changes.push_back({std::string(workers[i].id), true, describe(found[i])});
        } else if (!was_slow) {
            const bool is_suspected = !state.is_slow && found[i].evidence >= suspicion_evidence;
            record.verdict = is_suspected ? speed_verdict::suspected : speed_verdict::normal;
        }
        if (record.verdict == speed_verdict::slow) {
            schedule_trials(record, state, now);
        }
        state.avoids_any = state.avoids_any || record.verdict != speed_verdict::normal;
    }
    return changes;
}

bool worker_speed::is_straggler(const speed_record& worker, const judged_run& run,
                                common::steady_time now)
{
    const common::milliseconds age = elapsed(run.begun_at, now, run.scale);
    if (run.state != judged_run::outcome::open || !run.shape->is_conclusive ||
        age <= run.shape->limit) {
        return false;
    }
    const double stretch = worker.verdict == speed_verdict::slow ? assumed_slowdown : 1.0;
    const auto share_longer = [&](common::milliseconds time) {
        const run_time_distribution& times = *run.shape->times;
        return (1 - tail_share) * times.share_longer(scaled(time, 1 / stretch)) +
               tail_share * times.share_longer(scaled(time, 1 / (stretch * tail_factor)));
    };
    const double still_open = share_longer(age);
    return still_open > 0 &&
           share_longer(age + run.shape->median + start_overhead) > still_open / 2;
}

bool worker_speed::avoids_any(const std::string& pool) const
{
    const auto found = this->pools.find(pool);
    return found != this->pools.end() && found->second.avoids_any;
}

} // namespace chervilslip::scheduling
