#include "cli/commands.h"

#include <iostream>

#include "cli/command_support.h"

namespace chervilslip::cli {

namespace {

struct command {
    std::string_view name;
    std::string_view help;
    int (*run)(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
};

constexpr std::array<command, 9> commands{{
    {"check", "Check a directory of settings without any node.", run_check},
    {"plan", "Show what applying a directory would change.", run_plan},
    {"apply", "Apply a directory of settings as one change.", run_apply},
    {"get", "Print the value at a path.", run_get},
    {"set", "Change the value at a path.", run_set},
    {"keys", "Issue, withdraw or list a team's keys.", run_keys},
    {"status", "Show every node's state.", run_status},
    {"audit", "Show who changed what, when, before and after.", run_audit},
    {"explain", "Gather what nodes' logs tell of one request.", run_explain},
}};

int usage(std::ostream& out, int code)
{
    out << "usage: chervilslipctl COMMAND [options]; COMMAND --help tells more\n";
    for (const command& each : commands) {
        out << "  " << each.name << std::string(10 - each.name.size(), ' ') << each.help << "\n";
    }
    return code;
}

} // namespace

int run(const std::vector<std::string>& arguments)
{
    if (arguments.empty()) {
        return usage(std::cerr, exit_usage);
    }
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        return usage(std::cout, exit_done);
    }
    for (const command& each : commands) {
        if (each.name != arguments.front()) {
            continue;
        }
        TCLAP::CmdLine line(std::string(each.help), ' ', "1");
        line.setExceptionHandling(false);
        std::vector<std::string> rest = arguments;
        rest.front() = "chervilslipctl " + rest.front();
        try {
            return each.run(line, rest);
        } catch (const TCLAP::ArgException& failure) {
            std::cerr << "chervilslipctl " << each.name << ": " << failure.error() << " "
                      << failure.argId() << "\n";
            return exit_usage;
        } catch (const TCLAP::ExitException& wanted) {
            return wanted.getExitStatus();
        }
    }
    std::cerr << "chervilslipctl: command \"" << arguments.front() << "\" does not exist\n";
    return usage(std::cerr, exit_usage);
}

} // namespace chervilslip::cli
