#include "teams/fair_share.h"

#include <algorithm>

namespace chervilslip::teams {

namespace {

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

resources usage_of(const std::map<std::string, resources>& by_team, const std::string& team)
{
    const auto found = by_team.find(team);
    return found == by_team.end() ? resources{} : found->second;
}

} // namespace

resources& resources::operator+=(const resources& other)
{
    this->processors += other.processors;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    this->slots += other.slots;
    return *this;
}

resources& resources::operator-=(const resources& other)
{
    this->processors -= other.processors;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    this->slots -= other.slots;
    return *this;
}

bool resources::can_fit(const resources& part) const
{
    return part.processors <= this->processors && part.memory_mb <= this->memory_mb &&
           part.accelerators <= this->accelerators && part.slots <= this->slots;
}

resources resources_of(const settings::task_size& size)
{
    return {size.processors, size.memory_mb, size.accelerators, 1};
}

void fair_share::set_capacity(const resources& total)
{
    this->capacity = total;
}

void fair_share::set_weight(const std::string& team, double weight)
{
    this->weights[team] = weight;
}

void fair_share::add_running(const std::string& team, const resources& task)
{
    this->local[team] += task;
}

void fair_share::remove_running(const std::string& team, const resources& task)
{
    this->local[team] -= task;
}

void fair_share::set_remote_running(std::map<std::string, resources> by_team)
{
    this->remote = std::move(by_team);
}

double fair_share::weighted_dominant_share(const std::string& team) const
{
    return this->weighted_dominant_share_with(team, {});
}

double fair_share::weighted_dominant_share_with(const std::string& team,
                                                const resources& more) const
{
    resources used = usage_of(this->local, team);
    used += usage_of(this->remote, team);
    used += more;
    const double dominant = std::max({fraction(used.processors, this->capacity.processors),
                                      fraction(used.memory_mb, this->capacity.memory_mb),
                                      fraction(used.accelerators, this->capacity.accelerators),
                                      fraction(used.slots, this->capacity.slots)});
    const auto weight = this->weights.find(team);
    return dominant / (weight == this->weights.end() ? 1.0 : weight->second);
}

const std::map<std::string, resources>& fair_share::local_running() const
{
    return this->local;
}

} // namespace chervilslip::teams
