#include <criterion/criterion.h>

#include <numeric>

#include <boost/asio/io_context.hpp>

#include "fakes/revision_store.h"
#include "store/prefix_follower.h"

namespace {

using namespace chervilslip;
using common::milliseconds;

/// A store whose watches are answered when the test says so.
class watched_store final : public store::transactional_store {
public:
    void read(const std::string& key, store::handler<std::optional<store::item>> done) override
    {
        done(this->items.read(key));
    }

    void range(const std::string& prefix, const std::string& after,
               store::handler<store::range_page> done) override
    {
        this->pages_read.push_back(after);
        if (this->pages_read.size() == this->failing_read) {
            done(timed_out());
            return;
        }
        done(this->items.range(prefix, after));
    }

    void watch(const std::string& prefix, std::int64_t after, milliseconds,
               store::handler<store::change_page> done) override
    {
        this->watched_from.push_back(after);
        this->waiting = [this, prefix, after, done = std::move(done)] {
            const store::change_page page = *this->items.changes(prefix, after);
            if (this->refuses) {
                done(common::make_error(common::errc::unavailable, "watch", "store", "status 503"));
            } else if (this->is_cut || size_of(page) > this->response_limit) {
                done(timed_out());
            } else {
                done(page);
            }
        };
    }

    static common::error timed_out()
    {
        return common::make_error(common::errc::timed_out, "receive answer", "store", "timeout");
    }

    static std::size_t size_of(const store::change_page& page)
    {
        return std::accumulate(page.changes.begin(), page.changes.end(), std::size_t{0},
                               [](std::size_t sum, const store::change& each) {
                                   return sum + each.entry.value.size();
                               });
    }

    void commit(const store::transaction& changes,
                store::handler<store::commit_outcome> done) override
    {
        done(this->items.commit(changes));
    }

    void grant(milliseconds, store::handler<store::lease_grant>) override
    {
    }

    void renew(std::uint64_t, store::handler<milliseconds>) override
    {
    }

    void end_lease(std::uint64_t, store::handler<bool>) override
    {
    }

    void put(const std::string& key, const std::string& value)
    {
        cr_assert(this->items.commit({{}, {{key, value, 0}}, {}}).has_value());
    }

    void remove(const std::string& key)
    {
        cr_assert(this->items.commit({{}, {}, {key}}).has_value());
    }

    fakes::revision_store items;
    std::function<void()> waiting;
    std::vector<std::int64_t> watched_from;
    std::vector<std::string> pages_read; ///< by the key that each began after
    std::size_t response_limit = std::numeric_limits<std::size_t>::max(); ///< within the time limit
    bool is_cut = false;                                                  ///< no watch is answered
    bool refuses = false;
    std::size_t failing_read = 0; ///< which of the reads fails; 0: none
};

struct followed_prefix {
    explicit followed_prefix(watched_store& from, int present) : source(from)
    {
        for (int i = 0; i < present; ++i) {
            this->source.put("in/" + std::to_string(i), "old");
        }
        store::follower_callbacks hooks;
        hooks.on_change = [this](const store::item_map& items, std::int64_t) {
            this->read_in_full += items.size();
            this->latest = items;
        };
        hooks.on_update = [this](const store::item_map& items, const store::item_map& changed,
                                 std::int64_t) {
            this->known = items.size();
            this->latest = items;
            this->updates.push_back(changed);
        };
        this->follower = std::make_unique<store::prefix_follower>(
            this->context, this->source, "in/",
            store::follower_options{milliseconds(1000), milliseconds(0), milliseconds(0)}, hooks);
        this->follower->start();
    }

    void answer_watch()
    {
        std::exchange(this->source.waiting, nullptr)();
        while (!this->source.waiting) { // the next watch
            this->context.restart();
            this->context.run_one_for(milliseconds(100));
        }
    }

    boost::asio::io_context context;
    watched_store& source;
    std::unique_ptr<store::prefix_follower> follower;
    std::size_t read_in_full = 0;
    std::size_t known = 0;
    store::item_map latest;
    std::vector<store::item_map> updates;
};

} // namespace

Test(prefix_follower, work_for_an_update_does_not_grow_with_the_items_that_are_known)
{
    watched_store source;
    followed_prefix followed(source, 500);
    cr_assert(followed.read_in_full == 500);
    source.put("in/new", "value");
    followed.answer_watch();
    source.put("in/7", "changed");
    source.put("in/8", "changed");
    followed.answer_watch();
    cr_assert(followed.read_in_full == 500, "%zu", followed.read_in_full);
    cr_assert(followed.updates.size() == 2);
    cr_assert(followed.updates.at(0).size() == 1);
    cr_assert(followed.updates.at(0).at("in/new").value == "value");
    cr_assert(followed.updates.at(1).size() == 2);
    cr_assert(followed.known == 501);
}

Test(prefix_follower, watches_less_often_the_more_items_a_caller_looks_at_after_each_change)
{
    const store::follower_options alike{milliseconds(1000), milliseconds(0), milliseconds(100)};
    cr_assert(store::delay_after_changes(alike, 1100) == milliseconds(100));
    const store::follower_options growing{milliseconds(1000), milliseconds(0), milliseconds(100),
                                          10};
    cr_assert(store::delay_after_changes(growing, 5) == milliseconds(100));
    cr_assert(store::delay_after_changes(growing, 1100) == milliseconds(210));
}

Test(prefix_follower, leaves_out_of_an_update_what_was_removed_again)
{
    watched_store source;
    followed_prefix followed(source, 2);
    source.put("in/brief", "value");
    source.put("in/kept", "value");
    source.remove("in/brief");
    source.remove("in/0");
    followed.answer_watch();
    cr_assert(followed.updates.size() == 1);
    cr_assert(followed.updates.front().size() == 1);
    cr_assert(followed.updates.front().contains("in/kept"));
    cr_assert(followed.known == 2);
}

Test(prefix_follower, a_slow_link_catches_up_although_all_versions_of_an_outage_do_not_fit_through)
{
    const std::string document(100'000, 'c');
    watched_store source;
    source.response_limit = 10 * document.size();
    followed_prefix followed(source, 0);
    source.put("in/config", "before " + document);
    followed.answer_watch();
    source.is_cut = true;
    for (int version = 0; version < 50; ++version) {
        source.put("in/config", std::to_string(version) + " " + document);
    }
    followed.answer_watch();
    source.is_cut = false;
    followed.answer_watch();
    cr_assert(followed.latest.at("in/config").value.starts_with("49 "));
}

Test(prefix_follower, a_response_that_never_fits_is_not_asked_for_again)
{
    watched_store source;
    source.response_limit = 10;
    followed_prefix followed(source, 0);
    source.put("in/config", "more than ten bytes");
    followed.answer_watch();
    cr_assert(followed.latest.at("in/config").value == "more than ten bytes");
    cr_assert(source.watched_from.size() == 2);
    cr_assert(source.watched_from.front() < source.watched_from.back());
}

Test(prefix_follower, a_refused_watch_is_resumed_once_and_then_replaced_by_a_full_read)
{
    watched_store source;
    followed_prefix followed(source, 3);
    source.refuses = true;
    followed.answer_watch();
    cr_assert(source.pages_read.size() == 1, "%zu", source.pages_read.size());
    followed.answer_watch();
    cr_assert(source.pages_read.size() == 2, "%zu", source.pages_read.size());
    source.refuses = false;
    source.put("in/0", "new");
    followed.answer_watch();
    cr_assert(followed.latest.at("in/0").value == "new");
}

Test(prefix_follower, a_page_that_fails_is_read_again_without_the_pages_before_it)
{
    watched_store source;
    followed_prefix followed(source, 0);
    for (int i = 0; i < 1200; ++i) {
        source.put("in/" + std::to_string(10'000 + i), "value");
    }
    source.is_cut = true;
    source.pages_read.clear();
    source.failing_read = 2;
    followed.answer_watch();
    cr_assert(source.pages_read.size() >= 4, "%zu", source.pages_read.size());
    cr_assert(std::count(source.pages_read.begin(), source.pages_read.end(), std::string{}) == 1);
    cr_assert(followed.latest.size() == 1200);
}
