#include "fakes/store_model.h"

#include "store/etcd_codec.h"

namespace chervilslip::fakes {

namespace {

using nlohmann::json;
using store::etcd::parse_int64;

constexpr std::size_t most_past_events = 100'000;

} // namespace

json store_model::header() const
{
    return {{"revision", std::to_string(this->now_revision)}};
}

json store_model::pair_of(const std::string& key, const entry& each) const
{
    return {{"key", key},
            {"value", each.value},
            {"create_revision", std::to_string(each.created)},
            {"mod_revision", std::to_string(each.modified)},
            {"version", std::to_string(each.version)},
            {"lease", std::to_string(each.lease)}};
}

json store_model::range(const json& body) const
{
    json answer = {{"header", this->header()}};
    const auto found = this->entries.find(body.at("key").get<std::string>());
    if (found != this->entries.end()) {
        json pair = this->pair_of(found->first, found->second);
        if (body.value("keys_only", false)) {
            pair.erase("value");
        }
        answer["kvs"] = json::array({pair});
        answer["count"] = "1";
    }
    return answer;
}

bool store_model::holds(const json& compare) const
{
    const auto found = this->entries.find(compare.at("key").get<std::string>());
    const std::int64_t modified = found == this->entries.end() ? 0 : found->second.modified;
    return modified == parse_int64(compare, "mod_revision");
}

json store_model::transaction(const json& body)
{
    bool succeeded = true;
    for (const json& compare : body.value("compare", json::array())) {
        succeeded = succeeded && this->holds(compare);
    }
    if (succeeded) {
        for (const json& operation : body.value("success", json::array())) {
            this->put(operation.at("request_put"));
        }
    }
    return {{"header", this->header()}, {"succeeded", succeeded}};
}

void store_model::put(const json& request)
{
    ++this->now_revision;
    const auto key = request.at("key").get<std::string>();
    entry& each = this->entries[key];
    each.value = request.at("value").get<std::string>();
    each.lease = parse_int64(request, "lease");
    each.modified = this->now_revision;
    each.created = each.version == 0 ? this->now_revision : each.created;
    ++each.version;
    this->remember(key, {{"kv", this->pair_of(key, each)}});
}

void store_model::erase(const std::string& key)
{
    ++this->now_revision;
    this->entries.erase(key);
    this->remember(key,
                   {{"type", "DELETE"},
                    {"kv", {{"key", key}, {"mod_revision", std::to_string(this->now_revision)}}}});
}

void store_model::remember(const std::string& key, json event)
{
    this->history.push_back({key, this->now_revision, std::move(event)});
    if (this->history.size() > most_past_events) {
        this->history.pop_front();
    }
}

json store_model::grant_lease(const json& body, common::steady_time now)
{
    const std::int64_t id = ++this->last_lease;
    const std::chrono::seconds time(parse_int64(body, "TTL"));
    this->leases[id] = {time, now + time};
    return {{"header", this->header()},
            {"ID", std::to_string(id)},
            {"TTL", std::to_string(time.count())}};
}

json store_model::keep_lease_alive(const json& body, common::steady_time now)
{
    const std::int64_t id = parse_int64(body, "ID");
    const auto found = this->leases.find(id);
    json result = {{"header", this->header()}, {"ID", std::to_string(id)}};
    if (found != this->leases.end()) {
        found->second.until = now + found->second.time_to_live;
        result["TTL"] = std::to_string(found->second.time_to_live.count());
    }
    return {{"result", result}};
}

json store_model::revoke_lease(const json& body)
{
    const std::int64_t id = parse_int64(body, "ID");
    this->leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, each] : this->entries) {
        if (each.lease == id && id != 0) {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys) {
        this->erase(key);
    }
    return {{"header", this->header()}};
}

void store_model::lapse_leases(common::steady_time now)
{
    std::vector<std::int64_t> over;
    for (const auto& [id, each] : this->leases) {
        if (each.until <= now) {
            over.push_back(id);
        }
    }
    for (const std::int64_t id : over) {
        this->revoke_lease({{"ID", id}});
    }
}

void store_model::lapse_all_leases()
{
    this->lapse_leases(common::steady_time::max());
}

std::vector<std::string> store_model::events_since(const std::string& key,
                                                   std::int64_t& next_revision) const
{
    std::vector<std::string> messages;
    for (const past_event& each : this->history) {
        if (each.revision >= next_revision && each.key == key) {
            const json message = {
                {"result", {{"header", this->header()}, {"events", json::array({each.event})}}}};
            messages.push_back(message.dump() + "\n");
        }
    }
    next_revision = this->now_revision + 1;
    return messages;
}

std::string store_model::watch_created() const
{
    const json message = {{"result", {{"header", this->header()}, {"created", true}}}};
    return message.dump() + "\n";
}

std::int64_t store_model::revision() const
{
    return this->now_revision;
}

} // namespace chervilslip::fakes
