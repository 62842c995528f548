#pragma once

#include "common/event_log.h"
#include "common/random.h"
#include "membership/messages.h"
#include "store/etcd_client.h"

namespace chervilslip::daemon {

/// Is told of each node that the registry shows.
using node_handler = std::function<void(const membership::member& each)>;

/// Finds peers through one document in the store that lists all entry nodes: writes this node into
/// it and follows it. Not thread safe: used on the io_context's thread.
class node_registry {
public:
    /// Precondition: all references outlive the registry.
    node_registry(store::etcd_client& store, const common::clock& clock,
                  const common::event_log& log, common::random_source& random,
                  membership::member self, node_handler handler);

    /// Registers this node and follows the others.
    void start();

    /// Ends all calls.
    void stop();

private:
    void look();
    void schedule_look();
    void read_all();
    void take(const std::optional<store::versioned_value>& value);
    void write(const std::optional<store::versioned_value>& value, nlohmann::json nodes);

    store::etcd_client& store;
    const common::clock& clock;
    const common::event_log& log;
    common::random_source& random;
    membership::member self;
    node_handler handler;
    std::int64_t seen_revision = -1;
    bool stopped = false;
};

} // namespace chervilslip::daemon
