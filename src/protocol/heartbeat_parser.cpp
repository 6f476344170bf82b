// parse_heartbeat(): reads a heartbeat event by event. A leader reads hundreds of them a second, and building a JSON document
// for each would be most of their cost.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "protocol/enum_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/worker_messages.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

constexpr std::size_t kTaskReportBytes = 60;  // of one task in a heartbeat, roughly: used to reserve memory
constexpr std::size_t kMaxTaskDigits = 6;

constexpr EnumName<TaskPhase> kTaskPhaseNames[] = {{"pulling", TaskPhase::pulling_image},
                                                   {"gathering", TaskPhase::waiting_for_gang},
                                                   {"running", TaskPhase::running},
                                                   {"saving", TaskPhase::checkpointing},
                                                   {"exited", TaskPhase::exited}};
constexpr EnumName<ExitReason> kExitReasonNames[] = {
    {"done", ExitReason::completed},         {"halted", ExitReason::stopped},      {"peers", ExitReason::gang_member_lost},
    {"alone", ExitReason::gang_incomplete},  {"error", ExitReason::failed},        {"no_room", ExitReason::insufficient_resources},
    {"busy", ExitReason::duplicate_attempt}, {"unknown", ExitReason::unknown_task}};

// "uid/number", with at most kMaxTaskDigits digits.
TaskId parse_task_id(const std::string& text, const char* field) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos || slash + 1 >= text.size() || text.size() - slash > kMaxTaskDigits + 1) fail_field(field, "not a task");
  std::uint32_t task = 0;
  for (std::size_t i = slash + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') fail_field(field, "not a task");
    task = task * 10 + static_cast<std::uint32_t>(text[i] - '0');
  }
  return {text.substr(0, slash), task};
}

// A scalar of the document, or a nested value that is skipped (`other`).
struct Value {
  enum class Kind : std::uint8_t { null, flag, count, real, text, other } kind = Kind::null;
  bool flag = false;
  std::uint64_t count = 0;
  double real = 0;
  std::string* text = nullptr;
};

std::string as_text(const Value& value, const char* field) {
  if (value.kind != Value::Kind::text) fail_field(field, "not a string");
  check_text_length(*value.text, field);
  return std::move(*value.text);
}

std::uint64_t as_count(const Value& value, const char* field) {
  if (value.kind == Value::Kind::count) return value.count;
  if (value.kind == Value::Kind::real) {
    if (const auto count = count_of_real(value.real)) return *count;
  }
  fail_field(field, "not a count");
}

bool as_flag(const Value& value, const char* field) {
  if (value.kind != Value::Kind::flag) fail_field(field, "not true or false");
  return value.flag;
}

// Handler for the events of nlohmann's SAX parser, whose interface sets the names of the public functions. Nesting depth 1
// is the heartbeat's object, 2 the list of its tasks, 3 one task's object.
class HeartbeatHandler {
 public:
  bool null() { return take({}); }
  bool boolean(bool value) { return take({.kind = Value::Kind::flag, .flag = value}); }
  bool number_integer(std::int64_t value) { return take({.kind = Value::Kind::real, .real = static_cast<double>(value)}); }
  bool number_unsigned(std::uint64_t value) {
    return take({.kind = Value::Kind::count, .count = value, .real = static_cast<double>(value)});
  }
  bool number_float(double value, const std::string&) { return take({.kind = Value::Kind::real, .real = value}); }
  bool string(std::string& value) { return take({.kind = Value::Kind::text, .text = &value}); }
  bool binary(std::vector<std::uint8_t>&) { return take({.kind = Value::Kind::other}); }
  bool start_object(std::size_t size);
  bool end_object();
  bool start_array(std::size_t size);
  bool end_array();
  bool key(std::string& key);
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) { return false; }

  // Makes room for that many tasks.
  void reserve_tasks(std::size_t count) { heartbeat_.tasks.reserve(count); }
  // The heartbeat read; throws ProtocolError unless it is complete. `parsed`: what the parser returned.
  Heartbeat take_heartbeat(bool parsed);

 private:
  static constexpr int kHeartbeatDepth = 1, kTaskListDepth = 2, kTaskDepth = 3;

  [[nodiscard]] bool at_heartbeat() const { return depth_ == kHeartbeatDepth; }
  [[nodiscard]] bool in_task_list() const { return depth_ == kTaskListDepth && in_tasks_; }
  [[nodiscard]] bool in_task() const { return depth_ == kTaskDepth && in_tasks_; }
  bool take(const Value& value);
  void read_heartbeat_field(const Value& value);
  void read_task_field(const Value& value);

  struct SeenInHeartbeat {
    bool agent_incarnation = false, serial = false, fencing_token = false, tasks = false;
  };
  struct SeenInTask {
    bool id = false, attempt = false, phase = false;
  };

  Heartbeat heartbeat_;
  SeenInHeartbeat seen_;
  TaskReport task_;  // the one being read
  SeenInTask seen_in_task_;
  int depth_ = 0;
  bool is_object_ = false;
  bool in_tasks_ = false;
  std::string key_;  // the latest key at the depth of the heartbeat or of a task
};

bool HeartbeatHandler::start_object(std::size_t) {
  if (depth_ == 0) {
    is_object_ = true;
  } else if (in_task_list()) {
    task_ = {};
    seen_in_task_ = {};
  } else {
    take({.kind = Value::Kind::other});
  }
  ++depth_;
  return true;
}

bool HeartbeatHandler::end_object() {
  --depth_;
  if (!in_task_list()) return true;
  if (!seen_in_task_.id) fail_field("piece", "missing");
  if (!seen_in_task_.attempt) fail_field("try", "missing");
  if (!seen_in_task_.phase) fail_field("status", "missing");
  heartbeat_.tasks.push_back(std::move(task_));
  return true;
}

bool HeartbeatHandler::start_array(std::size_t) {
  if (at_heartbeat() && key_ == "pieces") {
    in_tasks_ = seen_.tasks = true;
    heartbeat_.tasks.clear();
  } else {
    take({.kind = Value::Kind::other});
  }
  ++depth_;
  return true;
}

bool HeartbeatHandler::end_array() {
  --depth_;
  if (at_heartbeat()) in_tasks_ = false;
  return true;
}

bool HeartbeatHandler::key(std::string& key) {
  if (at_heartbeat() || in_task()) key_ = key;
  return true;
}

Heartbeat HeartbeatHandler::take_heartbeat(bool parsed) {
  if (!parsed) fail_field("body", "not JSON");
  if (!is_object_) fail_field("body", "not an object");
  if (heartbeat_.node.empty()) fail_field("host", "missing");
  if (heartbeat_.address.empty()) fail_field("address", "missing");
  if (heartbeat_.machine_type.empty()) fail_field("hostKind", "missing");
  if (heartbeat_.zone.empty()) fail_field("yard", "missing");
  if (!seen_.agent_incarnation) fail_field("tenure", "missing");
  if (!seen_.serial) fail_field("serial", "missing");
  if (!seen_.fencing_token) fail_field("epoch", "missing");
  if (!seen_.tasks) fail_field("pieces", "missing");
  return std::move(heartbeat_);
}

// Always true: a value that cannot be taken throws.
bool HeartbeatHandler::take(const Value& value) {
  if (depth_ == 0) return true;  // not an object: take_heartbeat() says so
  if (in_task_list()) fail_field("pieces", "not objects");
  // A null counts as an absent field; what is nested in unknown fields is ignored.
  if (value.kind == Value::Kind::null) return true;
  if (at_heartbeat()) {
    read_heartbeat_field(value);
  } else if (in_task()) {
    read_task_field(value);
  }
  return true;
}

void HeartbeatHandler::read_heartbeat_field(const Value& value) {
  if (key_ == "host") {
    heartbeat_.node = as_text(value, "host");
  } else if (key_ == "address") {
    heartbeat_.address = as_text(value, "address");
  } else if (key_ == "hostKind") {
    heartbeat_.machine_type = as_text(value, "hostKind");
  } else if (key_ == "yard") {
    heartbeat_.zone = as_text(value, "yard");
  } else if (key_ == "loaners") {
    heartbeat_.spot = as_flag(value, "loaners");
  } else if (key_ == "tenure") {
    heartbeat_.agent_incarnation = as_count(value, "tenure");
    seen_.agent_incarnation = true;
  } else if (key_ == "serial") {
    heartbeat_.serial = as_count(value, "serial");
    seen_.serial = true;
  } else if (key_ == "epoch") {
    heartbeat_.fencing_token = as_count(value, "epoch");
    seen_.fencing_token = true;
  } else if (key_ == "pieces") {
    fail_field("pieces", "not a list");
  } else if (key_ == "recallS") {
    if (value.kind != Value::Kind::count && value.kind != Value::Kind::real) fail_field("recallS", "not a number");
    heartbeat_.interruption_in_s = std::max(0.0, value.real);
  }
}

void HeartbeatHandler::read_task_field(const Value& value) {
  if (key_ == "piece") {
    if (value.kind != Value::Kind::text) fail_field("piece", "not a string");
    task_.id = parse_task_id(*value.text, "piece");
    seen_in_task_.id = true;
  } else if (key_ == "try") {
    task_.attempt = as_count(value, "try");
    seen_in_task_.attempt = true;
  } else if (key_ == "status") {
    const auto* phase = value.kind == Value::Kind::text ? find_enum(*value.text, kTaskPhaseNames) : nullptr;
    if (!phase) fail_field("status", "not a known value");
    task_.phase = *phase;
    seen_in_task_.phase = true;
  } else if (key_ == "cause") {
    // A reason that this build does not know counts as a failure of the task, never as its completion.
    const auto* exit_reason = value.kind == Value::Kind::text ? find_enum(*value.text, kExitReasonNames) : nullptr;
    task_.exit_reason = exit_reason ? *exit_reason : ExitReason::failed;
  } else if (key_ == "kept") {
    task_.checkpointed = as_flag(value, "kept");
  }
}

}  // namespace

Heartbeat parse_heartbeat(std::string_view body) {
  HeartbeatHandler handler;
  handler.reserve_tasks(body.size() / kTaskReportBytes);
  const bool parsed = json::sax_parse(body.begin(), body.end(), &handler);
  return handler.take_heartbeat(parsed);
}

}  // namespace thistlefront
