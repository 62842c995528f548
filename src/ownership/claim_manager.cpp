#include "ownership/claim_manager.h"

#include <utility>

namespace chervilslip::ownership {

claim_manager::claim_manager(std::string own_name, claim_options timing, std::uint64_t seed)
    : self(std::move(own_name)), options(timing), random(seed)
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
        if (this->claim_uncertain && this->latest->holder == this->self) {
            // Possibly created by the attempt that got no response; the next one tells.
            this->next_attempt = this->next_attempt.value_or(now);
        } else {
            this->next_attempt.reset();
        }
        if (this->own_token && this->latest->token > *this->own_token) {
            this->clear_lease();
        }
        return;
    }
    if (!this->own_token && !this->next_attempt) {
        const auto delay =
            this->random.below(static_cast<std::uint64_t>(this->options.max_delay_ms) + 1);
        this->schedule_attempt(now, this->options.min_delay +
                                        common::milliseconds(static_cast<std::int64_t>(delay)));
    }
}

void claim_manager::schedule_attempt(common::steady_time now, common::milliseconds after)
{
    this->next_attempt = now + after;
}

void claim_manager::tick(common::steady_time now)
{
    if (this->call_in_flight || this->resigned) {
        return;
    }
    if (this->own_token) {
        if (now >= this->next_renewal) {
            this->call_in_flight = true;
            this->actions.emplace_back(renew_lease{this->lease});
        }
        return;
    }
    if (!this->claim_known || !this->next_attempt || now < *this->next_attempt) {
        return;
    }
    this->call_in_flight = true;
    if (this->lease != 0 && now < this->lease_expiry) {
        this->actions.emplace_back(create_claim{this->lease});
    } else {
        this->lease = 0;
        this->claim_uncertain = false;
        this->actions.emplace_back(grant_lease{this->options.time_to_live});
    }
}

void claim_manager::on_lease_response(std::uint64_t granted, common::milliseconds time_to_live,
                                      common::steady_time sent_at, common::steady_time now)
{
    this->call_in_flight = false;
    if (granted == 0) {
        this->schedule_attempt(now, this->options.retry_delay);
        return;
    }
    this->lease = granted;
    this->lease_duration = time_to_live;
    this->lease_expiry = sent_at + time_to_live - this->options.expiry_margin;
    this->next_attempt = this->latest ? std::nullopt : std::optional(now);
}

void claim_manager::on_claim_response(call_outcome outcome, std::optional<claim_record> record,
                                      std::uint64_t record_lease, common::steady_time now)
{
    this->call_in_flight = false;
    this->claim_uncertain = outcome == call_outcome::unknown;
    if (outcome == call_outcome::refused) {
        this->lease = 0;
        this->schedule_attempt(now, this->options.retry_delay);
        return;
    }
    if (outcome == call_outcome::unknown || !record) {
        this->schedule_attempt(now, this->options.retry_delay);
        return;
    }
    this->latest = record;
    this->next_attempt.reset();
    const bool ours = record->holder == this->self && record_lease == this->lease;
    if (ours && this->resigned) {
        this->actions.emplace_back(revoke_lease{record_lease});
        return;
    }
    if (ours) {
        this->own_token = record->token;
        this->next_renewal = now + this->options.renew_interval;
    }
}

void claim_manager::on_renewal_response(call_outcome outcome, common::steady_time sent_at,
                                        common::steady_time now)
{
    this->call_in_flight = false;
    if (!this->own_token) {
        return;
    }
    if (outcome == call_outcome::refused) {
        this->clear_lease();
        this->latest.reset();
        this->schedule_attempt(now, common::milliseconds{0});
        return;
    }
    if (outcome == call_outcome::unknown) {
        this->next_renewal = now + this->options.retry_delay;
        return;
    }
    this->lease_expiry = sent_at + this->lease_duration - this->options.expiry_margin;
    // From the sending, because the lease runs from there however late the response is read.
    this->next_renewal = sent_at + this->options.renew_interval;
}

void claim_manager::clear_lease()
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
    this->clear_lease();
}

void claim_manager::step_down(common::steady_time now)
{
    if (this->lease != 0) {
        this->actions.emplace_back(revoke_lease{this->lease});
    }
    this->clear_lease();
    this->latest.reset();
    this->schedule_attempt(now, this->options.retry_delay);
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
    return this->lease_expiry;
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
