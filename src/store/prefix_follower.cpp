#include "store/prefix_follower.h"

#include <boost/asio/steady_timer.hpp>

namespace chervilslip::store {

class prefix_follower::implementation final
    : public std::enable_shared_from_this<prefix_follower::implementation> {
public:
    implementation(boost::asio::io_context& io, transactional_store& from,
                   std::string wanted_prefix, follower_options wanted,
                   follower_callbacks wanted_hooks)
        : timer(io), source(from), prefix(std::move(wanted_prefix)), options(wanted),
          hooks(std::move(wanted_hooks))
    {
    }

    void stop()
    {
        this->stopped = true;
        this->timer.cancel();
    }

    /// Reads all items, a page at a time. Later changes are watched from the first page's revision
    /// on, because pages are not a snapshot.
    void read_all()
    {
        this->fresh.clear();
        this->fresh_revision = 0;
        this->read_page({});
    }

private:
    void read_page(const std::string& after)
    {
        this->source.range(this->prefix, after,
                           [self = this->shared_from_this()](common::result<range_page> page) {
                               if (!self->stopped) {
                                   self->take_page(std::move(page));
                               }
                           });
    }

    void take_page(common::result<range_page> page)
    {
        if (!page) {
            this->fail(page.error(), [this] { this->read_all(); });
            return;
        }
        if (this->fresh_revision == 0) {
            this->fresh_revision = page.value().store_revision;
        }
        std::string last;
        for (item& each : page.value().items) {
            last = each.key;
            this->fresh[each.key] = std::move(each);
        }
        if (page.value().more && !last.empty()) {
            this->read_page(last);
            return;
        }
        this->items = std::move(this->fresh);
        this->revision = this->fresh_revision;
        this->tell_contact();
        this->hooks.on_change(this->items, this->revision);
        this->watch_next();
    }

    void watch_next()
    {
        if (this->stopped) {
            return;
        }
        this->source.watch(this->prefix, this->revision, this->options.wait,
                           [self = this->shared_from_this()](common::result<change_page> page) {
                               if (!self->stopped) {
                                   self->take_changes(std::move(page));
                               }
                           });
    }

    void take_changes(common::result<change_page> page)
    {
        if (!page) {
            const bool history_gone = page.error().code == common::errc::expired;
            this->fail(
                page.error(),
                [this, history_gone] {
                    if (history_gone) {
                        this->read_all();
                    } else {
                        this->watch_next();
                    }
                },
                history_gone);
            return;
        }
        for (change& each : page.value().changes) {
            const auto known = this->items.find(each.entry.key);
            if (known != this->items.end() && known->second.revision > each.entry.revision) {
                continue;
            }
            if (each.removed) {
                this->items.erase(each.entry.key);
            } else {
                this->items[each.entry.key] = std::move(each.entry);
            }
        }
        this->revision = std::max(this->revision, page.value().store_revision);
        this->tell_contact();
        if (page.value().changes.empty()) {
            this->watch_next();
            return;
        }
        this->hooks.on_change(this->items, this->revision);
        this->after(this->options.pause, [this] { this->watch_next(); });
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

    void tell_contact()
    {
        if (this->hooks.on_contact) {
            this->hooks.on_contact();
        }
    }

    template <typename Next>
    void fail(const common::error& cause, Next next, bool at_once = false)
    {
        if (this->hooks.on_error) {
            this->hooks.on_error(cause);
        }
        this->after(at_once ? common::milliseconds{0} : this->options.retry_delay, next);
    }

    boost::asio::steady_timer timer;
    transactional_store& source;
    std::string prefix;
    follower_options options;
    follower_callbacks hooks;
    item_map items;
    item_map fresh;
    std::int64_t fresh_revision = 0;
    std::int64_t revision = 0;
    bool stopped = false;
};

prefix_follower::prefix_follower(boost::asio::io_context& context, transactional_store& from,
                                 std::string prefix, follower_options wanted,
                                 follower_callbacks hooks)
    : inner(std::make_shared<implementation>(context, from, std::move(prefix), wanted,
                                             std::move(hooks)))
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
