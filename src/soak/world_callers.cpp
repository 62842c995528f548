#include "soak/world.h"

namespace chervilslip::soak {

// Callers, operators and faults, and what is compared at the end of a run.
namespace {

using common::milliseconds;
using detail::lost_messages;

constexpr std::size_t most_recent = 200;
constexpr milliseconds settle_time{240'000}; ///< longer than the slowest task on a slow worker

std::string team_name(int index)
{
    return "team-" + std::to_string(index);
}

} // namespace

void world::make_settings()
{
    auto made = std::make_shared<settings::snapshot>();
    made->number = 1;
    made->workspaces["desk"] = {};
    made->whole_fleet.spare_pool = "pool-0";
    for (int i = 0; i < 3; ++i) {
        settings::pool& pool = made->pools["pool-" + std::to_string(i)];
        for (int vm = i; vm < this->options.workers; vm += 3) {
            pool.vms.insert("w" + std::to_string(vm));
        }
        settings::queue queue;
        queue.workspace = "desk";
        queue.pool = "pool-" + std::to_string(i);
        queue.open = i == 0;
        queue.open_team = i == 0 ? team_name(0) : "";
        queue.most_waiting = 200;
        queue.deadline = milliseconds(8000);
        queue.expected_run_time = milliseconds(5000); // far off, as the brief says
        made->queues["queue-" + std::to_string(i)] = queue;
    }
    for (int i = 0; i < 6; ++i) {
        settings::team_rules rules;
        rules.workspace = "desk";
        rules.share = 1.0 + i;
        rules.limit = 3 + 12 * i; // smaller than the number of nodes, up to plenty
        made->teams[team_name(i)] = rules;
        this->highest_limit[team_name(i)] = rules.limit;
        const auto issued = teams::issue_key(team_name(i), "soak");
        made->keys[team_name(i)][issued.id] = issued.record;
        this->secrets[team_name(i)].push_back(issued.api_key);
    }
    this->in_force = std::move(made);
}

void world::settle_truth(const std::string& id, requests::request_outcome result)
{
    requests::response whole;
    whole.result = result;
    this->take_answer({id, whole});
}

void world::send_request(std::size_t index, requests::request_submitted wanted)
{
    request_truth& truth = this->truths.at(wanted.id);
    truth.node = index;
    truth.incarnation = this->nodes[index].incarnation;
    if (wanted.idempotency_key.empty() || this->nodes[index].paused_until > this->now) {
        this->deliver(index, truth.incarnation, wanted);
        return;
    }
    const std::string task = requests::task_id_for_key(truth.team, wanted.idempotency_key);
    const auto home = this->nodes[index].view->home_of(task, this->zone_names);
    if (!home) {
        this->settle_truth(wanted.id, requests::request_outcome::refused);
    } else if (*home == this->nodes[index].name) {
        this->deliver(index, truth.incarnation, wanted);
    } else {
        this->relay(index, *home, std::move(wanted));
    }
}

void world::relay(std::size_t index, const std::string& home, requests::request_submitted wanted)
{
    const auto found = std::find_if(this->nodes.begin(), this->nodes.end(),
                                    [&home](const node_state& each) { return each.name == home; });
    const auto target = static_cast<std::size_t>(found - this->nodes.begin());
    const int incarnation = found->incarnation;
    if (!found->up || this->are_cut(index, target) || this->random.chance(lost_messages)) {
        this->settle_truth(wanted.id, requests::request_outcome::unknown);
        return;
    }
    this->truths.at(wanted.id).node = target;
    this->truths.at(wanted.id).incarnation = incarnation;
    this->schedule(this->latency(), [this, target, incarnation, wanted] {
        this->deliver(target, incarnation, wanted);
    });
}

void world::hand_in()
{
    const std::size_t index = this->random.below(this->nodes.size());
    if (!this->nodes[index].up) {
        return;
    }
    const int queue = static_cast<int>(this->random.below(3));
    const int team = static_cast<int>(this->random.below(6));
    requests::request_submitted wanted;
    wanted.id = "r" + std::to_string(++this->request_count);
    wanted.queue = "queue-" + std::to_string(queue);
    wanted.body = "body of " + wanted.id;
    wanted.urgent = this->random.chance(0.1);
    wanted.repeatable = this->random.chance(0.5);
    const auto& keys = this->secrets.at(team_name(team));
    const bool with_key = queue != 0 || this->random.chance(0.5);
    wanted.presented_key = with_key ? keys[this->random.below(keys.size())] : "";
    if (this->random.chance(0.02)) {
        wanted.presented_key = team_name(team) + ".k0.wrong";
    }
    if (this->random.chance(0.3)) {
        wanted.idempotency_key = "key of " + wanted.id;
    }
    if (this->random.chance(0.02)) {
        wanted.size = settings::task_size{100, 1, 0}; // can never run
    }
    request_truth truth;
    truth.id = wanted.id;
    truth.team = wanted.presented_key.empty() ? team_name(0) : team_name(team);
    truth.body = wanted.body;
    truth.node = index;
    truth.incarnation = this->nodes[index].incarnation;
    truth.repeatable = *wanted.repeatable;
    truth.idempotency_key = wanted.idempotency_key;
    this->truths[wanted.id] = truth;
    this->recent.push_back(wanted.id);
    if (this->recent.size() > most_recent) {
        this->recent.erase(this->recent.begin());
    }
    this->send_request(index, wanted);
    if (!wanted.idempotency_key.empty() && this->random.chance(0.7)) {
        requests::request_submitted again = wanted;
        again.id += "-again";
        this->truths[again.id] = truth;
        this->truths[again.id].id = again.id;
        const auto delay = milliseconds(static_cast<std::int64_t>(this->random.below(6000)));
        this->schedule(delay, [this, again] {
            const std::size_t other = this->random.below(this->nodes.size());
            this->send_request(other, again);
        });
    }
}

void world::take_answer(const requests::send_response& given)
{
    request_truth& truth = this->truths.at(given.id);
    this->trace_line(
        given.id + " is answered " + std::string(requests::to_string(given.content.result)) + " " +
        std::string(requests::to_string(given.content.refusal_reason)) + " " + given.content.cause);
    this->check("answered_once", !truth.response, [&] { return given.id + " is answered twice"; });
    truth.response = given.content;
    ++this->report.fates[std::string(requests::to_string(given.content.result))];
    if (given.content.result == requests::request_outcome::done) {
        this->check("own_answer", given.content.output == "ran:" + truth.body,
                    [&] { return given.id + " got \"" + given.content.output + "\""; });
    }
}

void world::cancel_some()
{
    const std::size_t count = this->random.chance(0.1) ? 100 : 2;
    for (std::size_t i = 0; i < count && !this->recent.empty(); ++i) {
        const std::string id = this->recent[this->random.below(this->recent.size())];
        const request_truth& truth = this->truths.at(id);
        this->deliver(truth.node, truth.incarnation, requests::cancel_requested{id});
    }
}

void world::publish_settings()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const int incarnation = this->nodes[i].incarnation;
        // Both orders occur: a node may hear of older settings after newer ones.
        this->schedule(this->latency() * 3, [this, i, incarnation, known = this->in_force] {
            this->deliver(i, incarnation, requests::settings_accepted{known});
        });
    }
}

void world::change_keys()
{
    auto changed = std::make_shared<settings::snapshot>(*this->in_force);
    ++changed->number;
    const std::string team = team_name(static_cast<int>(this->random.below(6)));
    for (auto& [id, key] : changed->keys[team]) {
        key.state = settings::key_state::withdrawn;
    }
    const auto issued = teams::issue_key(team, "soak");
    changed->keys[team][issued.id] = issued.record;
    auto& presented = this->secrets[team];
    presented.push_back(issued.api_key);
    if (presented.size() > 2) {
        presented.erase(presented.begin());
    }
    this->trace_line("the keys of " + team + " are withdrawn");
    this->in_force = std::move(changed);
    this->publish_settings();
}

void world::change_limits()
{
    auto changed = std::make_shared<settings::snapshot>(*this->in_force);
    ++changed->number;
    const std::string team = team_name(static_cast<int>(this->random.below(6)));
    const auto limit = 1 + static_cast<std::int64_t>(this->random.below(60));
    changed->teams[team].limit = limit;
    this->highest_limit[team] = std::max(this->highest_limit[team], limit);
    this->in_force = std::move(changed);
    this->publish_settings();
}

void world::disturb()
{
    const std::string vm = "w" + std::to_string(this->random.below(this->workers.size()));
    const std::size_t index = this->random.below(this->nodes.size());
    fakes::worker_model& worker = *this->workers.at(vm);
    const auto some_time =
        milliseconds(500 + static_cast<std::int64_t>(this->random.below(20'000)));
    switch (this->random.below(9)) {
    case 0:
        this->crash(index);
        break;
    case 1:
        this->trace_line(this->nodes[index].name + " pauses");
        this->nodes[index].paused_until = this->now + some_time;
        break;
    case 2:
        this->trace_line(vm + " reboots");
        worker.reboot(this->now);
        this->worker_down_until[vm] = this->now + some_time / 4;
        break;
    case 3:
        worker.switches.fails_everything = !worker.switches.fails_everything;
        break;
    case 4:
        worker.is_draining() ? worker.undrain() : worker.drain();
        break;
    case 5:
        this->trace_line(this->nodes[index].name + " is cut off from " + vm);
        this->cut_until[{index, vm}] = this->now + some_time;
        break;
    case 6:
        if (this->random.chance(0.3)) {
            const std::string& zone = this->nodes[index].zone;
            this->trace_line(zone + " is cut off");
            this->zone_cut_until[zone] = this->now + some_time;
        }
        break;
    case 7:
        worker.switches.slowness = this->random.chance(0.5) ? 1.0 : 4.0;
        break;
    default:
        if (!this->leaving.erase(vm) && this->leaving.size() < 3) {
            this->leaving.insert(vm);
        }
        break;
    }
}

void world::check_limits(const std::string& team)
{
    std::int64_t running = 0;
    for (const auto& [vm, worker] : this->workers) {
        worker->advance(this->now);
        running += worker->running_of(team);
    }
    this->check("fleet_limit", running <= this->highest_limit.at(team), [&] {
        return team + " runs " + std::to_string(running) + " of " +
               std::to_string(this->highest_limit.at(team));
    });
}

void world::settle()
{
    this->quiet = true;
    for (auto& [vm, worker] : this->workers) {
        worker->switches.slowness = 1.0;
        worker->undrain();
    }
    const auto until = this->now + settle_time;
    while (this->now < until && this->step()) {
    }
}

void world::check_truths()
{
    std::map<std::string, int> starts; ///< by request
    std::map<std::string, std::string> team_of_start;
    std::map<std::string, int> starts_of_key;
    for (const auto& [vm, worker] : this->workers) {
        for (const fakes::start_entry& entry : worker->log()) {
            ++starts[entry.request];
            team_of_start[entry.request] = entry.team;
            ++this->report.starts;
        }
    }
    for (const auto& item : this->truths) {
        const std::string& id = item.first;
        const request_truth& truth = item.second;
        const node_state& node = this->nodes[truth.node];
        const bool node_lived = node.incarnation == truth.incarnation && node.up;
        this->check("nothing_lost", !node_lived || truth.response,
                    [&] { return id + " has no answer"; });
        const int count = starts.contains(id) ? starts.at(id) : 0;
        const bool refused =
            truth.response && truth.response->result == requests::request_outcome::refused;
        this->check("refused_not_run", !refused || count == 0,
                    [&] { return id + " is refused and was started"; });
        this->check("started_once", truth.repeatable || count <= 1,
                    [&] { return id + " was started " + std::to_string(count) + " times"; });
        if (!truth.idempotency_key.empty() && !truth.repeatable) {
            int& of_key = starts_of_key[truth.team + " " + truth.idempotency_key];
            of_key += count;
            this->check("key_runs_once", of_key <= 1, [&] {
                return id + ": its idempotency key was started " + std::to_string(of_key) +
                       " times";
            });
        }
        const bool own_team = count == 0 || team_of_start.at(id) == truth.team;
        this->check("team_of_request", own_team,
                    [&] { return id + " ran for " + team_of_start.at(id); });
    }
}

} // namespace chervilslip::soak
