// Names of enumerators in JSON. Each table is defined next to the messages that use it; only the table of JobStatus is defined
// here, because messages to users and the ledger share it.
#pragma once
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "model/job.hpp"
#include "protocol/json_fields.hpp"

namespace thistlefront {

/// An enumerator and its name in JSON. A table is an array of these.
template <class Enum>
struct EnumName {
  std::string_view name;
  Enum value;
};

/// Names of a job's status in messages to users and in the ledger.
inline constexpr EnumName<JobStatus> kJobStatusNames[] = {
    {"queued", JobStatus::queued}, {"running", JobStatus::running}, {"done", JobStatus::done}, {"aborted", JobStatus::cancelled}};

/// The enumerator with this name; nullptr if the table has none.
template <class Enum, std::size_t N>
const Enum* find_enum(const std::string& name, const EnumName<Enum> (&names)[N]) {
  for (const auto& entry : names)
    if (entry.name == name) return &entry.value;
  return nullptr;
}

/// The enumerator that `value` names; throws a ProtocolError that names `field` if there is none.
template <class Enum, std::size_t N>
Enum as_enum(const nlohmann::json& value, const char* field, const EnumName<Enum> (&names)[N]) {
  const Enum* found = value.is_string() ? find_enum(value.get_ref<const std::string&>(), names) : nullptr;
  if (!found) fail_field(field, "not a known value");
  return *found;
}

/// The name of an enumerator; empty if the table has none.
template <class Enum, std::size_t N>
std::string_view enum_name(Enum value, const EnumName<Enum> (&names)[N]) {
  for (const auto& entry : names)
    if (entry.value == value) return entry.name;
  return "";
}

}  // namespace thistlefront
