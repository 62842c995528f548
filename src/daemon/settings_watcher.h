#pragma once

#include "common/event_log.h"
#include "common/random.h"
#include "settings/repository.h"
#include "store/etcd_client.h"

namespace chervilslip::daemon {

using settings_repository = settings::repository<store::etcd_client>;

/// Called with each newer version of the settings once it is in force.
using settings_handler = std::function<void(std::shared_ptr<const settings::loaded_tree>)>;

/// Follows the settings in the store, by a watch and by periodic checks of the manifest's revision
/// for changes that the watch missed. Never goes back to an older version. Not thread safe: to be
/// used on the io_context's thread only.
class settings_watcher {
public:
    /// Precondition: all references outlive the watcher.
    settings_watcher(store::etcd_client& store, settings_repository& repository,
                     const common::event_log& log, common::random_source& random,
                     common::milliseconds check_interval, settings_handler handler);

    /// Loads the settings and starts to follow their changes.
    void start();

    /// Stops following. The handler is not called afterwards.
    void stop();

    /// Checks the manifest at once, for example after a change made through this node.
    void refresh();

    /// Puts settings received from a peer in force if they are newer than this node's, and ignores
    /// them otherwise.
    void accept_from_peer(const std::string& manifest,
                          const std::map<std::string, std::string>& documents);

    /// Returns the settings in force, or null if none have been loaded yet.
    [[nodiscard]] std::shared_ptr<const settings::loaded_tree> in_force() const;

private:
    void reload();
    void load_value_and_apply(const std::optional<store::versioned_value>& value);
    void on_loaded(const common::result<std::shared_ptr<const settings::loaded_tree>>& loaded);
    void apply_if_newer(std::shared_ptr<const settings::loaded_tree> loaded);
    void ensure_watch();
    void schedule_check();
    [[nodiscard]] common::milliseconds jittered(common::milliseconds base);

    store::etcd_client& store;
    settings_repository& repository;
    const common::event_log& log;
    common::random_source& random;
    common::milliseconds check_interval;
    settings_handler handler;
    std::shared_ptr<const settings::loaded_tree> current;
    std::unique_ptr<net::http_stream> watch;
    std::int64_t seen_revision = -1; ///< of the manifest; negative before the first load
    bool watch_lost = false;
    bool loading = false;
    bool reload_pending = false;
    bool stopped = false;
};

} // namespace chervilslip::daemon
