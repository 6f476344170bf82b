// Malformed variants of JSON values for tests of parsers.
#pragma once
#include <nlohmann/json.hpp>
#include <vector>

namespace thistlefront::test_support {

// Values of every JSON kind but null and that of `value`. All numbers are of one kind.
inline std::vector<nlohmann::json> values_of_other_kinds(const nlohmann::json& value) {
  const nlohmann::json samples[] = {true, 7, "text", nlohmann::json::array({7}), nlohmann::json::object()};
  std::vector<nlohmann::json> others;
  for (const auto& sample : samples) {
    const bool same_kind = value.is_number() ? sample.is_number() : sample.type() == value.type();
    if (!same_kind) others.push_back(sample);
  }
  return others;
}

}  // namespace thistlefront::test_support
