#include "daemon/node_settings.h"

#include "settings/document_tree.h"

namespace chervilslip::daemon {

namespace {

using settings::object_reader;
using settings::problem;

constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr std::int64_t max_nodes = 1024;
constexpr std::int64_t max_size_bytes = std::int64_t{64} * 1024 * 1024;
constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_secret_bytes = 256;
constexpr std::size_t max_peer_bytes = 64;

net::endpoint read_endpoint(object_reader& reader, const std::string& field)
{
    const std::string text = reader.text(field, 64);
    const auto parsed = net::parse_endpoint(text);
    if (!parsed && !text.empty()) {
        reader.report(field, "\"" + text + "\"", "IP:port");
    }
    return parsed.value_or(net::endpoint{});
}

common::milliseconds read_duration(object_reader& reader, const std::string& field,
                                   common::milliseconds default_value)
{
    return common::milliseconds(
        reader.integer_or(field, 1, max_duration_ms, default_value.count()));
}

std::size_t read_size(object_reader& reader, const std::string& field, std::size_t default_value)
{
    return static_cast<std::size_t>(
        reader.integer_or(field, 1, max_size_bytes, static_cast<std::int64_t>(default_value)));
}

void read_http(object_reader& reader, std::vector<problem>& problems, net::http_limits& limits)
{
    const nlohmann::json* source = reader.object("http");
    if (source == nullptr) {
        return;
    }
    object_reader inner(*source, reader.at("http"), problems);
    limits.header_bytes = read_size(inner, "header_bytes", limits.header_bytes);
    limits.body_bytes = read_size(inner, "body_bytes", limits.body_bytes);
    limits.connections = read_size(inner, "connections", limits.connections);
    limits.header_time = read_duration(inner, "header_ms", limits.header_time);
    limits.body_time = read_duration(inner, "body_ms", limits.body_time);
    limits.idle_time = read_duration(inner, "idle_ms", limits.idle_time);
    limits.write_time = read_duration(inner, "write_ms", limits.write_time);
    inner.finish();
}

void read_position(object_reader& reader, std::vector<problem>& problems,
                   teams::node_position& position)
{
    const nlohmann::json* source = reader.object("position");
    if (source == nullptr) {
        reader.report("position", "nothing", "an object with index and count");
        return;
    }
    object_reader inner(*source, reader.at("position"), problems);
    position.count = inner.integer("count", 1, max_nodes);
    position.index = inner.integer("index", 0, position.count - 1);
    inner.finish();
}

routing::selection_policy read_choice(object_reader& reader)
{
    const std::string name =
        reader.choice_or_first("choice", {"corrected_two_choice", "random", "least_reported"});
    if (name == "random") {
        return routing::selection_policy::random;
    }
    return name == "least_reported" ? routing::selection_policy::least_reported
                                    : routing::selection_policy::corrected_two_choice;
}

std::string read_secret(object_reader& reader, const std::string& field)
{
    std::string secret = reader.text(field, max_secret_bytes);
    if (secret.size() < min_secret_bytes) {
        reader.report(field, std::to_string(secret.size()) + " bytes",
                      "at least " + std::to_string(min_secret_bytes) + " bytes");
    }
    return secret;
}

std::vector<net::endpoint> read_peers(object_reader& reader)
{
    std::vector<net::endpoint> peers;
    for (const std::string& text : reader.texts_or_empty("peers", max_peer_bytes)) {
        const auto parsed = net::parse_endpoint(text);
        if (parsed) {
            peers.push_back(*parsed);
        } else {
            reader.report("peers", "\"" + text + "\"", "IP:port");
        }
    }
    return peers;
}

} // namespace

checked_node_settings load_node_settings(const std::string& file)
{
    checked_node_settings checked;
    const auto parsed = settings::load_commented_json(file);
    if (!parsed) {
        checked.problems.push_back(
            {file, "/", parsed.error().detail, "a JSON file, in which comments are allowed"});
        return checked;
    }
    object_reader reader(parsed.value(), {file, ""}, checked.problems);
    node_settings& typed = checked.typed;
    typed.node = reader.name("node");
    typed.zone = reader.name("zone");
    read_position(reader, checked.problems, typed.position);
    typed.listen = read_endpoint(reader, "listen");
    typed.operator_listen = read_endpoint(reader, "operator_listen");
    typed.peer_listen = read_endpoint(reader, "peer_listen");
    typed.peers = read_peers(reader);
    typed.peer_secret = read_secret(reader, "peer_secret");
    typed.store = read_endpoint(reader, "store");
    typed.vm_list = read_endpoint(reader, "vm_list");
    typed.operator_token = read_secret(reader, "operator_token");
    read_http(reader, checked.problems, typed.http);
    typed.choice = read_choice(reader);
    typed.store_time_limit = read_duration(reader, "store_time_limit_ms", typed.store_time_limit);
    typed.store_check_interval =
        read_duration(reader, "store_check_ms", typed.store_check_interval);
    typed.vm_list_poll_interval =
        read_duration(reader, "vm_list_poll_ms", typed.vm_list_poll_interval);
    typed.usage_poll_interval = read_duration(reader, "usage_poll_ms", typed.usage_poll_interval);
    typed.longest_wait = read_duration(reader, "longest_wait_ms", typed.longest_wait);
    typed.stop_notice = read_duration(reader, "stop_notice_ms", typed.stop_notice);
    typed.stop_limit = read_duration(reader, "stop_limit_ms", typed.stop_limit);
    reader.finish();
    return checked;
}

} // namespace chervilslip::daemon
