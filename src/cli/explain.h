#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace chervilslip::cli {

/// One event of a node's log.
struct logged_event {
    std::string time; ///< as written, so that it sorts
    std::string node;
    std::string name;
    nlohmann::json fields;

    friend bool operator==(const logged_event&, const logged_event&) = default;
};

/// What the logs tell of one request or job.
struct explanation {
    std::vector<logged_event> events; ///< its own and those that bear on it, by time
    std::string finding;
    bool found = false; ///< some event names it

    friend bool operator==(const explanation&, const explanation&) = default;
};

/// Reads one line of a log; nothing for a line of another form. Thread safe.
std::optional<logged_event> read_event(const std::string& line);

/// Gathers what the events tell of `id`: its own, and while it was under way, changes of the
/// owner, the store out of reach, and what befell its workers. Thread safe.
explanation explain(std::vector<logged_event> events, const std::string& id);

} // namespace chervilslip::cli
