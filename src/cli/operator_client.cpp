#include "cli/operator_client.h"
#include "net/http_status.h"

namespace chervilslip::cli {

namespace {

using common::errc;
using common::make_error;
using nlohmann::json;

constexpr common::milliseconds time_limit{15000};

std::string cause_of(const net::http_response& response)
{
    const json body = json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body.at("error").is_object()) {
        return body.at("error").value("cause", std::string{});
    }
    return "status " + std::to_string(response.status);
}

} // namespace

operator_client::operator_client(connection wanted) : peer(std::move(wanted))
{
}

const std::string& operator_client::author() const
{
    return this->peer.author;
}

common::result<net::http_response> operator_client::call_node(const net::endpoint& node,
                                                              const std::string& method,
                                                              const std::string& target,
                                                              const std::string& body) const
{
    net::http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.fields.push_back({"Authorization", "Bearer " + this->peer.token});
    return net::call_and_wait(node, std::move(request), time_limit);
}

common::result<net::http_response> operator_client::call(const std::string& method,
                                                         const std::string& target,
                                                         const std::string& body) const
{
    common::result<net::http_response> last =
        make_error(errc::connect_failed, "call node", "", "no node is named");
    for (const net::endpoint& node : this->peer.nodes) {
        last = this->call_node(node, method, target, body);
        if (last && last.value().status != net::status_unavailable) {
            return last;
        }
    }
    return last;
}

std::vector<node_answer> operator_client::call_all(const std::string& target) const
{
    std::vector<node_answer> answers;
    for (const net::endpoint& node : this->peer.nodes) {
        answers.push_back({node, this->call_node(node, "GET", target, {})});
    }
    return answers;
}

common::result<settings_in_force> operator_client::read_settings() const
{
    const auto answer = this->call("GET", "/v1/settings", {});
    if (!answer) {
        return answer.error();
    }
    const net::http_response& response = answer.value();
    if (response.status != net::status_ok) {
        const errc code =
            response.status == net::status_unauthorized ? errc::refused : errc::unavailable;
        return make_error(code, "read settings", "", cause_of(response));
    }
    const auto source = settings::parse_manifest(response.body);
    if (!source) {
        return source.error();
    }
    settings_in_force found{source.value(), {}};
    const json body = json::parse(response.body);
    for (const auto& item : body.at("documents").items()) {
        found.tree[item.key()] = {item.value(), item.key()};
    }
    return found;
}

common::result<net::http_response> operator_client::propose(const settings::proposal& wanted) const
{
    return this->call("POST", "/v1/settings/changes", settings::to_json(wanted).dump());
}

} // namespace chervilslip::cli
