#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>

#include "net/http_client.h"
#include "store/etcd_codec.h"

namespace chervilslip::store {

/// Called before each call to the store, with its purpose.
using call_observer = std::function<void(purpose call_purpose)>;

/// Receives each value written to a watched key, in order of revision.
using value_handler = std::function<void(const versioned_value& value)>;

/// Client of the etcd v3 JSON API over HTTP. Models `key_value_store`. Not thread safe: call it
/// only on the io_context's thread.
class etcd_client {
public:
    etcd_client(boost::asio::io_context& context, net::endpoint peer,
                common::milliseconds call_timeout, call_observer observer);

    /// Reads one key; the result is empty when the key does not exist.
    void read(const std::string& key, purpose call_purpose, read_handler handler);

    /// Reads the revision of one key without its value; `no_revision` when the key does not exist.
    void read_revision(const std::string& key, purpose call_purpose, number_handler handler);

    /// Writes one key if its revision equals the expected one.
    void compare_and_swap(const swap_request& request, purpose call_purpose, swap_handler handler);

    /// Grants a lease of `time_to_live`.
    void grant_lease(std::chrono::seconds time_to_live, purpose call_purpose,
                     number_handler handler);

    /// Renews a lease; the result is its time to live in seconds, 0 when it has expired.
    void renew_lease(std::int64_t lease, purpose call_purpose, number_handler handler);

    /// Revokes a lease, which deletes the keys attached to it. The result is the lease's id.
    void revoke_lease(std::int64_t lease, purpose call_purpose, number_handler handler);

    /// Runs `action` on the io_context after `delay`.
    void after(common::milliseconds delay, std::function<void()> action);

    /// Watches one key from `start_revision` on, inclusive; deletions are not reported. `on_end` is
    /// called once, when the stream ends.
    std::unique_ptr<net::http_stream> watch(const std::string& key, std::int64_t start_revision,
                                            purpose call_purpose, value_handler on_value,
                                            net::stream_end_handler on_end);

private:
    void post(const std::string& target, const nlohmann::json& body, purpose call_purpose,
              net::http_answer handler);

    boost::asio::io_context& context;
    net::endpoint peer;
    common::milliseconds call_timeout;
    call_observer observer;
    net::http_client client;
};

static_assert(key_value_store<etcd_client>);

} // namespace chervilslip::store
