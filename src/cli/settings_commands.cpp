#include <iostream>

#include "cli/command_support.h"
#include "cli/commands.h"

// The commands about settings: check, plan, apply, get, set.
namespace chervilslip::cli {

int run_check(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    const common_options options(line);
    const TCLAP::UnlabeledValueArg<std::string> directory("DIR", "the settings' directory", true,
                                                          "", "DIR", line);
    line.parse(arguments);
    auto loaded = settings::load_directory(directory.getValue());
    auto checked = settings::check_tree(loaded.tree);
    auto problems = loaded.problems;
    problems.insert(problems.end(), checked.problems.begin(), checked.problems.end());
    if (!problems.empty()) {
        return report_problems(problems, options.json_output());
    }
    std::cout << (options.json_output() ? "{\"problems\": []}" : "no problems") << "\n";
    return exit_done;
}

namespace {

int run_plan_or_apply(TCLAP::CmdLine& line, std::vector<std::string>& arguments, bool apply)
{
    const common_options options(line);
    const TCLAP::UnlabeledValueArg<std::string> directory("DIR", "the settings' directory", true,
                                                          "", "DIR", line);
    const TCLAP::SwitchArg wait("w", "wait", "wait until every named node has it in force");
    TCLAP::ValueArg<std::string> reason("r", "reason", "why, for the audit trail", false, "",
                                        "TEXT");
    if (apply) {
        line.add(const_cast<TCLAP::SwitchArg&>(wait));
        line.add(reason);
    }
    line.parse(arguments);
    return with_client(options, [&](const operator_client& client, bool as_json) -> int {
        const auto now = client.read_settings();
        if (!now) {
            return fail(now.error());
        }
        const plan all = make_plan(now.value(), settings::load_directory(directory.getValue()),
                                   client.author(), reason.getValue());
        if (!all.problems.empty()) {
            return report_problems(all.problems, as_json);
        }
        if (apply) {
            if (!as_json) {
                std::cout << to_text(all.differences);
            }
            return submit(client, all, as_json, wait.getValue());
        }
        if (as_json) {
            std::cout << settings::to_json(all.wanted).dump(2) << "\n";
        } else {
            std::cout << to_text(all.differences) << all.wanted.edits.size()
                      << " documents would change\n";
        }
        return exit_done;
    });
}

} // namespace

int run_plan(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    return run_plan_or_apply(line, arguments, false);
}

int run_apply(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    return run_plan_or_apply(line, arguments, true);
}

int run_get(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    const common_options options(line);
    const TCLAP::UnlabeledValueArg<std::string> path("PATH", "a path, such as /teams", true, "",
                                                     "PATH", line);
    line.parse(arguments);
    return with_client(options, [&](const operator_client& client, bool) -> int {
        const auto now = client.read_settings();
        if (!now) {
            return fail(now.error());
        }
        const auto value = settings::value_at(now.value().tree, path.getValue());
        if (!value) {
            return fail(value.error());
        }
        std::cout << value.value().dump(2) << "\n";
        return exit_done;
    });
}

int run_set(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    const common_options options(line);
    const TCLAP::UnlabeledValueArg<std::string> path("PATH", "a path inside a document", true, "",
                                                     "PATH", line);
    const TCLAP::UnlabeledValueArg<std::string> value("VALUE", "the new value, as JSON", true, "",
                                                      "VALUE", line);
    const TCLAP::SwitchArg wait("w", "wait", "wait until every named node has it in force", line);
    const TCLAP::ValueArg<std::string> reason("r", "reason", "why, for the audit trail", false, "",
                                              "TEXT", line);
    line.parse(arguments);
    const auto parsed = settings::parse_commented_json(value.getValue(), "VALUE");
    if (!parsed) {
        std::cerr << "chervilslipctl: VALUE is not JSON: " << parsed.error().detail << "\n";
        return exit_usage;
    }
    return with_client(options, [&](const operator_client& client, bool as_json) -> int {
        const auto now = client.read_settings();
        if (!now) {
            return fail(now.error());
        }
        const auto all = plan_value(now.value(), path.getValue(), parsed.value(), client.author(),
                                    reason.getValue());
        if (!all) {
            return fail(all.error());
        }
        return submit(client, all.value(), as_json, wait.getValue());
    });
}

} // namespace chervilslip::cli
