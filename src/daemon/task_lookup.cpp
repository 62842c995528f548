#include "daemon/task_lookup.h"

namespace chervilslip::daemon {

namespace {

struct lookup_state {
    lookup_handler handler;
    std::size_t pending = 0;
    std::size_t unreachable = 0;

    void finish(const std::optional<known_task>& found)
    {
        if (const auto handler_to_call = std::exchange(this->handler, nullptr)) {
            handler_to_call(found, this->unreachable);
        }
    }
};

} // namespace

void look_up_task(worker_client& workers, const std::vector<routing::upstream_info>& upstreams,
                  const std::string& task, lookup_handler handler)
{
    auto state = std::make_shared<lookup_state>();
    state->handler = std::move(handler);
    state->pending = upstreams.size();
    if (upstreams.empty()) {
        state->finish(std::nullopt);
        return;
    }
    for (const routing::upstream_info& upstream : upstreams) {
        workers.show(task, upstream.vm, upstream.address,
                     [state, vm = upstream.vm](const common::result<workers::claim_reply>& reply) {
                         --state->pending;
                         state->unreachable += reply ? 0 : 1;
                         const bool known =
                             reply && (reply.value().kind == requests::claim_kind::running ||
                                       reply.value().kind == requests::claim_kind::finished);
                         if (known) {
                             state->finish(known_task{vm, reply.value()});
                         } else if (state->pending == 0) {
                             state->finish(std::nullopt);
                         }
                     });
    }
}

} // namespace chervilslip::daemon
