#include "daemon/node_registry.h"

namespace chervilslip::daemon {

namespace {

using nlohmann::json;

const std::string registry_key = "/chervilslip/nodes";
constexpr common::milliseconds poll_interval{3000};
constexpr std::chrono::hours entry_lifetime{24}; ///< older entries are removed

json to_json(const membership::member& node, std::int64_t at_ms)
{
    return {{"zone", node.zone},
            {"address", node.address},
            {"incarnation", node.incarnation},
            {"at_ms", at_ms}};
}

} // namespace

node_registry::node_registry(store::etcd_client& client, const common::clock& time_source,
                             const common::event_log& events, common::random_source& random_numbers,
                             membership::member own, node_handler on_member)
    : store(client), clock(time_source), log(events), random(random_numbers), self(std::move(own)),
      handler(std::move(on_member))
{
}

void node_registry::start()
{
    this->read_document();
    this->schedule_poll();
}

void node_registry::stop()
{
    this->stopped = true;
}

void node_registry::schedule_poll()
{
    const auto delay = std::chrono::duration_cast<common::milliseconds>(
        poll_interval * (0.5 + this->random.unit()));
    this->store.after(delay, [this] {
        if (!this->stopped) {
            this->poll();
            this->schedule_poll();
        }
    });
}

void node_registry::poll()
{
    this->store.read_revision(registry_key, store::purpose::registry,
                              [this](const common::result<std::int64_t>& revision) {
                                  if (!this->stopped && revision &&
                                      revision.value() != this->known_revision) {
                                      this->read_document();
                                  }
                              });
}

void node_registry::read_document()
{
    this->store.read(registry_key, store::purpose::registry,
                     [this](const common::result<std::optional<store::versioned_value>>& found) {
                         if (this->stopped) {
                             return;
                         }
                         if (!found) {
                             this->log.write(common::event_id::store_call_failed,
                                             {{"error", found.error().to_string()}});
                             return;
                         }
                         this->apply(found.value());
                     });
}

void node_registry::apply(const std::optional<store::versioned_value>& value)
{
    json nodes = value ? json::parse(value->value, nullptr, false) : json::object();
    if (!nodes.is_object()) {
        nodes = json::object();
    }
    this->known_revision = value ? value->revision : store::no_revision;
    for (const auto& item : nodes.items()) {
        const json& each = item.value();
        this->handler({item.key(), each.value("zone", std::string{}),
                       each.value("address", std::string{}),
                       each.value("incarnation", std::int64_t{0})});
    }
    const bool registered =
        nodes.contains(this->self.name) &&
        nodes.at(this->self.name).value("incarnation", std::int64_t{0}) == this->self.incarnation;
    if (!registered) {
        this->write(value, std::move(nodes));
    }
}

void node_registry::write(const std::optional<store::versioned_value>& value, json nodes)
{
    const std::int64_t now_ms = common::unix_milliseconds(this->clock.wall_now());
    const std::int64_t oldest_ms =
        now_ms - std::chrono::duration_cast<common::milliseconds>(entry_lifetime).count();
    json kept = json::object();
    for (const auto& item : nodes.items()) {
        if (item.value().value("at_ms", std::int64_t{0}) >= oldest_ms) {
            kept[item.key()] = item.value();
        }
    }
    kept[this->self.name] = to_json(this->self, now_ms);
    // A running node whose entry was removed registers itself again with its next poll.
    // A lost response or a lost race is detected by the next poll, which then writes again.
    this->store.compare_and_swap(
        {registry_key, value ? value->revision : store::no_revision, kept.dump(), store::no_lease},
        store::purpose::registry, [this](const common::result<store::swap_outcome>& outcome) {
            if (!this->stopped && outcome && !outcome.value().swapped) {
                this->read_document();
            }
        });
}

} // namespace chervilslip::daemon
