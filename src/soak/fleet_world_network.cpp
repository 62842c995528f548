#include "soak/fleet_world.h"

namespace chervilslip::soak {

namespace {

using scheduling::command_outcome;

constexpr std::int64_t unanswered_after_ms = 500;
constexpr std::int64_t latest_order_ms = 12'000;

constexpr std::int64_t shortest_postponement_ms = 2000;
constexpr double postponed_share = 0.05; ///< of the orders, far from restarts
constexpr double postponed_share_after_restart = 0.8;

/// Under `slow_answers`.
constexpr std::int64_t shortest_answer_delay_ms = 20;
constexpr std::int64_t longest_answer_delay_ms = 200;
constexpr std::int64_t longest_owner_jitter_ms = 40;

/// Relays drop orders that are later than this.
constexpr std::int64_t latest_relayed_start_ms = 1000;
constexpr std::int64_t latest_relayed_poll_ms = 2500;

/// A later poll acknowledges no ends.
constexpr std::int64_t latest_acknowledgement_ms = 400;

constexpr std::int64_t input_pause_ms = 400; ///< between two reads of jobs and cancellations

} // namespace

void fleet_world::notify(std::function<void(scheduling::scheduler&)> deliver)
{
    if (this->random.chance(0.2)) {
        return; // lost
    }
    const bool late = this->random.chance(0.3);
    this->at(this->now + 1 + static_cast<std::int64_t>(this->random.below(late ? 9000 : 4)),
             [this, deliver = std::move(deliver)] {
                 if (this->current && !this->current->gone) {
                     deliver(*this->current->scheduler);
                     this->run_cell(this->current);
                 }
             });
}

void fleet_world::read_input(const owner& which)
{
    std::vector<jobs::job> open;
    for (const auto& [id, truth] : this->jobs) {
        if (!this->stored_closed.contains(id) && this->options.fault != fleet_fault::lost_jobs) {
            open.push_back(truth.job);
        }
    }
    const bool slow = !this->calm() && this->random.chance(0.1);
    const std::int64_t arrival =
        this->now + 2 + static_cast<std::int64_t>(this->random.below(slow ? 3000 : 20));
    which->next_read = arrival + input_pause_ms;
    this->at(arrival, [this, which, open = std::move(open), cancels = this->stored_cancels,
                       read_at = this->revision, sent = this->now] {
        if (which->gone) {
            return;
        }
        for (const jobs::job& each : open) {
            which->scheduler->submit_job(each, steady(this->now));
        }
        for (const std::string& id : cancels) {
            which->scheduler->cancel_job(id, steady(this->now));
        }
        which->scheduler->ignore_notifications_until(read_at);
        which->scheduler->confirm_input(steady(sent));
        this->run_cell(which);
    });
}

bool fleet_world::commit(std::int64_t token, std::int64_t expected,
                         const scheduling::journal_write& order)
{
    if (token != this->claim_token || expected != this->journal_revisions[order.lane]) {
        return false;
    }
    this->journal_revisions[order.lane] = ++this->revision;
    this->journal_marks[order.lane] = std::to_string(token) + ":" + std::to_string(order.batch);
    if (this->options.fault == fleet_fault::skip_journal) {
        return true;
    }
    for (const scheduling::document_change& each : order.changes) {
        if (each.closed) {
            this->stored_closed[each.job] = each.state;
            this->stored_progress.erase(each.job);
            this->stored_cancels.erase(each.job);
        } else {
            this->stored_progress[each.job] = each.progress;
        }
    }
    return true;
}

void fleet_world::write_journal(const owner& which, std::size_t lane)
{
    const auto order = which->writing.at(lane);
    const std::int64_t expected = which->journal_revisions[lane];
    const bool lost = !this->calm() && this->random.chance(0.1);
    const bool late = lost && this->random.chance(0.5);
    const std::int64_t done_at =
        this->now + (late ? 1000 + static_cast<std::int64_t>(this->random.below(5000)) : 4);
    const bool dropped = lost && !late && this->random.chance(0.5);
    auto outcome = std::make_shared<std::optional<bool>>();
    if (!dropped) {
        this->at(done_at, [this, which, order, expected, outcome] {
            *outcome = this->commit(which->token, expected, order);
        });
    }
    this->at(this->now + (lost ? unanswered_after_ms : 8), [this, which, order, outcome, lost,
                                                            lane] {
        if (which->gone) {
            return;
        }
        const std::string mark = std::to_string(which->token) + ":" + std::to_string(order.batch);
        if (lost) {
            this->write_journal(which, lane);
        } else if (outcome->value_or(false) ||
                   (this->journal_marks[lane] == mark && which->token == this->claim_token)) {
            which->journal_revisions[lane] = this->journal_revisions[lane];
            which->writing.erase(lane);
            which->scheduler->handle_journal_commit(order.batch, steady(this->now));
            this->run_cell(which);
        } else {
            which->gone = true; // deposed
        }
    });
}

std::int64_t fleet_world::answer_delay()
{
    constexpr std::int64_t range = longest_answer_delay_ms - shortest_answer_delay_ms + 1;
    return this->options.slow_answers
               ? shortest_answer_delay_ms +
                     static_cast<std::int64_t>(this->late_random.below(range))
               : 0;
}

/// How much later than it decides the owner sends an order, or wakes up.
std::int64_t fleet_world::owner_jitter()
{
    return this->options.slow_answers
               ? static_cast<std::int64_t>(this->late_random.below(longest_owner_jitter_ms + 1))
               : 0;
}

/// Whether an order that is sent now is left unanswered and carried out seconds later.
bool fleet_world::is_postponed(const std::string& worker)
{
    if (!this->options.late_orders || this->calm()) {
        return false;
    }
    return this->late_random.chance(this->now < this->worker_of(worker).postpones_until
                                        ? postponed_share_after_restart
                                        : postponed_share);
}

/// Keeps an order that has arrived for later. It ends with the instance that received it.
void fleet_world::postpone(const std::string& worker, std::function<void()> carry_out)
{
    const worker_model& at = this->worker_of(worker);
    if (!this->reaches(at)) {
        return;
    }
    const std::int64_t delay =
        shortest_postponement_ms + static_cast<std::int64_t>(this->late_random.below(
                                       latest_order_ms - shortest_postponement_ms));
    this->at(this->now + delay,
             [this, receiver = at.runs.entry().instance, carry_out = std::move(carry_out)] {
                 const worker_model& present = this->worker_of(receiver.id);
                 if (present.alive && present.runs.entry().instance == receiver) {
                     this->carries_out_late = true;
                     carry_out();
                     this->carries_out_late = false;
                 }
             });
}

void fleet_world::send_look(const owner& which, const scheduling::poll_command& order)
{
    const bool lost = !this->calm() && this->random.chance(0.02);
    const bool late = lost && this->random.chance(0.5);
    const std::int64_t arrival =
        this->now + 1 + static_cast<std::int64_t>(this->random.below(4)) + this->owner_jitter() +
        (late ? 2000 + static_cast<std::int64_t>(this->random.below(10'000)) : 0);
    const std::int64_t sent = this->now;
    const std::int64_t answer_by = this->now + order.wait.count() + unanswered_after_ms;
    const bool postponed = !lost && this->is_postponed(order.worker.id);
    this->at(arrival, [this, which, order, sent, answer_by, lost, postponed] {
        if (postponed) {
            this->postpone(order.worker.id, [this, which, order] {
                const command_outcome outcome =
                    this->worker_of(order.worker.id)
                        .runs.poll(order.worker, order.token, order.acknowledged, order.deadline_ms,
                                   this->now);
                this->trace(order.worker.id, " carries out a poll late, token ", order.token,
                            ", acknowledged ", order.acknowledged, ": ", to_string(outcome));
            });
            return;
        }
        this->do_look(which, order, sent, answer_by, !lost);
    });
    auto answered = [this, which, order, sent, answer_by] {
        if (!which->gone) {
            which->scheduler->handle_poll_result(
                {order.worker, steady(sent), command_outcome::unknown, {}}, steady(this->now));
            this->run_cell(which);
        }
    };
    if (lost || postponed) {
        this->at(answer_by, answered);
    }
}

void fleet_world::give_look_up(const owner& which, const scheduling::poll_command& order,
                               std::int64_t sent, std::int64_t answer_by)
{
    this->at(answer_by, [this, which, order, sent] {
        if (!which->gone) {
            which->scheduler->handle_poll_result(
                {order.worker, steady(sent), command_outcome::unknown, {}}, steady(this->now));
            this->run_cell(which);
        }
    });
}

void fleet_world::do_look(const owner& which, scheduling::poll_command order, std::int64_t sent,
                          std::int64_t answer_by, bool answered)
{
    worker_model& at = this->worker_of(order.worker.id);
    if (!this->reaches(at) || this->is_dropped(at, order.worker, sent, latest_relayed_poll_ms)) {
        if (answered) {
            this->give_look_up(which, order, sent, answer_by);
        }
        return;
    }
    const bool is_late = this->now > sent + latest_acknowledgement_ms &&
                         at.runs.entry().instance != order.worker &&
                         this->options.fault != fleet_fault::held_up_orders;
    const std::int64_t acknowledged = this->options.fault == fleet_fault::acknowledge_early
                                          ? at.runs.ends_so_far()
                                      : is_late ? 0
                                                : order.acknowledged;
    command_outcome outcome =
        at.runs.poll(order.worker, order.token, acknowledged, order.deadline_ms, this->now);
    if (outcome == command_outcome::accepted && !at.runs.has_ends() &&
        this->now < sent + order.wait.count() && answered) {
        order.deadline_ms.reset();
        order.acknowledged = 0;
        this->at(std::min(this->now + 20, sent + order.wait.count()),
                 [this, which, order, sent, answer_by, instance = at.runs.entry().instance] {
                     // A call that waits ends with the instance.
                     if (this->worker_of(order.worker.id).runs.entry().instance == instance) {
                         this->do_look(which, order, sent, answer_by, true);
                     } else {
                         this->give_look_up(which, order, sent, answer_by);
                     }
                 });
        return;
    }
    scheduling::worker_report seen;
    if (outcome == command_outcome::accepted) {
        seen = at.runs.report(this->now);
        for (const scheduling::reported_run& each : seen.running) {
            this->trace(order.worker.id, " reports ", each.task.to_string(), " run ", each.run,
                        " to owner ", which->token, ", leases end at ",
                        order.deadline_ms.value_or(0));
        }
        if (seen.started_at_ms != order.worker.started_at_ms) {
            outcome = command_outcome::other_instance;
        }
    }
    if (!answered) {
        return;
    }
    this->at(this->now + 2 + this->answer_delay(), [this, which, order, sent, outcome, seen] {
        if (!which->gone) {
            which->scheduler->handle_poll_result({order.worker, steady(sent), outcome, seen},
                                                 steady(this->now));
            this->run_cell(which);
        }
    });
}

void fleet_world::send_start(const owner& which, const scheduling::start_command& order)
{
    ++this->report.starts;
    const bool lost = !this->calm() && this->random.chance(0.06);
    const bool late = lost && this->random.chance(0.5);
    const std::int64_t arrival =
        this->now + 1 + static_cast<std::int64_t>(this->random.below(4)) + this->owner_jitter() +
        (late ? 500 + static_cast<std::int64_t>(this->random.below(latest_order_ms)) : 0);
    auto answer = std::make_shared<scheduling::command_result>(
        scheduling::command_result{order.worker, order.task, order.run, {}, 0});
    answer->outcome = command_outcome::unknown;
    const bool postponed = !lost && this->is_postponed(order.worker.id);
    this->at(arrival, [this, which, order, answer, lost, postponed, sent = this->now] {
        if (postponed) {
            this->postpone(order.worker.id, [this, which, order, sent] {
                this->do_start(order.token, order, sent, true);
            });
            return;
        }
        const command_outcome outcome = this->do_start(order.token, order, sent, false);
        if (!lost) {
            answer->outcome = outcome;
            answer->clock_ms = this->worker_of(order.worker.id).runs.clock(this->now);
        }
    });
    this->at(lost || postponed ? this->now + unanswered_after_ms
                               : arrival + 1 + this->answer_delay(),
             [this, which, answer] {
                 if (which->gone) {
                     return;
                 }
                 which->scheduler->handle_start_result(*answer, steady(this->now));
                 this->run_cell(which);
             });
}

command_outcome fleet_world::do_start(std::int64_t token, const scheduling::start_command& order,
                                      std::int64_t sent, bool received)
{
    worker_model& at = this->worker_of(order.worker.id);
    if (!received &&
        (!this->reaches(at) || this->is_dropped(at, order.worker, sent, latest_relayed_start_ms))) {
        return command_outcome::unknown;
    }
    const jobs::step& step = this->jobs.at(order.task.job).job.steps.at(order.task.step);
    const fakes::run_request request{order.task,          order.run, order.deadline_ms,
                                     step.task_resources, {},        false};
    const command_outcome outcome = at.runs.start(order.worker, token, request, this->now);
    this->trace("start of ", order.task.to_string(), " run ", order.run, " by token ", token,
                ", sent at ", sent, " to ", order.worker.id, " started at ",
                order.worker.started_at_ms, ": ", to_string(outcome));
    return outcome;
}

void fleet_world::send_stop(const owner& which, const scheduling::stop_command& order)
{
    const bool lost = !this->calm() && this->random.chance(0.06);
    const std::int64_t arrival = this->now + 2 + (lost ? 2000 : 0) + this->owner_jitter();
    const bool postponed = !lost && this->is_postponed(order.worker.id);
    this->at(arrival, [this, which, order, lost, postponed] {
        if (postponed) {
            this->postpone(order.worker.id,
                           [this, which, order] { this->do_stop(order.token, order, true); });
            return;
        }
        const command_outcome outcome = this->do_stop(order.token, order, false);
        if (lost) {
            return;
        }
        const std::int64_t clock = this->worker_of(order.worker.id).runs.clock(this->now);
        auto answered = [this, which, order, outcome, clock] {
            if (!which->gone) {
                which->scheduler->handle_stop_result(
                    {order.worker, order.task, order.run, outcome, clock}, steady(this->now));
                this->run_cell(which);
            }
        };
        if (this->options.slow_answers) {
            this->at(this->now + this->answer_delay(), answered);
        } else {
            answered();
        }
    });
}

command_outcome fleet_world::do_stop(std::int64_t token, const scheduling::stop_command& order,
                                     bool received)
{
    worker_model& at = this->worker_of(order.worker.id);
    if (!received && !this->reaches(at)) {
        return command_outcome::unknown;
    }
    const command_outcome outcome = at.runs.stop(order.worker, token, order.task, order.run);
    this->trace("stop of ", order.task.to_string(), " run ", order.run, " by token ", token, " on ",
                order.worker.id, ": ", to_string(outcome));
    return outcome;
}

} // namespace chervilslip::soak
