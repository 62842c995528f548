#include "admission/admission_gate.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace chervilslip::admission {

namespace {

using std::chrono::seconds;

/// Growth of the share per second once the owner is calm: its controller's growth per interval.
constexpr double growth_per_second = 1.36;

constexpr seconds min_retry_after{1};
constexpr seconds max_retry_after{6};

/// Returns a job's position in [0, 1): it is accepted while this is below the share. FNV-1a, mixed
/// with the finalizer of MurmurHash3, so that nodes of all builds decide alike.
double position_of(const std::string& id)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char each : id) {
        hash = (hash ^ static_cast<unsigned char>(each)) * 0x100000001b3U;
    }
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53U;
    hash ^= hash >> 33U;
    constexpr unsigned mantissa_bits = 53;
    return std::ldexp(static_cast<double>(hash >> (64U - mantissa_bits)),
                      -static_cast<int>(mantissa_bits));
}

} // namespace

std::string encode_share(const published_share& value)
{
    return nlohmann::json{{"share", value.share}, {"token", value.token}}.dump();
}

common::result<published_share> decode_share(const std::string& text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("share") || !value["share"].is_number() ||
        !value.contains("token") || !value["token"].is_number_integer()) {
        return common::make_error(common::errc::bad_message, "read admission share", "",
                                  "share or token missing");
    }
    const published_share read{value["share"].get<double>(), value["token"].get<std::int64_t>()};
    if (!(read.share > 0.0 && read.share <= 1.0)) {
        return common::make_error(common::errc::bad_message, "read admission share", "",
                                  "share out of range");
    }
    return read;
}

bool may_be_refused(const jobs::job& submitted)
{
    return submitted.repeats == 0 && !submitted.is_long_running();
}

void admission_gate::observe_claim(std::optional<std::int64_t> token, std::int64_t store_revision)
{
    // A claim's token is the revision of its creation, so every claim that is newer than an
    // observed absence has a higher token.
    this->oldest_valid_token =
        std::max(this->oldest_valid_token, token ? *token : store_revision + 1);
}

void admission_gate::observe_claim_end()
{
    this->oldest_valid_token = std::max(this->oldest_valid_token, this->latest.token + 1);
}

void admission_gate::observe_share(const published_share& value, std::int64_t revision)
{
    // Responses may overtake each other. The item is not deleted unless the store is reset.
    if (revision > this->share_revision || revision == 0) {
        this->latest = value;
        this->share_revision = revision;
    }
}

bool admission_gate::admits(const std::string& id) const
{
    return position_of(id) < this->share();
}

seconds admission_gate::retry_after(const std::string& id) const
{
    const double missing = std::log(position_of(id) / this->share()) / std::log(growth_per_second);
    return std::clamp(seconds(static_cast<std::int64_t>(std::ceil(std::max(missing, 0.0)))),
                      min_retry_after, max_retry_after);
}

double admission_gate::share() const
{
    return this->latest.token >= this->oldest_valid_token ? this->latest.share : 1.0;
}

std::int64_t admission_gate::revision() const
{
    return this->share_revision;
}

std::int64_t admission_gate::token() const
{
    return this->latest.token;
}

} // namespace chervilslip::admission
