#pragma once

#include <string>

#include "common/error.h"
#include "settings/documents.h"

/// Teams: API keys, upper limits and fair shares.
namespace chervilslip::teams {

/// The team and key that a caller's API key belongs to.
struct identity {
    std::string team;
    std::string key_id;

    friend bool operator==(const identity&, const identity&) = default;
};

/// A new API key: the key for the team, and the record for the settings.
struct issued_key {
    std::string id;
    std::string api_key; ///< sent by the team with its requests; shown once and never stored
    settings::team_key record;

    friend bool operator==(const issued_key&, const issued_key&) = default;
};

/// Creates an API key for a team from the operating system's random source. Thread safe.
issued_key issue_key(const std::string& team, const std::string& issued_by);

/// Returns the identity that an API key belongs to. Thread safe.
/// Errors: `refused`, without saying which part of the key is wrong.
common::result<identity> authenticate(const settings::snapshot& in_force,
                                      const std::string& api_key);

/// Tells whether a key is still active. Thread safe.
bool is_active(const settings::snapshot& in_force, const identity& who);

} // namespace chervilslip::teams
