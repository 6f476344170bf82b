// How enumerators are spelled in JSON. A table stands beside the messages that use it; only JobStatus, which users and the
// ledger share, stands here.
#pragma once
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "model/job.hpp"
#include "protocol/json_fields.hpp"

namespace thistlefront {

/// One enumerator and its spelling; a table of them is an array.
template <class Enum>
struct EnumName {
  std::string_view name;
  Enum value;
};

/// The status of a job, as users and the ledger spell it.
inline constexpr EnumName<JobStatus> kJobStatusNames[] = {
    {"queued", JobStatus::queued}, {"running", JobStatus::running}, {"done", JobStatus::done}, {"aborted", JobStatus::cancelled}};

/// The enumerator of that name; nullptr if the table has none.
template <class Enum, std::size_t N>
const Enum* find_enum(const std::string& name, const EnumName<Enum> (&names)[N]) {
  for (const auto& entry : names)
    if (entry.name == name) return &entry.value;
  return nullptr;
}

/// The enumerator that `value` names; throws ProtocolError for `field` if it names none.
template <class Enum, std::size_t N>
Enum as_enum(const nlohmann::json& value, const char* field, const EnumName<Enum> (&names)[N]) {
  const Enum* found = value.is_string() ? find_enum(value.get_ref<const std::string&>(), names) : nullptr;
  if (!found) fail_field(field, "not a known value");
  return *found;
}

/// The spelling of an enumerator; empty if the table has none.
template <class Enum, std::size_t N>
std::string_view enum_name(Enum value, const EnumName<Enum> (&names)[N]) {
  for (const auto& entry : names)
    if (entry.value == value) return entry.name;
  return "";
}

}  // namespace thistlefront
