#pragma once

#include "net/http_server.h"
#include "routing/upstream_view.h"
#include "settings/object_reader.h"
#include "teams/limit_guard.h"

/// The entry node's process: connects sockets and timers to the engines, as events in and actions
/// out.
namespace chervilslip::daemon {

/// Settings of one node, from its own settings file.
struct node_settings {
    std::string node;
    std::string zone;
    teams::node_position position;
    net::endpoint listen;             ///< for callers
    net::endpoint operator_listen;    ///< for operators and the collection of metrics
    net::endpoint peer_listen;        ///< for connections from the other entry nodes
    std::vector<net::endpoint> peers; ///< contacted at start, besides the nodes listed in the store
    std::string peer_secret;          ///< shared secret of all entry nodes
    net::endpoint store;
    net::endpoint vm_list;
    std::string operator_token;
    net::http_limits http;
    routing::selection_policy choice = routing::selection_policy::corrected_two_choice;
    common::milliseconds store_time_limit{2000};
    common::milliseconds store_check_interval{2000}; ///< for changes that the watch missed
    common::milliseconds vm_list_poll_interval{1000};
    common::milliseconds usage_poll_interval{500};
    common::milliseconds longest_wait{60000}; ///< upper bound of one call's wait for an answer
    /// Time from reporting not ready to closing the listener; the load balancer notices it
    /// meanwhile.
    common::milliseconds stop_notice{500};
    common::milliseconds stop_limit{30000}; ///< time for open requests to end at shutdown

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/// Settings of a node, and all problems found in its file.
struct checked_node_settings {
    node_settings typed;
    std::vector<settings::problem> problems;
};

/// Reads and checks a node's settings file. Thread safe.
checked_node_settings load_node_settings(const std::string& file);

} // namespace chervilslip::daemon
