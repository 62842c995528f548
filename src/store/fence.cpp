#include "store/fence.h"

namespace chervilslip::store {

using common::errc;
using common::make_error;

common::result<fenced_document> parse_fenced_document(const std::string& text,
                                                      const std::string& key)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    const bool well_formed = parsed.is_object() && parsed.contains("body") &&
                             parsed.contains("fence") && parsed.at("fence").is_number_integer();
    if (!well_formed) {
        return make_error(errc::bad_message, "read fenced document", key,
                          "expected an object with an integer \"fence\" and a \"body\"");
    }
    return fenced_document{parsed.at("fence").get<std::int64_t>(), parsed.at("body")};
}

common::result<swap_request> make_fenced_write(const std::string& key,
                                               const std::optional<versioned_value>& current,
                                               std::int64_t fence, const nlohmann::json& body)
{
    std::int64_t expected = no_revision;
    if (current) {
        const auto stored = parse_fenced_document(current->value, key);
        if (!stored) {
            return stored.error();
        }
        if (stored.value().fence > fence) {
            return make_error(errc::fenced, "write fenced document", key,
                              "fencing token " + std::to_string(fence) +
                                  " is older than stored token " +
                                  std::to_string(stored.value().fence));
        }
        expected = current->revision;
    }
    const nlohmann::json document = {{"fence", fence}, {"body", body}};
    return swap_request{key, expected, document.dump(), no_lease};
}

} // namespace chervilslip::store
