// Checks of what is stored: CRC-64 (Boost.CRC, the parameters of XZ) over JSON as it means, not as it is
// spelled, since a state service may give a value back in another spelling (4.0 for 4, members in another
// order). It tells of bytes that changed and of entries that are missing or older; it is no defence against
// somebody who means harm.
#pragma once
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace thistlefront {

// Of one JSON value.
std::uint64_t digest_of(const nlohmann::json& value);
std::uint64_t digest_of_text(std::string_view text);
// Of a sequence, extended by one more.
std::uint64_t digest_with(std::uint64_t before, std::uint64_t more);
// 16 hexadecimal digits, and back; throws ProtocolError.
std::string digest_text(std::uint64_t digest);
std::uint64_t parse_digest(std::string_view text);

}  // namespace thistlefront
