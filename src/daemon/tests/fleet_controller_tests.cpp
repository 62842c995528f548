#include "daemon/fleet_controller.h"
#include "daemon/store_keys.h"
#include "fakes/revision_store.h"
#include "scheduling/tests/scheduler_fixture.h"

namespace {

using namespace chervilslip;
using namespace chervilslip::scheduling::tests;
using fleet::vm_order_outcome;

/// In-memory store that answers at once.
class memory_store final : public store::transactional_store {
public:
    void read(const std::string& key, store::handler<std::optional<store::item>> done) override
    {
        done(this->items.read(key));
    }

    void range(const std::string& prefix, const std::string& after,
               store::handler<store::range_page> done) override
    {
        done(this->items.range(prefix, after));
    }

    void watch(const std::string&, std::int64_t, common::milliseconds,
               store::handler<store::change_page>) override
    {
    }

    void commit(const store::transaction& changes,
                store::handler<store::commit_outcome> done) override
    {
        this->commits.push_back(changes);
        done(this->items.commit(changes));
    }

    void grant(common::milliseconds, store::handler<store::lease_grant>) override
    {
    }

    void renew(std::uint64_t, store::handler<common::milliseconds>) override
    {
    }

    void end_lease(std::uint64_t, store::handler<bool>) override
    {
    }

    fakes::revision_store items;
    std::vector<store::transaction> commits;
};

/// Answers each move with the same outcome.
class fake_vm_control final : public fleet::vm_control {
public:
    void list_vms(std::function<void(common::result<std::vector<fleet::fleet_vm>>)> done) override
    {
        if (this->is_listing) {
            done(this->vms);
        } else {
            done(common::make_error(common::errc::unavailable, "list VMs", "", "status 429"));
        }
    }

    void move_vm(const std::string& vm, const std::string& pool, const fleet::order_fence&,
                 std::function<void(vm_order_outcome)> done) override
    {
        this->moves.push_back({vm, pool});
        if (this->is_slow) {
            this->held = std::move(done);
        } else {
            done(this->outcome);
        }
    }

    void start_maintenance(const std::string& vm, std::int64_t, const fleet::order_fence&,
                           std::function<void(vm_order_outcome)> done) override
    {
        this->maintained.push_back(vm);
        done(vm_order_outcome::accepted);
    }

    void report_wave(std::int64_t, bool, std::function<void(common::result<bool>)>) override
    {
    }

    [[nodiscard]] bool has_moved(const std::string& vm, const std::string& pool) const
    {
        return std::count(this->moves.begin(), this->moves.end(), fleet::vm_move{vm, pool}) > 0;
    }

    std::vector<fleet::fleet_vm> vms;
    std::vector<fleet::vm_move> moves;
    std::vector<std::string> maintained;
    bool is_listing = true;
    bool is_slow = false;
    std::function<void(vm_order_outcome)> held; ///< of the latest move
    vm_order_outcome outcome = vm_order_outcome::unknown;
};

/// A pool "main" of one idle worker, and a VM in the standby pool "parked".
struct controlled_fleet {
    /// `previous_holder` is its record in the store; empty: there was none. `stored` are the jobs
    /// of earlier owners.
    explicit controlled_fleet(const std::string& previous_holder = {},
                              std::vector<scheduling::stored_job> stored = {})
        : fixture({make_worker("w1")}, std::move(stored))
    {
        if (!previous_holder.empty()) {
            cr_assert(
                this->store.items
                    .commit({{},
                             {{std::string(daemon::store_keys::vm_orders), previous_holder, 0}},
                             {}})
                    .has_value());
        }
        fleet::fleet_vm working;
        working.name = "vm-w1";
        working.pool = "main";
        working.state = fleet::vm_state::up;
        working.processors = 4000;
        fleet::fleet_vm spare = working;
        spare.name = "vm-spare";
        spare.pool = "parked";
        this->machines.vms = {working, spare};
        const auto claimed =
            this->store.items.commit({{}, {{std::string(daemon::store_keys::claim), "", 0}}, {}});
        this->controller = std::make_unique<daemon::fleet_controller>(
            daemon::fleet_controller_dependencies{
                this->context,
                this->clock,
                this->log,
                this->store,
                this->machines,
                this->fixture.under_test,
                [](const daemon::process_identity&) { return false; },
                {}},
            daemon::process_identity{"n1", 1}, claimed.value().revision, time_at(0));
        auto configuration = std::make_shared<daemon::fleet_configuration>();
        configuration->standby_pools = {"parked"};
        this->controller->configure(configuration);
        this->fixture.answer_first_polls();
    }

    /// Lets time pass, with a look at the fleet each 100 ms.
    void run_until(std::int64_t end_ms)
    {
        while (this->fixture.now_ms < end_ms) {
            this->fixture.advance(this->fixture.now_ms + 100);
            if (this->answers_polls && this->fixture.polls.contains("w1")) {
                this->fixture.answer_poll("w1", this->running);
            }
            this->controller->tick(this->fixture.now(), time_at(1'000'000));
        }
    }

    /// Closes the controller and returns whether the next holder may give orders at once.
    bool close()
    {
        bool closed = false;
        this->controller->close([&closed] { closed = true; });
        cr_assert(closed);
        const auto record = this->store.items.read(std::string(daemon::store_keys::vm_orders));
        return record->value.find("closed") != std::string::npos;
    }

    [[nodiscard]] bool is_cordoned() const
    {
        return this->fixture.under_test.all_workers().at("w1").cordoned;
    }

    scheduler_fixture fixture;
    std::vector<scheduling::reported_run> running;
    bool answers_polls = true;
    boost::asio::io_context context;
    common::real_clock clock;
    common::event_log log{"n1"};
    memory_store store;
    fake_vm_control machines;
    std::unique_ptr<daemon::fleet_controller> controller;
};

} // namespace

Test(fleet_controller, a_vm_whose_move_was_not_answered_works_again_once_the_order_is_refused)
{
    // given
    controlled_fleet fleet;
    fleet.run_until(2000);
    cr_assert(fleet.machines.has_moved("vm-w1", "parked"));
    cr_assert(fleet.is_cordoned());

    // when
    fleet.fixture.submit_job(make_job("j1"));
    fleet.machines.outcome = vm_order_outcome::try_later;
    fleet.run_until(3000);
    cr_assert(fleet.is_cordoned());
    fleet.machines.outcome = vm_order_outcome::busy;
    fleet.run_until(4000);

    // then
    cr_assert_not(fleet.is_cordoned());
    cr_assert(fleet.fixture.starts.size() == 1);
}

Test(fleet_controller, a_vm_whose_move_is_still_unanswered_is_no_supply_of_its_pool)
{
    // given: no other VM for the job
    controlled_fleet fleet;
    const fleet::fleet_vm spare = fleet.machines.vms.back();
    fleet.machines.vms.pop_back();
    fleet.run_until(2000);
    cr_assert(fleet.is_cordoned());
    fleet.fixture.submit_job(make_job("j1"));
    fleet.run_until(8000);

    // when
    fleet.machines.vms.push_back(spare);
    fleet.run_until(9000);

    // then
    cr_assert(fleet.machines.has_moved("vm-spare", "main"));
}

Test(fleet_controller, an_unanswered_move_is_not_repeated_for_the_next_worker_of_the_vm)
{
    // given
    controlled_fleet fleet;
    fleet.run_until(2000);
    cr_assert(fleet.is_cordoned());

    // when
    scheduling::worker_entry next = make_worker("w2");
    next.vm = "vm-w1";
    next.instance.started_at_ms = 2;
    fleet.fixture.under_test.update_workers({next}, fleet.fixture.now());
    const auto orders = fleet.machines.moves.size();
    fleet.run_until(3000);

    // then
    cr_assert(fleet.machines.moves.size() == orders);
}

Test(fleet_controller, an_unanswered_move_is_not_forgotten_while_its_worker_is_not_listed)
{
    // given
    controlled_fleet fleet;
    fleet.run_until(2000);
    cr_assert(fleet.is_cordoned());

    // when: the worker's entry expires and is back before the worker has answered its poll
    fleet.answers_polls = false;
    fleet.run_until(2100);
    const auto orders = fleet.machines.moves.size();
    fleet.fixture.under_test.update_workers({}, fleet.fixture.now());
    fleet.run_until(3000);
    cr_assert(fleet.machines.moves.size() == orders);
    fleet.fixture.under_test.update_workers(fleet.fixture.listed, fleet.fixture.now());
    fleet.answers_polls = true;
    fleet.machines.outcome = vm_order_outcome::busy;
    fleet.run_until(4000);

    // then
    cr_assert(fleet.machines.moves.size() > orders);
    cr_assert_not(fleet.is_cordoned());
}

Test(fleet_controller, a_vm_does_not_stay_cordoned_if_its_move_is_refused_while_it_is_not_listed)
{
    // given
    controlled_fleet fleet;
    fleet.machines.is_slow = true;
    fleet.run_until(2000);
    cr_assert(fleet.is_cordoned());

    // when
    fleet.answers_polls = false;
    fleet.run_until(2100);
    fleet.fixture.under_test.update_workers({}, fleet.fixture.now());
    fleet.machines.held(vm_order_outcome::busy);
    fleet.fixture.under_test.update_workers(fleet.fixture.listed, fleet.fixture.now());

    // then
    cr_assert_not(fleet.is_cordoned());
}

Test(fleet_controller, no_order_follows_from_a_list_older_than_the_orders_of_the_previous_holder)
{
    // given: a holder that may still have orders in flight, until 3300 ms
    controlled_fleet fleet(R"(["n2", 1, "open"])");
    fleet.run_until(3000);
    fleet.machines.is_listing = false;

    // when
    fleet.run_until(6000);

    // then
    cr_assert(fleet.machines.moves.empty());
    fleet.machines.is_listing = true;
    fleet.run_until(7000);
    cr_assert(fleet.machines.has_moved("vm-w1", "parked"));
}

Test(fleet_controller, a_late_copy_of_a_write_does_not_undo_the_progress_of_a_wave)
{
    // given: two VMs whose maintenance has started, each of which was stored
    controlled_fleet fleet;
    fleet.controller->set_waves({{7, {"vm-w1", "vm-spare"}, std::chrono::seconds(20), 2}});
    fleet.run_until(1000);
    const std::string key = daemon::store_keys::make_key(daemon::store_keys::waves, "7");
    std::vector<store::transaction> writes;
    std::copy_if(fleet.store.commits.begin(), fleet.store.commits.end(), std::back_inserter(writes),
                 [&key](const store::transaction& each) {
                     return !each.set.empty() && each.set.front().key == key;
                 });
    cr_assert(writes.size() == 2);

    // when, then
    cr_assert_not(fleet.store.items.commit(writes.front()).value().committed);
    cr_assert(fleet.store.items.read(key)->value.find("vm-w1") != std::string::npos);
    cr_assert(fleet.store.items.read(key)->value.find("vm-spare") != std::string::npos);
}

Test(fleet_controller, an_order_without_an_answer_is_not_recorded_as_ended)
{
    // given
    controlled_fleet fleet;
    fleet.run_until(2000);
    cr_assert(fleet.machines.has_moved("vm-w1", "parked"));

    // when, then
    cr_assert_not(fleet.close());
}

Test(fleet_controller, the_next_holder_may_begin_at_once_after_orders_that_were_answered)
{
    controlled_fleet fleet;
    fleet.machines.outcome = vm_order_outcome::accepted;
    fleet.run_until(2000);
    cr_assert(fleet.machines.has_moved("vm-w1", "parked"));
    cr_assert(fleet.close());
}

// Guards against moves of VMs in a zone under evacuation, also such as were ordered before.
Test(fleet_controller, no_vm_of_an_evacuated_zone_is_moved)
{
    for (const bool ordered_before : {false, true}) {
        // given
        controlled_fleet fleet;
        fleet.machines.vms[0].zone = "a";
        fleet.run_until(ordered_before ? 2000 : 0);
        const auto orders = fleet.machines.moves.size();
        cr_assert(ordered_before == (orders > 0));

        // when
        fleet.controller->set_evacuated_zones({{"a"}});
        fleet.run_until(5000);

        // then
        cr_assert(fleet.machines.moves.size() == orders);
        fleet.controller->set_evacuated_zones({});
        fleet.run_until(7000);
        cr_assert(fleet.machines.moves.size() > orders);
    }
}

// Guards against capacity that is not raised elsewhere because the zone's VMs count as supply, and
// against VMs of the zone that are chosen for it.
Test(fleet_controller, capacity_outside_an_evacuated_zone_is_raised)
{
    for (const std::string spare_zone : {"a", "b"}) {
        // given: a VM with room for the job in zone "a", and a parked one
        controlled_fleet fleet;
        fleet.machines.outcome = vm_order_outcome::accepted;
        fleet.machines.vms[0].zone = "a";
        fleet.machines.vms[1].zone = spare_zone;
        fleet.controller->set_evacuated_zones({{"a"}});

        // when
        fleet.fixture.submit_job(make_job("j1"));
        fleet.run_until(400);

        // then
        cr_assert(fleet.machines.has_moved("vm-spare", "main") == (spare_zone == "b"));
    }
}

// Rule AVAIL, review/8: a worker without an entry was taken for one without runs.
Test(fleet_controller,
     a_vm_whose_worker_is_missing_after_an_outage_is_not_ordered_while_it_has_runs)
{
    // given: an earlier owner's run on "w9", whose entry has run out, and a wave of its VM
    jobs::job job = make_job("j1");
    job.steps[0].long_running = true;
    scheduling::job_progress progress = scheduling::initial_progress(job);
    progress.tasks[0][0][0] = {scheduling::task_progress::phase::open, 1, 0, {"w9", 1}, {}};
    controlled_fleet fleet({}, {{job, progress, false}});
    fleet::fleet_vm listed = fleet.machines.vms.front();
    listed.name = "vm-w9";
    listed.worker = "w9";
    fleet.machines.vms.push_back(listed);
    fleet.controller->set_waves({{7, {"vm-w9"}, std::chrono::seconds(20), 1}});

    // when
    fleet.run_until(3000);

    // then
    cr_assert(fleet.machines.maintained.empty());

    // when: the leases of the earlier owner have ended
    fleet.run_until(8000);

    // then
    cr_assert(fleet.machines.maintained == std::vector<std::string>{"vm-w9"});
}
