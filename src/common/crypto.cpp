#include "common/crypto.h"

#include <array>
#include <cstdlib>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace chervilslip::common {

namespace {

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0x0FU];
    }
    return text;
}

} // namespace

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest.data(), size);
}

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
        // Without a random source no secret and no id would be safe.
        std::abort();
    }
    return to_hex(buffer.data(), buffer.size());
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string base64_encode(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

bool base64_decode(std::string_view text, std::string& bytes)
{
    bytes.clear();
    if (text.size() % 4 != 0) {
        return false;
    }
    std::string buffer(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(buffer.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0) {
        return false;
    }
    buffer.resize(static_cast<std::size_t>(size));
    for (std::size_t i = text.size(); i > 0 && text[i - 1] == '=' && !buffer.empty(); --i) {
        buffer.pop_back();
    }
    bytes = std::move(buffer);
    return true;
}

} // namespace chervilslip::common
