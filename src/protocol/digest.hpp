// Checksums of stored values: CRC-64 (Boost.CRC, the parameters of XZ). They are computed over the parsed JSON, not over its bytes,
// because the store may return a value in another spelling (4.0 for 4, members in another order). They detect corruption and missing
// or outdated entries, but do not protect against an attacker.
#pragma once
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace thistlefront {

/// Digest of a JSON value. Equal values have equal digests, however they are spelled.
std::uint64_t digest_of(const nlohmann::json& value);
/// Digest of a text.
std::uint64_t digest_of_text(std::string_view text);
/// Digest of a sequence after another digest or number was appended. `digest`: of the sequence so far.
std::uint64_t extend_digest(std::uint64_t digest, std::uint64_t value);
/// Formats a digest as 16 hexadecimal digits.
std::string digest_text(std::uint64_t digest);
/// Parses the text of a digest; throws ProtocolError.
std::uint64_t parse_digest(std::string_view text);

}  // namespace thistlefront
