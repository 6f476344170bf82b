// Remembers the last heartbeat read from one connection. Most heartbeats of a node differ from the one before in their serial
// number alone; such a heartbeat is recognised by its bytes and not parsed again. It must never accept what the parser rejects.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "model/heartbeat.hpp"

namespace thistlefront {

/// Reads the heartbeats of one connection. Not thread-safe.
class HeartbeatCache {
 public:
  /// The heartbeat in `body`, valid until the next call. `repeated_serial` is set if it equals the one read before in all but
  /// its serial. Throws ProtocolError.
  const Heartbeat& read(std::string_view body);

 private:
  // The serial of a body that equals the remembered one byte for byte outside of its serial; nothing for any other body.
  [[nodiscard]] std::optional<std::uint64_t> serial_if_repeated(std::string_view body) const;
  void remember(std::string_view body);

  Heartbeat heartbeat_;
  std::string before_serial_, after_serial_;  // the remembered body without the digits of its serial
  bool remembers_ = false;
};

}  // namespace thistlefront
