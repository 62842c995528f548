#include "cli/plan.h"

#include "common/crypto.h"

namespace chervilslip::cli {

namespace {

using nlohmann::json;

constexpr std::size_t change_id_bytes = 12;
constexpr std::string_view keys_suffix = "/keys";
constexpr std::string_view rules_suffix = "/rules";

bool is_keys_path(const std::string& path)
{
    return path.starts_with("/teams/") && path.ends_with(keys_suffix);
}

bool is_rules_path(const std::string& path)
{
    return path.starts_with("/teams/") && path.ends_with(rules_suffix);
}

std::string keys_path_of_rules(const std::string& path)
{
    return path.substr(0, path.size() - rules_suffix.size()) + std::string(keys_suffix);
}

json withdrawn(const json& keys)
{
    json changed = keys;
    for (auto& item : changed.items()) {
        item.value()["state"] = "withdrawn";
    }
    return changed;
}

json merged(const json& in_force, const json& declared)
{
    json all = declared;
    for (const auto& item : in_force.items()) {
        all[item.key()] = item.value();
    }
    return all;
}

settings::document_tree wanted_tree(const settings_in_force& now,
                                    const settings::document_tree& declared)
{
    settings::document_tree wanted = declared;
    for (const auto& [path, each] : now.tree) {
        if (is_keys_path(path)) {
            const auto found = wanted.find(path);
            const json keys =
                found == wanted.end() ? each.value : merged(each.value, found->second.value);
            wanted[path] = {keys, path};
        }
    }
    for (const auto& [path, each] : now.tree) {
        const bool removed_team = is_rules_path(path) && !wanted.contains(path);
        const std::string keys_path = removed_team ? keys_path_of_rules(path) : std::string{};
        if (removed_team && wanted.contains(keys_path)) {
            wanted[keys_path].value = withdrawn(wanted[keys_path].value);
        }
    }
    return wanted;
}

settings::proposal empty_proposal(const std::string& author, const std::string& reason)
{
    return {common::random_hex(change_id_bytes), author, reason, {}};
}

std::string hash_in_force(const settings_in_force& now, const std::string& path)
{
    const auto found = now.source.entries.find(path);
    return found == now.source.entries.end() ? std::string{} : found->second.hash;
}

std::optional<json> value_in(const settings::document_tree& tree, const std::string& path)
{
    const auto found = tree.find(path);
    return found == tree.end() ? std::nullopt : std::optional<json>{found->second.value};
}

void add_edit(plan& all, const settings_in_force& now, const std::string& path,
              const std::optional<json>& value)
{
    const auto before = value_in(now.tree, path);
    if (before == value) {
        return;
    }
    all.wanted.edits.push_back({path, hash_in_force(now, path), value});
    const auto inner = settings::compare_values(path, before, value);
    all.differences.insert(all.differences.end(), inner.begin(), inner.end());
}

} // namespace

plan make_plan(const settings_in_force& now, const settings::loaded_directory& directory,
               const std::string& author, const std::string& reason)
{
    plan all;
    all.wanted = empty_proposal(author, reason);
    all.problems = directory.problems;
    const settings::document_tree wanted = wanted_tree(now, directory.tree);
    const auto checked = settings::check_tree(wanted);
    all.problems.insert(all.problems.end(), checked.problems.begin(), checked.problems.end());
    std::set<std::string> paths;
    for (const auto& [path, each] : now.tree) {
        paths.insert(path);
    }
    for (const auto& [path, each] : wanted) {
        paths.insert(path);
    }
    for (const std::string& path : paths) {
        add_edit(all, now, path, value_in(wanted, path));
    }
    return all;
}

common::result<plan> plan_value(const settings_in_force& now, const std::string& path,
                                const json& value, const std::string& author,
                                const std::string& reason)
{
    const auto replaced = settings::replaced_value(now.tree, path, value);
    if (!replaced) {
        return replaced.error();
    }
    return plan_document(now, replaced.value().first, replaced.value().second, author, reason);
}

plan plan_document(const settings_in_force& now, const std::string& path, const json& value,
                   const std::string& author, const std::string& reason)
{
    plan all;
    all.wanted = empty_proposal(author, reason);
    add_edit(all, now, path, value);
    return all;
}

std::string to_text(const std::vector<settings::difference>& differences)
{
    std::string text;
    for (const settings::difference& each : differences) {
        const bool added = !each.before;
        const bool removed = !each.after;
        text += added ? "+ " : removed ? "- " : "~ ";
        text += each.path + ": ";
        text += each.before ? each.before->dump() : "";
        text += !added && !removed ? " -> " : "";
        text += each.after ? each.after->dump() : "";
        text += "\n";
    }
    return text;
}

} // namespace chervilslip::cli
