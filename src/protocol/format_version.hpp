// Features of the format versions of stored data. Each version includes the features of all earlier ones.
#pragma once
#include <cstdint>

namespace thistlefront {

/// From version 2 on, entries have a checksum and a link to the previous entry.
inline constexpr bool has_checksums(std::uint32_t format_version) {
  return format_version > 1;
}
/// From version 3 on, entries may hold the quotas of teams.
inline constexpr bool has_team_quotas(std::uint32_t format_version) {
  return format_version > 2;
}
/// From version 4 on, jobs may depend on others.
inline constexpr bool has_dependencies(std::uint32_t format_version) {
  return format_version > 3;
}
/// From version 4 on, an entry contains its number, because its key no longer has it: a key is reused once the newest entry marks
/// the entry stored there as no longer needed. Compaction then needs no transactions of its own.
inline constexpr bool reuses_keys(std::uint32_t format_version) {
  return format_version > 3;
}

}  // namespace thistlefront
