#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "teams/fair_share.h"

/// Membership: which entry nodes there are, which of them live, and what they tell each other.
namespace chervilslip::membership {

/// The version of the messages; a node understands its own version and the one before.
inline constexpr int message_version = 1;

/// An entry node as others know it. A node that starts anew has a higher incarnation.
struct member {
    std::string name;
    std::string zone;
    std::string address; ///< "IP:port" for peers
    std::int64_t incarnation = 0;

    friend auto operator<=>(const member&, const member&) = default;
};

/// The first message on a connection.
struct hello {
    int version = message_version;
    member sender;
    std::string nonce;

    friend bool operator==(const hello&, const hello&) = default;
};

/// The second message: shows that the sender knows the shared secret.
struct proof {
    std::string code;

    friend bool operator==(const proof&, const proof&) = default;
};

/// Sent to every peer at a steady rate.
struct heartbeat {
    std::int64_t settings_number = 0;
    std::string settings_change;
    std::map<std::string, teams::resources> running; ///< by team, as far as it changed
    bool stopping = false;                           ///< the sender takes no new calls of its peers

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// A caller's call that another node must answer.
struct relay_call {
    std::uint64_t number = 0;
    std::string method;
    std::string target;
    std::string authorization;
    std::string idempotency_key;
    std::string body;

    friend bool operator==(const relay_call&, const relay_call&) = default;
};

/// The whole answer to a relayed call.
struct relay_response {
    std::uint64_t number = 0;
    unsigned status = 0;
    std::string body;

    friend bool operator==(const relay_response&, const relay_response&) = default;
};

/// Asks for the settings in force.
struct settings_request {
    friend bool operator==(const settings_request&, const settings_request&) = default;
};

/// The settings in force: the manifest, and every document's text by its content hash.
struct settings_response {
    std::string manifest;
    std::map<std::string, std::string> documents;

    friend bool operator==(const settings_response&, const settings_response&) = default;
};

using message = std::variant<hello, proof, heartbeat, relay_call, relay_response, settings_request,
                             settings_response>;

/// Returns a message in msgpack. Thread safe.
std::string encode(const message& value);

/// Reads a message in msgpack. Thread safe. Errors: `bad_message`.
common::result<message> decode(const std::string& bytes, const std::string& peer);

/// Returns the code that shows knowledge of the secret to the peer that sent `nonce`. Thread safe.
std::string proof_code(const std::string& secret, const std::string& nonce, const member& prover);

} // namespace chervilslip::membership
