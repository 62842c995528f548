#include "load/load_plan.h"

#include "settings/document_tree.h"

namespace chervilslip::load {

namespace {

using common::errc;
using common::make_error;
using nlohmann::json;

constexpr double burst_factor = 5.0;
constexpr double pause_factor = 0.05;

net::endpoint read_endpoint(const json& value)
{
    const auto parsed = net::parse_endpoint(value.get<std::string>());
    return parsed.value_or(net::endpoint{});
}

load_stream read_stream(const json& source)
{
    load_stream each;
    each.queue = source.at("queue").get<std::string>();
    each.team = source.at("team").get<std::string>();
    each.key = source.value("key", std::string{});
    each.mean_per_second = source.at("mean_per_s").get<double>();
    each.run_time = common::milliseconds(source.value("run_ms", std::int64_t{20}));
    each.deadline = common::milliseconds(source.value("deadline_ms", std::int64_t{10000}));
    each.repeatable = source.value("repeatable", false);
    each.repeated_part = source.value("repeated_part", 0.0);
    each.urgent_part = source.value("urgent_part", 0.0);
    return each;
}

} // namespace

common::result<load_plan> load_plan_file(const std::string& file)
{
    const auto parsed = settings::load_commented_json(file);
    if (!parsed) {
        return parsed.error();
    }
    try {
        const json& source = parsed.value();
        load_plan plan;
        for (const json& node : source.at("nodes")) {
            plan.nodes.push_back(read_endpoint(node));
        }
        plan.vm_list = read_endpoint(source.at("vm_list"));
        plan.profile = source.value("profile", std::string("steady")) == "burst"
                           ? arrival_profile::burst
                           : arrival_profile::steady;
        plan.length = std::chrono::seconds(source.value("seconds", 10));
        plan.turn = std::chrono::seconds(source.value("turn_s", 4));
        plan.direct_per_second = source.value("direct_per_s", 0.0);
        plan.seed = source.value("seed", std::uint64_t{1});
        for (const json& each : source.at("streams")) {
            plan.streams.push_back(read_stream(each));
        }
        if (plan.nodes.empty() || plan.streams.empty()) {
            return make_error(errc::invalid, "read load plan", file,
                              "nodes and streams must not be empty");
        }
        return plan;
    } catch (const json::exception& failure) {
        return make_error(errc::invalid, "read load plan", file, failure.what());
    }
}

double rate_at(const load_plan& plan, std::size_t stream, common::milliseconds since_start)
{
    const double mean = plan.streams[stream].mean_per_second;
    if (plan.profile == arrival_profile::steady) {
        return mean;
    }
    const auto turn = static_cast<std::size_t>(since_start / plan.turn);
    return mean * (turn % plan.streams.size() == stream ? burst_factor : pause_factor);
}

} // namespace chervilslip::load
