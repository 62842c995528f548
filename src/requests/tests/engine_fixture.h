#pragma once

#include <criterion/criterion.h>

#include "requests/engine.h"

namespace chervilslip::requests::tests {

using common::milliseconds;

/// One engine with one pool of two upstreams, and the actions of the last event.
class fixture {
public:
    explicit fixture(std::int64_t limit = 100, bool repeatable = false,
                     std::size_t max_records = 20000)
        : engine(make_options(max_records), teams::static_partition({0, 1}), this->random,
                 this->invariants)
    {
        auto made = std::make_shared<settings::snapshot>();
        made->number = 1;
        made->workspaces["desk"] = {};
        made->pools["main"].vms = {"vm-1", "vm-2"};
        settings::queue queue;
        queue.workspace = "desk";
        queue.pool = "main";
        queue.most_waiting = 50;
        queue.repeatable = repeatable;
        made->queues["work"] = queue;
        for (const std::string team : {"red", "blue"}) {
            settings::team_rules rules;
            rules.workspace = "desk";
            rules.limit = limit;
            rules.share = team == "red" ? 2.0 : 1.0;
            made->teams[team] = rules;
            const auto issued = teams::issue_key(team, "test");
            made->keys[team][issued.id] = issued.record;
            this->keys[team] = issued.api_key;
        }
        this->in_force = made;
        this->send(settings_accepted{made});
        this->send(vm_list_received{{upstream("vm-1"), upstream("vm-2")}});
        this->report("vm-1");
        this->report("vm-2");
    }

    actions send(const event& what, milliseconds later = milliseconds(1))
    {
        this->now += later;
        this->last = this->engine.on_event(what, this->now);
        for (const action& each : this->last) {
            if (const auto* given = std::get_if<send_response>(&each)) {
                this->answers[given->id] = given->content;
            }
            if (const auto* start = std::get_if<start_task>(&each)) {
                this->starts[start->request] = *start;
                ++this->start_count;
            }
        }
        return this->last;
    }

    void submit(const std::string& id, const std::string& team = "red", const std::string& key = {},
                bool urgent = false)
    {
        request_submitted wanted;
        wanted.id = id;
        wanted.queue = "work";
        wanted.presented_key = this->keys[team];
        wanted.idempotency_key = key;
        wanted.body = key.empty() ? id : "body";
        wanted.urgent = urgent;
        this->send(wanted);
    }

    void reply(const std::string& id, reply_kind kind, bool query = false, bool succeeded = true)
    {
        worker_replied reply;
        reply.attempt = this->starts.at(id).attempt;
        reply.kind = kind;
        reply.was_query = query;
        reply.succeeded = succeeded;
        reply.output = "output of " + id;
        reply.run_time = milliseconds(10);
        this->send(reply);
    }

    void report(const std::string& vm, const std::string& epoch = "e1")
    {
        this->send(usage_received{vm, {epoch, {}, false, {}, {}}});
    }

    void change(const std::function<void(settings::snapshot&)>& edit)
    {
        auto changed = std::make_shared<settings::snapshot>(*this->in_force);
        ++changed->number;
        edit(*changed);
        this->in_force = changed;
        this->send(settings_accepted{changed});
    }

    static routing::upstream_info upstream(const std::string& vm)
    {
        return {vm, vm, "zone", "rack", {32, 65536, 0, 8}, false};
    }

    static engine_options make_options(std::size_t max_records)
    {
        engine_options options;
        options.max_records = max_records;
        options.zone = "zone";
        return options;
    }

    common::random_source random{7};
    common::invariant_monitor invariants{[](common::invariant which, const std::string& detail) {
        cr_assert(false, "%s: %s", std::string(common::to_string(which)).c_str(), detail.c_str());
    }};
    node_engine engine;
    common::steady_time now;
    std::shared_ptr<const settings::snapshot> in_force;
    std::map<std::string, std::string> keys;
    std::map<std::string, response> answers;
    std::map<std::string, start_task> starts;
    int start_count = 0;
    actions last;
};

} // namespace chervilslip::requests::tests
