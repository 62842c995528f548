#include "soak/world.h"

namespace chervilslip::soak {

namespace {

using common::milliseconds;
using detail::home_memory;

constexpr std::size_t trace_lines = 60;
constexpr std::int64_t worker_slots = 8;

} // namespace

world::world(world_options wanted)
    : options(wanted), random(wanted.seed), now(std::chrono::hours(1))
{
    this->make_settings();
    for (int i = 0; i < this->options.zones; ++i) {
        this->zone_names.push_back("zone-" + std::to_string(i));
    }
    for (int i = 0; i < this->options.workers; ++i) {
        const std::string vm = "w" + std::to_string(i);
        this->workers[vm] =
            std::make_unique<fakes::worker_model>(vm, teams::resources{16, 65536, 1, worker_slots});
        this->zone_of_worker[vm] = "zone-" + std::to_string(i % this->options.zones);
    }
    this->nodes.resize(static_cast<std::size_t>(this->options.nodes));
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->nodes[i].name = "n" + std::to_string(i);
        this->nodes[i].zone =
            "zone-" + std::to_string(i % static_cast<std::size_t>(this->options.zones));
        this->boot(i);
    }
    this->every(milliseconds(4), [this] { this->hand_in(); });
    this->every(milliseconds(700), [this] { this->cancel_some(); });
    this->every(milliseconds(9000), [this] { this->change_keys(); });
    this->every(milliseconds(15'000), [this] { this->change_limits(); });
    this->every(milliseconds(1000), [this] { this->disturb(); });
}

void world::schedule(milliseconds delay, closure action)
{
    this->agenda.push({this->now + delay, ++this->scheduled_count, std::move(action)});
}

void world::every(milliseconds mean, closure action)
{
    const auto delay = milliseconds(
        1 + static_cast<std::int64_t>(this->random.exponential(static_cast<double>(mean.count()))));
    this->schedule(delay, [this, mean, action = std::move(action)]() mutable {
        if (!this->quiet) {
            action();
            this->every(mean, std::move(action));
        }
    });
}

bool world::step()
{
    if (this->agenda.empty()) {
        return false;
    }
    const scheduled next = this->agenda.top();
    this->agenda.pop();
    this->now = std::max(this->now, next.at);
    ++this->report.steps;
    next.action();
    return true;
}

void world::trace_line(const std::string& text)
{
    const auto at = std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch()).count();
    const std::string line = std::to_string(at) + " ms: " + text;
    if (!this->options.follow.empty() &&
        (text + " ").find(this->options.follow + " ") != std::string::npos) {
        this->report.followed.push_back(line);
    }
    if (this->report.violations > 0) {
        return;
    }
    this->trace.push_back(line);
    if (this->trace.size() > trace_lines) {
        this->trace.pop_front();
    }
}

void world::violate(const std::string& name, const std::string& detail)
{
    if (this->report.violations == 0) {
        this->trace_line("VIOLATION of " + name + ": " + detail);
        this->report.first_violation_step = this->report.steps;
        this->report.trace.assign(this->trace.begin(), this->trace.end());
    }
    ++this->report.violations;
    ++this->report.violations_by_name[name];
}

void world::check(const std::string& name, bool holds, const std::function<std::string()>& describe)
{
    ++this->report.checks;
    ++this->report.checks_by_name[name];
    if (!holds) {
        this->violate(name, describe());
    }
}

void world::boot(std::size_t index)
{
    node_state& each = this->nodes[index];
    ++each.incarnation;
    each.up = true;
    each.random = std::make_unique<common::random_source>(this->random.below(1'000'000'000));
    each.invariants = std::make_unique<common::invariant_monitor>(
        [this, name = each.name](common::invariant which, const std::string& detail) {
            this->violate(std::string(common::to_string(which)), name + ": " + detail);
        });
    requests::engine_options engine_options;
    engine_options.node = each.name;
    engine_options.zone = each.zone;
    engine_options.claim_retention = home_memory;
    engine_options.fault = this->options.fault;
    engine_options.position = {static_cast<std::int64_t>(index),
                               static_cast<std::int64_t>(this->nodes.size())};
    each.engine = std::make_unique<requests::node_engine>(
        engine_options, teams::static_partition(engine_options.position), *each.random,
        *each.invariants);
    this->trace_line(each.name + " boots");
    const int incarnation = each.incarnation;
    this->deliver(index, incarnation, requests::settings_accepted{this->in_force});
    each.view = std::make_unique<membership::view>(
        membership::member{each.name, each.zone, each.name, incarnation},
        membership::view_options{milliseconds(2500), home_memory}, this->now);
    this->poll(index, incarnation);
    this->beat(index, incarnation);
}

void world::crash(std::size_t index)
{
    node_state& each = this->nodes[index];
    if (!each.up) {
        return;
    }
    this->trace_line(each.name + " crashes");
    for (std::size_t i = 0; i < common::invariant_count; ++i) {
        const auto which = static_cast<common::invariant>(i);
        this->report.checks += each.invariants->check_count(which);
        this->report.checks_by_name[std::string(common::to_string(which))] +=
            each.invariants->check_count(which);
    }
    this->report.claims += each.engine->counters().claims;
    this->report.adopted += each.engine->counters().adopted;
    this->report.taken_over += each.engine->counters().taken_over;
    each.up = false;
    each.engine.reset();
    this->schedule(milliseconds(200 + static_cast<std::int64_t>(this->random.below(5000))),
                   [this, index] { this->boot(index); });
}

void world::deliver(std::size_t index, int incarnation, requests::event what)
{
    node_state& each = this->nodes[index];
    if (!each.up || each.incarnation != incarnation) {
        return;
    }
    if (each.paused_until > this->now) {
        const auto left = std::chrono::duration_cast<milliseconds>(each.paused_until - this->now);
        this->schedule(left + milliseconds(1), [this, index, incarnation, what] {
            this->deliver(index, incarnation, what);
        });
        return;
    }
    this->apply(index, what);
}

void world::apply(std::size_t index, const requests::event& what)
{
    const auto* wanted = std::get_if<requests::request_submitted>(&what);
    if (wanted != nullptr && !wanted->idempotency_key.empty() && !wanted->must_claim) {
        const auto task =
            requests::task_id_for_key(this->truths.at(wanted->id).team, wanted->idempotency_key);
        requests::request_submitted checked = *wanted;
        checked.must_claim =
            !this->nodes[index].view->was_always_home(task, this->zone_names, this->now);
        this->trace_line(this->nodes[index].name + " takes " + wanted->id + " as " + task + " " +
                         (checked.must_claim ? "with claims" : "as its home"));
        if (checked.must_claim) {
            this->apply(index, checked);
            return;
        }
    }
    for (const requests::action& each : this->nodes[index].engine->on_event(what, this->now)) {
        this->execute(index, each);
    }
}

world_report world::run()
{
    while (this->report.steps < this->options.steps && this->step()) {
    }
    this->settle();
    this->check_truths();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->crash(i);
    }
    return this->report;
}

} // namespace chervilslip::soak
