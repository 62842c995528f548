#pragma once

#include "common/event_log.h"
#include "common/random.h"
#include "settings/repository.h"
#include "store/etcd_client.h"

namespace chervilslip::daemon {

using settings_repository = settings::repository<store::etcd_client>;

/// Is told of each newer settings that are in force from now on.
using settings_handler = std::function<void(std::shared_ptr<const settings::loaded_tree>)>;

/// Follows the settings in the store: by a watch, by regular looks at the manifest's revision, and
/// never back. Not thread safe: used on the io_context's thread.
class settings_watcher {
public:
    /// Precondition: all references outlive the watcher.
    settings_watcher(store::etcd_client& store, settings_repository& repository,
                     const common::event_log& log, common::random_source& random,
                     common::milliseconds check_time, settings_handler handler);

    /// Starts to follow.
    void start();

    /// Ends all calls. No handler is called afterwards.
    void stop();

    /// Looks at the manifest now, such as after a change that this node made.
    void refresh();

    /// Takes newer settings that a peer has in force; ignores any others.
    void accept_from_peer(const std::string& manifest,
                          const std::map<std::string, std::string>& documents);

    /// Returns the settings in force, or null before the first.
    [[nodiscard]] std::shared_ptr<const settings::loaded_tree> in_force() const;

private:
    void reload();
    void take(const std::optional<store::versioned_value>& value);
    void after_load(const common::result<std::shared_ptr<const settings::loaded_tree>>& loaded);
    void adopt(std::shared_ptr<const settings::loaded_tree> loaded);
    void ensure_watch();
    void schedule_check();
    [[nodiscard]] common::milliseconds jittered(common::milliseconds base);

    store::etcd_client& store;
    settings_repository& repository;
    const common::event_log& log;
    common::random_source& random;
    common::milliseconds check_time;
    settings_handler handler;
    std::shared_ptr<const settings::loaded_tree> current;
    std::unique_ptr<net::http_stream> watch;
    std::int64_t seen_revision = -1; ///< of the manifest; below zero before the first look
    bool watch_lost = false;
    bool loading = false;
    bool look_again = false;
    bool stopped = false;
};

} // namespace chervilslip::daemon
