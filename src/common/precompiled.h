#pragma once

// Headers that nearly every source file needs, compiled once.
#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>
#include <vector>

#include <boost/outcome/result.hpp>
#include <nlohmann/json.hpp>
