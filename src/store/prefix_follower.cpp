#include "store/prefix_follower.h"

#include <boost/asio/steady_timer.hpp>

namespace chervilslip::store {

class prefix_follower::implementation final
    : public std::enable_shared_from_this<prefix_follower::implementation> {
public:
    implementation(boost::asio::io_context& io, transactional_store& from,
                   std::string follow_prefix, follower_options follow_options,
                   follower_callbacks follow_callbacks)
        : timer(io), source(from), prefix(std::move(follow_prefix)), options(follow_options),
          callbacks(std::move(follow_callbacks))
    {
    }

    void stop()
    {
        this->stopped = true;
        this->timer.cancel();
    }

    /// Reads all items page by page. The pages are not one snapshot, so the watch starts at the
    /// revision of the first page.
    void read_all()
    {
        this->notify_request();
        this->loading_items.clear();
        this->loading_revision = 0;
        this->read_page({});
    }

private:
    void read_page(const std::string& after)
    {
        this->source.range(
            this->prefix, after,
            [self = this->shared_from_this(), after](common::result<range_page> page) {
                if (!self->stopped) {
                    self->handle_page(after, std::move(page));
                }
            });
    }

    void handle_page(const std::string& after, common::result<range_page> page)
    {
        if (!page) {
            this->retry_after_error(page.error(), [this, after] {
                if (after.empty()) {
                    this->read_all();
                } else {
                    this->read_page(after);
                }
            });
            return;
        }
        if (this->loading_revision == 0) {
            this->loading_revision = page.value().store_revision;
        }
        std::string last;
        for (item& each : page.value().items) {
            last = each.key;
            this->loading_items[each.key] = std::move(each);
        }
        if (page.value().more && !last.empty()) {
            this->read_page(last);
            return;
        }
        this->items = std::move(this->loading_items);
        this->revision = this->loading_revision;
        this->notify_contact();
        this->watch_changes(); // first, so that an error in the callback does not end the watch
        this->callbacks.on_change(this->items, this->revision);
    }

    void watch_changes()
    {
        if (this->stopped) {
            return;
        }
        this->notify_request();
        this->source.watch(this->prefix, this->revision, this->options.watch_timeout,
                           [self = this->shared_from_this()](common::result<change_page> page) {
                               if (!self->stopped) {
                                   self->handle_changes(std::move(page));
                               }
                           });
    }

    void handle_changes(common::result<change_page> page)
    {
        if (!page) {
            this->recover_from_failed_watch(page.error());
            return;
        }
        this->failed_watches = 0;
        item_map changed;
        for (change& each : page.value().changes) {
            const auto known = this->items.find(each.entry.key);
            if (known != this->items.end() && known->second.revision > each.entry.revision) {
                continue;
            }
            if (each.removed) {
                this->items.erase(each.entry.key);
                changed.erase(each.entry.key);
                continue;
            }
            if (this->callbacks.on_update) {
                changed[each.entry.key] = each.entry;
            }
            this->items[each.entry.key] = std::move(each.entry);
        }
        this->revision = std::max(this->revision, page.value().store_revision);
        this->notify_contact();
        if (page.value().changes.empty()) {
            this->watch_changes();
            return;
        }
        this->after(delay_after_changes(this->options, this->items.size()),
                    [this] { this->watch_changes(); });
        if (this->callbacks.on_update) {
            this->callbacks.on_update(this->items, changed, this->revision);
        } else {
            this->callbacks.on_change(this->items, this->revision);
        }
    }

    /// Repeats a watch only if it was refused. The changes since its revision may be too many for
    /// one response, and become more with each retry; the items themselves don't.
    void recover_from_failed_watch(const common::error& cause)
    {
        ++this->failed_watches;
        const bool history_expired = cause.code == common::errc::expired;
        const bool refused = cause.code == common::errc::unavailable;
        this->retry_after_error(
            cause,
            [this, resume = refused && this->failed_watches == 1] {
                if (resume) {
                    this->watch_changes();
                } else {
                    this->read_all();
                }
            },
            history_expired);
    }

    template <typename Next>
    void after(common::milliseconds delay, Next next)
    {
        this->timer.expires_after(delay);
        this->timer.async_wait(
            [self = this->shared_from_this(), next](const boost::system::error_code& failure) {
                if (!failure && !self->stopped) {
                    next();
                }
            });
    }

    void notify_request()
    {
        if (this->callbacks.on_request) {
            this->callbacks.on_request();
        }
    }

    void notify_contact()
    {
        if (this->callbacks.on_contact) {
            this->callbacks.on_contact();
        }
    }

    template <typename Next>
    void retry_after_error(const common::error& cause, Next next, bool without_delay = false)
    {
        if (this->callbacks.on_error) {
            this->callbacks.on_error(cause);
        }
        this->after(without_delay ? common::milliseconds{0} : this->options.retry_delay, next);
    }

    boost::asio::steady_timer timer;
    transactional_store& source;
    std::string prefix;
    follower_options options;
    follower_callbacks callbacks;
    item_map items;
    item_map loading_items;
    std::int64_t loading_revision = 0;
    std::int64_t revision = 0;
    int failed_watches = 0; ///< since the last one that succeeded
    bool stopped = false;
};

prefix_follower::prefix_follower(boost::asio::io_context& context, transactional_store& from,
                                 std::string prefix, follower_options follow_options,
                                 follower_callbacks callbacks)
    : inner(std::make_shared<implementation>(context, from, std::move(prefix), follow_options,
                                             std::move(callbacks)))
{
}

prefix_follower::~prefix_follower()
{
    this->inner->stop();
}

void prefix_follower::start()
{
    this->inner->read_all();
}

} // namespace chervilslip::store
