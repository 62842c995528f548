#pragma once

/// The HTTP status codes that the programs use, by the names of RFC 9110 as far as they fit.
namespace chervilslip::net {

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_not_modified = 304;
inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_unauthorized = 401;
inline constexpr unsigned status_forbidden = 403;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_method_not_allowed = 405;
inline constexpr unsigned status_conflict = 409;
inline constexpr unsigned status_gone = 410;
inline constexpr unsigned status_precondition_failed = 412;
inline constexpr unsigned status_misdirected = 421;
inline constexpr unsigned status_too_many_requests = 429;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

} // namespace chervilslip::net
