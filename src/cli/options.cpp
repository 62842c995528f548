#include "cli/options.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace chervilslip::cli {

namespace {

using common::errc;
using common::make_error;

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? std::string{} : std::string(value);
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::stringstream rest(text);
    std::string part;
    while (std::getline(rest, part, ',')) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

} // namespace

common_options::common_options(TCLAP::CmdLine& line)
    : nodes("n", "node",
            "operators' address of an entry node; repeatable; else "
            "CHERVILSLIP_NODES, separated by commas",
            false, "IP:PORT", line),
      token_file("t", "token-file", "file with the operator token; else CHERVILSLIP_TOKEN", false,
                 "", "FILE", line),
      author("a", "as", "who acts, for the audit trail; else the user's name", false, "", "NAME",
             line),
      json("j", "json", "print JSON", line)
{
}

common::result<connection> common_options::reach() const
{
    connection peer;
    std::vector<std::string> names = this->nodes.getValue();
    if (names.empty()) {
        names = split(environment("CHERVILSLIP_NODES"));
    }
    for (const std::string& name : names) {
        const auto node = net::parse_endpoint(name);
        if (!node) {
            return make_error(errc::invalid, "read options", "",
                              "node \"" + name + "\" is not IP:port");
        }
        peer.nodes.push_back(*node);
    }
    peer.token = environment("CHERVILSLIP_TOKEN");
    if (!this->token_file.getValue().empty()) {
        std::ifstream file(this->token_file.getValue());
        std::getline(file, peer.token);
    }
    peer.author = this->author.getValue();
    if (peer.author.empty()) {
        const std::string user = environment("USER");
        peer.author = user.empty() ? "operator" : user;
    }
    if (peer.nodes.empty() || peer.token.empty()) {
        return make_error(errc::invalid, "read options", "",
                          peer.nodes.empty() ? "no node is given (--node or CHERVILSLIP_NODES)"
                                             : "no token is given (--token-file or "
                                               "CHERVILSLIP_TOKEN)");
    }
    return peer;
}

bool common_options::json_output() const
{
    return this->json.getValue();
}

} // namespace chervilslip::cli
