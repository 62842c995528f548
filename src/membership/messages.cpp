#include "membership/messages.h"

#include <array>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "common/crypto.h"

namespace chervilslip::membership {

namespace {

using common::errc;
using common::make_error;
using nlohmann::json;

json to_json(const member& value)
{
    return json::array({value.name, value.zone, value.address, value.incarnation});
}

member read_member(const json& source)
{
    return {source.at(0).get<std::string>(), source.at(1).get<std::string>(),
            source.at(2).get<std::string>(), source.at(3).get<std::int64_t>()};
}

json to_json(const hello& value)
{
    return {"hello", value.version, to_json(value.sender), value.nonce};
}

json to_json(const proof& value)
{
    return {"proof", value.code};
}

json to_json(const heartbeat& value)
{
    json running = json::object();
    for (const auto& [team, amounts] : value.running) {
        running[team] = json::array(
            {amounts.processors, amounts.memory_mb, amounts.accelerators, amounts.slots});
    }
    return {"heartbeat", value.settings_number, value.settings_change, running, value.stopping};
}

json to_json(const relay_call& value)
{
    return {"call",       value.number,        value.method,
            value.target, value.authorization, value.idempotency_key,
            value.body};
}

json to_json(const relay_response& value)
{
    return {"answer", value.number, value.status, value.body};
}

json to_json(const settings_request& /*value*/)
{
    return json::array({"settings_wanted"});
}

json to_json(const settings_response& value)
{
    return {"settings", value.manifest, value.documents};
}

heartbeat read_heartbeat(const json& source)
{
    heartbeat value{source.at(1).get<std::int64_t>(),
                    source.at(2).get<std::string>(),
                    {},
                    source.at(4).get<bool>()};
    for (const auto& item : source.at(3).items()) {
        const json& amounts = item.value();
        value.running[item.key()] = {
            amounts.at(0).get<std::int64_t>(), amounts.at(1).get<std::int64_t>(),
            amounts.at(2).get<std::int64_t>(), amounts.at(3).get<std::int64_t>()};
    }
    return value;
}

message read_message(const json& source)
{
    const auto kind = source.at(0).get<std::string>();
    if (kind == "hello") {
        return hello{source.at(1).get<int>(), read_member(source.at(2)),
                     source.at(3).get<std::string>()};
    }
    if (kind == "proof") {
        return proof{source.at(1).get<std::string>()};
    }
    if (kind == "heartbeat") {
        return read_heartbeat(source);
    }
    if (kind == "call") {
        return relay_call{source.at(1).get<std::uint64_t>(), source.at(2).get<std::string>(),
                          source.at(3).get<std::string>(),   source.at(4).get<std::string>(),
                          source.at(5).get<std::string>(),   source.at(6).get<std::string>()};
    }
    if (kind == "answer") {
        return relay_response{source.at(1).get<std::uint64_t>(), source.at(2).get<unsigned>(),
                              source.at(3).get<std::string>()};
    }
    if (kind == "settings_wanted") {
        return settings_request{};
    }
    if (kind == "settings") {
        return settings_response{source.at(1).get<std::string>(),
                                 source.at(2).get<std::map<std::string, std::string>>()};
    }
    throw std::invalid_argument("unknown message kind \"" + kind + "\"");
}

} // namespace

std::string encode(const message& value)
{
    const json source = std::visit([](const auto& content) { return to_json(content); }, value);
    std::string bytes;
    json::to_msgpack(source, bytes);
    return bytes;
}

common::result<message> decode(const std::string& bytes, const std::string& peer)
{
    try {
        return read_message(json::from_msgpack(bytes));
    } catch (const json::exception& failure) {
        return make_error(errc::bad_message, "read peer message", peer, failure.what());
    } catch (const std::invalid_argument& failure) {
        return make_error(errc::bad_message, "read peer message", peer, failure.what());
    }
}

std::string proof_code(const std::string& secret, const std::string& nonce, const member& prover)
{
    const std::string text = nonce + "\n" + prover.name + "\n" + std::to_string(prover.incarnation);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return common::base64_encode({reinterpret_cast<const char*>(digest.data()), size});
}

} // namespace chervilslip::membership
