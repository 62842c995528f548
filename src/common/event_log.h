#pragma once

#include <array>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace chervilslip::common {

/// How urgent a log event is.
enum class severity { info, warning, alarm };

/// The numbers of all log events; docs/EVENTS.md explains each.
enum class event_id {
    node_started = 1001,
    node_ready = 1002,
    node_stopping = 1003,
    node_stopped = 1004,
    node_settings_invalid = 1005,
    listen_failed = 1006,
    settings_in_force = 2001,
    settings_change_accepted = 2002,
    settings_change_refused = 2003,
    settings_older_revision = 2004,
    settings_invalid_in_store = 2005,
    store_call_failed = 3001,
    store_watch_lost = 3002,
    store_watch_resumed = 3003,
    vm_list_failed = 4001,
    vm_leaving = 4002,
    upstream_ejected = 5001,
    upstream_restored = 5002,
    answer_dropped = 5003,
    request_unknown = 5004,
    invariant_violated = 5005,
    bad_request = 6001,
    connection_refused = 6002,
    peer_refused = 6003,
};

/// One row of the catalogue of log events.
struct event_entry {
    event_id id;
    std::string_view name;
    severity level;
};

inline constexpr std::array<event_entry, 24> event_catalogue{{
    {event_id::node_started, "node_started", severity::info},
    {event_id::node_ready, "node_ready", severity::info},
    {event_id::node_stopping, "node_stopping", severity::info},
    {event_id::node_stopped, "node_stopped", severity::info},
    {event_id::node_settings_invalid, "node_settings_invalid", severity::alarm},
    {event_id::listen_failed, "listen_failed", severity::alarm},
    {event_id::settings_in_force, "settings_in_force", severity::info},
    {event_id::settings_change_accepted, "settings_change_accepted", severity::info},
    {event_id::settings_change_refused, "settings_change_refused", severity::info},
    {event_id::settings_older_revision, "settings_older_revision", severity::alarm},
    {event_id::settings_invalid_in_store, "settings_invalid_in_store", severity::alarm},
    {event_id::store_call_failed, "store_call_failed", severity::warning},
    {event_id::store_watch_lost, "store_watch_lost", severity::warning},
    {event_id::store_watch_resumed, "store_watch_resumed", severity::info},
    {event_id::vm_list_failed, "vm_list_failed", severity::warning},
    {event_id::vm_leaving, "vm_leaving", severity::info},
    {event_id::upstream_ejected, "upstream_ejected", severity::warning},
    {event_id::upstream_restored, "upstream_restored", severity::info},
    {event_id::answer_dropped, "answer_dropped", severity::warning},
    {event_id::request_unknown, "request_unknown", severity::warning},
    {event_id::invariant_violated, "invariant_violated", severity::alarm},
    {event_id::bad_request, "bad_request", severity::info},
    {event_id::connection_refused, "connection_refused", severity::warning},
    {event_id::peer_refused, "peer_refused", severity::warning},
}};

/// Writes numbered events as one JSON object a line through log4cplus.
class event_log {
public:
    /// Sets up log4cplus to write to standard error. Precondition: called once a process, before
    /// other threads start.
    static void initialize(bool quiet);

    /// Makes a log that adds `node` to each event.
    explicit event_log(std::string node);

    /// Writes one event with its fields. Thread safe.
    void write(event_id id, const nlohmann::json& fields) const;

private:
    std::string node;
};

} // namespace chervilslip::common
