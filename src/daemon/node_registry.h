#pragma once

#include "common/event_log.h"
#include "common/random.h"
#include "membership/messages.h"
#include "store/etcd_client.h"

namespace chervilslip::daemon {

/// Called with each node that the registry lists.
using node_handler = std::function<void(const membership::member& each)>;

/// Discovers peers through a document in the store that lists all entry nodes: adds this node to it
/// and polls it for changes. Not thread safe: used on the io_context's thread.
class node_registry {
public:
    /// Precondition: all references outlive the registry.
    node_registry(store::etcd_client& store, const common::clock& clock,
                  const common::event_log& log, common::random_source& random,
                  membership::member self, node_handler handler);

    /// Registers this node and starts polling for the others.
    void start();

    /// Stops polling. Responses to pending calls are ignored.
    void stop();

private:
    void poll();
    void schedule_poll();
    void read_document();
    void apply(const std::optional<store::versioned_value>& value);
    void write(const std::optional<store::versioned_value>& value, nlohmann::json nodes);

    store::etcd_client& store;
    const common::clock& clock;
    const common::event_log& log;
    common::random_source& random;
    membership::member self;
    node_handler handler;
    std::int64_t known_revision = -1;
    bool stopped = false;
};

} // namespace chervilslip::daemon
