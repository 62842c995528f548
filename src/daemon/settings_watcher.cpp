#include "daemon/settings_watcher.h"

namespace chervilslip::daemon {

namespace {

constexpr common::milliseconds retry_delay{200};

} // namespace

settings_watcher::settings_watcher(store::etcd_client& client, settings_repository& source,
                                   const common::event_log& events,
                                   common::random_source& random_numbers,
                                   common::milliseconds interval_of_checks,
                                   settings_handler on_settings)
    : store(client), repository(source), log(events), random(random_numbers),
      check_interval(interval_of_checks), handler(std::move(on_settings))
{
}

void settings_watcher::start()
{
    this->reload();
    this->schedule_check();
}

void settings_watcher::stop()
{
    this->stopped = true;
    this->watch.reset();
}

common::milliseconds settings_watcher::jittered(common::milliseconds base)
{
    // Spreads the calls of nodes that lost their connection to the store at the same time.
    const double factor = 0.5 + this->random.unit();
    return std::chrono::duration_cast<common::milliseconds>(base * factor);
}

void settings_watcher::schedule_check()
{
    this->store.after(this->jittered(this->check_interval), [this] {
        if (this->stopped) {
            return;
        }
        this->refresh();
        this->schedule_check();
    });
}

void settings_watcher::refresh()
{
    this->store.read_revision(settings::manifest_key, store::purpose::settings_read,
                              [this](common::result<std::int64_t> revision) {
                                  if (this->stopped) {
                                      return;
                                  }
                                  if (!revision) {
                                      this->log.write(common::event_id::store_call_failed,
                                                      {{"error", revision.error().to_string()}});
                                      return;
                                  }
                                  if (revision.value() != this->seen_revision) {
                                      this->reload();
                                  } else {
                                      this->ensure_watch();
                                  }
                              });
}

void settings_watcher::reload()
{
    if (this->loading) {
        this->reload_pending = true;
        return;
    }
    this->loading = true;
    this->store.read(settings::manifest_key, store::purpose::settings_read,
                     [this](common::result<std::optional<store::versioned_value>> value) {
                         if (!value) {
                             this->on_loaded(value.error());
                             return;
                         }
                         this->load_value_and_apply(value.value());
                     });
}

void settings_watcher::load_value_and_apply(const std::optional<store::versioned_value>& value)
{
    this->loading = true;
    this->repository.load_value(
        value, [this](common::result<std::shared_ptr<const settings::loaded_tree>> loaded) {
            this->on_loaded(loaded);
        });
}

void settings_watcher::on_loaded(
    const common::result<std::shared_ptr<const settings::loaded_tree>>& loaded)
{
    this->loading = false;
    if (this->stopped) {
        return;
    }
    if (!loaded) {
        this->log.write(common::event_id::store_call_failed,
                        {{"error", loaded.error().to_string()}});
        this->store.after(this->jittered(retry_delay), [this] {
            if (!this->stopped) {
                this->reload();
            }
        });
        return;
    }
    this->seen_revision = loaded.value()->store_revision;
    this->apply_if_newer(loaded.value());
    this->ensure_watch();
    if (std::exchange(this->reload_pending, false)) {
        this->reload();
    }
}

void settings_watcher::apply_if_newer(std::shared_ptr<const settings::loaded_tree> loaded)
{
    if (!loaded->checked.problems.empty()) {
        this->log.write(common::event_id::settings_invalid_in_store,
                        {{"number", loaded->source.number},
                         {"first_problem", loaded->checked.problems.front().to_string()}});
        return;
    }
    if (this->current) {
        const auto& before = this->current->source;
        const bool same = loaded->source.change == before.change;
        if (same) {
            return;
        }
        if (loaded->source.number <= before.number) {
            this->log.write(common::event_id::settings_older_revision,
                            {{"in_force", before.number}, {"in_store", loaded->source.number}});
            return;
        }
    }
    this->current = std::move(loaded);
    this->log.write(
        common::event_id::settings_in_force,
        {{"number", this->current->source.number}, {"change", this->current->source.change}});
    this->handler(this->current);
}

void settings_watcher::accept_from_peer(const std::string& manifest,
                                        const std::map<std::string, std::string>& documents)
{
    for (const auto& [hash, text] : documents) {
        this->repository.cache_document(hash, text);
    }
    this->repository.load_value(
        store::versioned_value{manifest, store::no_revision},
        [this](common::result<std::shared_ptr<const settings::loaded_tree>> loaded) {
            const bool newer =
                !this->stopped && loaded &&
                (!this->current || loaded.value()->source.number > this->current->source.number);
            if (newer) {
                this->apply_if_newer(loaded.value());
            }
        });
}

void settings_watcher::ensure_watch()
{
    if (this->watch) {
        return;
    }
    if (std::exchange(this->watch_lost, false)) {
        this->log.write(common::event_id::store_watch_resumed, {{"revision", this->seen_revision}});
    }
    this->watch = this->store.watch(
        settings::manifest_key, this->seen_revision + 1, store::purpose::settings_watch,
        [this](const store::versioned_value& value) {
            if (this->loading) {
                this->reload_pending = true;
                return;
            }
            this->load_value_and_apply(value);
        },
        [this](const common::error& reason) {
            this->log.write(common::event_id::store_watch_lost, {{"error", reason.to_string()}});
            this->watch_lost = true;
            // Called by the stream itself, which must therefore be destroyed later.
            this->store.after(this->jittered(retry_delay), [this] {
                if (this->stopped) {
                    return;
                }
                this->watch.reset();
                this->refresh();
            });
        });
}

std::shared_ptr<const settings::loaded_tree> settings_watcher::in_force() const
{
    return this->current;
}

} // namespace chervilslip::daemon
