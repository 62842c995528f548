// Tickets of the advice service.
#include <algorithm>

#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// A ticket is not used within this time before its expiry.
constexpr common::milliseconds ticket_expiry_margin{300};

} // namespace

const scheduler::ticket_cache* scheduler::find_tickets(active_job& job, std::int64_t occurrence,
                                                       jobs::step_index step,
                                                       common::steady_time now)
{
    ticket_cache& cache = job.tickets[{occurrence, step}];
    if (cache.expired_at != now) {
        cache.expired_at = now;
        std::erase_if(cache.advised, [&](const auto& each) {
            const auto worker = this->workers.find(each.first);
            const bool is_gone =
                worker == this->workers.end() ||
                worker->second.entry.instance.started_at_ms != each.second.started_at_ms;
            const bool is_old = is_gone || now >= each.second.valid_until;
            if (is_old) {
                cache.tickets.erase(each.first);
            }
            return is_old;
        });
    }
    return cache.tickets.empty() ? nullptr : &cache;
}

const std::string* scheduler::find_ticket(const active_job& job, const jobs::task_id& task,
                                          const worker_instance& worker)
{
    const auto known = job.tickets.find({task.occurrence, task.step});
    if (known == job.tickets.end()) {
        return nullptr;
    }
    const auto ticket = known->second.tickets.find(worker.id);
    return ticket == known->second.tickets.end() ? nullptr : &ticket->second;
}

bool scheduler::is_worth_asking_for(const worker_state& worker, const jobs::step& step,
                                    const ticket_cache& known)
{
    return !worker.isolated_task && has_label(worker.entry, step.required_label) &&
           !known.advised.contains(worker.entry.instance.id);
}

void scheduler::want_tickets(active_job& job, std::int64_t occurrence, jobs::step_index step,
                             common::steady_time now)
{
    const jobs::step& spec = job.spec.steps.at(step);
    const std::string& pool = this->policy_of(job).pool;
    const teams::resources size = footprint(spec);
    if (this->round->fits_nowhere(pool, size)) {
        return;
    }
    const ticket_cache& known = job.tickets[{occurrence, step}];
    const auto claim = this->claim_if_reserved(job, {job.spec.id, occurrence, step, 0}, now);
    bool fits_somewhere = false;
    for (const worker_state* each : this->round->usable_in(pool)) {
        if (!each->has_room_for(size)) {
            continue;
        }
        if (claim && !this->reservations.cost_of(each->entry.instance.id, *claim, {})) {
            fits_somewhere = true; // for the tasks that it is reserved for
            continue;
        }
        fits_somewhere = true;
        if (is_worth_asking_for(*each, spec, known)) {
            this->needed_advice.add({job.spec.id, occurrence, step}, now);
            return;
        }
    }
    if (!fits_somewhere) {
        this->round->mark_fits_nowhere(pool, size);
    }
}

std::vector<worker_instance> scheduler::choose_advised_workers(const active_job& job,
                                                               const step_id& step,
                                                               common::steady_time now)
{
    const jobs::step& spec = job.spec.steps.at(step.step);
    const ticket_cache& known = job.tickets.at({step.occurrence, step.step});
    const teams::resources size = footprint(spec);
    this->index_pools();
    const auto pool = this->workers_by_pool->find(this->policy_of(job).pool);
    if (pool == this->workers_by_pool->end()) {
        return {};
    }
    const auto is_candidate = [&](const worker_state* each) {
        return is_usable(*each, now) && is_worth_asking_for(*each, spec, known);
    };
    if (std::none_of(pool->second.begin(), pool->second.end(), [&](const worker_state* each) {
            return each->has_room_for(size) && is_candidate(each);
        })) {
        return {};
    }
    // Those with room near the data first, then others with room, then those that may have room
    // while the tickets are valid.
    enum preference { near_data, with_room, without_room };
    std::vector<std::pair<preference, const worker_state*>> candidates;
    for (const worker_state* each : pool->second) {
        if (is_candidate(each)) {
            const bool is_near = each->entry.rack == spec.preferred_rack;
            candidates.emplace_back(!each->has_room_for(size) ? without_room
                                    : is_near                 ? near_data
                                                              : with_room,
                                    each);
        }
    }
    // Steps name different workers first, or all would get tickets for the same few.
    const std::size_t offset = std::hash<std::string>{}(step.job) + step.step;
    std::rotate(candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(offset % candidates.size()),
                candidates.end());
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    candidates.resize(std::min(candidates.size(), this->needed_advice.max_workers()));
    std::vector<worker_instance> chosen;
    chosen.reserve(candidates.size());
    for (const auto& [ignored, worker] : candidates) {
        chosen.push_back(worker->entry.instance);
    }
    return chosen;
}

void scheduler::ask_for_advice(common::steady_time now)
{
    if (!this->may_start(now) || !this->needed_advice.may_call(now)) {
        return;
    }
    for (const step_id& step : this->needed_advice.oldest_first()) {
        active_job* job = this->find_job(step.job);
        if (job == nullptr || jobs::is_final(job->progress.state)) {
            continue;
        }
        std::vector<worker_instance> named = this->choose_advised_workers(*job, step, now);
        if (named.empty()) {
            continue;
        }
        advice_request request{step.job, step.occurrence, step.step, {}};
        for (const worker_instance& each : named) {
            request.workers.push_back(each.id);
        }
        job->tickets.at({step.occurrence, step.step}).named = std::move(named);
        this->needed_advice.handle_request(step, now);
        this->actions.emplace_back(std::move(request));
        if (!this->needed_advice.may_call(now)) {
            return;
        }
    }
}

void scheduler::handle_advice(const advice_response& answer, common::steady_time now)
{
    this->last_now = now;
    this->needed_advice.handle_response({answer.job, answer.occurrence, answer.step},
                                        answer.tickets.has_value(), now);
    active_job* job = this->find_job(answer.job);
    if (job != nullptr && answer.tickets) {
        ticket_cache& cache = job->tickets[{answer.occurrence, answer.step}];
        const common::steady_time valid_until = now + answer.valid - ticket_expiry_margin;
        for (const worker_instance& each : std::exchange(cache.named, {})) {
            cache.advised[each.id] = {each.started_at_ms, valid_until};
            const auto ticket = answer.tickets->find(each.id);
            if (ticket != answer.tickets->end()) {
                cache.tickets[each.id] = ticket->second;
            }
        }
        this->dispatch_due = true;
    }
    this->ask_for_advice(now);
}

} // namespace chervilslip::scheduling
