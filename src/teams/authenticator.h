#pragma once

#include <string>

#include "common/error.h"
#include "settings/documents.h"

/// Teams: their keys, upper limits and shares.
namespace chervilslip::teams {

/// Whom a presented key stands for.
struct identity {
    std::string team;
    std::string key_id;

    friend bool operator==(const identity&, const identity&) = default;
};

/// A new key: the secret for the team, and the record for the settings.
struct issued_key {
    std::string id;
    std::string api_key; ///< what the team sends; shown once and never stored
    settings::team_key record;

    friend bool operator==(const issued_key&, const issued_key&) = default;
};

/// Makes a key of a team from the operating system's random source. Thread safe.
issued_key issue_key(const std::string& team, const std::string& issued_by);

/// Tells whose key was presented. Thread safe.
/// Errors: `refused`; it does not say which part of the key is wrong.
common::result<identity> authenticate(const settings::snapshot& in_force,
                                      const std::string& presented);

/// Tells whether a key is still active. Thread safe.
bool is_active(const settings::snapshot& in_force, const identity& who);

} // namespace chervilslip::teams
