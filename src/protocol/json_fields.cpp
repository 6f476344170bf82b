#include "protocol/json_fields.hpp"

#include <cmath>

namespace thistlefront {

using nlohmann::json;

namespace {
constexpr std::size_t kMaxTextBytes = 200;
constexpr double kMaxAmount = 1e12;
constexpr double kMaxExactCount = 9e15;  // a double is exact for whole numbers up to 2^53, about 9.007e15
}  // namespace

json parse_object(std::string_view body) {
  json parsed = json::parse(body.begin(), body.end(), nullptr, false);
  if (parsed.is_discarded()) fail_field("body", "not JSON");
  if (!parsed.is_object()) fail_field("body", "not an object");
  return parsed;
}

void fail_field(const char* field, const char* reason) {
  throw ProtocolError(field, reason);
}

const json* find_member(const json& object, const char* field) {
  const auto it = object.find(field);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const json& require_member(const json& object, const char* field) {
  const json* value = find_member(object, field);
  if (!value) fail_field(field, "missing");
  return *value;
}

void check_text_length(const std::string& text, const char* field) {
  if (text.empty()) fail_field(field, "empty");
  if (text.size() > kMaxTextBytes) fail_field(field, "too long");
}

std::optional<std::uint64_t> exact_count(double value) {
  if (value >= 0 && value < kMaxExactCount && value == std::floor(value)) return static_cast<std::uint64_t>(value);
  return std::nullopt;
}

std::string as_text(const json& value, const char* field) {
  if (!value.is_string()) fail_field(field, "not a string");
  const auto& text = value.get_ref<const std::string&>();
  check_text_length(text, field);
  return text;
}

double as_amount(const json& value, const char* field) {
  if (!value.is_number()) fail_field(field, "not a number");
  const double amount = value.get<double>();
  if (!std::isfinite(amount)) fail_field(field, "not finite");
  if (amount < 0) fail_field(field, "negative");
  if (amount > kMaxAmount) fail_field(field, "too large");
  return amount;
}

std::uint64_t as_count(const json& value, const char* field) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  if (value.is_number_float()) {
    if (const auto count = exact_count(value.get<double>())) return *count;
  }
  fail_field(field, "not a count");
}

std::string read_text(const json& object, const char* field) {
  return as_text(require_member(object, field), field);
}

double read_amount(const json& object, const char* field) {
  return as_amount(require_member(object, field), field);
}

double read_amount_or(const json& object, const char* field, double default_value) {
  const json* value = find_member(object, field);
  return value ? as_amount(*value, field) : default_value;
}

std::uint64_t read_count(const json& object, const char* field) {
  return as_count(require_member(object, field), field);
}

bool read_flag(const json& object, const char* field) {
  const json& value = require_member(object, field);
  if (!value.is_boolean()) fail_field(field, "not true or false");
  return value.get<bool>();
}

bool read_flag_or(const json& object, const char* field, bool default_value) {
  return find_member(object, field) ? read_flag(object, field) : default_value;
}

const json& read_list(const json& object, const char* field) {
  const json& value = require_member(object, field);
  if (!value.is_array()) fail_field(field, "not a list");
  return value;
}

}  // namespace thistlefront
