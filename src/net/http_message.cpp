#include "net/http_message.h"

#include <charconv>

namespace chervilslip::net {

namespace {

bool equal_without_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

std::string find_field(const std::vector<http_field>& fields, std::string_view name)
{
    for (const http_field& candidate : fields) {
        if (equal_without_case(candidate.name, name)) {
            return candidate.value;
        }
    }
    return {};
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
                text.data() + i + 3) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace

std::string http_request::field(std::string_view name) const
{
    return find_field(this->fields, name);
}

std::string http_response::field(std::string_view name) const
{
    return find_field(this->fields, name);
}

std::string http_request::path() const
{
    return this->target.substr(0, this->target.find('?'));
}

std::vector<std::string> http_request::segments() const
{
    std::vector<std::string> parts;
    const std::string whole = this->path();
    std::size_t begin = 0;
    while (begin < whole.size()) {
        const std::size_t end = std::min(whole.find('/', begin), whole.size());
        if (end > begin) {
            parts.push_back(percent_decode(std::string_view(whole).substr(begin, end - begin)));
        }
        begin = end + 1;
    }
    return parts;
}

std::string http_request::query(std::string_view name) const
{
    const std::size_t mark = this->target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    std::string_view rest = std::string_view(this->target).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with('=')) {
            return percent_decode(pair.substr(name.size() + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::string endpoint::to_string() const
{
    return this->address + ":" + std::to_string(this->port);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return endpoint{std::string(text.substr(0, colon)), port};
}

http_response json_response(unsigned status, const nlohmann::json& body)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

http_response error_response(unsigned status, std::string_view step, std::string_view cause)
{
    return json_response(status, {{"error", {{"step", step}, {"cause", cause}}}});
}

} // namespace chervilslip::net
