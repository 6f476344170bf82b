// What each version of the stored format brought. A later version contains all of the earlier ones.
#pragma once
#include <cstdint>

namespace thistlefront {

/// From version 2 on, entries carry a checksum and a link to the entry before.
inline constexpr bool has_checksums(std::uint32_t format_version) {
  return format_version > 1;
}
/// From version 3 on, entries hold the quotas of teams.
inline constexpr bool has_team_quotas(std::uint32_t format_version) {
  return format_version > 2;
}
/// From version 4 on, jobs may depend on others.
inline constexpr bool has_dependencies(std::uint32_t format_version) {
  return format_version > 3;
}
/// From version 4 on, an entry holds its number, which its key no longer tells: a key is used again once the newest entry
/// says that the entry in it is no longer needed. Compacting the ledger so takes no transaction of its own.
inline constexpr bool reuses_keys(std::uint32_t format_version) {
  return format_version > 3;
}

}  // namespace thistlefront
