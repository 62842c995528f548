#pragma once

#include "cli/operator_client.h"
#include "settings/checker.h"

namespace chervilslip::cli {

/// What applying a directory would change.
struct plan {
    settings::proposal wanted; ///< without edits when nothing would change
    std::vector<settings::difference> differences;
    std::vector<settings::problem> problems;
};

/// Compares a directory's documents with those in force. A team's keys are only ever added to, so
/// that applying a directory never revives or drops a key; removing a team withdraws its keys.
/// Thread safe.
plan make_plan(const settings_in_force& now, const settings::loaded_directory& directory,
               const std::string& author, const std::string& reason);

/// Returns a proposal that changes one value. Thread safe. Errors: `not_found`.
common::result<plan> plan_value(const settings_in_force& now, const std::string& path,
                                const nlohmann::json& value, const std::string& author,
                                const std::string& reason);

/// Returns a proposal that replaces one document. Thread safe.
plan plan_document(const settings_in_force& now, const std::string& path,
                   const nlohmann::json& value, const std::string& author,
                   const std::string& reason);

/// Returns one line for each difference: "+", "-" or "~", the path, the values. Thread safe.
std::string to_text(const std::vector<settings::difference>& differences);

} // namespace chervilslip::cli
