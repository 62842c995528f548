#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace chervilslip::jobs {

/// The queue and the team that a caller speaks for. A job belongs to the scope that it was
/// submitted in, and does not exist for callers of another one.
struct job_scope {
    std::string queue;
    std::optional<std::string> team; ///< unset: the queue is open to callers without a key

    /// Returns whether a job of that queue and team belongs to the scope.
    [[nodiscard]] bool contains(const std::string& of_queue, const std::string& of_team) const
    {
        return this->queue == of_queue && this->team.value_or(of_team) == of_team;
    }

    friend bool operator==(const job_scope&, const job_scope&) = default;
};

/// Encodes a scope for messages between nodes. Thread safe.
inline std::string encode_scope(const job_scope& value)
{
    nlohmann::json row = nlohmann::json::array({value.queue});
    if (value.team) {
        row.push_back(*value.team);
    }
    return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Decodes a scope; nothing if the text is none. Thread safe.
inline std::optional<job_scope> decode_scope(const std::string& text)
{
    const auto row = nlohmann::json::parse(text, nullptr, false);
    if (!row.is_array() || row.empty() || !row[0].is_string()) {
        return std::nullopt;
    }
    job_scope value{row[0].get<std::string>(), std::nullopt};
    if (row.size() > 1 && row[1].is_string()) {
        value.team = row[1].get<std::string>();
    }
    return value;
}

} // namespace chervilslip::jobs
