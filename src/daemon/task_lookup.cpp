#include "daemon/task_lookup.h"

namespace chervilslip::daemon {

namespace {

struct lookup_state {
    lookup_handler handler;
    std::size_t open = 0;
    std::size_t silent = 0;

    void finish(const std::optional<known_task>& found)
    {
        if (const auto once = std::exchange(this->handler, nullptr)) {
            once(found, this->silent);
        }
    }
};

} // namespace

void look_up_task(worker_client& workers, const std::vector<routing::upstream_info>& upstreams,
                  const std::string& task, lookup_handler handler)
{
    auto state = std::make_shared<lookup_state>();
    state->handler = std::move(handler);
    state->open = upstreams.size();
    if (upstreams.empty()) {
        state->finish(std::nullopt);
        return;
    }
    for (const routing::upstream_info& each : upstreams) {
        workers.show(task, each.vm, each.address,
                     [state, vm = each.vm](const common::result<workers::claim_reply>& reply) {
                         --state->open;
                         state->silent += reply ? 0 : 1;
                         const bool known =
                             reply && (reply.value().kind == requests::claim_kind::running ||
                                       reply.value().kind == requests::claim_kind::finished);
                         if (known) {
                             state->finish(known_task{vm, reply.value()});
                         } else if (state->open == 0) {
                             state->finish(std::nullopt);
                         }
                     });
    }
}

} // namespace chervilslip::daemon
