#include "protocol/worker_messages.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

#include "protocol/enum_names.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

constexpr double kMaxPlainNumber = 1e15;  // smaller whole numbers are written without exponent and fraction
constexpr EnumName<CommandType> kCommandTypeNames[] = {
    {"run", CommandType::run}, {"kill", CommandType::kill}, {"reap", CommandType::acknowledge_exit}};

void append_number(std::string& out, double value) {
  if (value == std::floor(value) && std::abs(value) < kMaxPlainNumber) {
    out += std::to_string(static_cast<long long>(value));
  } else {
    out += json(value).dump();
  }
}

void append_command(std::string& out, const Command& command) {
  out += "{\"verb\":\"";
  out += enum_name(command.type, kCommandTypeNames);
  out += "\",\"piece\":";
  // dump() throws on invalid UTF-8. The uid is valid: it has passed is_uid() or the JSON parser.
  out += json(command.id.uid + "/" + std::to_string(command.id.task)).dump();
  out += ",\"try\":" + std::to_string(command.attempt);
  if (command.type == CommandType::kill) {
    out += ",\"windDownS\":";
    append_number(out, command.grace_period_s);
  }
  out += '}';
}

void append_commands(std::string& out, const std::vector<Command>& commands) {
  out += "\"orders\":[";
  const char* separator = "";
  for (const auto& command : commands) {
    out += separator;
    append_command(out, command);
    separator = ",";
  }
  out += ']';
}

}  // namespace

std::string heartbeat_reply_body(std::uint64_t fencing_token, const std::vector<Command>& commands) {
  std::string out = "{\"epoch\":" + std::to_string(fencing_token) + ",";
  append_commands(out, commands);
  return out + "}";
}

std::string commands_body(std::uint64_t fencing_token, std::uint64_t agent_incarnation, const std::vector<Command>& commands) {
  std::string out = "{\"epoch\":" + std::to_string(fencing_token) + ",\"tenure\":" + std::to_string(agent_incarnation) + ",";
  append_commands(out, commands);
  return out + "}";
}

std::string redirect_body(std::string_view redirect_target) {
  if (redirect_target.empty()) return "{}";
  return json{{"steward", redirect_target}}.dump();
}

}  // namespace thistlefront
