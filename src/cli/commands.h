#pragma once

#include <string>
#include <vector>

namespace chervilslip::cli {

/// The exit codes of `chervilslipctl`, as docs/CLI.md lists them.
enum exit_code : int {
    exit_done = 0,
    exit_refused = 1,     ///< the input breaks a rule, or the thing does not exist
    exit_usage = 2,       ///< the command line is wrong
    exit_conflict = 3,    ///< another operator changed the same path first
    exit_unreachable = 4, ///< no node answered, or it is not known whether the change was made
    exit_partial = 5,     ///< done, but not yet seen in force on every node
};

/// Runs one command line, without the program's name. Thread safe.
int run(const std::vector<std::string>& arguments);

} // namespace chervilslip::cli
