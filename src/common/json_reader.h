#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "common/error.h"

namespace chervilslip::common {

/// Parses a message and hands it to `read`, which may throw what JSON access throws; any mismatch
/// becomes one error. Thread safe. Errors: `bad_message` with the field in `detail`.
template <typename T, typename Read>
result<T> read_json(const std::string& step, const std::string& text, const std::string& peer,
                    Read read)
{
    try {
        return read(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception& failure) {
        return make_error(errc::bad_message, step, peer, failure.what());
    } catch (const std::logic_error& failure) {
        return make_error(errc::bad_message, step, peer, failure.what());
    }
}

} // namespace chervilslip::common
