#pragma once

#include "daemon/worker_client.h"
#include "routing/upstream.h"

namespace chervilslip::daemon {

/// What the workers know of a task whose entry node is gone.
struct known_task {
    std::string worker;
    workers::claim_reply reply;
};

using lookup_handler =
    std::function<void(const std::optional<known_task>& found, std::size_t silent_workers)>;

/// Asks all upstreams what they know of a task and hands over the first that knows it, or, when
/// all have answered or failed, nothing and how many failed. Not thread safe.
void look_up_task(worker_client& workers, const std::vector<routing::upstream_info>& upstreams,
                  const std::string& task, lookup_handler handler);

} // namespace chervilslip::daemon
