#include "fakes/fake_platform.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/outcome/try.hpp>

#include "common/crypto.h"
#include "settings/document_tree.h"

namespace chervilslip::fakes {

namespace {

using nlohmann::json;

constexpr common::milliseconds tick_time{2};

fake_vm read_vm(const json& source)
{
    fake_vm each;
    each.vm = source.at("vm").get<std::string>();
    each.zone = source.at("zone").get<std::string>();
    each.rack = source.at("rack").get<std::string>();
    each.port = source.at("port").get<std::uint16_t>();
    each.size = {
        source.at("processors").get<std::int64_t>(), source.at("memory_mb").get<std::int64_t>(),
        source.value("accelerators", std::int64_t{0}), source.value("slots", std::int64_t{8})};
    each.connections = source.value("connections", std::size_t{64});
    return each;
}

} // namespace

common::result<platform_settings> load_platform(const std::string& file)
{
    const auto parsed = settings::load_commented_json(file);
    if (!parsed) {
        return parsed.error();
    }
    try {
        const json& source = parsed.value();
        platform_settings wanted;
        wanted.address = source.value("address", wanted.address);
        wanted.store_port = source.at("store_port").get<std::uint16_t>();
        wanted.vm_list_port = source.at("vm_list_port").get<std::uint16_t>();
        for (const json& each : source.at("vms")) {
            wanted.vms.push_back(read_vm(each));
        }
        return wanted;
    } catch (const json::exception& failure) {
        return common::make_error(common::errc::invalid, "read fake fleet", file, failure.what());
    }
}

fake_platform::fake_platform(boost::asio::io_context& io, const common::clock& clock,
                             platform_settings wanted)
    : context(io), settings(std::move(wanted)), store(io, clock),
      vm_list(
          io, net::http_limits{.total_bytes = net::no_total_limit},
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->handle_list(request, *exchange);
          },
          [](net::refusal_reason, const common::error&) {})
{
    for (const fake_vm& each : this->settings.vms) {
        this->workers[each.vm] =
            std::make_unique<fake_worker>(io, clock, each.vm, each.size, each.connections);
    }
}

common::result<void> fake_platform::listen()
{
    const std::string& address = this->settings.address;
    BOOST_OUTCOME_TRY(this->store.listen({address, this->settings.store_port}));
    BOOST_OUTCOME_TRY(this->vm_list.listen({address, this->settings.vm_list_port}));
    for (const fake_vm& each : this->settings.vms) {
        BOOST_OUTCOME_TRY(this->workers.at(each.vm)->listen({address, each.port}));
    }
    this->schedule_tick();
    return boost::outcome_v2::success();
}

void fake_platform::close()
{
    this->closed = true;
    this->store.close();
    this->vm_list.stop_accepting();
    this->vm_list.close_all();
    for (auto& [vm, worker] : this->workers) {
        worker->close();
    }
}

void fake_platform::schedule_tick()
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, tick_time);
    timer->async_wait([this, timer](const boost::system::error_code&) {
        if (this->closed) {
            return;
        }
        for (auto& [vm, worker] : this->workers) {
            worker->tick();
        }
        this->schedule_tick();
    });
}

void fake_platform::handle_list(const net::http_request& request, net::http_exchange& exchange)
{
    if (request.path() == "/fake") {
        const json wanted = json::parse(request.body, nullptr, false);
        if (!wanted.is_object()) {
            exchange.respond(net::error_response(400, "parse switches", "not a JSON object"));
            return;
        }
        this->list_down = wanted.value("down", this->list_down);
        for (const json& vm : wanted.value("leaving", json::array())) {
            this->leaving.insert(vm.get<std::string>());
        }
        for (const json& vm : wanted.value("kill", json::array())) {
            const auto found = this->workers.find(vm.get<std::string>());
            if (found != this->workers.end()) {
                found->second->close();
            }
        }
        exchange.respond(net::json_response(200, {{"leaving", this->leaving}}));
        return;
    }
    if (this->list_down) {
        exchange.drop();
        return;
    }
    json vms = json::array();
    for (const fake_vm& each : this->settings.vms) {
        vms.push_back({{"vm", each.vm},
                       {"address", this->settings.address + ":" + std::to_string(each.port)},
                       {"zone", each.zone},
                       {"rack", each.rack},
                       {"processors", each.size.processors},
                       {"memory_mb", each.size.memory_mb},
                       {"accelerators", each.size.accelerators},
                       {"slots", each.size.slots},
                       {"connections", each.connections},
                       {"state", this->leaving.contains(each.vm) ? "leaving" : "live"}});
    }
    net::http_response response = net::json_response(200, {{"vms", vms}});
    const std::string tag = "\"" + common::sha256_hex(response.body) + "\"";
    if (request.field("If-None-Match") == tag) {
        response.status = 304;
        response.body.clear();
    }
    response.fields.push_back({"ETag", tag});
    exchange.respond(std::move(response));
}

} // namespace chervilslip::fakes
