#include "daemon/fleet_controller.h"

#include <boost/asio/steady_timer.hpp>

#include "daemon/store_keys.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// State of a holder's VM orders as recorded in the store.
constexpr std::string_view open_state = "open";
constexpr std::string_view closed_state = "closed";

/// Interval between reads of the VM list, whether or not a wave is running. Reading it costs time
/// for each VM, so a long list is read less often.
constexpr common::milliseconds list_interval{500};
constexpr std::size_t vms_per_list_ms = 1;

/// Delay before a failed store call is retried.
constexpr common::milliseconds store_retry_delay{200};

/// Interval between planning rounds.
constexpr common::milliseconds plan_interval{100};

/// A move without an answer is ordered again at this interval.
constexpr common::milliseconds repeat_interval{500};

/// Each plan looks at all VMs, so the interval grows by a millisecond for so many of them.
constexpr std::size_t vms_per_plan_ms = 10;

/// Waves whose progress fits into one transaction: each takes a condition and a value, beside the
/// condition on the claim.
constexpr std::size_t max_waves_per_write = 15;

} // namespace

fleet_controller::fleet_controller(fleet_controller_dependencies injected,
                                   process_identity own_identity, std::int64_t token,
                                   common::steady_time claim_time)
    : dependencies(std::move(injected)),
      self(std::move(own_identity)), fence{this->self.node, token}, claimed_at(claim_time),
      planner(maintenance::wave_options{this->dependencies.options.service_time}),
      pools(fleet::pool_options{})
{
    this->read_wave_progress({});
    this->read_previous_holder();
}

template <typename Action>
void fleet_controller::run_after(common::milliseconds delay, Action action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->dependencies.context, delay);
    const std::weak_ptr<int> alive = this->lifetime;
    timer->async_wait([alive, timer, action](const boost::system::error_code&) {
        if (!alive.expired()) {
            action();
        }
    });
}

void fleet_controller::read_previous_holder()
{
    const std::weak_ptr<int> alive = this->lifetime;
    this->dependencies.store.read(
        std::string(store_keys::vm_orders),
        [this, alive](common::result<std::optional<store::item>> previous) {
            if (alive.expired()) {
                return;
            }
            if (previous) {
                this->handle_previous_holder(previous.value());
                return;
            }
            this->run_after(store_retry_delay, [this] { this->read_previous_holder(); });
        });
}

void fleet_controller::handle_previous_holder(const std::optional<store::item>& previous)
{
    // If there was no previous holder, or it closed, none of its orders can be in flight.
    common::steady_time allowed_from = this->claimed_at;
    if (previous) {
        const auto record = nlohmann::json::parse(previous->value, nullptr, false);
        const bool readable = record.is_array() && record.size() == 3 && record[0].is_string() &&
                              record[1].is_number() && record[2].is_string();
        if (!readable || record[2] != closed_state) {
            allowed_from += this->dependencies.options.handover_delay;
        }
        if (readable && record[2] != closed_state) {
            this->previous_holder =
                process_identity{record[0].get<std::string>(), record[1].get<std::int64_t>()};
        }
    }
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->fence.token});
    changes.set.push_back(
        {std::string(store_keys::vm_orders), this->encode_holder_record(open_state), 0});
    const std::weak_ptr<int> alive = this->lifetime;
    this->dependencies.store.commit(changes, [this, alive, previous, allowed_from](
                                                 common::result<store::commit_outcome> outcome) {
        if (alive.expired()) {
            return;
        }
        if (!outcome) {
            this->run_after(store_retry_delay,
                            [this, previous] { this->handle_previous_holder(previous); });
        } else if (outcome.value().committed) {
            this->orders_allowed_from = allowed_from;
        }
    });
}

std::string fleet_controller::encode_holder_record(std::string_view state) const
{
    return nlohmann::json::array({this->self.node, this->self.incarnation, state}).dump();
}

void fleet_controller::close(std::function<void()> closed)
{
    this->on_closed = std::move(closed);
    this->close_if_done();
}

void fleet_controller::close_if_done()
{
    // The next holder must find in the store every VM that this one has taken down.
    const bool written = !this->writing_progress && this->unsaved_progress.empty();
    if (this->on_closed && this->pending_orders == 0 && written && !this->closing) {
        this->closing = true;
        this->finish_close();
    }
}

void fleet_controller::finish_close()
{
    if (!this->orders_allowed_from) {
        std::exchange(this->on_closed, nullptr)();
        return; // no orders were sent, so the previous holder's record remains
    }
    if (this->dependencies.clock.steady_now() < this->orders_in_flight_until) {
        std::exchange(this->on_closed, nullptr)();
        return; // the next holder has to wait
    }
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->fence.token});
    changes.set.push_back(
        {std::string(store_keys::vm_orders), this->encode_holder_record(closed_state), 0});
    const std::weak_ptr<int> alive = this->lifetime;
    this->dependencies.store.commit(changes, [this, alive](common::result<store::commit_outcome>) {
        // If this write fails, the next holder waits for `handover_delay`, which is harmless.
        if (!alive.expired() && this->on_closed) {
            std::exchange(this->on_closed, nullptr)();
        }
    });
}

void fleet_controller::finish_order(fleet::vm_order_outcome outcome)
{
    --this->pending_orders;
    if (outcome == fleet::vm_order_outcome::unknown) {
        this->orders_in_flight_until =
            this->dependencies.clock.steady_now() + this->dependencies.options.handover_delay;
    }
    this->close_if_done();
}

void fleet_controller::read_wave_progress(const std::string& after)
{
    const std::weak_ptr<int> alive = this->lifetime;
    this->dependencies.store.range(
        std::string(store_keys::waves), after,
        [this, alive, after](common::result<store::range_page> page) {
            if (alive.expired()) {
                return;
            }
            if (!page) {
                this->run_after(store_retry_delay,
                                [this, after] { this->read_wave_progress(after); });
                return;
            }
            for (const store::item& each : page.value().items) {
                this->restore_wave_progress(each);
            }
            if (page.value().more && !page.value().items.empty()) {
                this->read_wave_progress(page.value().items.back().key);
                return;
            }
            this->progress_restored = true;
            this->planner.update_waves(this->waves, this->dependencies.clock.steady_now());
        });
}

void fleet_controller::restore_wave_progress(const store::item& stored)
{
    try {
        const std::int64_t wave = std::stoll(stored.key.substr(store_keys::waves.size()));
        this->progress_revisions[wave] = stored.revision;
        const auto value = nlohmann::json::parse(stored.value);
        const auto started = value.at("serviced").get<std::set<std::string>>();
        const bool completed = value.at("completed").get<bool>();
        this->planner.restore(wave, started, completed, this->dependencies.clock.steady_now());
        this->dependencies.log.write(event_id::wave_restored, {{"wave", wave},
                                                               {"started", started},
                                                               {"completed", completed},
                                                               {"token", this->fence.token}});
    } catch (const std::exception& failure) {
        // Maintenance orders of this wave may be repeated, which is harmless.
        this->dependencies.log.write(event_id::journal_failed,
                                     {{"key", stored.key}, {"error", failure.what()}});
    }
}

void fleet_controller::save_progress(std::int64_t wave, bool completed)
{
    this->unsaved_progress[wave] = completed;
    this->write_progress();
}

void fleet_controller::write_progress()
{
    if (this->writing_progress || this->unsaved_progress.empty()) {
        return;
    }
    // One write at a time, so that an older state never overwrites a newer one.
    this->writing_progress = true;
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->fence.token});
    std::map<std::int64_t, bool> written;
    while (!this->unsaved_progress.empty() && written.size() < max_waves_per_write) {
        written.insert(this->unsaved_progress.extract(this->unsaved_progress.begin()));
    }
    for (const auto& [wave, completed] : written) {
        const std::string key = store_keys::make_key(store_keys::waves, std::to_string(wave));
        const nlohmann::json value{{"serviced", this->planner.started_vms(wave)},
                                   {"completed", completed}};
        // A copy of an earlier write that is executed late must not replace this one.
        changes.expected.push_back({key, this->progress_revisions[wave]});
        changes.set.push_back({key, value.dump(), 0});
    }
    const std::weak_ptr<int> alive = this->lifetime;
    this->dependencies.store.commit(
        changes, [this, alive, written](const common::result<store::commit_outcome>& outcome) {
            if (alive.expired()) {
                return;
            }
            this->writing_progress = false;
            if (this->handle_progress_result(written, outcome)) {
                this->write_progress();
                this->close_if_done();
                return;
            }
            this->unsaved_progress.insert(written.begin(), written.end());
            this->run_after(store_retry_delay, [this] { this->write_progress(); });
        });
}

bool fleet_controller::handle_progress_result(const std::map<std::int64_t, bool>& written,
                                              const common::result<store::commit_outcome>& outcome)
{
    if (!outcome) {
        this->dependencies.log.write(event_id::journal_failed,
                                     {{"error", outcome.error().to_string()}});
        return false;
    }
    if (outcome.value().committed) {
        for (const auto& [wave, completed] : written) {
            this->progress_revisions[wave] = outcome.value().revision;
        }
        return true;
    }
    // Either an earlier attempt of this write was executed, or the claim is lost.
    bool claim_held = false;
    std::map<std::string, std::int64_t> revisions;
    for (const store::item& each : outcome.value().current) {
        revisions[each.key] = each.revision;
        claim_held =
            claim_held || (each.key == store_keys::claim && each.revision == this->fence.token);
    }
    for (const auto& [wave, completed] : written) {
        this->progress_revisions[wave] =
            revisions[store_keys::make_key(store_keys::waves, std::to_string(wave))];
    }
    return !claim_held;
}

void fleet_controller::configure(std::shared_ptr<const fleet_configuration> newer)
{
    this->configuration = std::move(newer);
}

void fleet_controller::set_waves(const std::vector<maintenance::wave_request>& requested)
{
    for (const maintenance::wave_request& each : requested) {
        if (each.max_unavailable < 1 && this->blocked_waves.insert(each.number).second) {
            this->dependencies.log.write(event_id::wave_blocked, {{"wave", each.number},
                                                                  {"cap", each.max_unavailable},
                                                                  {"token", this->fence.token}});
        }
    }
    this->waves = requested;
    if (this->progress_restored) {
        this->planner.update_waves(requested, this->dependencies.clock.steady_now());
    }
}

void fleet_controller::tick(common::steady_time now, common::steady_time authority_until)
{
    if (now >= this->next_list && !this->list_pending) {
        this->read_vm_list(now);
    }
    if (this->previous_holder && this->orders_allowed_from &&
        this->dependencies.has_ended(*this->previous_holder)) {
        // Its connections closed with it, which ended the orders that were in flight.
        this->previous_holder.reset();
        this->orders_allowed_from = now;
    }
    if (now < this->next_plan || !this->orders_allowed_from || now < *this->orders_allowed_from ||
        now >= authority_until || this->vms.empty() || this->on_closed) {
        return;
    }
    if (this->vm_list_requested_at < *this->orders_allowed_from) {
        return; // the list may not show what the last orders of the previous holder have done
    }
    this->next_plan =
        now + plan_interval + common::milliseconds(this->vms.size() / vms_per_plan_ms);
    if (this->planner.has_unfinished_wave()) {
        for (const maintenance::wave_step& step :
             this->planner.plan(this->maintenance_view(), now)) {
            this->execute(step, now);
        }
    }
    if (this->dependencies.scheduler.may_order_moves(now)) {
        this->repeat_unanswered_moves(now);
        this->plan_pools(now);
    }
}

std::map<std::string, fleet::pool_vm> fleet_controller::pool_view() const
{
    std::map<std::string, fleet::pool_vm> known;
    for (const fleet::fleet_vm& vm : this->vms) {
        fleet::pool_vm& vm_info = known[vm.name];
        vm_info.pool = vm.pool;
        vm_info.processors = vm.processors;
        vm_info.reserved =
            this->planner.is_draining_or_down(vm.name) || this->zones_to_evacuate.contains(vm.zone);
        const bool on_standby = this->configuration->standby_pools.contains(vm.pool);
        vm_info.up = vm.state == fleet::vm_state::up && on_standby;
    }
    for (const auto& [id, worker] : this->dependencies.scheduler.all_workers()) {
        const auto found = known.find(worker.entry.vm);
        if (found == known.end() || !worker.listed) {
            continue;
        }
        fleet::pool_vm& vm_info = found->second;
        vm_info.pool = worker.entry.pool;
        vm_info.up = worker.token_seen && worker.missed_polls == 0;
        const bool is_withheld = worker.cordoned && !this->pools.is_moving(worker.entry.vm);
        vm_info.reserved =
            vm_info.reserved || worker.entry.draining || worker.evacuated || is_withheld;
        vm_info.idle = worker.runs.empty();
        vm_info.idle_since = worker.idle_since;
    }
    return known;
}

void fleet_controller::plan_pools(common::steady_time now)
{
    if (!this->configuration) {
        return;
    }
    const auto& standby = this->configuration->standby_pools;
    const std::string standby_pool = standby.empty() ? std::string{} : *standby.begin();
    for (const fleet::vm_move& move : this->pools.plan(this->dependencies.scheduler.demand(),
                                                       this->pool_view(), standby_pool, now)) {
        this->order_move(move);
    }
}

void fleet_controller::cordon_vm(const std::string& vm, bool cordoned)
{
    for (const auto& [id, worker] : this->dependencies.scheduler.all_workers()) {
        // A worker that is missing from the registry may be listed again, as it was.
        if (worker.entry.vm == vm && (worker.listed || !cordoned)) {
            this->dependencies.scheduler.set_cordon(id, cordoned);
        }
    }
}

void fleet_controller::evacuate_vm(const std::string& vm, common::steady_time now)
{
    for (const auto& [id, worker] : this->dependencies.scheduler.all_workers()) {
        if (worker.entry.vm == vm && worker.listed) {
            this->dependencies.scheduler.evacuate(id, now);
        }
    }
}

fleet_controller::cordoned_worker
fleet_controller::find_cordoned_worker(const std::string& vm) const
{
    cordoned_worker found = cordoned_worker::none;
    for (const auto& [id, worker] : this->dependencies.scheduler.all_workers()) {
        if (worker.entry.vm == vm && worker.cordoned) {
            if (worker.listed) {
                return cordoned_worker::listed;
            }
            found = cordoned_worker::unlisted;
        }
    }
    return found;
}

void fleet_controller::order_move(const fleet::vm_move& move)
{
    this->cordon_vm(move.vm, true);
    this->send_move(move, false);
}

void fleet_controller::send_move(const fleet::vm_move& move, bool repeated)
{
    const std::weak_ptr<int> alive = this->lifetime;
    ++this->pending_orders;
    this->dependencies.machines.move_vm(
        move.vm, move.to, this->fence,
        [this, alive, move, repeated](fleet::vm_order_outcome vm_outcome) {
            if (alive.expired()) {
                return;
            }
            this->finish_order(vm_outcome);
            const bool accepted = vm_outcome == fleet::vm_order_outcome::accepted;
            this->dependencies.log.write(accepted ? event_id::vm_ordered
                                                  : event_id::vm_order_failed,
                                         {{"vm", move.vm},
                                          {"order", "move"},
                                          {"to", move.to},
                                          {"token", this->fence.token},
                                          {"outcome", fleet::to_string(vm_outcome)}});
            using outcome = fleet::vm_order_outcome;
            // That the repetition was not handled says nothing of the first order.
            if (vm_outcome == outcome::unknown || (repeated && vm_outcome == outcome::try_later)) {
                this->unanswered_moves.push_back(move);
            } else if (!accepted) {
                this->pools.cancel_move(move.vm);
                this->cordon_vm(move.vm, false);
            }
        });
}

/// The answer to the same order tells whether it has been, is being or will never be carried out.
/// Meanwhile the VM stays cordoned, as the first order may still end what runs on it.
void fleet_controller::repeat_unanswered_moves(common::steady_time now)
{
    if (now < this->next_repeat) {
        return;
    }
    this->next_repeat = now + repeat_interval;
    for (const fleet::vm_move& move : std::exchange(this->unanswered_moves, {})) {
        const cordoned_worker worker = this->find_cordoned_worker(move.vm);
        if (worker == cordoned_worker::none) {
            continue; // the worker that it was for is gone
        }
        if (worker == cordoned_worker::unlisted || this->planner.is_draining_or_down(move.vm) ||
            this->is_evacuated(move.vm)) {
            this->unanswered_moves.push_back(move);
        } else {
            this->send_move(move, true);
        }
    }
}

bool fleet_controller::has_unanswered_move(const std::string& vm) const
{
    return std::any_of(this->unanswered_moves.begin(), this->unanswered_moves.end(),
                       [&vm](const fleet::vm_move& each) { return each.vm == vm; });
}

void fleet_controller::read_vm_list(common::steady_time now)
{
    this->list_pending = true;
    this->next_list =
        now + std::max(list_interval, common::milliseconds(this->vms.size() / vms_per_list_ms));
    const std::weak_ptr<int> alive = this->lifetime;
    this->dependencies.machines.list_vms(
        [this, alive, now](common::result<std::vector<fleet::fleet_vm>> listed) {
            if (alive.expired()) {
                return;
            }
            this->list_pending = false;
            if (!listed) {
                this->dependencies.log.write(event_id::vm_list_failed,
                                             {{"error", listed.error().to_string()}});
                return;
            }
            this->vms = std::move(listed.value());
            this->vm_list_requested_at = now;
            this->report_vm_zones();
        });
}

std::map<std::string_view, std::string_view> fleet_controller::listed_workers() const
{
    std::map<std::string_view, std::string_view> vms_by_worker;
    for (const fleet::fleet_vm& vm : this->vms) {
        if (!vm.worker.empty()) {
            vms_by_worker[vm.worker] = vm.name;
        }
    }
    return vms_by_worker;
}

std::map<std::string, maintenance::vm_snapshot> fleet_controller::maintenance_view() const
{
    std::map<std::string, maintenance::vm_snapshot> snapshots;
    for (const fleet::fleet_vm& vm : this->vms) {
        maintenance::vm_snapshot& snapshot = snapshots[vm.name];
        snapshot.up = vm.state == fleet::vm_state::up;
        snapshot.under_maintenance = vm.state == fleet::vm_state::maintenance;
        snapshot.list_requested_at = this->vm_list_requested_at;
    }
    const std::map<std::string_view, std::string_view> vms_by_worker = this->listed_workers();
    for (const auto& [id, worker] : this->dependencies.scheduler.all_workers()) {
        std::string_view vm = worker.entry.vm;
        // Entries may be missing for seconds after an outage of the store. Of their workers the
        // journal names the runs, and the VM list the VMs.
        if (const auto listed = vms_by_worker.find(id);
            vm.empty() && listed != vms_by_worker.end()) {
            vm = listed->second;
        }
        const auto found = snapshots.find(std::string(vm));
        if (found == snapshots.end()) {
            continue;
        }
        found->second.has_worker = true;
        const std::int64_t long_running = this->dependencies.scheduler.lasting_runs(id);
        found->second.long_running += long_running;
        found->second.other_running += static_cast<std::int64_t>(worker.runs.size()) - long_running;
    }
    return snapshots;
}

void fleet_controller::execute(const maintenance::wave_step& step, common::steady_time now)
{
    using kind = maintenance::wave_step::kind;
    switch (step.what) {
    case kind::drain_vm:
        this->cordon_vm(step.vm, true);
        this->evacuate_vm(step.vm, now);
        break;
    case kind::undrain_vm:
        // A move of unknown fate may still take the VM away.
        if (!this->has_unanswered_move(step.vm)) {
            this->cordon_vm(step.vm, false);
        }
        break;
    case kind::start_maintenance:
        this->order_maintenance(step);
        break;
    case kind::save_progress:
        this->log_maintenance_seen(step, now);
        this->save_progress(step.wave, false);
        break;
    case kind::report_running:
    case kind::report_completed:
        this->report(step);
        break;
    }
}

void fleet_controller::log_maintenance_seen(const maintenance::wave_step& step,
                                            common::steady_time now) const
{
    const auto list_age =
        std::chrono::duration_cast<common::milliseconds>(now - this->vm_list_requested_at);
    this->dependencies.log.write(event_id::maintenance_seen, {{"wave", step.wave},
                                                              {"vm", step.vm},
                                                              {"list_age_ms", list_age.count()},
                                                              {"token", this->fence.token}});
}

void fleet_controller::order_maintenance(const maintenance::wave_step& step)
{
    const std::weak_ptr<int> alive = this->lifetime;
    ++this->pending_orders;
    this->dependencies.machines.start_maintenance(
        step.vm, step.wave, this->fence, [this, alive, step](fleet::vm_order_outcome vm_outcome) {
            if (alive.expired()) {
                return;
            }
            using order_result = maintenance::wave_planner::order_outcome;
            const bool accepted = vm_outcome == fleet::vm_order_outcome::accepted;
            this->dependencies.log.write(accepted ? event_id::vm_ordered
                                                  : event_id::vm_order_failed,
                                         {{"vm", step.vm},
                                          {"wave", step.wave},
                                          {"order", "upkeep"},
                                          {"token", this->fence.token},
                                          {"outcome", fleet::to_string(vm_outcome)}});
            order_result what = order_result::try_later;
            if (accepted) {
                what = order_result::accepted;
            } else if (vm_outcome == fleet::vm_order_outcome::invalid ||
                       vm_outcome == fleet::vm_order_outcome::other_wave) {
                what = order_result::permanently_rejected;
            } else if (vm_outcome == fleet::vm_order_outcome::unknown) {
                what = order_result::unknown;
            }
            this->planner.on_order_response(step.wave, step.vm, what,
                                            this->dependencies.clock.steady_now());
            if (accepted) {
                this->save_progress(step.wave, false);
            }
            this->finish_order(vm_outcome);
        });
}

void fleet_controller::report(const maintenance::wave_step& step)
{
    const bool completed = step.what == maintenance::wave_step::kind::report_completed;
    const std::weak_ptr<int> alive = this->lifetime;
    this->dependencies.machines.report_wave(
        step.wave, completed, [this, alive, step, completed](common::result<bool> written) {
            if (alive.expired()) {
                return;
            }
            this->dependencies.log.write(
                event_id::wave_progress,
                {{"wave", step.wave}, {"completed", completed}, {"written", written.has_value()}});
            this->planner.on_report_response(step.wave, completed, written.has_value());
            if (completed && written) {
                this->save_progress(step.wave, true);
            }
        });
}

} // namespace chervilslip::daemon
