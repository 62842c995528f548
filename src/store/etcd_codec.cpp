#include "store/etcd_codec.h"

#include "common/crypto.h"
#include "common/json_reader.h"

namespace chervilslip::store::etcd {

namespace {

using common::base64_decode;
using common::base64_encode;
using nlohmann::json;

std::string decode_bytes(const json& object, const std::string& field)
{
    std::string bytes;
    if (!base64_decode(object.value(field, std::string{}), bytes)) {
        throw std::invalid_argument("field \"" + field + "\" is not base64");
    }
    return bytes;
}

} // namespace

std::int64_t parse_int64(const json& object, const std::string& field)
{
    const auto found = object.find(field);
    if (found == object.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

json range_request(const std::string& key)
{
    return {{"key", base64_encode(key)}};
}

json revision_request(const std::string& key)
{
    return {{"key", base64_encode(key)}, {"keys_only", true}};
}

json transaction_request(const swap_request& request)
{
    json put = {{"key", base64_encode(request.key)}, {"value", base64_encode(request.value)}};
    if (request.lease != no_lease) {
        put["lease"] = std::to_string(request.lease);
    }
    const json compare = {{"key", base64_encode(request.key)},
                          {"target", "MOD"},
                          {"result", "EQUAL"},
                          {"mod_revision", std::to_string(request.expected_revision)}};
    return {{"compare", json::array({compare})},
            {"success", json::array({json{{"request_put", put}}})}};
}

json watch_request(const std::string& key, std::int64_t start_revision)
{
    return {{"create_request",
             {{"key", base64_encode(key)}, {"start_revision", std::to_string(start_revision)}}}};
}

common::result<std::optional<versioned_value>> parse_range(const std::string& body,
                                                           const std::string& peer)
{
    using optional_value = std::optional<versioned_value>;
    return common::read_json<optional_value>("read key", body, peer, [](const json& message) {
        const auto pairs = message.find("kvs");
        if (pairs == message.end() || pairs->empty()) {
            return optional_value{};
        }
        const json& first = pairs->at(0);
        return optional_value{{decode_bytes(first, "value"), parse_int64(first, "mod_revision")}};
    });
}

common::result<swap_outcome> parse_swap(const std::string& body, const std::string& peer)
{
    return common::read_json<swap_outcome>("compare and swap", body, peer, [](const json& message) {
        return swap_outcome{message.value("succeeded", false),
                            parse_int64(message.at("header"), "revision")};
    });
}

common::result<std::int64_t> parse_lease(const std::string& body, const std::string& peer)
{
    return common::read_json<std::int64_t>("grant lease", body, peer, [](const json& message) {
        message.at("ID");
        return parse_int64(message, "ID");
    });
}

common::result<watch_message> parse_watch(const std::string& line, const std::string& peer)
{
    return common::read_json<watch_message>("watch", line, peer, [](const json& message) {
        const json& body = message.at("result");
        watch_message parsed;
        parsed.revision = parse_int64(body.value("header", json::object()), "revision");
        parsed.compact_revision = parse_int64(body, "compact_revision");
        parsed.cancelled = body.value("canceled", false);
        for (const json& each : body.value("events", json::array())) {
            const json& pair = each.at("kv");
            watch_event event{decode_bytes(pair, "key"), std::nullopt};
            if (each.value("type", std::string("PUT")) != "DELETE") {
                event.value = {decode_bytes(pair, "value"), parse_int64(pair, "mod_revision")};
            }
            parsed.events.push_back(std::move(event));
        }
        return parsed;
    });
}

} // namespace chervilslip::store::etcd
