#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>

#include "common/clock.h"
#include "common/error.h"

/// The platform's key-value store: the operations required of it, and its clients.
namespace chervilslip::store {

/// Purpose of a call. The platform charges for each call, so calls are counted by purpose.
enum class purpose { settings_read, settings_write, settings_watch, duty, registry };

/// Returns the metric label of a purpose. Thread safe.
constexpr std::string_view to_string(purpose call_purpose)
{
    switch (call_purpose) {
    case purpose::settings_read:
        return "settings_read";
    case purpose::settings_write:
        return "settings_write";
    case purpose::settings_watch:
        return "settings_watch";
    case purpose::duty:
        return "duty";
    case purpose::registry:
        return "registry";
    }
    return "unknown";
}

/// A value and the store revision of its last write.
struct versioned_value {
    std::string value;
    std::int64_t revision = 0;

    friend bool operator==(const versioned_value&, const versioned_value&) = default;
};

/// Response to a compare-and-swap.
struct swap_outcome {
    bool swapped = false;
    std::int64_t revision = 0; ///< the store's revision; that of the new value when swapped

    friend bool operator==(const swap_outcome&, const swap_outcome&) = default;
};

using read_handler = std::function<void(common::result<std::optional<versioned_value>>)>;
using swap_handler = std::function<void(common::result<swap_outcome>)>;
using number_handler = std::function<void(common::result<std::int64_t>)>;

/// Expected revision of a key that does not exist.
inline constexpr std::int64_t no_revision = 0;

/// Lease id of a key that is not attached to a lease.
inline constexpr std::int64_t no_lease = 0;

/// A compare-and-swap of one key.
struct swap_request {
    std::string key;
    std::int64_t expected_revision = no_revision;
    std::string value;
    std::int64_t lease = no_lease;

    friend bool operator==(const swap_request&, const swap_request&) = default;
};

/// A store with reads and compare-and-swap of single keys. A failed call may have taken effect
/// unless its error is `connect_failed`.
template <typename Store>
concept key_value_store = requires(Store& store, std::string key, swap_request request,
                                   purpose call_purpose, read_handler on_read, swap_handler on_swap,
                                   common::milliseconds delay, std::function<void()> action)
{
    store.read(key, call_purpose, on_read);
    store.compare_and_swap(request, call_purpose, on_swap);
    store.after(delay, action);
};

} // namespace chervilslip::store
