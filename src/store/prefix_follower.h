#pragma once

#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "store/transactional_store.h"

namespace chervilslip::store {

/// The items under a prefix, by key.
using item_map = std::map<std::string, item>;

/// What a follower tells its user.
struct follower_callbacks {
    /// The items as of a revision; called after each read and after each change.
    std::function<void(const item_map& items, std::int64_t revision)> on_change;
    /// The store answered; the items are as of at least this moment. Called with each answer.
    std::function<void()> on_contact;
    std::function<void(const common::error& cause)> on_error;
};

/// How a follower waits.
struct follower_options {
    common::milliseconds wait{1000}; ///< of one watch; bounds how long a silent one is trusted
    common::milliseconds retry_delay{150}; ///< after a failed call
    common::milliseconds pause{0}; ///< after changes: collects several for the price of one call

    friend bool operator==(const follower_options&, const follower_options&) = default;
};

/// Follows the items under a prefix: reads all of them once, then their changes, and reads all
/// again when the store no longer keeps the history. Not thread safe: used on the io_context's
/// thread.
class prefix_follower {
public:
    /// Precondition: the store outlives the follower.
    prefix_follower(boost::asio::io_context& context, transactional_store& from, std::string prefix,
                    follower_options wanted, follower_callbacks hooks);
    prefix_follower(const prefix_follower&) = delete;
    prefix_follower& operator=(const prefix_follower&) = delete;
    ~prefix_follower();

    /// Begins to follow. Precondition: called once.
    void start();

private:
    class implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chervilslip::store
