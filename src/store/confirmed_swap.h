#pragma once

#include "store/store.h"

namespace chervilslip::store {

/// Outcome of a confirmed compare-and-swap.
enum class swap_result {
    applied,   ///< the write took effect
    conflict,  ///< another value was written first; this write had no effect
    uncertain, ///< no conclusive response after all retries; may have taken effect
};

using confirmed_swap_handler =
    std::function<void(swap_result result, const common::error& last_error)>;

/// Decides from the value now in the store whether the write took effect, and calls `callback` with
/// the result.
using applied_check = std::function<void(const std::optional<versioned_value>& current,
                                         std::function<void(bool is_applied)> callback)>;

namespace detail {

inline constexpr int max_swap_attempts = 6;
inline constexpr common::milliseconds initial_retry_delay{50};

/// A compare-and-swap that tolerates lost responses: after an error the key is read back before the
/// write is retried.
template <key_value_store Store>
class confirmed_swap_operation final
    : public std::enable_shared_from_this<confirmed_swap_operation<Store>> {
public:
    confirmed_swap_operation(Store& target, swap_request wanted, purpose reason, applied_check test,
                             confirmed_swap_handler handler)
        : store(target), request(std::move(wanted)), call_purpose(reason),
          check_applied(std::move(test)), done(std::move(handler))
    {
    }

    void write()
    {
        this->store.compare_and_swap(
            this->request, this->call_purpose,
            [self = this->shared_from_this()](common::result<swap_outcome> outcome) {
                self->handle_write_result(outcome);
            });
    }

private:
    void handle_write_result(const common::result<swap_outcome>& outcome)
    {
        if (!outcome) {
            this->last_error = outcome.error();
            this->retry_later([](auto& self) { self.read_back(); });
            return;
        }
        if (outcome.value().swapped) {
            this->done(swap_result::applied, this->last_error);
            return;
        }
        // After a lost response the first write may have taken effect, so that the retry of the
        // same write is what failed the comparison.
        this->read_back();
    }

    void read_back()
    {
        this->store.read(this->request.key, this->call_purpose,
                         [self = this->shared_from_this()](
                             common::result<std::optional<versioned_value>> current) {
                             self->handle_read_result(current);
                         });
    }

    void handle_read_result(const common::result<std::optional<versioned_value>>& current)
    {
        if (!current) {
            this->last_error = current.error();
            this->retry_later([](auto& self) { self.read_back(); });
            return;
        }
        const auto& value = current.value();
        const std::int64_t revision = value ? value->revision : no_revision;
        if (revision == this->request.expected_revision) {
            // Retrying is safe: both writes expect the same revision, so at most one can succeed.
            this->retry_later([](auto& self) { self.write(); });
            return;
        }
        this->check_applied(value, [self = this->shared_from_this()](bool is_applied) {
            self->done(is_applied ? swap_result::applied : swap_result::conflict, self->last_error);
        });
    }

    template <typename Step>
    void retry_later(Step step)
    {
        if (++this->attempts >= max_swap_attempts) {
            this->done(swap_result::uncertain, this->last_error);
            return;
        }
        const auto delay = initial_retry_delay * (1 << this->attempts);
        this->store.after(delay, [self = this->shared_from_this(), step] { step(*self); });
    }

    Store& store;
    swap_request request;
    purpose call_purpose;
    applied_check check_applied;
    confirmed_swap_handler done;
    common::error last_error;
    int attempts = 0;
};

} // namespace detail

/// Performs a compare-and-swap at most once, even when responses are lost. `check_applied` is
/// called when the key is found at a revision other than the expected one. Precondition: `store`
/// outlives the operation. Not thread safe.
template <key_value_store Store>
void confirmed_swap(Store& store, swap_request request, purpose call_purpose,
                    applied_check check_applied, confirmed_swap_handler done)
{
    std::make_shared<detail::confirmed_swap_operation<Store>>(
        store, std::move(request), call_purpose, std::move(check_applied), std::move(done))
        ->write();
}

} // namespace chervilslip::store
