#include "protocol/heartbeat_cache.hpp"

#include <algorithm>
#include <charconv>

#include "protocol/worker_messages.hpp"

namespace thistlefront {

namespace {
constexpr std::string_view kSerialKey = "\"serial\":";
constexpr std::string_view kDigits = "0123456789";
constexpr std::size_t kMaxCachedBytes = std::size_t{16} * 1024;  // longer bodies are always parsed

// Parses a JSON number that has only digits; nothing for any other text.
std::optional<std::uint64_t> parse_whole_number(std::string_view text) {
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
  has_cached_body_ = false;
  heartbeat_ = parse_heartbeat(body);
  cache_body(body);
  return heartbeat_;
}

std::optional<std::uint64_t> HeartbeatCache::serial_if_repeated(std::string_view body) const {
  if (!has_cached_body_ || !body.starts_with(before_serial_) || !body.ends_with(after_serial_)) return std::nullopt;
  const std::size_t constant_bytes = before_serial_.size() + after_serial_.size();
  if (body.size() <= constant_bytes) return std::nullopt;
  return parse_whole_number(body.substr(before_serial_.size(), body.size() - constant_bytes));
}

// Caches a body only if the position of its serial is unambiguous: the key occurs once, and the body contains no escapes.
void HeartbeatCache::cache_body(std::string_view body) {
  if (body.size() > kMaxCachedBytes || body.find('\\') != std::string_view::npos) return;
  const std::size_t key = body.find(kSerialKey);
  if (key == std::string_view::npos || body.find(kSerialKey, key + 1) != std::string_view::npos) return;
  const std::size_t begin = body.find_first_of(kDigits, key + kSerialKey.size());
  if (begin == std::string_view::npos) return;
  const std::size_t end = std::min(body.find_first_not_of(kDigits, begin), body.size());
  if (parse_whole_number(body.substr(begin, end - begin)) != heartbeat_.serial) return;
  // A fraction or an exponent after the digits would be part of the number.
  if (end < body.size() && body[end] != ',' && body[end] != '}' && body[end] != ' ') return;
  before_serial_ = body.substr(0, begin);
  after_serial_ = body.substr(end);
  has_cached_body_ = true;
}

}  // namespace thistlefront
