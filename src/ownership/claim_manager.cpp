#include "ownership/claim_manager.h"

#include <utility>

namespace chervilslip::ownership {

claim_manager::claim_manager(std::string own_name, claim_options wanted, std::uint64_t seed)
    : self(std::move(own_name)), options(wanted), random(seed)
{
}

void claim_manager::observe_claim(std::optional<claim_record> record, common::steady_time now)
{
    const bool older = record && this->latest && record->token < this->latest->token;
    if (older) {
        return;
    }
    this->claim_known = true;
    this->latest = std::move(record);
    if (this->latest) {
        this->next_try.reset();
        if (this->own_token && this->latest->token > *this->own_token) {
            this->forget_lease();
        }
        return;
    }
    if (!this->own_token && !this->next_try) {
        const auto delay =
            this->random.below(static_cast<std::uint64_t>(this->options.most_delay_ms) + 1);
        this->schedule_try(now, this->options.min_delay +
                                    common::milliseconds(static_cast<std::int64_t>(delay)));
    }
}

void claim_manager::schedule_try(common::steady_time now, common::milliseconds after)
{
    this->next_try = now + after;
}

void claim_manager::tick(common::steady_time now)
{
    if (this->call_open || this->resigned) {
        return;
    }
    if (this->own_token) {
        if (now >= this->next_renewal) {
            this->call_open = true;
            this->actions.emplace_back(renew_lease{this->lease});
        }
        return;
    }
    if (!this->claim_known || !this->next_try || now < *this->next_try) {
        return;
    }
    this->call_open = true;
    if (this->lease != 0 && now < this->lease_until) {
        this->actions.emplace_back(create_claim{this->lease});
    } else {
        this->lease = 0;
        this->actions.emplace_back(grant_lease{this->options.time_to_live});
    }
}

void claim_manager::on_lease_response(std::uint64_t opened, common::milliseconds time_to_live,
                                      common::steady_time sent_at, common::steady_time now)
{
    this->call_open = false;
    if (opened == 0) {
        this->schedule_try(now, this->options.retry_period);
        return;
    }
    this->lease = opened;
    this->lease_time = time_to_live;
    this->lease_until = sent_at + time_to_live - this->options.clock_margin;
    this->next_try = this->latest ? std::nullopt : std::optional(now);
}

void claim_manager::on_claim_response(call_outcome fate, std::optional<claim_record> record,
                                      std::uint64_t record_lease, common::steady_time now)
{
    this->call_open = false;
    if (fate == call_outcome::refused) {
        this->lease = 0;
        this->schedule_try(now, this->options.retry_period);
        return;
    }
    if (fate == call_outcome::unknown || !record) {
        this->schedule_try(now, this->options.retry_period);
        return;
    }
    this->latest = record;
    this->next_try.reset();
    const bool ours = record->holder == this->self && record_lease == this->lease;
    if (ours && this->resigned) {
        this->actions.emplace_back(revoke_lease{record_lease});
        return;
    }
    if (ours) {
        this->own_token = record->token;
        this->next_renewal = now + this->options.renew_period;
    }
}

void claim_manager::on_renewal_response(call_outcome fate, common::steady_time sent_at,
                                        common::steady_time now)
{
    this->call_open = false;
    if (!this->own_token) {
        return;
    }
    if (fate == call_outcome::refused) {
        this->forget_lease();
        this->latest.reset();
        this->schedule_try(now, common::milliseconds{0});
        return;
    }
    if (fate == call_outcome::unknown) {
        this->next_renewal = now + this->options.retry_period;
        return;
    }
    this->lease_until = sent_at + this->lease_time - this->options.clock_margin;
    this->next_renewal = now + this->options.renew_period;
}

void claim_manager::forget_lease()
{
    this->own_token.reset();
    this->lease = 0;
}

void claim_manager::resign()
{
    this->resigned = true;
    if (this->lease != 0) {
        this->actions.emplace_back(revoke_lease{this->lease});
    }
    this->forget_lease();
}

void claim_manager::step_down(common::steady_time now)
{
    if (this->lease != 0) {
        this->actions.emplace_back(revoke_lease{this->lease});
    }
    this->forget_lease();
    this->latest.reset();
    this->schedule_try(now, this->options.retry_period);
}

std::vector<claim_action> claim_manager::take_actions()
{
    return std::exchange(this->actions, {});
}

std::optional<std::int64_t> claim_manager::token() const
{
    return this->own_token;
}

common::steady_time claim_manager::authority_until() const
{
    return this->lease_until;
}

std::uint64_t claim_manager::own_lease() const
{
    return this->lease;
}

const std::optional<claim_record>& claim_manager::last_seen_claim() const
{
    return this->latest;
}

} // namespace chervilslip::ownership
