// Checksums of what is stored: CRC-64 (Boost.CRC, the parameters of XZ) over the meaning of JSON and not its bytes, since the
// store may return a value in another spelling (4.0 for 4, members in another order). They detect corruption and entries that are
// missing or out of date; they are no defence against an attacker.
#pragma once
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace thistlefront {

/// Digest of a JSON value; equal values have equal digests, however they are spelled.
std::uint64_t digest_of(const nlohmann::json& value);
/// Digest of a text.
std::uint64_t digest_of_text(std::string_view text);
/// Digest of a sequence that is extended by one more digest or number.
std::uint64_t digest_with(std::uint64_t before, std::uint64_t more);
/// A digest as 16 hexadecimal digits.
std::string digest_text(std::uint64_t digest);
/// Reads one; throws ProtocolError.
std::uint64_t parse_digest(std::string_view text);

}  // namespace thistlefront
