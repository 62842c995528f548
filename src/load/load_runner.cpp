#include "load/load_runner.h"

#include <boost/asio/steady_timer.hpp>

#include "workers/protocol.h"

namespace chervilslip::load {

namespace {

using common::errc;
using common::make_error;
using nlohmann::json;

constexpr std::size_t idle_connections = 256;
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
constexpr common::milliseconds answer_limit{60000};
constexpr common::milliseconds ready_limit{500};
constexpr common::milliseconds ready_period{100};
constexpr common::milliseconds setup_limit{5000};
constexpr std::string_view nonce_field = "\"nonce\":\"";

net::http_request get(const std::string& target)
{
    net::http_request request;
    request.method = "GET";
    request.target = target;
    return request;
}

request_end end_of(const json& body)
{
    const std::string fate = body.value("fate", std::string{});
    if (fate == "done") {
        return request_end::done;
    }
    if (fate == "failed") {
        return request_end::failed;
    }
    if (fate == "refused" && body.value("not_run", false)) {
        return request_end::refused;
    }
    return request_end::unknown;
}

std::string nonce_in(const std::string& text)
{
    const std::size_t begin = text.find(nonce_field);
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t first = begin + nonce_field.size();
    return text.substr(first, text.find('"', first) - first);
}

} // namespace

load_runner::load_runner(boost::asio::io_context& io, const common::clock& time_source,
                         load_plan wanted)
    : context(io), clock(time_source), plan(std::move(wanted)), random(plan.seed),
      client(io, idle_connections, max_body_bytes), ready(plan.nodes.size(), true)
{
}

std::string load_runner::nonce_of(std::size_t number)
{
    return "load-" + std::to_string(number);
}

common::milliseconds load_runner::since_start() const
{
    return std::chrono::duration_cast<common::milliseconds>(this->clock.steady_now() - this->begin);
}

void load_runner::after(common::milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
}

common::result<std::vector<request_fate>> load_runner::run()
{
    const auto found = this->read_workers();
    if (!found) {
        return found.error();
    }
    this->begin = this->clock.steady_now();
    for (std::size_t i = 0; i < this->plan.streams.size(); ++i) {
        this->schedule_arrival(i);
    }
    if (this->plan.direct_per_second > 0) {
        this->schedule_direct();
    }
    this->check_nodes();
    this->context.run();
    const auto read = this->read_logs();
    if (!read) {
        return read.error();
    }
    return this->fates;
}

void load_runner::schedule_arrival(std::size_t stream)
{
    const double rate = rate_at(this->plan, stream, this->since_start());
    const double gap_ms = this->random.exponential(1000.0 / rate);
    // Looks again after a while, so that a pause ends when the rate rises.
    constexpr double longest_gap_ms = 200.0;
    const bool arrives = gap_ms <= longest_gap_ms;
    const auto delay =
        common::milliseconds(static_cast<std::int64_t>(std::min(gap_ms, longest_gap_ms)));
    this->after(delay, [this, stream, arrives] {
        if (this->since_start() >= this->plan.length) {
            return;
        }
        if (arrives) {
            request_fate fate;
            fate.stream = stream;
            fate.sent = this->since_start();
            this->hand_in(fate);
        }
        this->schedule_arrival(stream);
    });
}

void load_runner::hand_in(request_fate fate)
{
    fate.nonce = this->fates.size();
    this->fates.push_back(fate);
    this->send(this->fates.size() - 1);
    if (this->random.chance(this->plan.streams[fate.stream].repeated_part)) {
        // The second one comes at the same moment or up to three seconds later.
        const auto delay = common::milliseconds(
            this->random.chance(0.5) ? 0 : static_cast<std::int64_t>(this->random.below(3000)));
        this->after(delay, [this, fate]() mutable {
            fate.sent = this->since_start();
            this->fates.push_back(fate);
            this->send(this->fates.size() - 1);
        });
    }
}

void load_runner::schedule_direct()
{
    const double gap_ms = this->random.exponential(1000.0 / this->plan.direct_per_second);
    this->after(common::milliseconds(static_cast<std::int64_t>(gap_ms)), [this] {
        if (this->since_start() >= this->plan.length) {
            return;
        }
        request_fate fate;
        fate.direct = true;
        fate.nonce = this->fates.size();
        fate.sent = this->since_start();
        this->fates.push_back(fate);
        this->send_direct(this->fates.size() - 1);
        this->schedule_direct();
    });
}

void load_runner::check_nodes()
{
    if (this->since_start() >= this->plan.length) {
        return;
    }
    for (std::size_t i = 0; i < this->plan.nodes.size(); ++i) {
        this->client.call(this->plan.nodes[i], get("/readyz"), ready_limit,
                          [this, i](const common::result<net::http_response>& answer) {
                              this->ready[i] = answer && answer.value().status == 200;
                          });
    }
    this->after(ready_period, [this] { this->check_nodes(); });
}

std::size_t load_runner::pick_node()
{
    std::vector<std::size_t> choices;
    for (std::size_t i = 0; i < this->ready.size(); ++i) {
        if (this->ready[i]) {
            choices.push_back(i);
        }
    }
    return choices.empty() ? this->random.below(this->ready.size())
                           : choices[this->random.below(choices.size())];
}

void load_runner::send(std::size_t number)
{
    this->send_to(number, 0);
}

void load_runner::send_to(std::size_t number, std::size_t tries)
{
    const load_stream& stream = this->plan.streams[this->fates[number].stream];
    const std::string nonce = nonce_of(this->fates[number].nonce);
    const json task = {{"nonce", nonce}, {"run_ms", stream.run_time.count()}};
    const json body = {{"body", task},
                       {"wait_ms", answer_limit.count() - 5000},
                       {"deadline_ms", stream.deadline.count()},
                       {"repeatable", stream.repeatable},
                       {"urgent", this->random.chance(stream.urgent_part)}};
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/queues/" + stream.queue + "/requests";
    request.body = body.dump();
    if (!stream.key.empty()) {
        request.fields.push_back({"Authorization", "Bearer " + stream.key});
    }
    if (stream.repeated_part > 0) {
        request.fields.push_back({"Idempotency-Key", nonce});
    }
    const auto begin_time = this->clock.steady_now();
    this->client.call(
        this->plan.nodes[this->pick_node()], std::move(request), answer_limit,
        [this, number, tries, begin_time](const common::result<net::http_response>& answer) {
            this->take_answer(number, tries, begin_time, answer);
        });
}

void load_runner::take_answer(std::size_t number, std::size_t tries, common::steady_time begin_time,
                              const common::result<net::http_response>& answer)
{
    request_fate& fate = this->fates[number];
    if (!answer && !answer.error().may_have_reached_peer() && tries < 20) {
        // No connection was made: a balancer turns to another node.
        this->after(common::milliseconds(10),
                    [this, number, tries] { this->send_to(number, tries + 1); });
        return;
    }
    fate.latency = std::chrono::duration_cast<std::chrono::microseconds>(this->clock.steady_now() -
                                                                         begin_time);
    if (!answer) {
        fate.end = request_end::cut;
        return;
    }
    const json body = json::parse(answer.value().body, nullptr, false);
    if (!body.is_object()) {
        fate.end = request_end::cut;
        return;
    }
    fate.end = end_of(body);
    fate.reason = body.value("reason", std::string{});
    const std::string output = body.value("output", std::string{});
    fate.crossed = fate.end == request_end::done && nonce_in(output) != nonce_of(fate.nonce);
}

void load_runner::send_direct(std::size_t number)
{
    const worker& target = this->workers[this->random.below(this->workers.size())];
    workers::start_order order;
    order.attempt = {"direct-" + std::to_string(this->plan.seed) + "-" + std::to_string(number), 1,
                     target.vm, target.epoch};
    order.node = "load";
    order.need = {1, 1, 0, 1};
    order.hold = answer_limit;
    const json task = {{"nonce", nonce_of(number)},
                       {"run_ms", this->plan.streams.front().run_time.count()}};
    order.body = task.dump();
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/tasks";
    request.body = workers::to_json(order).dump();
    const auto begin_time = this->clock.steady_now();
    this->client.call(target.address, std::move(request), answer_limit,
                      [this, number, begin_time](const common::result<net::http_response>& answer) {
                          request_fate& fate = this->fates[number];
                          fate.end = answer ? request_end::done : request_end::cut;
                          fate.latency = std::chrono::duration_cast<std::chrono::microseconds>(
                              this->clock.steady_now() - begin_time);
                      });
}

common::result<void> load_runner::read_workers()
{
    const auto answer = net::call_and_wait(this->plan.vm_list, get("/v1/vms"), setup_limit);
    if (!answer) {
        return answer.error();
    }
    const json body = json::parse(answer.value().body, nullptr, false);
    for (const json& each : body.at("vms")) {
        worker found;
        found.vm = each.at("vm").get<std::string>();
        found.address = net::parse_endpoint(each.at("address").get<std::string>()).value();
        const auto usage = net::call_and_wait(
            found.address, get("/v1/usage?node=load&incarnation=0"), setup_limit);
        if (usage) {
            const auto parsed = workers::parse_usage(usage.value().body, found.vm);
            found.epoch = parsed ? parsed.value().epoch : std::string{};
        }
        this->workers.push_back(found);
    }
    return boost::outcome_v2::success();
}

common::result<void> load_runner::read_logs()
{
    std::map<std::string, int> starts;
    for (const worker& each : this->workers) {
        const auto answer = net::call_and_wait(each.address, get("/v1/log"), setup_limit);
        if (!answer) {
            return make_error(errc::unavailable, "read start log", each.vm,
                              answer.error().to_string());
        }
        const json body = json::parse(answer.value().body, nullptr, false);
        for (const json& entry : body.at("starts")) {
            ++starts[nonce_in(entry.at("body").get<std::string>())];
        }
    }
    for (std::size_t i = 0; i < this->fates.size(); ++i) {
        const auto found = starts.find(nonce_of(this->fates[i].nonce));
        this->fates[i].starts = found == starts.end() ? 0 : found->second;
    }
    return boost::outcome_v2::success();
}

} // namespace chervilslip::load
