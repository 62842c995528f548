#include "soak/world.h"

namespace chervilslip::soak {

// Messages between nodes and to workers: late, lost, doubled, overtaken, cut off.
namespace {

using common::milliseconds;
using detail::home_memory;
using detail::lost_messages;
using requests::reply_kind;

constexpr milliseconds hold_time{400};
constexpr milliseconds tick_time{10};
constexpr milliseconds poll_time{500};
constexpr milliseconds beat_time{500};
constexpr milliseconds time_limit{2000}; ///< after which a node takes an answer as lost
constexpr double doubled_messages = 0.01;

/// How a task of the soak behaves follows from its body alone.
fakes::task_behaviour behaviour_of(const std::string& body)
{
    const std::uint64_t mixed = std::hash<std::string>{}(body);
    const bool is_long = mixed % 50 == 0;
    const auto run_time = is_long ? 3000 + mixed / 50 % 20'000 : 10 + mixed / 50 % 400;
    return {milliseconds(static_cast<std::int64_t>(run_time)), mixed % 37 == 0};
}

} // namespace

void world::beat(std::size_t index, int incarnation)
{
    node_state& each = this->nodes[index];
    if (!each.up || each.incarnation != incarnation) {
        return;
    }
    this->schedule(beat_time, [this, index, incarnation] { this->beat(index, incarnation); });
    if (each.paused_until > this->now) {
        return;
    }
    each.view->tick(this->now);
    requests::peer_status_received heard;
    heard.live.insert(each.name);
    for (const membership::member& peer : each.view->live_peers()) {
        heard.live.insert(peer.name);
    }
    this->deliver(index, incarnation, heard);
    const membership::member self{each.name, each.zone, each.name, incarnation};
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
        if (other == index || this->are_cut(index, other) || this->random.chance(lost_messages)) {
            continue;
        }
        this->schedule(this->latency(), [this, other, self] {
            node_state& peer = this->nodes[other];
            if (peer.up && peer.paused_until <= this->now) {
                peer.view->mark_alive(self, this->now);
            }
        });
    }
}

bool world::is_zone_cut(const std::string& zone) const
{
    const auto found = this->zone_cut_until.find(zone);
    return found != this->zone_cut_until.end() && found->second > this->now;
}

bool world::are_cut(std::size_t left, std::size_t right) const
{
    const std::string& one = this->nodes[left].zone;
    const std::string& two = this->nodes[right].zone;
    return one != two && (this->is_zone_cut(one) || this->is_zone_cut(two));
}

bool world::is_unreachable(std::size_t index, const std::string& vm) const
{
    const auto down = this->worker_down_until.find(vm);
    return this->is_cut(index, vm) ||
           (down != this->worker_down_until.end() && down->second > this->now);
}

milliseconds world::latency()
{
    // Mostly about a millisecond, now and then much later, so that messages overtake each other.
    const std::int64_t slow =
        this->random.chance(0.02) ? static_cast<std::int64_t>(this->random.below(1500)) : 0;
    return milliseconds(1 + static_cast<std::int64_t>(this->random.below(4)) + slow);
}

bool world::is_cut(std::size_t index, const std::string& vm) const
{
    const std::string& zone = this->nodes[index].zone;
    const std::string& other = this->zone_of_worker.at(vm);
    if (zone != other && (this->is_zone_cut(zone) || this->is_zone_cut(other))) {
        return true;
    }
    const auto found = this->cut_until.find({index, vm});
    return found != this->cut_until.end() && found->second > this->now;
}

void world::execute(std::size_t index, const requests::action& what)
{
    if (const auto* start = std::get_if<requests::start_task>(&what)) {
        this->send_start(index, *start);
    } else if (const auto* query = std::get_if<requests::query_task>(&what)) {
        this->send_query(index, *query);
    } else if (const auto* stop = std::get_if<requests::stop_task>(&what)) {
        this->send_stop(*stop);
    } else if (const auto* claim = std::get_if<requests::claim_task>(&what)) {
        this->send_claim(index, *claim);
    } else if (const auto* adopt = std::get_if<requests::adopt_task>(&what)) {
        this->send_adopt(index, *adopt);
    } else if (const auto* given = std::get_if<requests::send_response>(&what)) {
        this->take_answer(*given);
    }
}

void world::lose(std::size_t index, int incarnation, const requests::attempt_id& attempt,
                 bool was_query, reply_kind kind)
{
    requests::worker_replied reply;
    reply.attempt = attempt;
    reply.was_query = was_query;
    reply.kind = kind;
    const auto delay = kind == reply_kind::not_sent ? this->latency() : time_limit;
    this->schedule(delay,
                   [this, index, incarnation, reply] { this->deliver(index, incarnation, reply); });
}

void world::send_start(std::size_t index, const requests::start_task& wanted)
{
    const std::string& vm = wanted.attempt.worker;
    const int incarnation = this->nodes[index].incarnation;
    this->trace_line(this->nodes[index].name + " starts " + wanted.request + " attempt " +
                     std::to_string(wanted.attempt.number) + " on " + vm);
    if (this->is_unreachable(index, vm)) {
        this->lose(index, incarnation, wanted.attempt, false, reply_kind::not_sent);
        return;
    }
    const bool request_lost = this->random.chance(lost_messages);
    const bool answer_lost = request_lost || this->random.chance(lost_messages);
    if (answer_lost) {
        this->lose(index, incarnation, wanted.attempt, false, reply_kind::lost);
    }
    if (!request_lost) {
        this->schedule(this->latency(), [this, index, incarnation, wanted, answer_lost] {
            this->arrive_start(index, incarnation, wanted, !answer_lost);
        });
    }
    if (!request_lost && this->random.chance(doubled_messages)) {
        this->schedule(this->latency(), [this, index, incarnation, wanted] {
            this->arrive_start(index, incarnation, wanted, true);
        });
    }
}

void world::arrive_start(std::size_t index, int incarnation, const requests::start_task& wanted,
                         bool answer)
{
    const auto& truth = this->truths.at(wanted.request);
    workers::start_order order;
    order.attempt = wanted.attempt;
    order.node = this->nodes[index].name;
    order.incarnation = incarnation;
    order.request = wanted.request;
    order.team = wanted.team;
    order.queue = wanted.queue;
    order.body = wanted.body;
    order.need = teams::resources_of(wanted.size);
    order.repeatable = truth.repeatable;
    fakes::worker_model& worker = *this->workers.at(wanted.attempt.worker);
    const std::size_t before = worker.log().size();
    const auto said = worker.start(order, behaviour_of(wanted.body), this->now);
    if (worker.log().size() > before) {
        this->trace_line(wanted.attempt.worker + " runs " + wanted.request + " for " + wanted.team);
        this->check_limits(wanted.team);
    }
    if (!answer) {
        return;
    }
    if (said.kind == reply_kind::running) {
        this->reply_when_ended(index, incarnation, wanted.attempt, this->now + hold_time);
        return;
    }
    this->reply(index, incarnation, wanted.attempt, false, said);
}

void world::reply_when_ended(std::size_t index, int incarnation,
                             const requests::attempt_id& attempt, common::steady_time until)
{
    this->schedule(milliseconds(20), [this, index, incarnation, attempt, until] {
        fakes::worker_model& worker = *this->workers.at(attempt.worker);
        const auto said = worker.query(attempt, milliseconds(15'000), this->now);
        if (said.kind == reply_kind::running && this->now < until) {
            this->reply_when_ended(index, incarnation, attempt, until);
            return;
        }
        this->reply(index, incarnation, attempt, true, said);
    });
}

void world::reply(std::size_t index, int incarnation, const requests::attempt_id& attempt,
                  bool was_query, const fakes::task_reply& said)
{
    requests::worker_replied reply;
    reply.attempt = attempt;
    reply.was_query = was_query;
    reply.kind = said.kind;
    reply.succeeded = said.succeeded;
    reply.output = said.output;
    reply.run_time = said.run_time;
    this->trace_line(attempt.worker + " says " + std::to_string(static_cast<int>(said.kind)) +
                     " of " + attempt.task + " attempt " + std::to_string(attempt.number));
    const int copies = this->random.chance(doubled_messages) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        this->schedule(this->latency(), [this, index, incarnation, reply] {
            this->deliver(index, incarnation, reply);
        });
    }
}

void world::send_query(std::size_t index, const requests::query_task& wanted)
{
    const std::string& vm = wanted.attempt.worker;
    const int incarnation = this->nodes[index].incarnation;
    if (this->is_unreachable(index, vm)) {
        this->lose(index, incarnation, wanted.attempt, true, reply_kind::not_sent);
        return;
    }
    if (this->random.chance(lost_messages)) {
        this->lose(index, incarnation, wanted.attempt, true, reply_kind::lost);
        return;
    }
    this->schedule(this->latency(), [this, index, incarnation, wanted] {
        this->reply_when_ended(index, incarnation, wanted.attempt, this->now + hold_time);
    });
}

void world::send_stop(const requests::stop_task& wanted)
{
    if (this->random.chance(lost_messages)) {
        return;
    }
    this->schedule(this->latency(), [this, attempt = wanted.attempt] {
        if (this->worker_down_until[attempt.worker] <= this->now) {
            this->workers.at(attempt.worker)->stop(attempt, this->now);
        }
    });
}

void world::send_claim(std::size_t index, const requests::claim_task& wanted)
{
    const int incarnation = this->nodes[index].incarnation;
    const bool lost =
        this->is_unreachable(index, wanted.worker) || this->random.chance(lost_messages);
    if (lost) {
        requests::claim_replied reply;
        reply.attempt = {wanted.task, 0, wanted.worker, {}};
        this->schedule(time_limit, [this, index, incarnation, reply] {
            this->deliver(index, incarnation, reply);
        });
        return;
    }
    this->schedule(this->latency(), [this, index, incarnation, wanted] {
        const auto known =
            this->workers.at(wanted.worker)
                ->claim(wanted.task, this->nodes[index].name, incarnation, this->now);
        const auto reply = workers::claim_for_node(known, wanted.task, wanted.worker, home_memory);
        this->trace_line(wanted.worker + " says " + std::to_string(static_cast<int>(reply.kind)) +
                         " to the claim of " + this->nodes[index].name + " on " + wanted.task +
                         " ");
        this->schedule(this->latency(), [this, index, incarnation, reply] {
            this->deliver(index, incarnation, reply);
        });
    });
}

void world::send_adopt(std::size_t index, const requests::adopt_task& wanted)
{
    if (this->is_unreachable(index, wanted.worker)) {
        return;
    }
    this->schedule(this->latency(), [this, index, wanted] {
        this->trace_line(this->nodes[index].name + " adopts " + wanted.task + " on " +
                         wanted.worker);
        this->workers.at(wanted.worker)
            ->adopt(wanted.task, this->nodes[index].name, milliseconds(15'000), this->now);
    });
}

std::vector<routing::upstream_info> world::vm_list() const
{
    std::vector<routing::upstream_info> vms;
    for (const auto& [vm, worker] : this->workers) {
        vms.push_back({vm, vm, this->zone_of_worker.at(vm), "rack", worker->size(),
                       this->leaving.contains(vm)});
    }
    return vms;
}

void world::poll(std::size_t index, int incarnation)
{
    if (!this->nodes[index].up || this->nodes[index].incarnation != incarnation) {
        return;
    }
    this->deliver(index, incarnation, requests::vm_list_received{this->vm_list()});
    for (const auto& [vm, worker] : this->workers) {
        if (this->worker_down_until[vm] <= this->now && !this->is_cut(index, vm)) {
            const std::string& name = this->nodes[index].name;
            const auto usage =
                workers::report_for_node(worker->usage(name, incarnation, this->now), name);
            this->schedule(this->latency(), [this, index, incarnation, vm = vm, usage] {
                this->deliver(index, incarnation, requests::usage_received{vm, usage});
            });
        }
    }
    for (auto delay = tick_time; delay < poll_time; delay += tick_time) {
        this->schedule(delay, [this, index, incarnation] {
            this->deliver(index, incarnation, requests::tick{});
        });
    }
    this->schedule(poll_time, [this, index, incarnation] { this->poll(index, incarnation); });
}

} // namespace chervilslip::soak
