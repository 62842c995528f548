#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilslip::daemon {

/// Target of a call that notifies the owner of a stored job or cancellation: a path, and the store
/// revision at which the entry was written.
struct notification_target {
    std::string path;
    std::int64_t revision = 0; ///< 0: unknown, in calls of nodes that do not send it

    friend bool operator==(const notification_target&, const notification_target&) = default;
};

namespace detail {

inline constexpr std::string_view revision_parameter = "?revision=";

} // namespace detail

inline std::string encode_target(const notification_target& value)
{
    return value.path + std::string(detail::revision_parameter) + std::to_string(value.revision);
}

/// Parses a target. A revision that is not a number is taken as unknown.
inline notification_target parse_target(const std::string& text)
{
    const auto split = text.find(detail::revision_parameter);
    if (split == std::string::npos) {
        return {text, 0};
    }
    const auto digits = std::string_view(text).substr(split + detail::revision_parameter.size());
    std::int64_t revision = 0;
    const auto [stop, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), revision);
    const bool valid = failure == std::errc{} && stop == digits.data() + digits.size();
    return {text.substr(0, split), valid ? revision : 0};
}

} // namespace chervilslip::daemon
