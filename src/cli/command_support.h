#pragma once

#include "cli/options.h"
#include "cli/plan.h"

/// What the commands share: reaching the system, handing in a change, telling how it ended.
namespace chervilslip::cli {

/// What a command does once its options are read; returns its exit code.
using action = std::function<int(const operator_client& client, bool as_json)>;

/// Prints an error and returns its exit code.
int fail(const common::error& cause);

/// Prints all problems and returns the exit code.
int report_problems(const std::vector<settings::problem>& problems, bool as_json);

/// Reads how to reach the system and runs `work`.
int with_client(const common_options& options, const action& work);

/// Hands in a change and tells how it ended; waits until it is in force everywhere if wanted.
int submit(const operator_client& client, const plan& all, bool as_json, bool wait);

/// The commands. Each adds its options to the line, parses the arguments and returns its exit code.
int run_check(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
int run_plan(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
int run_apply(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
int run_get(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
int run_set(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
int run_keys(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
int run_status(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
int run_audit(TCLAP::CmdLine& line, std::vector<std::string>& arguments);
int run_explain(TCLAP::CmdLine& line, std::vector<std::string>& arguments);

} // namespace chervilslip::cli
