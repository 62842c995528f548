#pragma once

#include "net/http_client.h"
#include "settings/manifest.h"

/// The operators' command line.
namespace chervilslip::cli {

/// How operators reach the system.
struct connection {
    std::vector<net::endpoint> nodes; ///< the operators' addresses of entry nodes
    std::string token;
    std::string author;

    friend bool operator==(const connection&, const connection&) = default;
};

/// The settings in force, as a node shows them.
struct settings_in_force {
    settings::manifest source;
    settings::document_tree tree;
};

/// The answer of one node.
struct node_answer {
    net::endpoint node;
    common::result<net::http_response> answer;
};

/// Calls the operators' API. Thread safe; each call blocks.
class operator_client {
public:
    explicit operator_client(connection wanted);

    /// Calls the first node that answers. Errors: of the last node when none does.
    [[nodiscard]] common::result<net::http_response>
    call(const std::string& method, const std::string& target, const std::string& body) const;

    /// Calls every node.
    [[nodiscard]] std::vector<node_answer> call_all(const std::string& target) const;

    /// Reads the settings in force. Errors: as of `call`, `unavailable`, `refused`, `bad_message`.
    [[nodiscard]] common::result<settings_in_force> read_settings() const;

    /// Hands in a change. A node that gives no answer is followed by the next, under the same
    /// change id, so the change is made once. Errors: as of `call`.
    [[nodiscard]] common::result<net::http_response>
    propose(const settings::proposal& wanted) const;

    /// Returns who acts.
    [[nodiscard]] const std::string& author() const;

private:
    [[nodiscard]] common::result<net::http_response> call_node(const net::endpoint& node,
                                                               const std::string& method,
                                                               const std::string& target,
                                                               const std::string& body) const;

    connection peer;
};

} // namespace chervilslip::cli
