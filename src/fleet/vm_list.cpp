#include "fleet/vm_list.h"

#include "common/json_reader.h"

namespace chervilslip::fleet {

namespace {

routing::upstream_info read_vm(const nlohmann::json& source)
{
    routing::upstream_info info;
    info.vm = source.at("vm").get<std::string>();
    info.address = source.at("address").get<std::string>();
    info.zone = source.at("zone").get<std::string>();
    info.rack = source.at("rack").get<std::string>();
    info.size = {
        source.at("processors").get<std::int64_t>(), source.at("memory_mb").get<std::int64_t>(),
        source.at("accelerators").get<std::int64_t>(), source.at("slots").get<std::int64_t>()};
    info.leaving = source.at("state").get<std::string>() != "live";
    return info;
}

} // namespace

common::result<std::vector<routing::upstream_info>> parse_vm_list(const std::string& text,
                                                                  const std::string& peer)
{
    return common::read_json<std::vector<routing::upstream_info>>(
        "read VM list", text, peer, [](const nlohmann::json& source) {
            std::vector<routing::upstream_info> vms;
            for (const auto& each : source.at("vms")) {
                vms.push_back(read_vm(each));
            }
            return vms;
        });
}

} // namespace chervilslip::fleet
