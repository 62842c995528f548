#pragma once

#include "store/store.h"

namespace chervilslip::store {

/// How a confirmed compare-and-swap ended.
enum class swap_result {
    applied,   ///< the write is in the store
    conflict,  ///< another value was written first, and this write is not in the store
    uncertain, ///< the store did not say in time; the write may take effect or not
};

using confirmed_handler = std::function<void(swap_result result, const common::error& last)>;

/// Tells whether the value now in the store shows that the write took effect.
using ownership_test = std::function<void(const std::optional<versioned_value>& now,
                                          std::function<void(bool is_mine)> answer)>;

namespace detail {

inline constexpr int max_swap_attempts = 6;
inline constexpr common::milliseconds first_swap_delay{50};

/// One compare-and-swap whose answer may get lost: it is read back before it is written again.
template <key_value_store Store>
class confirmed_swap_operation final
    : public std::enable_shared_from_this<confirmed_swap_operation<Store>> {
public:
    confirmed_swap_operation(Store& target, swap_request wanted, purpose reason,
                             ownership_test test, confirmed_handler handler)
        : store(target), request(std::move(wanted)), why(reason), is_mine(std::move(test)),
          done(std::move(handler))
    {
    }

    void write()
    {
        this->store.compare_and_swap(
            this->request, this->why,
            [self = this->shared_from_this()](common::result<swap_outcome> outcome) {
                self->after_write(outcome);
            });
    }

private:
    void after_write(const common::result<swap_outcome>& outcome)
    {
        if (!outcome) {
            this->last = outcome.error();
            this->try_later([](auto& self) { self.read_back(); });
            return;
        }
        if (outcome.value().swapped) {
            this->done(swap_result::applied, this->last);
            return;
        }
        // A refusal after a lost answer may be the refusal of our own second write.
        this->read_back();
    }

    void read_back()
    {
        this->store.read(
            this->request.key, this->why,
            [self = this->shared_from_this()](common::result<std::optional<versioned_value>> now) {
                self->after_read(now);
            });
    }

    void after_read(const common::result<std::optional<versioned_value>>& now)
    {
        if (!now) {
            this->last = now.error();
            this->try_later([](auto& self) { self.read_back(); });
            return;
        }
        const auto& value = now.value();
        const std::int64_t revision = value ? value->revision : no_revision;
        if (revision == this->request.expected_revision) {
            // The same expected revision again: at most one of the two writes can succeed.
            this->try_later([](auto& self) { self.write(); });
            return;
        }
        this->is_mine(value, [self = this->shared_from_this()](bool mine) {
            self->done(mine ? swap_result::applied : swap_result::conflict, self->last);
        });
    }

    template <typename Step>
    void try_later(Step step)
    {
        if (++this->attempts >= max_swap_attempts) {
            this->done(swap_result::uncertain, this->last);
            return;
        }
        const auto delay = first_swap_delay * (1 << this->attempts);
        this->store.after(delay, [self = this->shared_from_this(), step] { step(*self); });
    }

    Store& store;
    swap_request request;
    purpose why;
    ownership_test is_mine;
    confirmed_handler done;
    common::error last;
    int attempts = 0;
};

} // namespace detail

/// Writes once, however often answers are lost. `is_mine` is asked about a value that another
/// revision wrote. Precondition: `store` outlives the operation. Not thread safe.
template <key_value_store Store>
void confirmed_swap(Store& store, swap_request request, purpose why, ownership_test is_mine,
                    confirmed_handler done)
{
    std::make_shared<detail::confirmed_swap_operation<Store>>(store, std::move(request), why,
                                                              std::move(is_mine), std::move(done))
        ->write();
}

} // namespace chervilslip::store
