#include "requests/wait_queue.h"

namespace chervilslip::requests {

void wait_queue::push(const std::string& team, bool urgent, const std::string& id, bool at_front)
{
    team_queues& queues = this->by_team[team];
    auto& entries = urgent ? queues.urgent : queues.normal;
    if (at_front) {
        entries.push_front(id);
    } else {
        entries.push_back(id);
    }
    ++queues.count;
    ++this->total;
}

void wait_queue::remove(const std::string& team, const std::string& id)
{
    this->removed.insert(id);
    --this->by_team[team].count;
    --this->total;
}

std::string wait_queue::front(const std::string& team, bool urgent)
{
    team_queues& queues = this->by_team[team];
    auto& entries = urgent ? queues.urgent : queues.normal;
    while (!entries.empty() && this->removed.contains(entries.front())) {
        this->removed.erase(entries.front());
        entries.pop_front();
    }
    return entries.empty() ? std::string{} : entries.front();
}

void wait_queue::pop(const std::string& team, bool urgent)
{
    team_queues& queues = this->by_team[team];
    auto& entries = urgent ? queues.urgent : queues.normal;
    entries.pop_front();
    --queues.count;
    --this->total;
}

std::vector<std::string> wait_queue::teams_waiting(bool urgent) const
{
    std::vector<std::string> waiting;
    for (const auto& [team, queues] : this->by_team) {
        if (!(urgent ? queues.urgent : queues.normal).empty()) {
            waiting.push_back(team);
        }
    }
    return waiting;
}

std::int64_t wait_queue::size(const std::string& team) const
{
    const auto found = this->by_team.find(team);
    return found == this->by_team.end() ? 0 : found->second.count;
}

std::int64_t wait_queue::size() const
{
    return this->total;
}

} // namespace chervilslip::requests
