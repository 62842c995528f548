#pragma once

#include <string>
#include <system_error>

#include <boost/outcome/result.hpp>

namespace chervilslip::common {

/// Causes that are shared by all modules.
enum class errc {
    ok = 0,
    connect_failed,  ///< no connection was made, so nothing was sent
    timed_out,       ///< the time limit passed; the peer may have acted
    connection_lost, ///< the connection ended early; the peer may have acted
    bad_message,     ///< the bytes received do not follow the format
    too_large,       ///< a bounded size was exceeded
    unavailable,     ///< the peer answered that it is not able to serve
    conflict,        ///< a compare-and-swap found another value
    not_found,       ///< the named thing does not exist
    refused,         ///< the caller may not do this
    invalid,         ///< the input breaks a rule
    fenced,          ///< a newer holder of the duty has been seen
    expired,         ///< what was asked for is no longer kept
};

/// Returns the category of `errc`. Thread safe.
const std::error_category& error_category() noexcept;

/// Makes a standard error code of `errc`. Thread safe.
std::error_code make_error_code(errc code) noexcept;

/// A failure together with the step and the peer at which it arose.
struct error {
    std::error_code code;
    std::string step;
    std::string peer;
    std::string detail;

    friend bool operator==(const error&, const error&) = default;

    /// Returns one line for people: step, peer, cause, detail. Thread safe.
    [[nodiscard]] std::string to_string() const;

    /// Tells whether the peer may have acted on what was sent. Thread safe.
    [[nodiscard]] bool may_have_reached_peer() const noexcept;

    /// Tells whether the peer may have acted, given that a peer that answers `unavailable` has done
    /// nothing. Thread safe.
    [[nodiscard]] bool may_have_been_done() const noexcept;
};

/// Makes an error from its parts. Thread safe.
error make_error(errc code, std::string step, std::string peer, std::string detail);

/// Either a value or an `error`; reading the absent side throws.
template <typename T>
using result = boost::outcome_v2::checked<T, error>;

} // namespace chervilslip::common

template <>
struct std::is_error_code_enum<chervilslip::common::errc> : std::true_type {
};
