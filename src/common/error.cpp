#include "common/error.h"

namespace chervilslip::common {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override
    {
        return "chervilslip";
    }

    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<errc>(value)) {
        case errc::ok:
            return "ok";
        case errc::connect_failed:
            return "connect failed";
        case errc::timed_out:
            return "timed out";
        case errc::connection_lost:
            return "connection lost";
        case errc::bad_message:
            return "bad message";
        case errc::too_large:
            return "too large";
        case errc::unavailable:
            return "unavailable";
        case errc::conflict:
            return "conflict";
        case errc::not_found:
            return "not found";
        case errc::refused:
            return "refused";
        case errc::invalid:
            return "invalid";
        case errc::fenced:
            return "fenced off by a newer holder";
        case errc::expired:
            return "no longer kept";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& error_category() noexcept
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), error_category()};
}

std::string error::to_string() const
{
    std::string text = this->step;
    if (!this->peer.empty()) {
        text += " with " + this->peer;
    }
    text += ": " + this->code.message();
    if (!this->detail.empty()) {
        text += ": " + this->detail;
    }
    return text;
}

bool error::may_have_reached_peer() const noexcept
{
    return this->code != errc::connect_failed;
}

bool error::may_have_been_done() const noexcept
{
    return this->may_have_reached_peer() && this->code != errc::unavailable;
}

error make_error(errc code, std::string step, std::string peer, std::string detail)
{
    return error{make_error_code(code), std::move(step), std::move(peer), std::move(detail)};
}

} // namespace chervilslip::common
