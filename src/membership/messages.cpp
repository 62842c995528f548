#include "membership/messages.h"

#include <array>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "common/crypto.h"
#include "common/msgpack_row.h"

namespace chervilslip::membership {

namespace {

using common::msgpack_row;
using common::msgpack_writer;

void write(msgpack_writer& to, const hello& value)
{
    const member& sender = value.sender;
    to.array(4).add("hello").add(value.version);
    to.array(5)
        .add(sender.name)
        .add(sender.zone)
        .add(sender.address)
        .add(sender.incarnation)
        .add(sender.is_ample);
    to.add(value.nonce);
}

void write(msgpack_writer& to, const proof& value)
{
    to.array(2).add("proof").add(value.code);
}

void write(msgpack_writer& to, const heartbeat& value)
{
    std::map<std::string, std::array<std::int64_t, 4>> running;
    for (const auto& [team, amounts] : value.running) {
        running[team] = {amounts.processors, amounts.memory_mb, amounts.accelerators,
                         amounts.slots};
    }
    to.array(5)
        .add("heartbeat")
        .add(value.settings_number)
        .add(value.settings_change)
        .add(running)
        .add(value.stopping);
}

void write(msgpack_writer& to, const relay_call& value)
{
    to.array(7)
        .add("call")
        .add(value.number)
        .add(value.method)
        .add(value.target)
        .add(value.authorization)
        .add(value.idempotency_key)
        .add(value.body);
}

void write(msgpack_writer& to, const relay_response& value)
{
    to.array(4).add("answer").add(value.number).add(value.status).add(value.body);
}

void write(msgpack_writer& to, const settings_request& /*value*/)
{
    to.array(1).add("settings_wanted");
}

void write(msgpack_writer& to, const settings_response& value)
{
    to.array(3).add("settings").add(value.manifest).add(value.documents);
}

member read_member(const msgpack_row& source)
{
    // Earlier versions do not say whether they are ample.
    return {source.get<std::string>(0), source.get<std::string>(1), source.get<std::string>(2),
            source.get<std::int64_t>(3), source.size() <= 4 || source.get<bool>(4)};
}

heartbeat read_heartbeat(const msgpack_row& source)
{
    heartbeat value{
        source.get<std::int64_t>(1), source.get<std::string>(2), {}, source.get<bool>(4)};
    const auto running = source.get<std::map<std::string, std::vector<std::int64_t>>>(3);
    for (const auto& [team, amounts] : running) {
        value.running[team] = {amounts.at(0), amounts.at(1), amounts.at(2), amounts.at(3)};
    }
    return value;
}

message read_message(const msgpack_row& source)
{
    const auto kind = source.get<std::string>(0);
    if (kind == "call") {
        return relay_call{source.get<std::uint64_t>(1), source.get<std::string>(2),
                          source.get<std::string>(3),   source.get<std::string>(4),
                          source.get<std::string>(5),   source.get<std::string>(6)};
    }
    if (kind == "answer") {
        return relay_response{source.get<std::uint64_t>(1), source.get<unsigned>(2),
                              source.get<std::string>(3)};
    }
    if (kind == "hello") {
        return hello{source.get<int>(1), read_member(source.row(2)), source.get<std::string>(3)};
    }
    if (kind == "proof") {
        return proof{source.get<std::string>(1)};
    }
    if (kind == "heartbeat") {
        return read_heartbeat(source);
    }
    if (kind == "settings_wanted") {
        return settings_request{};
    }
    if (kind == "settings") {
        return settings_response{source.get<std::string>(1),
                                 source.get<std::map<std::string, std::string>>(2)};
    }
    throw std::invalid_argument("unknown message kind \"" + kind + "\"");
}

} // namespace

std::string encode(const message& value)
{
    std::string bytes;
    msgpack_writer to(bytes);
    std::visit([&to](const auto& content) { write(to, content); }, value);
    return bytes;
}

common::result<message> decode(const std::string& bytes, const std::string& peer)
{
    return common::read_msgpack<message>(bytes, "read peer message", peer, read_message);
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
