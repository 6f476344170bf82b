// parse_heartbeat(), based on a SAX parser. A leader parses hundreds of heartbeats per second, and building a JSON document for each
// would be most of the cost.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "protocol/enum_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/worker_messages.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

constexpr std::size_t kTypicalTaskReportBytes = 60;  // of one task in a heartbeat, used to reserve memory
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

// Parses "uid/number". The number has at most kMaxTaskDigits digits.
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

// A scalar value, or a nested value that is skipped (`other`).
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
    if (const auto count = exact_count(value.real)) return *count;
  }
  fail_field(field, "not a count");
}

bool as_flag(const Value& value, const char* field) {
  if (value.kind != Value::Kind::flag) fail_field(field, "not true or false");
  return value.flag;
}

// Event handler for nlohmann's SAX parser, which prescribes the names of the public functions. Nesting depth 1 is the object of the
// heartbeat, 2 the list of its tasks, 3 the object of a task.
class HeartbeatHandler {
 public:
  bool null() { return handle_value({}); }
  bool boolean(bool value) { return handle_value({.kind = Value::Kind::flag, .flag = value}); }
  bool number_integer(std::int64_t value) { return handle_value({.kind = Value::Kind::real, .real = static_cast<double>(value)}); }
  bool number_unsigned(std::uint64_t value) {
    return handle_value({.kind = Value::Kind::count, .count = value, .real = static_cast<double>(value)});
  }
  bool number_float(double value, const std::string&) { return handle_value({.kind = Value::Kind::real, .real = value}); }
  bool string(std::string& value) { return handle_value({.kind = Value::Kind::text, .text = &value}); }
  bool binary(std::vector<std::uint8_t>&) { return handle_value({.kind = Value::Kind::other}); }
  bool start_object(std::size_t size);
  bool end_object();
  bool start_array(std::size_t size);
  bool end_array();
  bool key(std::string& key);
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) { return false; }

  // Reserves memory for this number of tasks.
  void reserve_tasks(std::size_t count) { heartbeat_.tasks.reserve(count); }
  // Returns the heartbeat; throws ProtocolError unless it is complete. `is_json`: return value of the parser.
  Heartbeat finish(bool is_json);

 private:
  static constexpr int kHeartbeatDepth = 1, kTaskListDepth = 2, kTaskDepth = 3;

  [[nodiscard]] bool in_heartbeat() const { return depth_ == kHeartbeatDepth; }
  [[nodiscard]] bool in_task_list() const { return depth_ == kTaskListDepth && in_tasks_; }
  [[nodiscard]] bool in_task() const { return depth_ == kTaskDepth && in_tasks_; }
  bool handle_value(const Value& value);
  void read_heartbeat_field(const Value& value);
  void read_task_field(const Value& value);

  // Required fields that were present.
  struct HeartbeatFields {
    bool spot = false, agent_incarnation = false, serial = false, fencing_token = false, tasks = false;
  };
  struct TaskFields {
    bool id = false, attempt = false, phase = false;
  };

  Heartbeat heartbeat_;
  HeartbeatFields heartbeat_fields_present_;
  TaskReport task_;  // the task that is being read
  TaskFields task_fields_present_;
  int depth_ = 0;
  bool is_object_ = false;
  bool in_tasks_ = false;
  std::string key_;  // latest key in the object of the heartbeat or of a task
};

bool HeartbeatHandler::start_object(std::size_t) {
  if (depth_ == 0) {
    is_object_ = true;
  } else if (in_task_list()) {
    task_ = {};
    task_fields_present_ = {};
  } else {
    handle_value({.kind = Value::Kind::other});
  }
  ++depth_;
  return true;
}

bool HeartbeatHandler::end_object() {
  --depth_;
  if (!in_task_list()) return true;
  if (!task_fields_present_.id) fail_field("piece", "missing");
  if (!task_fields_present_.attempt) fail_field("try", "missing");
  if (!task_fields_present_.phase) fail_field("status", "missing");
  // An exit without a reason is treated like one whose reason is not known.
  if (task_.phase == TaskPhase::exited && task_.exit_reason == ExitReason::none) task_.exit_reason = ExitReason::failed;
  heartbeat_.tasks.push_back(std::move(task_));
  return true;
}

bool HeartbeatHandler::start_array(std::size_t) {
  if (in_heartbeat() && key_ == "pieces") {
    in_tasks_ = heartbeat_fields_present_.tasks = true;
    heartbeat_.tasks.clear();
  } else {
    handle_value({.kind = Value::Kind::other});
  }
  ++depth_;
  return true;
}

bool HeartbeatHandler::end_array() {
  --depth_;
  if (in_heartbeat()) in_tasks_ = false;
  return true;
}

bool HeartbeatHandler::key(std::string& key) {
  if (in_heartbeat() || in_task()) key_ = key;
  return true;
}

Heartbeat HeartbeatHandler::finish(bool is_json) {
  if (!is_json) fail_field("body", "not JSON");
  if (!is_object_) fail_field("body", "not an object");
  if (heartbeat_.node.empty()) fail_field("host", "missing");
  if (heartbeat_.address.empty()) fail_field("address", "missing");
  if (heartbeat_.machine_type.empty()) fail_field("hostKind", "missing");
  if (heartbeat_.zone.empty()) fail_field("yard", "missing");
  if (!heartbeat_fields_present_.spot) fail_field("loaners", "missing");
  if (!heartbeat_fields_present_.agent_incarnation) fail_field("tenure", "missing");
  if (!heartbeat_fields_present_.serial) fail_field("serial", "missing");
  if (!heartbeat_fields_present_.fencing_token) fail_field("epoch", "missing");
  if (!heartbeat_fields_present_.tasks) fail_field("pieces", "missing");
  return std::move(heartbeat_);
}

// Always returns true, because an invalid value throws.
bool HeartbeatHandler::handle_value(const Value& value) {
  if (depth_ == 0) return true;  // the document is not an object: finish() throws
  if (in_task_list()) fail_field("pieces", "not objects");
  // A null field is treated as absent; values nested in unknown fields are ignored.
  if (value.kind == Value::Kind::null) return true;
  if (in_heartbeat()) {
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
    heartbeat_fields_present_.spot = true;
  } else if (key_ == "tenure") {
    heartbeat_.agent_incarnation = as_count(value, "tenure");
    heartbeat_fields_present_.agent_incarnation = true;
  } else if (key_ == "serial") {
    heartbeat_.serial = as_count(value, "serial");
    heartbeat_fields_present_.serial = true;
  } else if (key_ == "epoch") {
    heartbeat_.fencing_token = as_count(value, "epoch");
    heartbeat_fields_present_.fencing_token = true;
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
    task_fields_present_.id = true;
  } else if (key_ == "try") {
    task_.attempt = as_count(value, "try");
    task_fields_present_.attempt = true;
  } else if (key_ == "status") {
    const auto* phase = value.kind == Value::Kind::text ? find_enum(*value.text, kTaskPhaseNames) : nullptr;
    if (!phase) fail_field("status", "not a known value");
    task_.phase = *phase;
    task_fields_present_.phase = true;
  } else if (key_ == "cause") {
    // An exit reason that this build does not know is treated as a failure of the task, never as its completion.
    const auto* exit_reason = value.kind == Value::Kind::text ? find_enum(*value.text, kExitReasonNames) : nullptr;
    task_.exit_reason = exit_reason ? *exit_reason : ExitReason::failed;
  } else if (key_ == "kept") {
    task_.checkpointed = as_flag(value, "kept");
  }
}

}  // namespace

Heartbeat parse_heartbeat(std::string_view body) {
  HeartbeatHandler handler;
  handler.reserve_tasks(body.size() / kTypicalTaskReportBytes);
  const bool is_json = json::sax_parse(body.begin(), body.end(), &handler);
  return handler.finish(is_json);
}

}  // namespace thistlefront
