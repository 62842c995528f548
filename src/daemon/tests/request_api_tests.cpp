#include <criterion/criterion.h>

#include "daemon/request_api.h"

namespace {

using namespace chervilslip;
using nlohmann::json;

class recorded_exchange final : public net::http_exchange {
public:
    void respond(net::http_response response) override
    {
        this->status = response.status;
        this->body = json::parse(response.body);
    }

    void begin_stream(const std::string& /*content_type*/) override
    {
    }

    bool write_chunk(const std::string& /*text*/) override
    {
        return false;
    }

    void drop() override
    {
    }

    unsigned status = 0;
    json body;
};

/// The API on an engine with one queue that needs a key, and no upstream.
class fixture {
public:
    fixture()
        : engine(make_options(), teams::static_partition({0, 1}), this->random, this->invariants),
          api("node-a", std::chrono::seconds(1), this->make_hooks())
    {
        auto snapshot = std::make_shared<settings::snapshot>();
        snapshot->workspaces["desk"] = {};
        snapshot->pools["main"] = {};
        settings::queue queue;
        queue.workspace = "desk";
        queue.pool = "main";
        snapshot->queues["jobs"] = queue;
        snapshot->teams["red"].workspace = "desk";
        const auto issued = teams::issue_key("red", "test");
        snapshot->keys["red"][issued.id] = issued.record;
        this->key = issued.api_key;
        this->apply(requests::settings_accepted{snapshot});
    }

    static requests::engine_options make_options()
    {
        requests::engine_options options;
        options.node = "node-a";
        return options;
    }

    daemon::request_api_hooks make_hooks()
    {
        daemon::request_api_hooks hooks;
        hooks.apply = [this](const requests::event& what) {
            this->apply(what);
        };
        hooks.find = [this](const std::string& id) {
            return this->engine.find(id);
        };
        hooks.in_force = [this] {
            return this->engine.in_force();
        };
        hooks.is_ready = [] {
            return true;
        };
        hooks.after = [this](common::milliseconds, std::function<void()> action) {
            this->delayed.push_back(std::move(action));
        };
        hooks.forward = [](const std::string&, const net::http_request&,
                           const std::shared_ptr<net::http_exchange>&) {
            return false;
        };
        hooks.home_of = [](const std::string&) {
            return std::optional<std::string>();
        };
        hooks.must_claim = [](const std::string&) {
            return false;
        };
        hooks.look_up = [](const std::string&, const daemon::lookup_handler& handler) {
            handler(std::nullopt, 0);
        };
        return hooks;
    }

    void apply(const requests::event& what)
    {
        for (const requests::action& each : this->engine.on_event(what, this->now)) {
            if (const auto* response_action = std::get_if<requests::send_response>(&each)) {
                this->api.deliver(response_action->id, response_action->content);
            }
        }
    }

    std::shared_ptr<recorded_exchange> call(const std::string& method, const std::string& target,
                                            const std::string& body,
                                            const std::vector<net::http_field>& fields)
    {
        net::http_request request;
        request.method = method;
        request.target = target;
        request.body = body;
        request.fields = fields;
        auto exchange = std::make_shared<recorded_exchange>();
        this->api.handle(request, exchange);
        return exchange;
    }

    std::shared_ptr<recorded_exchange> submit(const std::string& queue, const std::string& body,
                                              const std::string& api_key)
    {
        std::vector<net::http_field> fields;
        if (!api_key.empty()) {
            fields.push_back({"Authorization", "Bearer " + api_key});
        }
        return this->call("POST", "/v1/queues/" + queue + "/requests", body, fields);
    }

    common::random_source random{1};
    common::invariant_monitor invariants{[](common::invariant which, const std::string& detail) {
        cr_assert(false, "%s: %s", std::string(common::to_string(which)).c_str(), detail.c_str());
    }};
    requests::node_engine engine;
    common::steady_time now{std::chrono::hours(1)};
    std::vector<std::function<void()>> delayed;
    std::string key;
    daemon::request_api api;
};

void assert_refused(const recorded_exchange& exchange, unsigned status, const std::string& reason,
                    const std::string& expected_cause)
{
    cr_assert(exchange.status == status, "status %u", exchange.status);
    cr_assert(exchange.body.at("not_run") == true);
    cr_assert(exchange.body.at("reason") == reason);
    cr_assert_not(exchange.body.at("error").at("step").get<std::string>().empty());
    const auto actual_cause = exchange.body.at("error").at("cause").get<std::string>();
    cr_assert(actual_cause.find(expected_cause) != std::string::npos, "%s", actual_cause.c_str());
}

Test(request_api, malformed_json_is_refused_with_its_position)
{
    // given
    fixture setup;

    // when / then
    assert_refused(*setup.submit("jobs", "{\"body\": ", setup.key), 400, "invalid_request",
                   "line 1");
    assert_refused(*setup.submit("jobs", "[]", setup.key), 400, "invalid_request", "an object");
}

Test(request_api, unknown_field_and_wrong_type_name_what_is_allowed)
{
    // given
    fixture setup;

    // when / then
    assert_refused(*setup.submit("jobs", R"({"dead_line_ms": 1})", setup.key), 400,
                   "invalid_request", "deadline_ms");
    assert_refused(*setup.submit("jobs", R"({"deadline_ms": "soon"})", setup.key), 400,
                   "invalid_request", "an integer from 1");
    assert_refused(*setup.submit("jobs", R"({"size": {"processors": 0}})", setup.key), 400,
                   "invalid_request", "/size/processors");
}

Test(request_api, unknown_queue_and_missing_or_wrong_key_are_refused)
{
    // given
    fixture setup;

    // when / then
    assert_refused(*setup.submit("other", "{}", setup.key), 404, "unknown_queue", "\"other\"");
    assert_refused(*setup.submit("jobs", "{}", ""), 401, "wrong_key", "missing");
    assert_refused(*setup.submit("jobs", "{}", setup.key + "x"), 401, "wrong_key", "unknown");
    assert_refused(*setup.submit("jobs", "{}", "no key at all"), 401, "wrong_key", "unknown");
}

Test(request_api, unknown_call_gets_the_common_error_format)
{
    // given
    fixture setup;

    // when
    const auto exchange = setup.call("PUT", "/v1/nonsense", "", {});

    // then
    cr_assert(exchange->status == 404);
    cr_assert(exchange->body.at("error").contains("step"));
    cr_assert(exchange->body.at("error").contains("cause"));
}

Test(request_api, waiting_caller_gets_an_id_that_only_its_team_can_use)
{
    // given: a request that waits because there is no upstream
    fixture setup;
    const auto submitted = setup.submit("jobs", R"({"wait_ms": 0})", setup.key);
    for (const auto& action : setup.delayed) {
        action();
    }
    cr_assert(submitted->status == 202);
    const auto id = submitted->body.at("request").get<std::string>();

    // when
    const auto without_key = setup.call("GET", "/v1/requests/" + id, "", {});
    const auto cancelled =
        setup.call("DELETE", "/v1/requests/" + id, "", {{"Authorization", "Bearer " + setup.key}});

    // then
    cr_assert(without_key->status == 404);
    assert_refused(*cancelled, 409, "cancelled", "before a start");
}

Test(request_api, unreachable_home_node_is_refused_as_not_run)
{
    // given
    fixture setup;

    // when
    const auto exchange =
        setup.call("POST", "/v1/queues/jobs/requests", "{}",
                   {{"Authorization", "Bearer " + setup.key}, {"Idempotency-Key", "k"}});

    // then
    assert_refused(*exchange, 503, "home_unreachable", "out of reach");
    cr_assert(setup.engine.open_requests() == 0);
}

} // namespace
