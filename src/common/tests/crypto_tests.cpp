#include <criterion/criterion.h>

#include "common/crypto.h"

namespace {

using namespace chervilslip::common;

Test(crypto, base64_round_trip_keeps_every_length)
{
    // given
    const std::string source = "any bytes \x01\xff of any length";
    for (std::size_t size = 0; size <= source.size(); ++size) {
        const std::string bytes = source.substr(0, size);

        // when
        std::string decoded;
        const bool ok = base64_decode(base64_encode(bytes), decoded);

        // then
        cr_assert(ok);
        cr_assert(decoded == bytes);
    }
}

Test(crypto, base64_refuses_text_of_another_alphabet)
{
    // given
    std::string decoded;

    // when / then
    cr_assert_not(base64_decode("abc", decoded));
    cr_assert_not(base64_decode("a$c=", decoded));
}

Test(crypto, sha256_matches_the_published_vector)
{
    // given the test vector of FIPS 180-4 for "abc"
    const std::string expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

    // when / then
    cr_assert(sha256_hex("abc") == expected);
}

} // namespace
