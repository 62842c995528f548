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

/// The API over an engine with one closed queue and no upstream.
class fixture {
public:
    fixture()
        : engine(make_options(), teams::static_partition({0, 1}), this->random, this->invariants),
          api("node-a", std::chrono::seconds(1), this->make_hooks())
    {
        auto made = std::make_shared<settings::snapshot>();
        made->workspaces["desk"] = {};
        made->pools["main"] = {};
        settings::queue queue;
        queue.workspace = "desk";
        queue.pool = "main";
        made->queues["jobs"] = queue;
        made->teams["red"].workspace = "desk";
        const auto issued = teams::issue_key("red", "test");
        made->keys["red"][issued.id] = issued.record;
        this->key = issued.api_key;
        this->apply(requests::settings_accepted{made});
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
        hooks.pass_on = [](const std::string&, const net::http_request&,
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
            if (const auto* given = std::get_if<requests::send_response>(&each)) {
                this->api.deliver(given->id, given->content);
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
                                              const std::string& presented)
    {
        std::vector<net::http_field> fields;
        if (!presented.empty()) {
            fields.push_back({"Authorization", "Bearer " + presented});
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
                    const std::string& cause)
{
    cr_assert(exchange.status == status, "status %u", exchange.status);
    cr_assert(exchange.body.at("not_run") == true);
    cr_assert(exchange.body.at("reason") == reason);
    cr_assert_not(exchange.body.at("error").at("step").get<std::string>().empty());
    const auto said = exchange.body.at("error").at("cause").get<std::string>();
    cr_assert(said.find(cause) != std::string::npos, "%s", said.c_str());
}

Test(request_api, malformed_json_is_refused_with_its_place)
{
    // given
    fixture each;

    // when / then
    assert_refused(*each.submit("jobs", "{\"body\": ", each.key), 400, "invalid_request", "line 1");
    assert_refused(*each.submit("jobs", "[]", each.key), 400, "invalid_request", "an object");
}

Test(request_api, unknown_field_and_wrong_type_name_what_is_allowed)
{
    // given
    fixture each;

    // when / then
    assert_refused(*each.submit("jobs", R"({"dead_line_ms": 1})", each.key), 400, "invalid_request",
                   "deadline_ms");
    assert_refused(*each.submit("jobs", R"({"deadline_ms": "soon"})", each.key), 400,
                   "invalid_request", "an integer from 1");
    assert_refused(*each.submit("jobs", R"({"size": {"processors": 0}})", each.key), 400,
                   "invalid_request", "/size/processors");
}

Test(request_api, unknown_queue_and_missing_or_wrong_key_are_refused)
{
    // given
    fixture each;

    // when / then
    assert_refused(*each.submit("other", "{}", each.key), 404, "unknown_queue", "\"other\"");
    assert_refused(*each.submit("jobs", "{}", ""), 401, "wrong_key", "missing");
    assert_refused(*each.submit("jobs", "{}", each.key + "x"), 401, "wrong_key", "unknown");
    assert_refused(*each.submit("jobs", "{}", "no key at all"), 401, "wrong_key", "unknown");
}

Test(request_api, call_that_does_not_exist_gets_the_common_error_shape)
{
    // given
    fixture each;

    // when
    const auto exchange = each.call("PUT", "/v1/nonsense", "", {});

    // then
    cr_assert(exchange->status == 404);
    cr_assert(exchange->body.at("error").contains("step"));
    cr_assert(exchange->body.at("error").contains("cause"));
}

Test(request_api, waiting_caller_gets_an_id_that_only_its_team_can_ask_with)
{
    // given a request that waits, because there is no upstream
    fixture each;
    const auto handed_in = each.submit("jobs", R"({"wait_ms": 0})", each.key);
    for (const auto& action : each.delayed) {
        action();
    }
    cr_assert(handed_in->status == 202);
    const auto id = handed_in->body.at("request").get<std::string>();

    // when
    const auto stranger = each.call("GET", "/v1/requests/" + id, "", {});
    const auto cancelled =
        each.call("DELETE", "/v1/requests/" + id, "", {{"Authorization", "Bearer " + each.key}});

    // then
    cr_assert(stranger->status == 404);
    assert_refused(*cancelled, 409, "cancelled", "before a start");
}

Test(request_api, home_out_of_reach_is_refused_as_not_run)
{
    // given
    fixture each;

    // when
    const auto exchange =
        each.call("POST", "/v1/queues/jobs/requests", "{}",
                  {{"Authorization", "Bearer " + each.key}, {"Idempotency-Key", "k"}});

    // then
    assert_refused(*exchange, 503, "home_unreachable", "out of reach");
    cr_assert(each.engine.open_requests() == 0);
}

} // namespace
