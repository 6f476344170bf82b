#include "protocol/digest.hpp"

#include <array>
#include <bit>
#include <boost/crc.hpp>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "protocol/protocol_error.hpp"

namespace thistlefront {

namespace {
using Crc = boost::crc_optimal<64, 0x42F0E1EBA9EA3693, 0xFFFFFFFFFFFFFFFF, 0xFFFFFFFFFFFFFFFF, true, true>;
constexpr double kMaxExactInteger = 9007199254740992.0;  // 2^53: a double represents all integers up to this one exactly
constexpr std::size_t kDigits = 16;

void feed(Crc& crc, std::uint64_t word) {
  std::array<unsigned char, 8> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<unsigned char>(word >> (8 * i));
  crc.process_bytes(bytes.data(), bytes.size());
}

void feed(Crc& crc, std::string_view text) {
  feed(crc, std::uint64_t{text.size()});
  crc.process_bytes(text.data(), text.size());
}

// An integer that a double represents exactly is fed as that double, so that 4 and 4.0 have the same digest.
void feed_number(Crc& crc, const nlohmann::json& value) {
  const double number = value.get<double>();
  const bool is_exact = value.is_number_float() || std::abs(number) <= kMaxExactInteger;
  crc.process_byte(is_exact ? '1' : '#');
  // 0.0 and -0.0 must have the same digest.
  feed(crc, is_exact ? std::bit_cast<std::uint64_t>(number == 0 ? 0.0 : number) : value.get<std::uint64_t>());
}

void feed(Crc& crc, const nlohmann::json& value) {
  using Type = nlohmann::json::value_t;
  switch (value.type()) {
    case Type::array:
      crc.process_byte('[');
      for (const auto& item : value) feed(crc, item);
      crc.process_byte(']');
      return;
    case Type::object:
      crc.process_byte('{');
      for (const auto& [name, member] : value.items()) {  // sorted by name
        feed(crc, std::string_view(name));
        feed(crc, member);
      }
      crc.process_byte('}');
      return;
    case Type::string:
      crc.process_byte('"');
      feed(crc, std::string_view(value.get_ref<const std::string&>()));
      return;
    case Type::boolean: crc.process_byte(value.get<bool>() ? 't' : 'f'); return;
    case Type::number_unsigned:
    case Type::number_integer:
    case Type::number_float: feed_number(crc, value); return;
    default: crc.process_byte('0'); return;
  }
}
}  // namespace

std::uint64_t digest_of(const nlohmann::json& value) {
  Crc crc;
  feed(crc, value);
  return crc.checksum();
}

std::uint64_t digest_of_text(std::string_view text) {
  Crc crc;
  feed(crc, text);
  return crc.checksum();
}

std::uint64_t extend_digest(std::uint64_t digest, std::uint64_t value) {
  Crc crc;
  feed(crc, digest);
  feed(crc, value);
  return crc.checksum();
}

std::string digest_text(std::uint64_t digest) {
  std::string out(kDigits, '0');
  for (std::size_t i = 0; i < kDigits; ++i, digest >>= 4) out[kDigits - 1 - i] = "0123456789abcdef"[digest & 15];
  return out;
}

std::uint64_t parse_digest(std::string_view text) {
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
  if (text.size() != kDigits || error != std::errc{} || end != text.data() + text.size())
    throw ProtocolError("not a digest: " + std::string(text.substr(0, kDigits)));
  return out;
}

}  // namespace thistlefront
