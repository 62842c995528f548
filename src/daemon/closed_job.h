#pragma once

#include <charconv>
#include <optional>
#include <string>

#include "jobs/job.h"
#include "jobs/job_scope.h"

namespace chervilslip::daemon {

/// What the store keeps of a job that has ended, until it is purged.
struct closed_job {
    jobs::job_state state = jobs::job_state::cancelled;
    std::int64_t closed_ms = 0; ///< Unix time
    /// Cancelled before its submission was stored: the entry keeps a late submission from taking
    /// effect. Earlier versions read such an entry as that of a cancelled job.
    bool withdrawn = false;
    /// Whose job it was; unset in entries of earlier versions.
    std::optional<jobs::job_scope> scope;

    /// Returns whether the job exists for a caller.
    [[nodiscard]] bool is_visible_to(const jobs::job_scope& caller) const
    {
        return !this->scope || caller.contains(this->scope->queue, this->scope->team.value_or(
                                                                       caller.team.value_or("")));
    }

    friend bool operator==(const closed_job&, const closed_job&) = default;
};

namespace detail {

inline constexpr std::string_view withdrawn_suffix = " withdrawn";

} // namespace detail

inline std::string encode_closed_job(const closed_job& value)
{
    return std::to_string(static_cast<int>(value.state)) + " " + std::to_string(value.closed_ms) +
           (value.scope ? " " + jobs::encode_scope(*value.scope) : std::string()) +
           std::string(value.withdrawn ? detail::withdrawn_suffix : std::string_view{});
}

/// Parses an entry; nothing if its state is not valid. A time that cannot be read is 0.
inline std::optional<closed_job> parse_closed_job(const std::string& text)
{
    const char* const end = text.data() + text.size();
    int state = -1;
    const auto read = std::from_chars(text.data(), end, state);
    if (read.ec != std::errc{} || state < 0 ||
        state > static_cast<int>(jobs::job_state::cancelled)) {
        return std::nullopt;
    }
    closed_job value;
    value.state = static_cast<jobs::job_state>(state);
    if (read.ptr != end && *read.ptr == ' ') {
        std::from_chars(read.ptr + 1, end, value.closed_ms);
    }
    value.withdrawn = text.ends_with(detail::withdrawn_suffix);
    const std::size_t scope_begin = text.find('[');
    if (scope_begin != std::string::npos) {
        const std::size_t suffix = value.withdrawn ? detail::withdrawn_suffix.size() : 0;
        value.scope =
            jobs::decode_scope(text.substr(scope_begin, text.size() - suffix - scope_begin));
    }
    return value;
}

} // namespace chervilslip::daemon
