// Error type of all parse_* functions of this folder, for malformed messages, stored values and ledger entries. Callers turn it into
// an HTTP status or a log line.
#pragma once
#include <stdexcept>
#include <string>
#include <utility>

namespace thistlefront {

/// A malformed message. what() is one line: "field: reason", or only the reason if no single field is malformed.
class ProtocolError : public std::runtime_error {
 public:
  /// One field is malformed. `field`: its name on the wire.
  ProtocolError(std::string field, std::string reason)
      : std::runtime_error(field + ": " + reason), field_(std::move(field)), reason_(std::move(reason)) {}
  /// The value as a whole is malformed; field() is empty.
  explicit ProtocolError(const std::string& reason) : std::runtime_error(reason), reason_(reason) {}

  /// The field's name on the wire; empty if the value as a whole is malformed.
  [[nodiscard]] const std::string& field() const { return field_; }
  /// Why it is malformed, without the field's name.
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

}  // namespace thistlefront
