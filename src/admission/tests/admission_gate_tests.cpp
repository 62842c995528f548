#include <criterion/criterion.h>

#include <set>

#include "admission/admission_gate.h"

namespace {

using namespace chervilslip;
using admission::admission_gate;
using admission::published_share;

constexpr int sample_size = 10'000;

std::string make_id(int number)
{
    return "000000000000" + std::to_string(1000 + number);
}

int count_admitted(const admission_gate& gate)
{
    int admitted = 0;
    for (int i = 0; i < sample_size; ++i) {
        admitted += gate.admits(make_id(i)) ? 1 : 0;
    }
    return admitted;
}

Test(admission_gate, accepts_all_jobs_while_no_share_is_published)
{
    cr_assert(count_admitted(admission_gate{}) == sample_size);
}

Test(admission_gate, accepts_the_published_share_of_consecutive_ids)
{
    // given
    admission_gate gate;
    gate.observe_claim(100, 100);

    // when
    gate.observe_share({0.4, 100}, 120);

    // then
    const double accepted = count_admitted(gate) / static_cast<double>(sample_size);
    cr_assert(accepted > 0.37 && accepted < 0.43, "accepted %f", accepted);
}

Test(admission_gate, a_job_accepted_at_a_share_is_accepted_at_each_higher_one)
{
    // given
    admission_gate lower;
    admission_gate higher;
    lower.observe_share({0.3, 100}, 120);
    higher.observe_share({0.5, 100}, 130);

    // then
    for (int i = 0; i < sample_size; ++i) {
        cr_assert(!lower.admits(make_id(i)) || higher.admits(make_id(i)));
    }
}

Test(admission_gate, a_share_ends_with_the_claim_of_its_owner)
{
    // given
    admission_gate gate;
    gate.observe_claim(100, 100);
    gate.observe_share({0.4, 100}, 120);
    cr_assert(gate.share() == 0.4);

    // when
    gate.observe_claim(std::nullopt, 150);

    // then
    cr_assert(gate.share() == 1.0);
    cr_assert(gate.revision() == 120);

    // when: the next owner is overloaded too
    gate.observe_share({0.6, 160}, 170);
    cr_assert(gate.share() == 0.6);
    gate.observe_claim(160, 170);
    cr_assert(gate.share() == 0.6);
    gate.observe_claim_end();

    // then
    cr_assert(gate.share() == 1.0);
}

Test(admission_gate, a_late_response_does_not_bring_back_an_older_share)
{
    // given
    admission_gate gate;
    gate.observe_share({0.4, 100}, 130);

    // when
    gate.observe_share({0.9, 100}, 120);

    // then
    cr_assert(gate.share() == 0.4);
    cr_assert(gate.revision() == 130);
}

Test(admission_gate, refused_callers_do_not_return_at_once_and_not_all_together)
{
    // given
    admission_gate gate;
    gate.observe_share({0.3, 100}, 120);

    // when
    std::map<std::chrono::seconds, int> callers;
    int refused = 0;
    for (int i = 0; i < sample_size; ++i) {
        if (!gate.admits(make_id(i))) {
            ++callers[gate.retry_after(make_id(i))];
            ++refused;
        }
    }

    // then
    cr_assert(callers.begin()->first >= std::chrono::seconds(1));
    cr_assert(callers.size() >= 3);
    for (const auto& [time, count] : callers) {
        cr_assert(count < refused / 2);
    }
}

Test(admission_gate, a_share_reads_back_as_written_and_nonsense_is_an_error)
{
    const published_share value{0.25, 7};
    cr_assert(admission::decode_share(admission::encode_share(value)).value() == value);
    for (const char* text : {"", "1", "{}", R"({"share":0,"token":1})", R"({"share":2,"token":1})",
                             R"({"share":"x","token":1})", R"({"share":0.5})"}) {
        cr_assert(!admission::decode_share(text), "%s", text);
    }
}

} // namespace
