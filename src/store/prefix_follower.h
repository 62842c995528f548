#pragma once

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "store/transactional_store.h"

namespace chervilslip::store {

/// Items under a prefix, by key.
using item_map = std::map<std::string, item>;

/// Callbacks of a prefix follower; all but `on_change` may be empty.
struct follower_callbacks {
    /// Called with all items as of `revision` after each full read and after each batch of changes.
    std::function<void(const item_map& items, std::int64_t revision)> on_change;
    /// Called after each successful response; the items are current as of this time.
    std::function<void()> on_contact;
    /// Called when a full read begins and when a watch is sent. After the next successful response
    /// the items are at least as recent as this call.
    std::function<void()> on_request;
    /// Called after each failed call, before it is retried.
    std::function<void(const common::error& cause)> on_error;
    /// If set, called instead of `on_change` after each batch of changes, also with the items that
    /// the batch has added or changed. For a caller whose work must not grow with all items.
    std::function<void(const item_map& items, const item_map& changed, std::int64_t revision)>
        on_update;
};

/// Timing of a prefix follower.
struct follower_options {
    common::milliseconds watch_timeout{
        1000}; ///< of one watch call; bounds how long a watch without response is trusted
    common::milliseconds retry_delay{150}; ///< after a failed call
    common::milliseconds batch_delay{
        0}; ///< before the next watch call after changes, so that one call returns several
    /// The delay grows by a millisecond for so many items, for a caller that looks at all of them
    /// after each batch of changes; 0: it does not grow.
    std::size_t items_per_delay_ms = 0;

    friend bool operator==(const follower_options&, const follower_options&) = default;
};

/// Returns the delay before the next watch call after changes, while `items` are known. Thread
/// safe.
constexpr common::milliseconds delay_after_changes(const follower_options& options,
                                                   std::size_t items)
{
    return options.items_per_delay_ms == 0
               ? options.batch_delay
               : options.batch_delay + common::milliseconds(items / options.items_per_delay_ms);
}

/// Keeps a copy of the items under a prefix: reads all of them, then watches for changes. After a
/// failed watch it reads all of them again, so that catching up takes no longer after a long outage
/// than after a short one; a watch that the store refused is resumed once. Not thread safe: call it
/// only on the io_context's thread.
class prefix_follower {
public:
    /// Precondition: `from` outlives the follower.
    prefix_follower(boost::asio::io_context& context, transactional_store& from, std::string prefix,
                    follower_options follow_options, follower_callbacks callbacks);
    prefix_follower(const prefix_follower&) = delete;
    prefix_follower& operator=(const prefix_follower&) = delete;
    ~prefix_follower();

    /// Starts the first read. Precondition: called at most once.
    void start();

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chervilslip::store
