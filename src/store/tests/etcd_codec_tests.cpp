#include <criterion/criterion.h>

#include "common/crypto.h"
#include "fakes/store_model.h"
#include "store/etcd_codec.h"
#include "store/fence.h"

namespace {

using namespace chervilslip;
namespace etcd = store::etcd;

std::optional<store::versioned_value> read(const fakes::store_model& model, const std::string& key)
{
    return etcd::parse_range(model.range(etcd::range_request(key)).dump(), "fake").value();
}

store::swap_outcome swap(fakes::store_model& model, const store::swap_request& request)
{
    return etcd::parse_swap(model.transaction(etcd::transaction_request(request)).dump(), "fake")
        .value();
}

Test(etcd_codec, swap_takes_effect_only_at_the_expected_revision)
{
    // given
    fakes::store_model model;
    const auto first = swap(model, {"key", store::no_revision, "one", store::no_lease});

    // when
    const auto stale = swap(model, {"key", store::no_revision, "two", store::no_lease});
    const auto fresh = swap(model, {"key", first.revision, "three", store::no_lease});

    // then
    cr_assert(first.swapped);
    cr_assert_not(stale.swapped);
    cr_assert(fresh.swapped);
    cr_assert(read(model, "key")->value == "three");
    cr_assert(read(model, "key")->revision == fresh.revision);
}

Test(etcd_codec, watch_from_a_revision_sees_every_later_value)
{
    // given
    fakes::store_model model;
    const auto first = swap(model, {"key", store::no_revision, "one", store::no_lease});
    swap(model, {"key", first.revision, "two", store::no_lease});

    // when
    std::int64_t next = first.revision;
    const auto messages = model.events_since(common::base64_encode("key"), next);

    // then
    cr_assert(messages.size() == 2);
    const auto last = etcd::parse_watch(messages.back(), "fake").value();
    cr_assert(last.events.at(0).value->value == "two");
}

Test(etcd_codec, lapsed_lease_removes_its_keys)
{
    // given a key under a lease of ten seconds
    fakes::store_model model;
    const common::steady_time start{};
    const auto lease =
        etcd::parse_lease(model.grant_lease({{"TTL", "10"}}, start).dump(), "fake").value();
    swap(model, {"duty", store::no_revision, "holder", lease});

    // when
    model.lapse_leases(start + std::chrono::seconds(11));

    // then
    cr_assert_not(read(model, "duty"));
}

Test(etcd_codec, truncated_responses_are_errors)
{
    // given
    const std::string complete = R"({"kvs":[{"key":"aw==","value":"dg==","mod_revision":"3"}]})";

    for (std::size_t size = 0; size < complete.size(); ++size) {
        // when
        const auto parsed = etcd::parse_range(complete.substr(0, size), "fake");

        // then
        cr_assert_not(parsed.has_value());
    }
}

Test(fence, older_fencing_token_cannot_write_after_a_newer_one)
{
    // given a document written with fencing token 9
    const auto newer = store::make_fenced_write("duty", std::nullopt, 9, {{"step", 1}});
    const store::versioned_value now{newer.value().value, 20};

    // when
    const auto stale = store::make_fenced_write("duty", now, 7, {{"step", 2}});
    const auto again = store::make_fenced_write("duty", now, 9, {{"step", 2}});

    // then
    cr_assert(stale.error().code == common::errc::fenced);
    cr_assert(again.value().expected_revision == 20);
}

} // namespace
