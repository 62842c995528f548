#pragma once

#include "daemon/metrics.h"
#include "daemon/settings_watcher.h"
#include "net/http_server.h"

namespace chervilslip::daemon {

/// Callbacks of the operator API into its node.
struct operator_api_hooks {
    std::function<nlohmann::json()> status;
    std::function<std::string()> metrics_text;
};

/// The HTTP API for operators, described in docs/API.md. Not thread safe: to be used on the
/// io_context's thread only.
class operator_api {
public:
    /// Precondition: watcher, repository and log outlive the API.
    operator_api(std::string token, settings_watcher& watcher, settings_repository& repository,
                 const common::event_log& log, operator_api_hooks hooks);

    /// Handles one request.
    void handle(const net::http_request& request, std::shared_ptr<net::http_exchange> exchange);

private:
    struct audit_query;

    [[nodiscard]] bool is_operator(const net::http_request& request) const;
    void show_settings(net::http_exchange& exchange) const;
    void change_settings(const net::http_request& request,
                         const std::shared_ptr<net::http_exchange>& exchange);
    void on_committed(const settings::proposal& proposal, const settings::commit_outcome& outcome,
                      net::http_exchange& exchange);
    void show_audit(const net::http_request& request,
                    const std::shared_ptr<net::http_exchange>& exchange);
    void continue_audit(const std::shared_ptr<audit_query>& audit);

    std::string token;
    settings_watcher& watcher;
    settings_repository& repository;
    const common::event_log& log;
    operator_api_hooks hooks;
};

} // namespace chervilslip::daemon
