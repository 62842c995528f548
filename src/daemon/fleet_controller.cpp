#include "daemon/fleet_controller.h"

#include <boost/asio/steady_timer.hpp>

#include "daemon/store_keys.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// What the store says of a holder's orders for VMs.
constexpr std::string_view open_state = "open";
constexpr std::string_view closed_state = "closed";

/// The list of VMs is read this often while a wave runs, and otherwise.
constexpr common::milliseconds list_period{500};

/// A failed read of what an earlier holder has done is repeated after this time.
constexpr common::milliseconds read_retry{200};

/// Waves are looked at this often.
constexpr common::milliseconds plan_period{100};

} // namespace

fleet_controller::fleet_controller(fleet_parts with, process_name own_name, std::int64_t token,
                                   common::steady_time claimed_at)
    : parts(std::move(with)), self(std::move(own_name)), fence{this->self.node, token},
      won_at(claimed_at), planner(maintenance::wave_options{this->parts.options.service_time}),
      pools(fleet::pool_options{})
{
    this->read_earlier({});
    this->read_last_holder();
}

template <typename Action>
void fleet_controller::later(common::milliseconds delay, Action action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->parts.context, delay);
    const std::weak_ptr<int> alive = this->life;
    timer->async_wait([alive, timer, action](const boost::system::error_code&) {
        if (!alive.expired()) {
            action();
        }
    });
}

void fleet_controller::read_last_holder()
{
    const std::weak_ptr<int> alive = this->life;
    this->parts.store.read(std::string(store_keys::vm_orders),
                           [this, alive](common::result<std::optional<store::item>> last) {
                               if (alive.expired()) {
                                   return;
                               }
                               if (last) {
                                   this->take_last_holder(last.value());
                                   return;
                               }
                               this->later(read_retry, [this] { this->read_last_holder(); });
                           });
}

void fleet_controller::take_last_holder(const std::optional<store::item>& last)
{
    // Without a holder, or after one that closed, nothing of an earlier one is under way.
    common::steady_time from = this->won_at;
    if (last) {
        const auto mark = nlohmann::json::parse(last->value, nullptr, false);
        const bool readable = mark.is_array() && mark.size() == 3 && mark[0].is_string() &&
                              mark[1].is_number() && mark[2].is_string();
        if (!readable || mark[2] != closed_state) {
            from += this->parts.options.handover_delay;
        }
        if (readable && mark[2] != closed_state) {
            this->holder_before =
                process_name{mark[0].get<std::string>(), mark[1].get<std::int64_t>()};
        }
    }
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->fence.token});
    changes.set.push_back({std::string(store_keys::vm_orders), this->mark_of(open_state), 0});
    const std::weak_ptr<int> alive = this->life;
    this->parts.store.commit(
        changes, [this, alive, last, from](common::result<store::commit_outcome> outcome) {
            if (alive.expired()) {
                return;
            }
            if (!outcome) {
                this->later(read_retry, [this, last] { this->take_last_holder(last); });
            } else if (outcome.value().committed) {
                this->orders_from = from;
            }
        });
}

std::string fleet_controller::mark_of(std::string_view state) const
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
    // The next holder must know of every VM that this one has taken down.
    const bool written = !this->writing_progress && this->progress_to_write.empty();
    if (this->on_closed && this->open_orders == 0 && written && !this->closing) {
        this->closing = true;
        this->finish_close();
    }
}

void fleet_controller::finish_close()
{
    if (!this->orders_from) {
        std::exchange(this->on_closed, nullptr)();
        return; // gave none, so the mark of the holder before stays
    }
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->fence.token});
    changes.set.push_back({std::string(store_keys::vm_orders), this->mark_of(closed_state), 0});
    const std::weak_ptr<int> alive = this->life;
    this->parts.store.commit(changes, [this, alive](common::result<store::commit_outcome>) {
        // Without the mark the next holder waits, which does no harm.
        if (!alive.expired() && this->on_closed) {
            std::exchange(this->on_closed, nullptr)();
        }
    });
}

void fleet_controller::order_answered()
{
    --this->open_orders;
    this->close_if_done();
}

void fleet_controller::read_earlier(const std::string& after)
{
    const std::weak_ptr<int> alive = this->life;
    this->parts.store.range(
        std::string(store_keys::waves), after,
        [this, alive, after](common::result<store::range_page> page) {
            if (alive.expired()) {
                return;
            }
            if (!page) {
                this->later(read_retry, [this, after] { this->read_earlier(after); });
                return;
            }
            for (const store::item& each : page.value().items) {
                this->take_earlier(each);
            }
            if (page.value().more && !page.value().items.empty()) {
                this->read_earlier(page.value().items.back().key);
                return;
            }
            this->earlier_read = true;
            this->planner.update_waves(this->waves, this->parts.clock.steady_now());
        });
}

void fleet_controller::take_earlier(const store::item& stored)
{
    try {
        const auto value = nlohmann::json::parse(stored.value);
        this->planner.restore(std::stoll(stored.key.substr(store_keys::waves.size())),
                              value.at("serviced").get<std::set<std::string>>(),
                              value.at("completed").get<bool>());
    } catch (const std::exception& failure) {
        // Orders are repeated then, which does no harm.
        this->parts.log.write(event_id::journal_failed,
                              {{"key", stored.key}, {"error", failure.what()}});
    }
}

void fleet_controller::keep_progress(std::int64_t wave, bool completed)
{
    this->progress_to_write[wave] = completed;
    this->write_progress();
}

void fleet_controller::write_progress()
{
    if (this->writing_progress || this->progress_to_write.empty()) {
        return;
    }
    // One write at a time, so that an older state never follows a newer one.
    this->writing_progress = true;
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->fence.token});
    const auto written = std::exchange(this->progress_to_write, {});
    for (const auto& [wave, completed] : written) {
        const nlohmann::json value{{"serviced", this->planner.started_vms(wave)},
                                   {"completed", completed}};
        changes.set.push_back(
            {store_keys::of(store_keys::waves, std::to_string(wave)), value.dump(), 0});
    }
    const std::weak_ptr<int> alive = this->life;
    this->parts.store.commit(
        changes, [this, alive, written](common::result<store::commit_outcome> outcome) {
            if (alive.expired()) {
                return;
            }
            this->writing_progress = false;
            if (!outcome) {
                this->parts.log.write(event_id::journal_failed,
                                      {{"error", outcome.error().to_string()}});
                this->progress_to_write.insert(written.begin(), written.end());
                this->later(read_retry, [this] { this->write_progress(); });
                return;
            }
            this->write_progress();
            this->close_if_done();
        });
}

void fleet_controller::configure(std::shared_ptr<const fleet_configuration> newer)
{
    this->configuration = std::move(newer);
}

void fleet_controller::see_waves(const std::vector<maintenance::wave_request>& asked)
{
    this->waves = asked;
    if (this->earlier_read) {
        this->planner.update_waves(asked, this->parts.clock.steady_now());
    }
}

void fleet_controller::tick(common::steady_time now, common::steady_time authority_until)
{
    if (now >= this->next_list && !this->list_open) {
        this->read_list(now);
    }
    if (this->holder_before && this->orders_from && this->parts.has_ended(*this->holder_before)) {
        // Its connections ended with it, and with them the orders that were under way.
        this->holder_before.reset();
        this->orders_from = now;
    }
    if (now < this->next_plan || !this->orders_from || now < *this->orders_from ||
        now >= authority_until || this->vms.empty() || this->on_closed) {
        return;
    }
    this->next_plan = now + plan_period;
    for (const maintenance::wave_step& step : this->planner.plan(this->view(), now)) {
        this->carry_out(step, now);
    }
    this->plan_pools(now);
}

std::map<std::string, fleet::pool_vm> fleet_controller::facts() const
{
    std::map<std::string, fleet::pool_vm> known;
    for (const fleet::fleet_vm& vm : this->vms) {
        fleet::pool_vm& fact = known[vm.name];
        fact.pool = vm.pool;
        fact.processors = vm.processors;
        fact.reserved = this->planner.is_draining_or_down(vm.name);
        const bool parked = this->configuration->standby_pools.contains(vm.pool);
        fact.up = vm.state == fleet::vm_state::up && parked;
    }
    for (const auto& [id, worker] : this->parts.scheduler.all_workers()) {
        const auto found = known.find(worker.entry.vm);
        if (found == known.end() || !worker.listed) {
            continue;
        }
        fleet::pool_vm& fact = found->second;
        fact.pool = worker.entry.pool;
        fact.up = worker.token_seen && worker.missed_polls == 0;
        fact.reserved = fact.reserved || worker.entry.draining;
        fact.idle = worker.runs.empty();
        fact.idle_since = worker.idle_since;
    }
    return known;
}

void fleet_controller::plan_pools(common::steady_time now)
{
    if (!this->configuration) {
        return;
    }
    const auto& standby = this->configuration->standby_pools;
    const std::string parking = standby.empty() ? std::string{} : *standby.begin();
    for (const fleet::vm_move& move :
         this->pools.plan(this->parts.scheduler.demand(), this->facts(), parking, now)) {
        this->order_move(move);
    }
}

void fleet_controller::cordon_vm(const std::string& vm, bool cordoned)
{
    for (const auto& [id, worker] : this->parts.scheduler.all_workers()) {
        if (worker.entry.vm == vm && worker.listed) {
            this->parts.scheduler.set_cordon(id, cordoned);
        }
    }
}

void fleet_controller::evacuate_vm(const std::string& vm, common::steady_time now)
{
    for (const auto& [id, worker] : this->parts.scheduler.all_workers()) {
        if (worker.entry.vm == vm && worker.listed) {
            this->parts.scheduler.evacuate(id, now);
        }
    }
}

void fleet_controller::order_move(const fleet::vm_move& move)
{
    this->cordon_vm(move.vm, true);
    const std::weak_ptr<int> alive = this->life;
    ++this->open_orders;
    this->parts.machines.move_vm(
        move.vm, move.to, this->fence, [this, alive, move](fleet::vm_order_outcome verdict) {
            if (alive.expired()) {
                return;
            }
            this->order_answered();
            const bool accepted = verdict == fleet::vm_order_outcome::accepted;
            this->parts.log.write(accepted ? event_id::vm_ordered : event_id::vm_order_failed,
                                  {{"vm", move.vm},
                                   {"order", "move"},
                                   {"to", move.to},
                                   {"token", this->fence.token},
                                   {"outcome", fleet::to_string(verdict)}});
            // Without an answer the VM may still go: it stays out of use until it is seen again.
            if (!accepted && verdict != fleet::vm_order_outcome::unknown) {
                this->pools.cancel_move(move.vm);
                this->cordon_vm(move.vm, false);
            }
        });
}

void fleet_controller::read_list(common::steady_time now)
{
    this->list_open = true;
    this->next_list = now + list_period;
    const std::weak_ptr<int> alive = this->life;
    this->parts.machines.list_vms(
        [this, alive, now](common::result<std::vector<fleet::fleet_vm>> listed) {
            if (alive.expired()) {
                return;
            }
            this->list_open = false;
            if (!listed) {
                this->parts.log.write(event_id::vm_list_failed,
                                      {{"error", listed.error().to_string()}});
                return;
            }
            this->vms = std::move(listed.value());
            this->list_asked_at = now;
        });
}

std::map<std::string, maintenance::vm_snapshot> fleet_controller::view() const
{
    std::map<std::string, maintenance::vm_snapshot> seen;
    for (const fleet::fleet_vm& vm : this->vms) {
        maintenance::vm_snapshot& one = seen[vm.name];
        one.up = vm.state == fleet::vm_state::up;
        one.under_maintenance = vm.state == fleet::vm_state::maintenance;
        one.list_requested_at = this->list_asked_at;
    }
    for (const auto& [id, worker] : this->parts.scheduler.all_workers()) {
        const auto found = seen.find(worker.entry.vm);
        if (found == seen.end()) {
            continue;
        }
        found->second.has_worker = true;
        const std::int64_t long_running = this->parts.scheduler.lasting_runs(id);
        found->second.long_running += long_running;
        found->second.other_running += static_cast<std::int64_t>(worker.runs.size()) - long_running;
    }
    return seen;
}

void fleet_controller::carry_out(const maintenance::wave_step& step, common::steady_time now)
{
    using kind = maintenance::wave_step::kind;
    switch (step.what) {
    case kind::drain_vm:
    case kind::undrain_vm:
        this->cordon_vm(step.vm, step.what == kind::drain_vm);
        if (step.what == kind::drain_vm) {
            this->evacuate_vm(step.vm, now);
        }
        break;
    case kind::start_maintenance:
        this->order_service(step);
        break;
    case kind::report_running:
    case kind::report_completed:
        this->report(step);
        break;
    }
}

void fleet_controller::order_service(const maintenance::wave_step& step)
{
    const std::weak_ptr<int> alive = this->life;
    ++this->open_orders;
    this->parts.machines.start_maintenance(
        step.vm, step.wave, this->fence, [this, alive, step](fleet::vm_order_outcome verdict) {
            if (alive.expired()) {
                return;
            }
            using fate = maintenance::wave_planner::order_outcome;
            const bool accepted = verdict == fleet::vm_order_outcome::accepted;
            this->parts.log.write(accepted ? event_id::vm_ordered : event_id::vm_order_failed,
                                  {{"vm", step.vm},
                                   {"wave", step.wave},
                                   {"order", "upkeep"},
                                   {"token", this->fence.token},
                                   {"outcome", fleet::to_string(verdict)}});
            fate what = fate::try_later;
            if (accepted) {
                what = fate::accepted;
            } else if (verdict == fleet::vm_order_outcome::invalid ||
                       verdict == fleet::vm_order_outcome::other_wave) {
                what = fate::permanently_rejected;
            } else if (verdict == fleet::vm_order_outcome::unknown) {
                what = fate::unknown;
            }
            this->planner.on_order_response(step.wave, step.vm, what,
                                            this->parts.clock.steady_now());
            if (accepted) {
                this->keep_progress(step.wave, false);
            }
            this->order_answered();
        });
}

void fleet_controller::report(const maintenance::wave_step& step)
{
    const bool completed = step.what == maintenance::wave_step::kind::report_completed;
    const std::weak_ptr<int> alive = this->life;
    this->parts.machines.report_wave(
        step.wave, completed, [this, alive, step, completed](common::result<bool> written) {
            if (alive.expired()) {
                return;
            }
            this->parts.log.write(
                event_id::wave_progress,
                {{"wave", step.wave}, {"completed", completed}, {"written", written.has_value()}});
            this->planner.on_report_response(step.wave, completed, written.has_value());
            if (completed && written) {
                this->keep_progress(step.wave, true);
            }
        });
}

} // namespace chervilslip::daemon
