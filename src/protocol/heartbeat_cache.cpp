#include "protocol/heartbeat_cache.hpp"

#include <algorithm>
#include <charconv>

#include "protocol/worker_messages.hpp"

namespace thistlefront {

namespace {
constexpr std::string_view kSerialKey = "\"serial\":";
constexpr std::string_view kDigits = "0123456789";
constexpr std::size_t kMaxRememberedBytes = std::size_t{16} * 1024;  // longer bodies are parsed each time

// A whole number as JSON spells it; nothing for any other text.
std::optional<std::uint64_t> whole_number(std::string_view text) {
  if (text.empty() || (text.front() == '0' && text.size() > 1)) return std::nullopt;
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}
}  // namespace

const Heartbeat& HeartbeatCache::read(std::string_view body) {
  if (const auto serial = serial_if_repeated(body)) {
    heartbeat_.repeated_serial = heartbeat_.serial;
    heartbeat_.serial = *serial;
    return heartbeat_;
  }
  remembers_ = false;
  heartbeat_ = parse_heartbeat(body);
  remember(body);
  return heartbeat_;
}

std::optional<std::uint64_t> HeartbeatCache::serial_if_repeated(std::string_view body) const {
  if (!remembers_ || !body.starts_with(before_serial_) || !body.ends_with(after_serial_)) return std::nullopt;
  const std::size_t around = before_serial_.size() + after_serial_.size();
  if (body.size() <= around) return std::nullopt;
  return whole_number(body.substr(before_serial_.size(), body.size() - around));
}

// Remembers a body only if its bytes leave no doubt which digits are the serial: the key occurs once, and nothing is escaped.
void HeartbeatCache::remember(std::string_view body) {
  if (body.size() > kMaxRememberedBytes || body.find('\\') != std::string_view::npos) return;
  const std::size_t key = body.find(kSerialKey);
  if (key == std::string_view::npos || body.find(kSerialKey, key + 1) != std::string_view::npos) return;
  const std::size_t first = body.find_first_of(kDigits, key + kSerialKey.size());
  if (first == std::string_view::npos) return;
  const std::size_t last = std::min(body.find_first_not_of(kDigits, first), body.size());
  if (whole_number(body.substr(first, last - first)) != heartbeat_.serial) return;
  // A fraction or an exponent after the digits would make them another number.
  if (last < body.size() && body[last] != ',' && body[last] != '}' && body[last] != ' ') return;
  before_serial_ = body.substr(0, first);
  after_serial_ = body.substr(last);
  remembers_ = true;
}

}  // namespace thistlefront
