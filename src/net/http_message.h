#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace chervilslip::net {

/// One header field; names are compared without regard to case.
struct http_field {
    std::string name;
    std::string value;

    friend bool operator==(const http_field&, const http_field&) = default;
};

/// A whole request; it is never made from a body that was cut short.
struct http_request {
    std::string method;
    std::string target;
    std::vector<http_field> fields;
    std::string body;
    std::string peer;

    friend bool operator==(const http_request&, const http_request&) = default;

    /// Returns the value of the first field of that name, or an empty text. Thread safe.
    [[nodiscard]] std::string field(std::string_view name) const;

    /// Returns the part of the target before "?". Thread safe.
    [[nodiscard]] std::string path() const;

    /// Returns the path's segments between slashes, percent-decoded. Thread safe.
    [[nodiscard]] std::vector<std::string> segments() const;

    /// Returns the value of a query parameter, percent-decoded, or an empty text. Thread safe.
    [[nodiscard]] std::string query(std::string_view name) const;
};

/// A whole response; it is never made from a body that was cut short.
struct http_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<http_field> fields;

    /// Returns the value of the first field of that name, or an empty text. Thread safe.
    [[nodiscard]] std::string field(std::string_view name) const;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// An address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

    /// Returns "address:port". Thread safe.
    [[nodiscard]] std::string to_string() const;
};

/// Reads "address:port"; returns nothing when the text is not of that form. Thread safe.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Makes a response with a JSON body. Thread safe.
http_response json_response(unsigned status, const nlohmann::json& body);

/// Makes an error response in the shape that docs/API.md describes. Thread safe.
http_response error_response(unsigned status, std::string_view step, std::string_view cause);

} // namespace chervilslip::net
