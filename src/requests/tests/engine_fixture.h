#pragma once

#include <criterion/criterion.h>

#include "requests/engine.h"

namespace chervilslip::requests::tests {

using common::milliseconds;

/// An engine with one pool of two upstreams. Records the starts and responses it produces.
class engine_fixture {
public:
    explicit engine_fixture(std::int64_t limit = 100, bool repeatable = false,
                            std::size_t max_records = 20000)
        : engine(make_options(max_records), teams::static_partition({0, 1}), this->random,
                 this->invariants)
    {
        auto new_settings = std::make_shared<settings::snapshot>();
        new_settings->number = 1;
        new_settings->workspaces["desk"] = {};
        new_settings->pools["main"].vms = {"vm-1", "vm-2"};
        settings::queue queue;
        queue.workspace = "desk";
        queue.pool = "main";
        queue.most_waiting = 50;
        queue.repeatable = repeatable;
        new_settings->queues["work"] = queue;
        for (const std::string team : {"red", "blue"}) {
            settings::team_rules rules;
            rules.workspace = "desk";
            rules.limit = limit;
            rules.share = team == "red" ? 2.0 : 1.0;
            new_settings->teams[team] = rules;
            const auto issued = teams::issue_key(team, "test");
            new_settings->keys[team][issued.id] = issued.record;
            this->keys[team] = issued.api_key;
        }
        this->in_force = new_settings;
        this->send(settings_accepted{new_settings});
        this->send(vm_list_received{{upstream("vm-1"), upstream("vm-2")}});
        this->report_usage("vm-1");
        this->report_usage("vm-2");
    }

    actions send(const event& incoming, milliseconds elapsed = milliseconds(1))
    {
        this->now += elapsed;
        this->last_actions = this->engine.on_event(incoming, this->now);
        for (const action& taken : this->last_actions) {
            if (const auto* sent = std::get_if<send_response>(&taken)) {
                this->responses[sent->id] = sent->content;
            }
            if (const auto* start = std::get_if<start_task>(&taken)) {
                this->starts[start->request] = *start;
                ++this->start_count;
            }
        }
        return this->last_actions;
    }

    void submit(const std::string& id, const std::string& team = "red", const std::string& key = {},
                bool urgent = false)
    {
        request_submitted request;
        request.id = id;
        request.queue = "work";
        request.presented_key = this->keys[team];
        request.idempotency_key = key;
        request.body = key.empty() ? id : "body";
        request.urgent = urgent;
        this->send(request);
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

    void report_usage(const std::string& vm, const std::string& epoch = "e1")
    {
        this->send(usage_received{vm, {epoch, {}, false, {}, {}}});
    }

    void change_settings(const std::function<void(settings::snapshot&)>& edit)
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
    std::map<std::string, response> responses;
    std::map<std::string, start_task> starts;
    int start_count = 0;
    actions last_actions;
};

} // namespace chervilslip::requests::tests
