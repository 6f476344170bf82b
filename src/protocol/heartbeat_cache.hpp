// Caches the last heartbeat that was read from a connection. Most heartbeats of an agent differ from the previous one only in their
// serial number; these are detected by comparing bytes and not parsed again. A body that the parser would reject must not be accepted.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "model/heartbeat.hpp"

namespace thistlefront {

/// Parses the heartbeats of one connection. Not thread-safe.
class HeartbeatCache {
 public:
  /// Parses a heartbeat. The result is valid until the next call. Its `repeated_serial` is the serial of the previous heartbeat if the
  /// two differ only in their serials. Throws ProtocolError.
  const Heartbeat& read(std::string_view body);

 private:
  // The serial of `body` if all other bytes equal those of the cached body; otherwise nothing.
  [[nodiscard]] std::optional<std::uint64_t> serial_if_repeated(std::string_view body) const;
  void cache_body(std::string_view body);

  Heartbeat heartbeat_;
  std::string before_serial_, after_serial_;  // bytes of the cached body around the digits of its serial
  bool has_cached_body_ = false;
};

}  // namespace thistlefront
