#include "settings/checker.h"

namespace chervilslip::settings {

namespace {

constexpr std::int64_t max_vms = 100'000;
constexpr std::int64_t max_running = 1'000'000;
constexpr std::int64_t max_milliseconds = std::int64_t{7} * 24 * 3600 * 1000;
constexpr std::int64_t max_cut_off_seconds = std::int64_t{7} * 24 * 3600;
constexpr std::int64_t max_waiting = 100'000;
constexpr double min_share = 0.001;
constexpr double max_share = 1000.0;
constexpr std::size_t max_text_bytes = 1000;
constexpr std::size_t hash_bytes = 64;

using problem_list = std::vector<problem>;

zone read_zone(const nlohmann::json& value, const document_location& where, problem_list& problems)
{
    object_reader reader(value, where, problems);
    zone typed;
    typed.region = reader.name("region");
    typed.most_vms_out = reader.integer("most_vms_out", 1, max_vms);
    if (const nlohmann::json* racks = reader.object("racks")) {
        for (const auto& item : racks->items()) {
            const document_location rack_location = reader.at("racks").member(item.key());
            if (!is_name(item.key())) {
                reader.report("racks", "\"" + item.key() + "\"", "a name for each rack");
            }
            object_reader rack_reader(item.value(), rack_location, problems);
            typed.racks[item.key()].most_vms_out = rack_reader.integer("most_vms_out", 1, max_vms);
            rack_reader.finish();
        }
    }
    reader.finish();
    return typed;
}

pool read_pool(const nlohmann::json& value, const document_location& where, problem_list& problems)
{
    object_reader reader(value, where, problems);
    pool typed;
    typed.vms = reader.names("vms");
    typed.least_vms = reader.integer("least_vms", 0, max_vms);
    typed.most_vms = reader.integer("most_vms", 1, max_vms);
    if (typed.least_vms > typed.most_vms) {
        reader.report("least_vms", std::to_string(typed.least_vms),
                      "at most most_vms, which is " + std::to_string(typed.most_vms));
    }
    if (const nlohmann::json* budget = reader.object("budget")) {
        object_reader budget_reader(*budget, reader.at("budget"), problems);
        typed.budget.most_vms_out = budget_reader.integer("most_vms_out", 1, max_vms);
        typed.budget.least_vms_serving = budget_reader.integer("least_vms_serving", 0, max_vms);
        budget_reader.finish();
    } else {
        reader.report("budget", "nothing", "an object");
    }
    reader.finish();
    return typed;
}

fleet read_fleet(const nlohmann::json& value, const document_location& where,
                 problem_list& problems)
{
    object_reader reader(value, where, problems);
    fleet typed;
    typed.spare_pool = reader.name_or_empty("spare_pool");
    reader.finish();
    return typed;
}

workspace read_workspace(const nlohmann::json& value, const document_location& where,
                         problem_list& problems)
{
    object_reader reader(value, where, problems);
    workspace typed;
    typed.description = reader.text_or("description", max_text_bytes, {});
    typed.large = reader.choice_or_first("size", {"small", "large"}) == "large";
    reader.finish();
    return typed;
}

team_rules read_team(const nlohmann::json& value, const document_location& where,
                     problem_list& problems)
{
    object_reader reader(value, where, problems);
    team_rules typed;
    typed.workspace = reader.name("workspace");
    typed.share = reader.number("share", min_share, max_share);
    typed.limit = reader.integer("limit", 1, max_running);
    typed.when_cut_off = reader.choice_or_first("when_cut_off", {"serve", "refuse"}) == "refuse"
                             ? cut_off_policy::refuse
                             : cut_off_policy::serve;
    typed.longest_cut_off =
        std::chrono::seconds(reader.integer_or("longest_cut_off_s", 1, max_cut_off_seconds, 3600));
    reader.finish();
    return typed;
}

std::map<std::string, team_key> read_keys(const nlohmann::json& value,
                                          const document_location& where, problem_list& problems)
{
    std::map<std::string, team_key> keys;
    if (!value.is_object()) {
        object_reader(value, where, problems).finish();
        return keys;
    }
    for (const auto& item : value.items()) {
        object_reader reader(item.value(), where.member(item.key()), problems);
        team_key typed;
        typed.salt = reader.text("salt", hash_bytes);
        typed.hash = reader.text("hash", hash_bytes);
        if (typed.hash.size() != hash_bytes) {
            reader.report("hash", std::to_string(typed.hash.size()) + " bytes",
                          "64 hexadecimal digits");
        }
        typed.issued_by = reader.text_or("issued_by", max_text_bytes, {});
        typed.state = reader.choice_or_first("state", {"active", "withdrawn"}) == "withdrawn"
                          ? key_state::withdrawn
                          : key_state::active;
        reader.finish();
        keys[item.key()] = typed;
    }
    return keys;
}

task_size read_task_size(object_reader& reader, problem_list& problems)
{
    task_size typed;
    if (const nlohmann::json* task = reader.object("task")) {
        object_reader task_reader(*task, reader.at("task"), problems);
        typed.processors = task_reader.integer_or("processors", 1, 1024, 1);
        typed.memory_mb = task_reader.integer_or("memory_mb", 1, 16'777'216, 256);
        typed.accelerators = task_reader.integer_or("accelerators", 0, 64, 0);
        task_reader.finish();
    }
    return typed;
}

queue read_queue(const nlohmann::json& value, const document_location& where,
                 problem_list& problems)
{
    object_reader reader(value, where, problems);
    queue typed;
    typed.workspace = reader.name("workspace");
    typed.pool = reader.name("pool");
    typed.open = reader.boolean_or("open", false);
    typed.open_team = reader.name_or_empty("open_team");
    if (typed.open && typed.open_team.empty()) {
        reader.report("open_team", "nothing", "a team, because the queue is open");
    }
    if (!typed.open && !typed.open_team.empty()) {
        reader.report("open_team", "\"" + typed.open_team + "\"",
                      "nothing, because the queue is not open");
    }
    typed.most_waiting = reader.integer("most_waiting", 1, max_waiting);
    typed.deadline = common::milliseconds(reader.integer("deadline_ms", 1, max_milliseconds));
    typed.repeatable = reader.boolean_or("repeatable", false);
    typed.overflow_to_spare = reader.boolean_or("overflow_to_spare", true);
    typed.task = read_task_size(reader, problems);
    typed.expected_run_time =
        common::milliseconds(reader.integer_or("expected_run_ms", 1, max_milliseconds, 1000));
    reader.finish();
    return typed;
}

/// Validates references between documents and constraints that span documents.
class reference_checker {
public:
    reference_checker(const document_tree& documents, checked_tree& result)
        : tree(documents), checked(result)
    {
    }

    void check_all()
    {
        this->check_fleet();
        this->check_pools();
        this->check_racks();
        for (const auto& [name, team] : this->checked.typed.teams) {
            this->require_workspace("/teams/" + name + "/rules", team.workspace);
        }
        for (const auto& [name, keys] : this->checked.typed.keys) {
            this->check_keys(name, keys);
        }
        for (const auto& [name, queue] : this->checked.typed.queues) {
            this->check_queue("/queues/" + name, queue);
        }
    }

private:
    /// A removed team keeps its withdrawn keys on record, so that they cannot become valid again.
    void check_keys(const std::string& team, const std::map<std::string, team_key>& keys)
    {
        if (this->checked.typed.teams.contains(team)) {
            return;
        }
        for (const auto& [id, key] : keys) {
            if (key.state == key_state::active) {
                this->report("/teams/" + team + "/keys/" + id,
                             "an active key of team \"" + team + "\", which has no rules",
                             "only withdrawn keys for a team without rules");
            }
        }
    }

    void check_fleet()
    {
        const std::string& spare = this->checked.typed.whole_fleet.spare_pool;
        if (!spare.empty()) {
            this->require("/fleet", "spare_pool", spare, this->checked.typed.pools, "a pool");
        }
    }

    void check_pools()
    {
        std::map<std::string, std::string> pool_of_vm;
        for (const auto& [name, pool] : this->checked.typed.pools) {
            for (const std::string& vm : pool.vms) {
                const auto [other, first] = pool_of_vm.emplace(vm, name);
                if (!first) {
                    this->report("/pools/" + name + "/vms",
                                 "VM \"" + vm + "\", which is in pool \"" + other->second + "\"",
                                 "each VM in one pool");
                }
            }
            const auto size = static_cast<std::int64_t>(pool.vms.size());
            if (size > pool.most_vms) {
                this->report("/pools/" + name + "/vms", std::to_string(size) + " VMs",
                             "at most " + std::to_string(pool.most_vms) + " by most_vms");
            }
        }
    }

    void check_racks()
    {
        std::map<std::string, std::string> zone_of_rack;
        for (const auto& [name, zone] : this->checked.typed.zones) {
            for (const auto& [rack_name, rack] : zone.racks) {
                const auto [other, first] = zone_of_rack.emplace(rack_name, name);
                if (!first) {
                    this->report("/zones/" + name + "/racks/" + rack_name,
                                 "a rack that is also in zone \"" + other->second + "\"",
                                 "each rack in one availability zone");
                }
            }
        }
    }

    void check_queue(const std::string& path, const queue& each)
    {
        this->require_workspace(path, each.workspace);
        this->require(path, "pool", each.pool, this->checked.typed.pools, "a pool");
        if (each.open && !each.open_team.empty()) {
            this->require(path, "open_team", each.open_team, this->checked.typed.teams, "a team");
        }
    }

    void require_workspace(const std::string& path, const std::string& name)
    {
        this->require(path, "workspace", name, this->checked.typed.workspaces, "a workspace");
    }

    template <typename Named>
    void require(const std::string& path, const std::string& field, const std::string& name,
                 const std::map<std::string, Named>& named, const std::string& kind)
    {
        if (name.empty() || named.contains(name)) {
            return;
        }
        std::string known;
        for (const auto& item : named) {
            known += (known.empty() ? "" : ", ") + item.first;
        }
        this->report(path + "/" + field, "\"" + name + "\"",
                     kind + " that exists: " + (known.empty() ? "none does" : known));
    }

    void report(const std::string& path, std::string found, std::string allowed)
    {
        std::string file = path;
        for (const auto& [name, each] : this->tree) {
            if (path == name || path.starts_with(name + "/")) {
                file = each.file;
            }
        }
        this->checked.problems.push_back({file, path, std::move(found), std::move(allowed)});
    }

    const document_tree& tree;
    checked_tree& checked;
};

std::vector<std::string> path_parts(const std::string& path)
{
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

void read_document(const std::string& path, const document& each, checked_tree& checked)
{
    const document_location where{each.file, path};
    const std::vector<std::string> parts = path_parts(path);
    const std::string& kind = parts.front();
    for (const std::string& part : parts) {
        if (!is_name(part)) {
            checked.problems.push_back({each.file, path, "\"" + part + "\"",
                                        "names of lower-case letters, digits and hyphens"});
            return;
        }
    }
    snapshot& typed = checked.typed;
    if (path == "/fleet") {
        typed.whole_fleet = read_fleet(each.value, where, checked.problems);
    } else if (kind == "zones" && parts.size() == 2) {
        typed.zones[parts[1]] = read_zone(each.value, where, checked.problems);
    } else if (kind == "pools" && parts.size() == 2) {
        typed.pools[parts[1]] = read_pool(each.value, where, checked.problems);
    } else if (kind == "workspaces" && parts.size() == 2) {
        typed.workspaces[parts[1]] = read_workspace(each.value, where, checked.problems);
    } else if (kind == "queues" && parts.size() == 2) {
        typed.queues[parts[1]] = read_queue(each.value, where, checked.problems);
    } else if (kind == "teams" && parts.size() == 3 && parts[2] == "rules") {
        typed.teams[parts[1]] = read_team(each.value, where, checked.problems);
    } else if (kind == "teams" && parts.size() == 3 && parts[2] == "keys") {
        typed.keys[parts[1]] = read_keys(each.value, where, checked.problems);
    } else {
        checked.problems.push_back(
            {each.file, path, "an unknown document",
             "/fleet, /zones/ZONE, /pools/POOL, /workspaces/WORKSPACE, /queues/QUEUE, "
             "/teams/TEAM/rules or /teams/TEAM/keys"});
    }
}

} // namespace

checked_tree check_tree(const document_tree& tree)
{
    checked_tree checked;
    for (const auto& [path, each] : tree) {
        read_document(path, each, checked);
    }
    reference_checker(tree, checked).check_all();
    std::sort(checked.problems.begin(), checked.problems.end());
    return checked;
}

std::vector<problem> check_transition(const snapshot& before, const snapshot& after)
{
    std::vector<problem> problems;
    for (const auto& [team, keys] : before.keys) {
        const auto keys_after = after.keys.find(team);
        for (const auto& [id, key] : keys) {
            const std::string path = "/teams/" + team + "/keys/" + id;
            const bool missing = keys_after == after.keys.end() || !keys_after->second.contains(id);
            if (missing) {
                problems.push_back(
                    {path, path, "a key that was removed", "keys are withdrawn, never removed"});
            } else if (key.state == key_state::withdrawn &&
                       keys_after->second.at(id).state == key_state::active) {
                problems.push_back({path, path, "a withdrawn key that was reactivated",
                                    "a withdrawn key stays withdrawn"});
            }
        }
    }
    return problems;
}

} // namespace chervilslip::settings
