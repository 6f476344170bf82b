// Remembers the last report read from one connection. Most reports of a worker differ from the one before in their serial
// number alone; such a report is recognised by its bytes and not parsed again.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "model/heartbeat.hpp"

namespace thistlefront {

class HeartbeatCache {
 public:
  // The report in `body`; `Report::repeats` is set where it says the same as the one read before. Valid until the next call.
  // Throws ProtocolError.
  const Heartbeat& read(std::string_view body);

 private:
  // The serial of a body that is otherwise the same, byte for byte, as the remembered one; nothing where it is not.
  [[nodiscard]] std::optional<std::uint64_t> serial_if_repeated(std::string_view body) const;
  void remember(std::string_view body);

  Heartbeat heartbeat_;
  std::string before_serial_, after_serial_;  // the remembered body without the digits of its serial
  bool remembers_ = false;
};

}  // namespace thistlefront
