#pragma once

#include "net/http_server.h"
#include "routing/upstream_view.h"
#include "settings/object_reader.h"
#include "teams/limit_guard.h"

/// The entry node: turns sockets and timers into events, and actions into calls.
namespace chervilslip::daemon {

/// What a node learns from its own settings file.
struct node_settings {
    std::string node;
    std::string zone;
    teams::node_position position;
    net::endpoint listen;             ///< for callers
    net::endpoint operator_listen;    ///< for operators and metrics
    net::endpoint peer_listen;        ///< for the other entry nodes
    std::vector<net::endpoint> peers; ///< known from the start, besides those the store names
    std::string peer_secret;          ///< shared by all entry nodes
    net::endpoint store;
    net::endpoint vm_list;
    std::string operator_token;
    net::http_limits http;
    routing::selection_policy choice = routing::selection_policy::corrected_two_choice;
    common::milliseconds store_time_limit{2000};
    common::milliseconds store_check{2000}; ///< between looks for changes that the watch missed
    common::milliseconds vm_list_poll{1000};
    common::milliseconds usage_poll{500};
    common::milliseconds longest_wait{60000};
    common::milliseconds stop_notice{500}; ///< for the balancer to see that the node is not ready
    common::milliseconds stop_limit{30000};

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/// Settings of a node, or all that is wrong with its file.
struct checked_node_settings {
    node_settings typed;
    std::vector<settings::problem> problems;
};

/// Reads and checks a node's settings file. Thread safe.
checked_node_settings load_node_settings(const std::string& file);

} // namespace chervilslip::daemon
