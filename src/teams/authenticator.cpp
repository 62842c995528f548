#include "teams/authenticator.h"

#include "common/crypto.h"

namespace chervilslip::teams {

namespace {

constexpr std::size_t key_id_bytes = 4;
constexpr std::size_t salt_bytes = 16;
constexpr std::size_t secret_bytes = 24;

std::string salted_hash(const std::string& salt, const std::string& secret)
{
    return common::sha256_hex(salt + ":" + secret);
}

common::error key_refused()
{
    return common::make_error(common::errc::refused, "authenticate key", "",
                              "the key is missing, unknown or withdrawn");
}

const settings::team_key* find_active(const settings::snapshot& in_force, const identity& who)
{
    const auto keys = in_force.keys.find(who.team);
    if (keys == in_force.keys.end() || !in_force.teams.contains(who.team)) {
        return nullptr;
    }
    const auto key = keys->second.find(who.key_id);
    const bool active =
        key != keys->second.end() && key->second.state == settings::key_state::active;
    return active ? &key->second : nullptr;
}

} // namespace

issued_key issue_key(const std::string& team, const std::string& issued_by)
{
    issued_key issued;
    issued.id = "k" + common::random_hex(key_id_bytes);
    const std::string secret = common::random_hex(secret_bytes);
    issued.api_key = team + "." + issued.id + "." + secret;
    issued.record.salt = common::random_hex(salt_bytes);
    issued.record.hash = salted_hash(issued.record.salt, secret);
    issued.record.issued_by = issued_by;
    return issued;
}

common::result<identity> authenticate(const settings::snapshot& in_force,
                                      const std::string& api_key)
{
    const std::size_t first = api_key.find('.');
    const std::size_t second = api_key.rfind('.');
    if (first == std::string::npos || first == second) {
        return key_refused();
    }
    const identity who{api_key.substr(0, first), api_key.substr(first + 1, second - first - 1)};
    const settings::team_key* key = find_active(in_force, who);
    const std::string secret = api_key.substr(second + 1);
    const bool matches =
        key != nullptr && common::equal_in_constant_time(salted_hash(key->salt, secret), key->hash);
    if (!matches) {
        return key_refused();
    }
    return who;
}

bool is_active(const settings::snapshot& in_force, const identity& who)
{
    return find_active(in_force, who) != nullptr;
}

} // namespace chervilslip::teams
