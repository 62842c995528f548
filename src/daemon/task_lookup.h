#pragma once

#include "daemon/worker_client.h"
#include "routing/upstream.h"

namespace chervilslip::daemon {

/// A worker's report on a task whose entry node does not answer.
struct known_task {
    std::string worker;
    workers::claim_reply reply;
};

using lookup_handler =
    std::function<void(const std::optional<known_task>& found, std::size_t unreachable_workers)>;

/// Asks all upstreams for a task. Calls the handler once: with the first report of a worker that
/// has the task running or finished, or, after every call has ended, with no report. The second
/// argument is the number of calls that have failed so far. Not thread safe.
void look_up_task(worker_client& workers, const std::vector<routing::upstream_info>& upstreams,
                  const std::string& task, lookup_handler handler);

} // namespace chervilslip::daemon
