#include "ledger/ledger_keys.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr std::size_t kKeyDigits = 12;
}  // namespace

std::string entry_key(std::uint64_t key_number) {
  const auto digits = std::to_string(key_number);
  return kLedgerPrefix + std::string(kKeyDigits - std::min(kKeyDigits, digits.size()), '0') + digits;
}

std::uint64_t parse_key_number(const std::string& key) {
  return std::stoull(key.substr(std::string(kLedgerPrefix).size()));
}

}  // namespace thistlefront
