#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace chervilslip::common {

/// Returns the SHA-256 of `text` as 64 hexadecimal digits. Thread safe.
std::string sha256_hex(std::string_view text);

/// Returns `bytes` random bytes of the operating system as hexadecimal digits. Thread safe.
std::string random_hex(std::size_t bytes);

/// Compares two texts in a time that depends on their lengths alone. Thread safe.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// Encodes bytes as base64 with padding. Thread safe.
std::string base64_encode(std::string_view bytes);

/// Decodes base64; returns false and leaves `bytes` empty when `text` is not base64. Thread safe.
bool base64_decode(std::string_view text, std::string& bytes);

} // namespace chervilslip::common
