#include "fakes/worker_model.h"

namespace chervilslip::fakes {

namespace {

using requests::reply_kind;

constexpr std::chrono::minutes memory_time{15}; ///< how long ended tasks are known

std::int64_t milliseconds_of(common::steady_time time)
{
    return std::chrono::duration_cast<common::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

worker_model::worker_model(std::string vm_name, teams::resources size)
    : name(std::move(vm_name)), capacity(size), epoch_text("e1")
{
}

task_reply worker_model::reply_of(const task& each) const
{
    task_reply reply;
    const bool running = each.state == task_state::running;
    reply.kind = running ? reply_kind::running : reply_kind::finished;
    reply.succeeded = each.state == task_state::succeeded;
    reply.output = each.output;
    if (!running) {
        reply.run_time =
            std::chrono::duration_cast<common::milliseconds>(each.ended - each.started);
    }
    return reply;
}

task_reply worker_model::start(const start_order& order, const task_behaviour& behaviour,
                               common::steady_time now)
{
    this->advance(now);
    if (order.attempt.epoch != this->epoch_text) {
        return {reply_kind::epoch_changed, false, {}, {}};
    }
    const bool fenced = order.incarnation < this->incarnations[order.node];
    if (fenced || this->forbidden.contains({order.attempt.task, order.attempt.number})) {
        return {reply_kind::not_started, false, {}, {}};
    }
    const auto claim = this->claims.find(order.attempt.task);
    const bool claimed_by_other =
        claim != this->claims.end() && claim->second != std::pair{order.incarnation, order.node};
    if (claimed_by_other) {
        this->forbidden.insert({order.attempt.task, order.attempt.number});
        return {reply_kind::claimed, false, {}, {}};
    }
    const auto known = this->tasks.find(order.attempt.task);
    if (known != this->tasks.end()) {
        const bool may_repeat = order.repeatable && known->second.state != task_state::running &&
                                order.attempt.number > known->second.order.attempt.number;
        if (!may_repeat) {
            return this->reply_of(known->second);
        }
    }
    // A refusal is final for its attempt: a copy that arrives later must not start either.
    if (this->draining) {
        this->forbidden.insert({order.attempt.task, order.attempt.number});
        return {reply_kind::draining, false, {}, {}};
    }
    teams::resources left = this->capacity;
    left -= this->used;
    if (!left.can_fit(order.need)) {
        this->forbidden.insert({order.attempt.task, order.attempt.number});
        return {reply_kind::full, false, {}, {}};
    }
    this->used += order.need;
    ++this->version;
    task& each = this->tasks[order.attempt.task];
    each = {};
    each.order = order;
    each.fails = behaviour.fails;
    each.started = now;
    const auto run_time = std::chrono::duration_cast<common::milliseconds>(behaviour.run_time *
                                                                           this->switches.slowness);
    // A worker that fails everything does so at once, which makes it look free.
    each.ends = now + (this->switches.fails_everything ? common::milliseconds{1} : run_time);
    each.lease_until = now + order.lease;
    this->starts.push_back({milliseconds_of(now), this->name, this->epoch_text, order.attempt.task,
                            order.request, order.node, order.team, order.queue, order.body,
                            order.attempt.number});
    return this->reply_of(each);
}

task_reply worker_model::query(const requests::attempt_id& attempt, common::milliseconds lease,
                               common::steady_time now)
{
    this->advance(now);
    if (attempt.epoch != this->epoch_text) {
        return {reply_kind::epoch_changed, false, {}, {}};
    }
    const auto known = this->tasks.find(attempt.task);
    if (known == this->tasks.end() || known->second.order.attempt.number < attempt.number) {
        this->forbidden.insert({attempt.task, attempt.number});
        return {reply_kind::not_started, false, {}, {}};
    }
    task& each = known->second;
    if (each.state == task_state::running) {
        each.lease_until = now + lease;
    }
    return this->reply_of(each);
}

task_reply worker_model::stop(const requests::attempt_id& attempt, common::steady_time now)
{
    task_reply before = this->query(attempt, common::milliseconds{0}, now);
    if (before.kind != reply_kind::running) {
        return before;
    }
    task& each = this->tasks.at(attempt.task);
    this->end(each, task_state::failed, "stopped", now);
    return this->reply_of(each);
}

workers::claim_reply worker_model::claim(const std::string& task_id, const std::string& node,
                                         std::int64_t incarnation, common::steady_time now)
{
    auto& holder = this->claims[task_id];
    holder = std::max(holder, std::pair{incarnation, node});
    workers::claim_reply reply = this->show(task_id, now);
    if (holder != std::pair{incarnation, node} && reply.kind == requests::claim_kind::free) {
        reply.kind = requests::claim_kind::inconclusive;
    }
    return reply;
}

bool worker_model::adopt(const std::string& task_id, const std::string& node,
                         common::milliseconds lease, common::steady_time now)
{
    this->advance(now);
    const auto known = this->tasks.find(task_id);
    if (known == this->tasks.end() || known->second.state != task_state::running) {
        return false;
    }
    known->second.order.node = node;
    ++this->version;
    known->second.lease_until = now + lease;
    return true;
}

workers::claim_reply worker_model::show(const std::string& task_id, common::steady_time now)
{
    this->advance(now);
    workers::claim_reply reply;
    reply.epoch = this->epoch_text;
    reply.kind = requests::claim_kind::free;
    if (this->forgot_at) {
        reply.forgot_before =
            std::chrono::duration_cast<common::milliseconds>(now - *this->forgot_at);
    }
    auto known = this->tasks.find(task_id);
    if (known == this->tasks.end()) {
        known = std::find_if(this->tasks.begin(), this->tasks.end(), [&task_id](const auto& item) {
            return item.second.order.request == task_id;
        });
    }
    if (known != this->tasks.end()) {
        const task& each = known->second;
        reply.kind = each.state == task_state::running ? requests::claim_kind::running
                                                       : requests::claim_kind::finished;
        reply.attempt = each.order.attempt.number;
        reply.succeeded = each.state == task_state::succeeded;
        reply.output = each.output;
        reply.team = each.order.team;
        reply.queue = each.order.queue;
    }
    return reply;
}

bool worker_model::checkpoint(const std::string& task_id, common::steady_time now)
{
    const auto known = this->tasks.find(task_id);
    if (known == this->tasks.end() || known->second.state != task_state::running) {
        return false;
    }
    known->second.checkpointed = now;
    return true;
}

bool worker_model::throttle(const std::string& task_id, double factor, common::steady_time now)
{
    const auto known = this->tasks.find(task_id);
    if (known == this->tasks.end() || known->second.state != task_state::running) {
        return false;
    }
    task& each = known->second;
    const auto left = std::max(each.ends - now, common::steady_time::duration::zero());
    each.ends = now + std::chrono::duration_cast<common::milliseconds>(left * factor);
    return true;
}

void worker_model::end(task& each, task_state state, std::string output, common::steady_time now)
{
    each.state = state;
    each.output = std::move(output);
    each.ended = now;
    this->used -= each.order.need;
    ++this->version;
}

void worker_model::advance(common::steady_time now)
{
    for (auto& [id, each] : this->tasks) {
        if (each.state != task_state::running) {
            continue;
        }
        if (each.ends <= now && each.ends <= each.lease_until) {
            const bool fails = each.fails || this->switches.fails_everything;
            this->end(each, fails ? task_state::failed : task_state::succeeded,
                      fails ? "task failed" : "ran:" + each.order.body, each.ends);
        } else if (each.lease_until < now) {
            this->end(each, task_state::failed, "lease lapsed", each.lease_until);
        }
    }
    this->forget_old(now);
}

void worker_model::forget_old(common::steady_time now)
{
    std::erase_if(this->tasks, [now](const auto& item) {
        return item.second.state != task_state::running && now - item.second.ended > memory_time;
    });
}

void worker_model::drain()
{
    ++this->version;
    this->draining = true;
}

void worker_model::undrain()
{
    ++this->version;
    this->draining = false;
}

void worker_model::reboot(common::steady_time now)
{
    ++this->version;
    this->forgot_at = now;
    this->claims.clear();
    ++this->epoch_number;
    this->epoch_text = "e" + std::to_string(this->epoch_number);
    this->draining = false;
    this->tasks.clear();
    this->forbidden.clear();
    this->used = {};
    this->reported_at.reset();
}

usage_snapshot worker_model::usage(const std::string& node, std::int64_t incarnation,
                                   common::steady_time now)
{
    this->advance(now);
    std::int64_t& newest = this->incarnations[node];
    if (incarnation > newest) {
        newest = incarnation;
        this->reported_at.reset();
    }
    const bool stale = !this->reported_at || now - *this->reported_at >= this->switches.usage_lag;
    if (stale) {
        this->reported = {this->epoch_text, this->version, this->draining, {}};
        for (const auto& [id, each] : this->tasks) {
            if (each.state == task_state::running) {
                const auto left =
                    std::chrono::duration_cast<common::milliseconds>(each.lease_until - now);
                this->reported.tasks.push_back({id, each.order.request, each.order.attempt.number,
                                                each.order.node, each.order.team, each.order.need,
                                                left});
            }
        }
        this->reported_at = now;
    }
    return this->reported;
}

std::int64_t worker_model::running() const
{
    return this->used.slots;
}

std::int64_t worker_model::running_of(const std::string& team) const
{
    return std::count_if(this->tasks.begin(), this->tasks.end(), [&team](const auto& item) {
        return item.second.state == task_state::running && item.second.order.team == team;
    });
}

bool worker_model::is_draining() const
{
    return this->draining;
}

const std::string& worker_model::vm() const
{
    return this->name;
}

const std::string& worker_model::epoch() const
{
    return this->epoch_text;
}

const std::vector<start_entry>& worker_model::log() const
{
    return this->starts;
}

const teams::resources& worker_model::size() const
{
    return this->capacity;
}

} // namespace chervilslip::fakes
