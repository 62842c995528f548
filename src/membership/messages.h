#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "teams/fair_share.h"

/// Membership: the entry nodes, their liveness, and the messages between them.
namespace chervilslip::membership {

/// The version of the message format. A hello with another version is rejected.
inline constexpr int message_version = 1;

/// The identity of an entry node. Each restart of a node has a higher incarnation.
struct member {
    std::string name;
    std::string zone;
    std::string address; ///< "IP:port" that peers connect to
    std::int64_t incarnation = 0;
    bool is_ample = true; ///< has processor and network to relay for many workers

    friend auto operator<=>(const member&, const member&) = default;
};

/// The first message on a connection. The receiver answers the nonce with a proof.
struct hello {
    int version = message_version;
    member sender;
    std::string nonce;

    friend bool operator==(const hello&, const hello&) = default;
};

/// The second message: proves that the sender knows the shared secret.
struct proof {
    std::string code;

    friend bool operator==(const proof&, const proof&) = default;
};

/// Sent to every peer at a fixed interval.
struct heartbeat {
    std::int64_t settings_number = 0;
    std::string settings_change;
    std::map<std::string, teams::resources> running; ///< by team; only the teams that changed
    bool stopping = false;                           ///< the sender accepts no new calls from peers

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// A client's call that is relayed to another node.
struct relay_call {
    std::uint64_t number = 0;
    std::string method;
    std::string target;
    std::string authorization;
    std::string idempotency_key;
    std::string body;

    friend bool operator==(const relay_call&, const relay_call&) = default;
};

/// The complete response to a relayed call.
struct relay_response {
    std::uint64_t number = 0;
    unsigned status = 0;
    std::string body;

    friend bool operator==(const relay_response&, const relay_response&) = default;
};

/// Requests the settings in force.
struct settings_request {
    friend bool operator==(const settings_request&, const settings_request&) = default;
};

/// The settings in force: the manifest, and the text of every document by its content hash.
struct settings_response {
    std::string manifest;
    std::map<std::string, std::string> documents;

    friend bool operator==(const settings_response&, const settings_response&) = default;
};

using message = std::variant<hello, proof, heartbeat, relay_call, relay_response, settings_request,
                             settings_response>;

/// Encodes a message as msgpack. Thread safe.
std::string encode(const message& value);

/// Decodes a message from msgpack. Thread safe. Errors: `bad_message`.
common::result<message> decode(const std::string& bytes, const std::string& peer);

/// Returns the HMAC that proves knowledge of the secret to the peer that sent `nonce`. Thread safe.
std::string proof_code(const std::string& secret, const std::string& nonce, const member& prover);

} // namespace chervilslip::membership
