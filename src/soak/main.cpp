#include <iostream>

#include <tclap/CmdLine.h>

#include "soak/fleet_world.h"
#include "soak/world.h"

namespace {

constexpr int exit_usage = 2;

const std::map<std::string, chervilslip::requests::injected_fault>& planted_faults()
{
    using fault = chervilslip::requests::injected_fault;
    static const std::map<std::string, fault> faults{
        {"none", fault::none},
        {"wrong_team", fault::wrong_team},
        {"ignore_limit", fault::ignore_limit},
        {"repeat_unrepeatable", fault::repeat_unrepeatable},
        {"accept_any_answer", fault::accept_any_answer},
        {"claim_not_run", fault::claim_not_run},
        {"ignore_slots", fault::ignore_slots},
        {"skip_stage", fault::skip_stage},
        {"skip_claims", fault::skip_claims},
    };
    return faults;
}

int run(const chervilslip::soak::world_options& options)
{
    const auto report = chervilslip::soak::world(options).run();
    for (const auto& [name, count] : report.checks_by_name) {
        std::cout << "check " << name << ": " << count << "\n";
    }
    for (const auto& [fate, count] : report.fates) {
        std::cout << "fate " << fate << ": " << count << "\n";
    }
    std::cout << "starts: " << report.starts << ", keyed requests that claimed: " << report.claims
              << ", found running: " << report.adopted
              << ", tasks taken over: " << report.taken_over << "\n";
    for (const std::string& line : report.followed) {
        std::cout << "followed " << line << "\n";
    }
    for (const auto& [name, count] : report.violations_by_name) {
        std::cout << "violated " << name << ": " << count << "\n";
    }
    if (report.violations > 0) {
        std::cout << "shortest prefix: --seed " << options.seed << " --steps "
                  << report.first_violation_step << "\n";
        for (const std::string& line : report.trace) {
            std::cout << "  " << line << "\n";
        }
    }
    std::cout << "soak: seed=" << options.seed << " steps=" << report.steps
              << " checks=" << report.checks << " violations=" << report.violations << std::endl;
    return report.violations == 0 ? 0 : 1;
}

int run_fleet(const chervilslip::soak::fleet_world_options& options)
{
    const auto report = chervilslip::soak::fleet_world(options).run();
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
    for (const auto& [name, count] : report.checks) {
        std::cout << "check " << name << ": " << count << "\n";
        checks += count;
    }
    for (const auto& [name, count] : report.violations) {
        std::cout << "violated " << name << ": " << count << "\n";
        violations += count;
    }
    for (const std::string& line : report.first_violations) {
        std::cout << "  " << line << "\n";
    }
    for (const std::string& line : report.followed) {
        std::cout << "followed " << line << "\n";
    }
    std::cout << "fleet soak: seed=" << options.seed << " jobs=" << report.jobs
              << " starts=" << report.starts << " owners=" << report.owners << " checks=" << checks
              << " violations=" << violations << std::endl;
    return violations == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine arguments("Runs the decisions of many nodes in virtual time from a seed.");
        const TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "the seed", false, 1, "N",
                                                  arguments);
        const TCLAP::ValueArg<std::uint64_t> steps("n", "steps", "events before things settle",
                                                   false, 200'000, "N", arguments);
        const TCLAP::ValueArg<int> nodes("", "nodes", "entry nodes", false, 8, "N", arguments);
        const TCLAP::ValueArg<int> zones("", "zones", "availability zones", false, 3, "N",
                                         arguments);
        const TCLAP::ValueArg<std::string> plant("", "plant", "a planted fault", false, "none",
                                                 "NAME", arguments);
        const TCLAP::ValueArg<int> workers("", "workers", "workers", false, 24, "N", arguments);
        const TCLAP::ValueArg<std::string> follow("", "follow",
                                                  "print all events that name this request, node "
                                                  "or worker, or with --fleet this job, task "
                                                  "or worker",
                                                  false, "", "WORD", arguments);
        const TCLAP::SwitchArg fleet("", "fleet", "run jobs over successive owners of the fleet",
                                     arguments);
        const TCLAP::SwitchArg crashes(
            "", "crashes", "with --fleet: tasks crash their workers, and capacities change",
            arguments);
        const TCLAP::SwitchArg restarts("", "quick-restarts",
                                        "with --fleet: workers start again under their ids at "
                                        "once, and are cut off soon after",
                                        arguments);
        const TCLAP::SwitchArg late("", "late-orders",
                                    "with --fleet: workers leave orders unanswered and carry them "
                                    "out seconds later",
                                    arguments);
        const TCLAP::SwitchArg slow("", "slow-answers",
                                    "with --fleet: workers answer 20 to 200 ms late, owners send "
                                    "orders and wake up with jitter",
                                    arguments);
        const TCLAP::ValueArg<std::int64_t> duration("", "duration", "milliseconds of trouble",
                                                     false, 60'000, "MS", arguments);
        arguments.parse(argc, argv);
        if (fleet.getValue()) {
            chervilslip::soak::fleet_world_options options;
            options.seed = seed.getValue();
            options.duration_ms = duration.getValue();
            options.crashing_tasks = crashes.getValue();
            options.changing_capacity = crashes.getValue();
            options.quick_restarts = restarts.getValue();
            options.late_orders = late.getValue();
            options.slow_answers = slow.getValue();
            options.follow = follow.getValue();
            return run_fleet(options);
        }
        const auto fault = planted_faults().find(plant.getValue());
        if (fault == planted_faults().end()) {
            std::cerr << "chervilslip-soak: planted fault \"" << plant.getValue()
                      << "\" does not exist\n";
            return exit_usage;
        }
        chervilslip::soak::world_options options;
        options.seed = seed.getValue();
        options.steps = steps.getValue();
        options.nodes = nodes.getValue();
        options.zones = zones.getValue();
        options.workers = workers.getValue();
        options.follow = follow.getValue();
        options.fault = fault->second;
        return run(options);
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "chervilslip-soak: " << failure.error() << " " << failure.argId() << "\n";
        return exit_usage;
    }
}
