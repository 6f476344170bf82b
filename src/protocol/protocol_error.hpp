// The one error type of this folder: a message, a stored value or a ledger entry that cannot be read. It is thrown by every
// parse_* function and turned into an HTTP status or a log line by the caller.
#pragma once
#include <stdexcept>
#include <string>
#include <utility>

namespace thistlefront {

/// A message that is malformed. what() is one line: "field: reason", or the reason alone where no field is to blame.
class ProtocolError : public std::runtime_error {
 public:
  /// Blames one field, by its name on the wire.
  ProtocolError(std::string field, std::string reason)
      : std::runtime_error(field + ": " + reason), field_(std::move(field)), reason_(std::move(reason)) {}
  /// Blames the value as a whole; field() is empty.
  explicit ProtocolError(const std::string& reason) : std::runtime_error(reason), reason_(reason) {}

  /// The field's name on the wire; empty where the value as a whole is malformed.
  [[nodiscard]] const std::string& field() const { return field_; }
  /// What is wrong with it, without the field's name.
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

}  // namespace thistlefront
