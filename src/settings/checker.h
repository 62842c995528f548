#pragma once

#include "settings/document_tree.h"
#include "settings/documents.h"

namespace chervilslip::settings {

/// The settings parsed from a tree and all problems found; `typed` is complete only without
/// problems.
struct checked_tree {
    snapshot typed;
    std::vector<problem> problems;
};

/// Parses and validates every document and every reference between documents. Thread safe.
checked_tree check_tree(const document_tree& tree);

/// Validates the change from one snapshot to the next: keys are never removed, and a withdrawn key
/// is never reactivated. Thread safe.
std::vector<problem> check_transition(const snapshot& before, const snapshot& after);

} // namespace chervilslip::settings
