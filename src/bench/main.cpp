#include <benchmark/benchmark.h>

#include "common/random.h"
#include "membership/messages.h"
#include "requests/engine.h"
#include "settings/checker.h"
#include "settings/manifest.h"

// The cost of single decisions, and its growth with the size of the system. A size of 1 is today's
// deployment: 50 workers, 5 pools, 8 teams; the target lies between 16 and 64.
namespace {

using namespace chervilslip;
using namespace chervilslip::requests;

constexpr std::int64_t workers_today = 50;
constexpr std::int64_t pools_today = 5;
constexpr std::int64_t teams_today = 8;

std::string numbered(const std::string& kind, std::int64_t number)
{
    return kind + "-" + std::to_string(number);
}

/// An engine with the settings and upstreams of a size.
class sized_engine {
public:
    explicit sized_engine(std::int64_t size, routing::selection_policy choice)
        : engine(options_of(choice), teams::static_partition({0, 1}), this->random,
                 this->invariants)
    {
        auto made = std::make_shared<settings::snapshot>();
        made->number = 1;
        made->workspaces["desk"] = {};
        vm_list_received list;
        for (std::int64_t i = 0; i < workers_today * size; ++i) {
            const std::string vm = numbered("vm", i);
            made->pools[numbered("pool", i % (pools_today * size))].vms.insert(vm);
            list.vms.push_back({vm, vm, "zone", "rack", {32, 131072, 1, 8}, false});
        }
        for (std::int64_t i = 0; i < pools_today * size; ++i) {
            settings::queue queue;
            queue.workspace = "desk";
            queue.pool = numbered("pool", i);
            queue.most_waiting = 1000;
            made->queues[numbered("queue", i)] = queue;
        }
        for (std::int64_t i = 0; i < teams_today * size; ++i) {
            settings::team_rules rules;
            rules.workspace = "desk";
            rules.limit = 100'000;
            made->teams[numbered("team", i)] = rules;
            const auto issued = teams::issue_key(numbered("team", i), "bench");
            made->keys[numbered("team", i)][issued.id] = issued.record;
            this->keys.push_back(issued.api_key);
        }
        this->in_force = made;
        this->engine.on_event(settings_accepted{made}, this->now);
        this->engine.on_event(list, this->now);
        for (const auto& each : list.vms) {
            this->engine.on_event(usage_received{each.vm, {"e1", {}, false, {}, {}}}, this->now);
        }
    }

    static engine_options options_of(routing::selection_policy choice)
    {
        engine_options options;
        options.zone = "zone";
        options.choice = choice;
        options.max_records = 1000;
        return options;
    }

    /// Hands in a request and, when it starts, ends its task.
    void run_one(std::int64_t number)
    {
        request_submitted wanted;
        wanted.id = numbered("request", number);
        wanted.queue =
            numbered("queue", number % static_cast<std::int64_t>(this->in_force->queues.size()));
        wanted.presented_key = this->keys[static_cast<std::size_t>(number) % this->keys.size()];
        this->now += std::chrono::microseconds(100);
        for (const action& each : this->engine.on_event(wanted, this->now)) {
            if (const auto* start = std::get_if<start_task>(&each)) {
                worker_replied reply;
                reply.attempt = start->attempt;
                reply.kind = reply_kind::finished;
                reply.succeeded = true;
                this->engine.on_event(reply, this->now);
            }
        }
    }

    common::random_source random{1};
    common::invariant_monitor invariants{[](common::invariant, const std::string&) {
    }};
    node_engine engine;
    std::vector<std::string> keys;
    std::shared_ptr<const settings::snapshot> in_force;
    common::steady_time now{std::chrono::hours(1)};
};

void request_life(benchmark::State& state, routing::selection_policy choice)
{
    sized_engine sized(state.range(0), choice);
    std::int64_t number = 0;
    for (auto _ : state) {
        sized.run_one(++number);
    }
    state.SetItemsProcessed(state.iterations());
}

void usage_report(benchmark::State& state)
{
    sized_engine sized(state.range(0), routing::selection_policy::corrected_two_choice);
    const usage_received report{"vm-1", {"e1", {}, false, {}, {}}};
    for (auto _ : state) {
        benchmark::DoNotOptimize(sized.engine.on_event(report, sized.now));
    }
}

void idle_tick(benchmark::State& state)
{
    sized_engine sized(state.range(0), routing::selection_policy::corrected_two_choice);
    for (auto _ : state) {
        sized.now += std::chrono::milliseconds(10);
        benchmark::DoNotOptimize(sized.engine.on_event(tick{}, sized.now));
    }
}

void vm_list(benchmark::State& state)
{
    sized_engine sized(state.range(0), routing::selection_policy::corrected_two_choice);
    const vm_list_received list{sized.engine.upstreams().known_upstreams()};
    for (auto _ : state) {
        benchmark::DoNotOptimize(sized.engine.on_event(list, sized.now));
    }
}

settings::document_tree sized_tree(std::int64_t size)
{
    settings::document_tree tree;
    const auto add = [&tree](const std::string& path, nlohmann::json value) {
        tree[path] = {std::move(value), path};
    };
    add("/workspaces/desk", {{"size", "large"}});
    for (std::int64_t i = 0; i < pools_today * size; ++i) {
        std::vector<std::string> vms;
        for (std::int64_t vm = 0; vm < workers_today / pools_today; ++vm) {
            vms.push_back(numbered("vm", i * 100 + vm));
        }
        add("/pools/" + numbered("pool", i),
            {{"vms", vms},
             {"least_vms", 1},
             {"most_vms", 20},
             {"budget", {{"most_vms_out", 1}, {"least_vms_serving", 1}}}});
        add("/queues/" + numbered("queue", i), {{"workspace", "desk"},
                                                {"pool", numbered("pool", i)},
                                                {"most_waiting", 10},
                                                {"deadline_ms", 1000}});
    }
    for (std::int64_t i = 0; i < teams_today * size; ++i) {
        add("/teams/" + numbered("team", i) + "/rules",
            {{"workspace", "desk"}, {"share", 1.0}, {"limit", 10}});
    }
    return tree;
}

void settings_check(benchmark::State& state)
{
    const auto tree = sized_tree(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(settings::check_tree(tree));
    }
}

void settings_manifest(benchmark::State& state)
{
    settings::manifest source;
    for (const auto& [path, each] : sized_tree(state.range(0))) {
        source.entries[path] = {settings::content_hash(each.value), 1, "ann"};
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string text = settings::canonical_text(settings::to_json(source));
        bytes = text.size();
        benchmark::DoNotOptimize(settings::parse_manifest(text));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

void heartbeat_bytes(benchmark::State& state)
{
    membership::heartbeat beat{1000, std::string(64, 'a'), {}};
    for (std::int64_t i = 0; i < teams_today * state.range(0); ++i) {
        beat.running[numbered("team", i)] = {12, 4096, 0, 6};
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        const std::string text = membership::encode(beat);
        bytes = text.size();
        benchmark::DoNotOptimize(membership::decode(text, "peer"));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK_CAPTURE(request_life, corrected_two_choice,
                  routing::selection_policy::corrected_two_choice)
    ->Arg(1)
    ->Arg(4)
    ->Arg(16)
    ->Arg(64);
BENCHMARK_CAPTURE(request_life, random, routing::selection_policy::random)->Arg(1)->Arg(16);
BENCHMARK(usage_report)->Arg(1)->Arg(4)->Arg(16)->Arg(64);
BENCHMARK(idle_tick)->Arg(1)->Arg(4)->Arg(16)->Arg(64);
BENCHMARK(vm_list)->Arg(1)->Arg(4)->Arg(16)->Arg(64);
BENCHMARK(settings_check)->Arg(1)->Arg(4)->Arg(16)->Arg(64);
BENCHMARK(settings_manifest)->Arg(1)->Arg(4)->Arg(16)->Arg(64);
BENCHMARK(heartbeat_bytes)->Arg(1)->Arg(4)->Arg(16);

} // namespace

BENCHMARK_MAIN();
