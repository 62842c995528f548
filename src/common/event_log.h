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
    lines_dropped = 1007,
    node_reloaded = 1008,
    handler_failed = 1009,
    settings_in_force = 2001,
    settings_change_accepted = 2002,
    settings_change_refused = 2003,
    settings_older_revision = 2004,
    settings_invalid_in_store = 2005,
    store_call_failed = 3001,
    store_watch_lost = 3002,
    store_watch_resumed = 3003,
    store_lost = 3004,
    store_regained = 3005,
    claim_won = 3101,
    claim_lost = 3102,
    claim_seen = 3103,
    takeover_read = 3104,
    journal_failed = 3105,
    owner_behind = 3106,
    admission_changed = 3107,
    admission_unreadable = 3108,
    vm_list_failed = 4001,
    vm_leaving = 4002,
    upstream_ejected = 5001,
    upstream_restored = 5002,
    answer_dropped = 5003,
    request_unknown = 5004,
    invariant_violated = 5005,
    job_accepted = 5101,
    job_refused = 5102,
    job_unknown_fate = 5103,
    job_taken = 5104,
    job_ended = 5105,
    job_cancelled = 5106,
    job_shed = 5107,
    task_started = 5201,
    task_ended = 5202,
    task_lost = 5203,
    start_refused = 5204,
    run_unexpected = 5205,
    reservation_made = 5221,
    reservation_used = 5222,
    reservation_given_up = 5223,
    worker_added = 5301,
    worker_lost = 5302,
    worker_suspected = 5303,
    worker_trusted = 5304,
    worker_entry_unreadable = 5305,
    worker_slow = 5311,
    worker_recovered = 5312,
    vm_ordered = 5401,
    vm_order_failed = 5402,
    wave_progress = 5403,
    wave_restored = 5404,
    maintenance_seen = 5405,
    wave_blocked = 5406,
    team_below_share = 5501,
    evacuation_begun = 5601,
    evacuation_done = 5602,
    evacuation_ended = 5603,
    evacuation_unknown = 5604,
    configuration_in_force = 2101,
    configuration_unreadable = 2102,
    bad_request = 6001,
    connection_refused = 6002,
    peer_refused = 6003,
    peer_avoided = 6004,
    connection_silent = 6005,
};

/// One row of the catalogue of log events.
struct event_entry {
    event_id id;
    std::string_view name;
    severity level;
};

inline constexpr std::array<event_entry, 74> event_catalogue{{
    {event_id::node_started, "node_started", severity::info},
    {event_id::node_ready, "node_ready", severity::info},
    {event_id::node_stopping, "node_stopping", severity::info},
    {event_id::node_stopped, "node_stopped", severity::info},
    {event_id::node_settings_invalid, "node_settings_invalid", severity::alarm},
    {event_id::listen_failed, "listen_failed", severity::alarm},
    {event_id::lines_dropped, "lines_dropped", severity::warning},
    {event_id::node_reloaded, "node_reloaded", severity::info},
    {event_id::handler_failed, "handler_failed", severity::alarm},
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
    {event_id::configuration_in_force, "configuration_in_force", severity::info},
    {event_id::configuration_unreadable, "configuration_unreadable", severity::alarm},
    {event_id::store_lost, "store_lost", severity::warning},
    {event_id::store_regained, "store_regained", severity::info},
    {event_id::claim_won, "claim_won", severity::info},
    {event_id::claim_lost, "claim_lost", severity::warning},
    {event_id::claim_seen, "claim_seen", severity::info},
    {event_id::takeover_read, "takeover_read", severity::info},
    {event_id::journal_failed, "journal_failed", severity::warning},
    {event_id::owner_behind, "owner_behind", severity::warning},
    {event_id::admission_changed, "admission_changed", severity::warning},
    {event_id::admission_unreadable, "admission_unreadable", severity::warning},
    {event_id::job_accepted, "job_accepted", severity::info},
    {event_id::job_refused, "job_refused", severity::info},
    {event_id::job_unknown_fate, "job_unknown_fate", severity::warning},
    {event_id::job_taken, "job_taken", severity::info},
    {event_id::job_ended, "job_ended", severity::info},
    {event_id::job_cancelled, "job_cancelled", severity::info},
    {event_id::job_shed, "job_shed", severity::info},
    {event_id::task_started, "task_started", severity::info},
    {event_id::task_ended, "task_ended", severity::info},
    {event_id::task_lost, "task_lost", severity::warning},
    {event_id::start_refused, "start_refused", severity::warning},
    {event_id::run_unexpected, "run_unexpected", severity::warning},
    {event_id::reservation_made, "reservation_made", severity::info},
    {event_id::reservation_used, "reservation_used", severity::info},
    {event_id::reservation_given_up, "reservation_given_up", severity::info},
    {event_id::worker_added, "worker_added", severity::info},
    {event_id::worker_lost, "worker_lost", severity::warning},
    {event_id::worker_suspected, "worker_suspected", severity::warning},
    {event_id::worker_trusted, "worker_trusted", severity::info},
    {event_id::worker_entry_unreadable, "worker_entry_unreadable", severity::warning},
    {event_id::worker_slow, "worker_slow", severity::warning},
    {event_id::worker_recovered, "worker_recovered", severity::info},
    {event_id::vm_ordered, "vm_ordered", severity::info},
    {event_id::vm_order_failed, "vm_order_failed", severity::warning},
    {event_id::wave_progress, "wave_progress", severity::info},
    {event_id::wave_restored, "wave_restored", severity::info},
    {event_id::maintenance_seen, "maintenance_seen", severity::info},
    {event_id::wave_blocked, "wave_blocked", severity::warning},
    {event_id::team_below_share, "team_below_share", severity::warning},
    {event_id::evacuation_begun, "evacuation_begun", severity::info},
    {event_id::evacuation_done, "evacuation_done", severity::info},
    {event_id::evacuation_ended, "evacuation_ended", severity::info},
    {event_id::evacuation_unknown, "evacuation_unknown", severity::warning},
    {event_id::bad_request, "bad_request", severity::info},
    {event_id::connection_refused, "connection_refused", severity::warning},
    {event_id::peer_refused, "peer_refused", severity::warning},
    {event_id::peer_avoided, "peer_avoided", severity::warning},
    {event_id::connection_silent, "connection_silent", severity::warning},
}};

/// Writes numbered events as one JSON object a line through log4cplus.
class event_log {
public:
    /// Sets up log4cplus to write to a descriptor, standard output unless another is given, without
    /// ever waiting for its reader. Precondition: called before other threads start.
    static void initialize(bool quiet, int descriptor = 1);

    /// Makes a log that adds `node` to each event.
    explicit event_log(std::string node);

    /// Writes one event with its fields, unless its kind has used up its lines a second, or nobody
    /// takes them; dropped lines are counted and reported. Thread safe.
    void write(event_id id, const nlohmann::json& fields) const
    {
        this->write_lazily(id, [&fields]() -> const nlohmann::json& { return fields; });
    }

    /// As `write`, but calls `make_fields` only for a line that is written. For events that are
    /// frequent enough to exceed their budget. Thread safe if `make_fields` is.
    template <typename MakeFields>
    void write_lazily(event_id id, MakeFields make_fields) const
    {
        if (take_line(id)) {
            this->write_line(id, make_fields());
        }
        this->report_drops();
    }

private:
    static bool take_line(event_id id);
    void report_drops() const;
    void write_line(event_id id, const nlohmann::json& fields) const;

    std::string node;
};

} // namespace chervilslip::common
