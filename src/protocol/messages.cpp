#include "protocol/messages.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <unordered_set>

#include "model/task.hpp"
#include "protocol/digest.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

json parse_object(std::string_view body) {
  json j = json::parse(body.begin(), body.end(), nullptr, false);
  if (j.is_discarded()) throw ProtocolError("body: not JSON");
  if (!j.is_object()) throw ProtocolError("body: not an object");
  return j;
}

[[noreturn]] void bad(const char* field, const char* why) {
  throw ProtocolError(std::string(field) + ": " + why);
}

const json* member(const json& j, const char* field) {
  auto it = j.find(field);
  return it == j.end() || it->is_null() ? nullptr : &*it;
}
const json& need(const json& j, const char* field) {
  const json* m = member(j, field);
  if (!m) bad(field, "missing");
  return *m;
}
std::string as_text(const json& m, const char* field, std::size_t most = 200) {
  if (!m.is_string()) bad(field, "not a string");
  const auto& s = m.get_ref<const std::string&>();
  if (s.empty()) bad(field, "empty");
  if (s.size() > most) bad(field, "too long");
  return s;
}
std::string text(const json& j, const char* field) {
  return as_text(need(j, field), field);
}
double as_amount(const json& m, const char* field) {
  if (!m.is_number()) bad(field, "not a number");
  const double v = m.get<double>();
  if (!std::isfinite(v)) bad(field, "not finite");
  if (v < 0) bad(field, "negative");
  if (v > 1e12) bad(field, "too large");
  return v;
}
double amount(const json& j, const char* field) {
  return as_amount(need(j, field), field);
}
double amount_or(const json& j, const char* field, double otherwise) {
  const json* m = member(j, field);
  return m ? as_amount(*m, field) : otherwise;
}
std::uint64_t as_count(const json& m, const char* field) {
  if (m.is_number_unsigned()) return m.get<std::uint64_t>();
  if (m.is_number_float()) {
    const double v = m.get<double>();
    if (v >= 0 && v < 9e15 && v == std::floor(v)) return static_cast<std::uint64_t>(v);
  }
  bad(field, "not a count");
}
std::uint64_t count(const json& j, const char* field) {
  return as_count(need(j, field), field);
}
bool flag_or(const json& j, const char* field, bool otherwise) {
  const json* m = member(j, field);
  if (!m) return otherwise;
  if (!m->is_boolean()) bad(field, "not true or false");
  return m->get<bool>();
}
const json& list(const json& j, const char* field) {
  const json& m = need(j, field);
  if (!m.is_array()) bad(field, "not a list");
  return m;
}

template <class Enum>
struct Word {
  std::string_view text;
  Enum value;
};
constexpr Word<JobType> kJobTypes[] = {{"batch", JobType::array}, {"group", JobType::gang}, {"service", JobType::service}};
constexpr Word<Priority> kPriorities[] = {
    {"prod", Priority::production}, {"high", Priority::high}, {"standard", Priority::standard}, {"idle", Priority::idle}};
constexpr Word<JobStatus> kStatuses[] = {
    {"queued", JobStatus::queued}, {"running", JobStatus::running}, {"done", JobStatus::done}, {"aborted", JobStatus::cancelled}};
constexpr Word<TaskPhase> kTaskPhases[] = {{"pulling", TaskPhase::pulling_image},
                                           {"gathering", TaskPhase::waiting_for_gang},
                                           {"running", TaskPhase::running},
                                           {"saving", TaskPhase::checkpointing},
                                           {"exited", TaskPhase::exited}};
constexpr Word<ExitReason> kExitReasons[] = {{"done", ExitReason::completed},         {"halted", ExitReason::stopped},
                                             {"peers", ExitReason::gang_member_lost}, {"alone", ExitReason::gang_incomplete},
                                             {"error", ExitReason::failed},           {"no_room", ExitReason::insufficient_resources},
                                             {"busy", ExitReason::duplicate_attempt}, {"unknown", ExitReason::unknown_task}};
constexpr Word<Instance::Status> kInstanceStatuses[] = {
    {"booting", Instance::Status::booting}, {"running", Instance::Status::running}, {"failed", Instance::Status::failed}};
constexpr Word<CommandType> kCommandTypes[] = {
    {"run", CommandType::run}, {"kill", CommandType::kill}, {"reap", CommandType::acknowledge_exit}};

template <class Enum, std::size_t N>
const Enum* find_word(const std::string& s, const Word<Enum> (&words)[N]) {
  for (const auto& w : words)
    if (w.text == s) return &w.value;
  return nullptr;
}
template <class Enum, std::size_t N>
Enum word(const json& m, const char* field, const Word<Enum> (&words)[N]) {
  const Enum* value = m.is_string() ? find_word(m.get_ref<const std::string&>(), words) : nullptr;
  if (!value) bad(field, "not a known value");
  return *value;
}
template <class Enum, std::size_t N>
std::string_view spell(Enum value, const Word<Enum> (&words)[N]) {
  for (const auto& w : words)
    if (w.value == value) return w.text;
  return "";
}

TaskId parse_task_id(const std::string& s, const char* field) {
  const auto slash = s.rfind('/');
  if (slash == std::string::npos || slash + 1 >= s.size() || s.size() - slash > 7) bad(field, "not a task");
  std::uint32_t task = 0;
  for (std::size_t i = slash + 1; i < s.size(); ++i) {
    if (s[i] < '0' || s[i] > '9') bad(field, "not a task");
    task = task * 10 + static_cast<std::uint32_t>(s[i] - '0');
  }
  return {s.substr(0, slash), task};
}

void append_number(std::string& out, double v) {
  if (v == std::floor(v) && std::abs(v) < 1e15) {
    out += std::to_string(static_cast<long long>(v));
  } else {
    out += json(v).dump();
  }
}

void append_commands(std::string& out, const std::vector<Command>& commands) {
  out += "\"orders\":[";
  bool first = true;
  for (const auto& o : commands) {
    if (!first) out += ',';
    first = false;
    // uids come from is_uid() or from the worker's own report by way of the JSON parser: digits and letters.
    out += "{\"verb\":\"";
    out += spell(o.type, kCommandTypes);
    out += "\",\"piece\":";
    out += json(o.id.uid + "/" + std::to_string(o.id.task)).dump();
    out += ",\"try\":" + std::to_string(o.attempt);
    if (o.type == CommandType::kill) {
      out += ",\"windDownS\":";
      append_number(out, o.grace_period_s);
    }
    out += '}';
  }
  out += ']';
}

json ranges_json(const TaskRanges& ranges) {
  json out = json::array();
  for (const auto& r : ranges) {
    out.push_back(r.first);
    out.push_back(r.last);
  }
  return out;
}
TaskRanges parse_ranges(const json& j) {
  TaskRanges out;
  if (!j.is_array() || j.size() % 2) bad("ranges", "not pairs");
  for (std::size_t i = 0; i < j.size(); i += 2) out.push_back({j[i].get<std::uint32_t>(), j[i + 1].get<std::uint32_t>()});
  return out;
}

json job_spec_json(const JobSpec& s) {
  json j = {{"uid", s.uid},
            {"jobClass", s.job_class},
            {"owner", s.owner},
            {"shape", spell(s.job_type, kJobTypes)},
            {"rank", spell(s.priority, kPriorities)},
            {"pieces", s.task_count},
            {"cores", s.demand.cores},
            {"accelerators", s.demand.accelerators},
            {"ramGb", s.demand.ram_gb},
            {"bundle", s.image},
            {"pullGb", s.image_gb},
            {"expectedS", s.estimated_run_s}};
  if (!s.machine_types.empty()) j["hostKinds"] = s.machine_types;
  if (!s.zone.empty()) j["yard"] = s.zone;
  if (s.single_zone) j["oneZone"] = true;
  if (s.spread) j["spread"] = true;
  if (s.allows_spot) j["loaners"] = true;
  if (s.checkpoint_interval_s > 0) j["snapshotEveryS"] = s.checkpoint_interval_s;
  if (s.checkpoint_duration_s > 0) j["snapshotS"] = s.checkpoint_duration_s;
  if (s.deadline_s) j["dueS"] = *s.deadline_s;
  if (!s.depends_on.empty()) j["waitsOn"] = s.depends_on;
  return j;
}

JobSpec parse_job_spec(const json& j) {
  JobSpec s;
  s.uid = text(j, "uid");
  if (!is_uid(s.uid)) bad("uid", "not in form");
  s.job_class = text(j, "jobClass");
  s.owner = text(j, "owner");
  s.job_type = word(need(j, "shape"), "shape", kJobTypes);
  s.priority = word(need(j, "rank"), "rank", kPriorities);
  const auto tasks = count(j, "pieces");
  if (tasks < 1 || tasks > 100000) bad("pieces", "not from 1 to 100000");
  s.task_count = static_cast<std::uint32_t>(tasks);
  s.demand = {amount(j, "cores"), amount_or(j, "accelerators", 0), amount(j, "ramGb")};
  s.image = text(j, "bundle");
  s.image_gb = amount(j, "pullGb");
  if (const json* kinds = member(j, "hostKinds")) {
    if (!kinds->is_array()) bad("hostKinds", "not a list");
    if (kinds->empty()) bad("hostKinds", "empty");
    for (const auto& k : *kinds) s.machine_types.push_back(as_text(k, "hostKinds"));
  }
  if (const json* zone = member(j, "yard")) s.zone = as_text(*zone, "yard");
  s.single_zone = flag_or(j, "oneZone", false);
  s.spread = flag_or(j, "spread", false);
  s.allows_spot = flag_or(j, "loaners", false);
  s.estimated_run_s = amount_or(j, "expectedS", 0);
  s.checkpoint_interval_s = amount_or(j, "snapshotEveryS", 0);
  s.checkpoint_duration_s = amount_or(j, "snapshotS", 0);
  if (const json* due = member(j, "dueS")) s.deadline_s = as_amount(*due, "dueS");
  if (const json* names = member(j, "waitsOn")) {
    if (!names->is_array()) bad("waitsOn", "not a list");
    std::unordered_set<std::string_view> seen;
    for (const auto& n : *names) {
      if (!n.is_string() || !is_uid(n.get_ref<const std::string&>())) bad("waitsOn", "not a job's id");
      if (seen.insert(n.get_ref<const std::string&>()).second) s.depends_on.push_back(n.get<std::string>());
    }
  }
  return s;
}

json machine_type_json(const MachineType& f) {
  return {{"sku", f.name},
          {"cores", f.capacity.cores},
          {"accelerators", f.capacity.accelerators},
          {"ramGb", f.capacity.ram_gb},
          {"cacheGb", f.image_cache_gb},
          {"fetchGbPerS", f.image_fetch_gb_per_s},
          {"price", f.price},
          {"marketPrice", f.spot_price},
          {"bootS", f.boot_s},
          {"yards", f.zones}};
}
MachineType parse_machine_type(const json& j) {
  if (!j.is_object()) bad("hostKinds", "not objects");
  MachineType f;
  f.name = text(j, "sku");
  f.capacity = {amount(j, "cores"), amount_or(j, "accelerators", 0), amount(j, "ramGb")};
  f.image_cache_gb = amount_or(j, "cacheGb", 0);
  f.image_fetch_gb_per_s = amount_or(j, "fetchGbPerS", 0);
  f.price = amount_or(j, "price", 0);
  f.spot_price = amount_or(j, "marketPrice", f.price);
  f.boot_s = amount_or(j, "bootS", 60);
  if (const json* zones = member(j, "yards")) {
    if (!zones->is_array()) bad("yards", "not a list");
    for (const auto& y : *zones) f.zones.push_back(as_text(y, "yards"));
  }
  return f;
}

}  // namespace

// ---- users

bool is_uid(std::string_view s) {
  if (s.size() < 3 || s.size() > 32 || s.substr(0, 2) != "j-") return false;
  for (char c : s.substr(2))
    if (c < '0' || c > '9') return false;
  return true;
}

JobSpec parse_submission(std::string_view body) {
  return parse_job_spec(parse_object(body));
}

std::string extract_uid(std::string_view body) {
  const json j = json::parse(body.begin(), body.end(), nullptr, false);
  if (!j.is_object()) return {};
  const json* uid = member(j, "uid");
  return uid && uid->is_string() && is_uid(uid->get_ref<const std::string&>()) ? uid->get<std::string>() : "";
}

std::string status_body(const std::string& uid, JobStatus status, std::uint32_t done, std::uint32_t running) {
  return "{\"uid\":\"" + uid + "\",\"status\":\"" + std::string(spell(status, kStatuses)) + "\",\"done\":" + std::to_string(done) +
         ",\"running\":" + std::to_string(running) + "}";
}
std::string acknowledgement_body(const std::string& uid, JobStatus status) {
  return "{\"uid\":\"" + uid + "\",\"status\":\"" + std::string(spell(status, kStatuses)) + "\"}";
}
std::string error_body(std::string_view reason) {
  return json{{"error", reason}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

UserRoute route_of(std::string_view method, std::string_view target) {
  using Kind = UserRoute::Kind;
  target = target.substr(0, target.find('?'));
  auto with = [&](std::string_view verb, Kind kind, std::string_view uid = {}) {
    return UserRoute{method == verb ? kind : Kind::wrong_method, std::string(uid)};
  };
  if (target == "/v1/report") return with("POST", Kind::heartbeat);
  if (target == "/healthz") return with("GET", Kind::health);
  if (target == "/metrics") return with("GET", Kind::metrics);
  constexpr std::string_view jobs = "/v1/jobs";
  if (target.substr(0, jobs.size()) != jobs) return {};
  target.remove_prefix(jobs.size());
  if (target.empty()) return with("POST", Kind::submit);
  if (target.front() != '/') return {};
  target.remove_prefix(1);
  const auto slash = target.find('/');
  const auto uid = target.substr(0, slash);
  if (slash == std::string_view::npos) return with("GET", Kind::status, uid);
  if (target.substr(slash) == "/withdraw") return with("POST", Kind::withdraw, uid);
  return {};
}

// ---- workers

namespace {

// Reads a report event by event: a leader reads hundreds a second, and a document built for each would be most of what
// they cost.
class HeartbeatReader {
 public:
  Heartbeat heartbeat;

  bool null() { return take({}); }
  bool boolean(bool v) { return take({.kind = Value::Kind::flag, .flag = v}); }
  bool number_integer(std::int64_t v) { return take({.kind = Value::Kind::real, .real = static_cast<double>(v)}); }
  bool number_unsigned(std::uint64_t v) { return take({.kind = Value::Kind::count, .count = v, .real = static_cast<double>(v)}); }
  bool number_float(double v, const std::string&) { return take({.kind = Value::Kind::real, .real = v}); }
  bool string(std::string& v) { return take({.kind = Value::Kind::text, .text = &v}); }
  bool binary(std::vector<std::uint8_t>&) { return take({.kind = Value::Kind::other}); }

  bool start_object(std::size_t) {
    if (depth_ == 0)
      object_ = true;
    else if (depth_ == 2 && in_tasks_)
      task_ = {}, has_ = {};
    else if (!take({.kind = Value::Kind::other}))
      return false;
    ++depth_;
    return true;
  }
  bool end_object() {
    --depth_;
    if (depth_ == 2 && in_tasks_) {
      if (!has_.task_report) bad("piece", "missing");
      if (!has_.attempt) bad("try", "missing");
      if (!has_.status) bad("status", "missing");
      heartbeat.tasks.push_back(std::move(task_));
    }
    return true;
  }
  bool start_array(std::size_t) {
    if (depth_ == 1 && key_ == "pieces")
      in_tasks_ = has_tasks_ = true, heartbeat.tasks.clear();
    else if (!take({.kind = Value::Kind::other}))
      return false;
    ++depth_;
    return true;
  }
  bool end_array() {
    --depth_;
    if (depth_ == 1) in_tasks_ = false;
    return true;
  }
  bool key(std::string& k) {
    if (depth_ == 1 || (depth_ == 3 && in_tasks_)) key_ = k;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) { return false; }

  void check(bool whole) const {
    if (!whole) bad("body", "not JSON");
    if (!object_) bad("body", "not an object");
    if (heartbeat.node.empty()) bad("host", "missing");
    if (heartbeat.address.empty()) bad("address", "missing");
    if (heartbeat.machine_type.empty()) bad("hostKind", "missing");
    if (heartbeat.zone.empty()) bad("yard", "missing");
    if (!agent_incarnation_) bad("tenure", "missing");
    if (!serial_) bad("serial", "missing");
    if (!fencing_token_) bad("epoch", "missing");
    if (!has_tasks_) bad("pieces", "missing");
  }

 private:
  struct Value {
    enum class Kind { null, flag, count, real, text, other } kind = Kind::null;
    bool flag = false;
    std::uint64_t count = 0;
    double real = 0;
    std::string* text = nullptr;
  };

  static std::string as_text(const Value& v, const char* field) {
    if (v.kind != Value::Kind::text) bad(field, "not a string");
    if (v.text->empty()) bad(field, "empty");
    if (v.text->size() > 200) bad(field, "too long");
    return std::move(*v.text);
  }
  static std::uint64_t as_count(const Value& v, const char* field) {
    if (v.kind == Value::Kind::count) return v.count;
    if (v.kind == Value::Kind::real && v.real >= 0 && v.real < 9e15 && v.real == std::floor(v.real))
      return static_cast<std::uint64_t>(v.real);
    bad(field, "not a count");
  }
  static bool as_flag(const Value& v, const char* field) {
    if (v.kind != Value::Kind::flag) bad(field, "not true or false");
    return v.flag;
  }

  bool take(const Value& v) {
    if (depth_ == 0) return true;  // not an object: check() says so
    if (depth_ == 2 && in_tasks_) bad("pieces", "not objects");
    // Nulls are like omissions; what is nested in unknown fields is passed over.
    if (v.kind == Value::Kind::null) return true;
    if (depth_ == 1) {
      read_heartbeat_field(v);
    } else if (depth_ == 3 && in_tasks_) {
      read_task_field(v);
    }
    return true;
  }
  void read_heartbeat_field(const Value& v) {
    if (key_ == "host")
      heartbeat.node = as_text(v, "host");
    else if (key_ == "address")
      heartbeat.address = as_text(v, "address");
    else if (key_ == "hostKind")
      heartbeat.machine_type = as_text(v, "hostKind");
    else if (key_ == "yard")
      heartbeat.zone = as_text(v, "yard");
    else if (key_ == "loaners")
      heartbeat.spot = as_flag(v, "loaners");
    else if (key_ == "tenure")
      heartbeat.agent_incarnation = as_count(v, "tenure"), agent_incarnation_ = true;
    else if (key_ == "serial")
      heartbeat.serial = as_count(v, "serial"), serial_ = true;
    else if (key_ == "epoch")
      heartbeat.fencing_token = as_count(v, "epoch"), fencing_token_ = true;
    else if (key_ == "pieces")
      bad("pieces", "not a list");
    else if (key_ == "recallS") {
      if (v.kind != Value::Kind::count && v.kind != Value::Kind::real) bad("recallS", "not a number");
      heartbeat.interruption_in_s = std::max(0.0, v.real);
    }
  }
  void read_task_field(const Value& v) {
    if (key_ == "piece") {
      if (v.kind != Value::Kind::text) bad("piece", "not a string");
      task_.id = parse_task_id(*v.text, "piece");
      has_.task_report = true;
    } else if (key_ == "try") {
      task_.attempt = as_count(v, "try");
      has_.attempt = true;
    } else if (key_ == "status") {
      const auto* phase = v.kind == Value::Kind::text ? find_word(*v.text, kTaskPhases) : nullptr;
      if (!phase) bad("status", "not a known value");
      task_.phase = *phase;
      has_.status = true;
    } else if (key_ == "cause") {
      // A cause this version does not know is taken as a failure of the task, never as done.
      const auto* exit_reason = v.kind == Value::Kind::text ? find_word(*v.text, kExitReasons) : nullptr;
      task_.exit_reason = exit_reason ? *exit_reason : ExitReason::failed;
    } else if (key_ == "kept") {
      task_.checkpointed = as_flag(v, "kept");
    }
  }

  int depth_ = 0;
  bool object_ = false, in_tasks_ = false, has_tasks_ = false, agent_incarnation_ = false, serial_ = false, fencing_token_ = false;
  std::string key_;
  TaskReport task_;
  struct {
    bool task_report = false, attempt = false, status = false;
  } has_;
};

}  // namespace

constexpr std::size_t kTaskReportBytes = 60;  // about, of one piece in a report

Heartbeat parse_heartbeat(std::string_view body) {
  HeartbeatReader reader;
  reader.heartbeat.tasks.reserve(body.size() / kTaskReportBytes);
  const bool whole = json::sax_parse(body.begin(), body.end(), &reader);
  reader.check(whole);
  return std::move(reader.heartbeat);
}

std::string heartbeat_response_body(std::uint64_t fencing_token, const std::vector<Command>& commands) {
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

// ---- cloud

std::string instances_path(const std::string& from, unsigned page) {
  std::string out = std::string(kRentPath) + "?page=" + std::to_string(page);
  if (!from.empty()) out += "&from=" + from;
  return out;
}
std::vector<MachineType> parse_machine_types(std::string_view body) {
  const json j = parse_object(body);
  std::vector<MachineType> out;
  for (const auto& f : list(j, "hostKinds")) out.push_back(parse_machine_type(f));
  return out;
}
InstancePage parse_instances(std::string_view body) {
  const json j = parse_object(body);
  InstancePage page;
  page.truncated = flag_or(j, "truncated", false);
  for (const auto& m : list(j, "hosts")) {
    if (!m.is_object()) bad("hosts", "not objects");
    Instance machine;
    machine.name = text(m, "uid");
    if (const json* address = member(m, "address"); address && address->is_string()) machine.address = address->get<std::string>();
    machine.machine_type = text(m, "hostKind");
    machine.zone = text(m, "yard");
    machine.spot = flag_or(m, "loaners", false);
    machine.status = word(need(m, "status"), "status", kInstanceStatuses);
    machine.age_s = amount_or(m, "heldS", 0);
    page.instances.push_back(std::move(machine));
  }
  return page;
}
std::string rent_body(const std::string& rental, const std::string& kind, const std::string& zone, bool spot, unsigned count) {
  return json{{"rental", rental}, {"hostKind", kind}, {"yard", zone}, {"loaners", spot}, {"count", count}}.dump();
}
std::vector<std::string> parse_rented(std::string_view body) {
  const json j = parse_object(body);
  std::vector<std::string> out;
  for (const auto& h : list(j, "hosts")) out.push_back(as_text(h, "hosts"));
  return out;
}
bool is_no_capacity(std::string_view body) {
  return body.find("no capacity") != std::string_view::npos;
}
std::string release_body(const std::vector<std::string>& names) {
  return json{{"hosts", names}}.dump();
}

// ---- state service

std::string store_path(const std::string& key) {
  return "/store/" + key;
}
std::string list_path(const std::string& prefix, const std::string& from) {
  std::string out = "/store?prefix=" + prefix + "&page=1000";
  if (!from.empty()) out += "&from=" + from;
  return out;
}
std::string follow_path(const std::string& prefix, std::uint64_t from, unsigned block_ms) {
  return "/follow?prefix=" + prefix + "&from=" + std::to_string(from) + "&blockMs=" + std::to_string(block_ms);
}
std::string session_lease_path(std::uint64_t session_lease, bool renew) {
  return std::string(kSessionLeasesPath) + "/" + std::to_string(session_lease) + (renew ? "/renew" : "");
}
std::string session_lease_body(unsigned life_ms) {
  return "{\"lifeMs\":" + std::to_string(life_ms) + "}";
}
std::uint64_t parse_session_lease(std::string_view body) {
  return count(parse_object(body), "hold");
}
std::string txn_body(const std::vector<Condition>& conditions, const std::vector<Put>& puts, const std::vector<std::string>& removes) {
  std::string out = "{\"if\":[";
  const char* sep = "";
  for (const auto& c : conditions) {
    out += sep;
    out += "{\"path\":\"" + c.key + "\",\"stamp\":" + std::to_string(c.mod_revision) + "}";
    sep = ",";
  }
  out += "],\"apply\":[";
  sep = "";
  for (const auto& p : puts) {
    out += sep;
    out += "{\"set\":\"" + p.key + "\",\"value\":" + p.value;
    if (p.session_lease) out += ",\"hold\":" + std::to_string(p.session_lease);
    out += "}";
    sep = ",";
  }
  for (const auto& r : removes) {
    out += sep;
    out += "{\"remove\":\"" + r + "\"}";
    sep = ",";
  }
  return out + "]}";
}
std::uint64_t parse_revision(std::string_view body) {
  return count(parse_object(body), "ledgerRev");
}
std::vector<std::string> parse_failed(std::string_view body) {
  const json j = parse_object(body);
  std::vector<std::string> out;
  for (const auto& f : list(j, "failed")) out.push_back(as_text(f, "failed"));
  return out;
}

namespace {
Row row_from(const json& j) {
  Row row;
  row.key = text(j, "path");
  row.value = need(j, "value").dump();
  row.mod_revision = count(j, "stamp");
  if (const json* session_lease = member(j, "hold"); session_lease && !session_lease->is_null())
    row.session_lease = as_count(*session_lease, "hold");
  return row;
}
}  // namespace

Row parse_row(std::string_view body) {
  return row_from(parse_object(body));
}
Rows parse_rows(std::string_view body) {
  const json j = parse_object(body);
  Rows out;
  out.truncated = flag_or(j, "truncated", false);
  out.revision = count(j, "ledgerRev");
  for (const auto& r : list(j, "rows")) out.rows.push_back(row_from(r));
  return out;
}
std::string leader_value(const LeaderValue& leader) {
  return json{{"label", leader.label}, {"incarnation", leader.incarnation}}.dump();
}
LeaderValue parse_leader(std::string_view value) {
  const json j = parse_object(value);
  return {text(j, "label"), count(j, "incarnation")};
}

// ---- ledger

EncodedRecord encode_record(const Record& record, std::uint32_t format_version) {
  struct Encode {
    std::uint32_t format_version;
    static json accept(const JobAcceptedRecord& r) { return {job_spec_json(r.job), r.random_draw, r.at}; }
    json operator()(const JobAcceptedRecord& r) const { return {"accept", accept(r)}; }
    json operator()(const TasksStartedRecord& r) const {
      json parts = json::array();
      for (const auto& p : r.assignments) parts.push_back({p.node, p.agent_incarnation, ranges_json(p.tasks)});
      return {"start", r.uid, r.attempt, r.at, std::move(parts)};
    }
    json operator()(const TasksCompletedRecord& r) const {
      json out{"done", r.uid, ranges_json(r.tasks)};
      if (r.at > 0 && has_dependencies(format_version)) out.push_back({{"at", r.at}});
      return out;
    }
    json operator()(const TasksRemovedRecord& r) const {
      json out{"off", r.uid, r.attempt, ranges_json(r.tasks)};
      if (r.failed_at > 0) out.push_back(r.failed_at);
      return out;
    }
    json operator()(const JobCancelledRecord& r) const { return {"cancel", r.uid}; }
    json operator()(const MachineTypesRecord& r) const {
      json machine_types = json::array();
      for (const auto& f : r.machine_types) machine_types.push_back(machine_type_json(f));
      return {"flavors", std::move(machine_types)};
    }
    json operator()(const JobSnapshotRecord& r) const {
      json placed = json::array();
      for (const auto& p : r.placed) placed.push_back({p.node, p.agent_incarnation, p.attempt, p.at, ranges_json(p.tasks)});
      json out{"job",  accept(r.accept), spell(r.status, kStatuses), r.attempts, ranges_json(r.done), std::move(placed), r.from,
               r.more, r.suspect};
      if (r.ready_at > 0 && has_dependencies(format_version)) out.push_back({{"ready", r.ready_at}});
      return out;
    }
    static json quota(const std::optional<TeamQuota>& t) {
      if (!t) return nullptr;
      return {t->guarantee.cores, t->guarantee.accelerators, t->limit.cores, t->limit.accelerators};
    }
    json operator()(const TeamQuotaRecord& r) const { return {"team", r.name, quota(r.agreed), quota(r.proposed), r.leaving}; }
    json operator()(const JobsEndedRecord& r) const {
      json out{"ended", spell(r.status, kStatuses), r.uids};
      if (!has_dependencies(format_version)) return out;
      json extras = json::object();
      for (const auto& [i, at] : r.done_at) extras["at"].push_back({i, at});
      if (!r.services.empty()) extras["services"] = r.services;
      if (!extras.empty()) out.push_back(std::move(extras));
      return out;
    }
  };
  const json j = std::visit(Encode{format_version}, record);
  return {j.dump(), has_checksums(format_version) ? digest_of(j) : 0};
}

std::size_t encoded_most(const JobSpec& s) {
  constexpr std::size_t kFixed = 500;  // names of fields, numbers, flags
  constexpr std::size_t kEscaped = 6;  // of a control character
  std::size_t bytes = kFixed;
  const auto add = [&](const std::string& t) {
    bytes += 3;
    for (const char c : t) bytes += static_cast<unsigned char>(c) < 0x20 ? kEscaped : c == '"' || c == '\\' ? 2 : 1;
  };
  for (const auto* t : {&s.uid, &s.job_class, &s.owner, &s.image, &s.zone}) add(*t);
  for (const auto& k : s.machine_types) add(k);
  for (const auto& n : s.depends_on) add(n);
  return bytes;
}

std::uint64_t digest_with_record(std::uint64_t digest, const EncodedRecord& record) {
  return digest_with(digest, record.digest);
}
std::uint64_t check_of(const EntryHead& head, std::uint64_t records_digest) {
  const auto check = digest_with(digest_with(records_digest, head.seq), head.generation);
  return reuses_keys(head.format_version) ? digest_with(digest_with(check, head.number), head.first_needed) : check;
}
std::uint64_t link_of(std::uint64_t before, std::uint64_t n, std::uint64_t check) {
  return digest_with(digest_with(before, n), check);
}

std::string entry_value(const EntryHead& head, std::string_view records, std::uint64_t records_digest) {
  std::string out = "{";
  if (has_checksums(head.format_version)) {
    out += "\"level\":" + std::to_string(head.format_version) + ",\"generation\":" + std::to_string(head.generation) + ",\"check\":\"" +
           digest_text(check_of(head, records_digest)) + "\",\"before\":\"" + digest_text(head.previous_link) + "\",";
    if (reuses_keys(head.format_version)) out += "\"n\":" + std::to_string(head.number) + ",";
    if (reuses_keys(head.format_version) || head.first_needed > 0) out += "\"first\":" + std::to_string(head.first_needed) + ",";
  }
  out += "\"seq\":" + std::to_string(head.seq) + ",\"records\":[";
  out.append(records);
  return out + "]}";
}

namespace {
JobAcceptedRecord accept_from(const json& j) {
  return {parse_job_spec(j.at(0)), j.at(1).get<double>(), j.at(2).get<double>()};
}
Record record_from(const json& j) {
  const auto& kind = j.at(0).get_ref<const std::string&>();
  // Named extras, at the end, are of a writer that knows more than this reader, and such that it may pass them over.
  const std::size_t size = j.size() - (j.back().is_object() ? 1 : 0);
  const json* extras = j.back().is_object() ? &j.back() : nullptr;
  const auto extra = [&](const char* name) { return extras ? member(*extras, name) : nullptr; };
  if (kind == "accept") return accept_from(j.at(1));
  if (kind == "start") {
    TasksStartedRecord r{j.at(1).get<std::string>(), j.at(2).get<std::uint64_t>(), j.at(3).get<double>(), {}};
    for (const auto& p : j.at(4))
      r.assignments.push_back({p.at(0).get<std::string>(), p.at(1).get<std::uint64_t>(), parse_ranges(p.at(2))});
    return r;
  }
  if (kind == "done") {
    TasksCompletedRecord r{j.at(1).get<std::string>(), parse_ranges(j.at(2)), 0};
    if (const json* at = extra("at")) r.at = at->get<double>();
    return r;
  }
  if (kind == "off")
    return TasksRemovedRecord{j.at(1).get<std::string>(), j.at(2).get<std::uint64_t>(), parse_ranges(j.at(3)),
                              size > 4 ? j.at(4).get<double>() : 0.0};
  if (kind == "cancel") return JobCancelledRecord{j.at(1).get<std::string>()};
  if (kind == "flavors") {
    MachineTypesRecord r;
    for (const auto& f : j.at(1)) r.machine_types.push_back(parse_machine_type(f));
    return r;
  }
  if (kind == "job") {
    JobSnapshotRecord r;
    r.accept = accept_from(j.at(1));
    r.status = word(j.at(2), "status", kStatuses);
    r.attempts = j.at(3).get<std::uint64_t>();
    r.done = parse_ranges(j.at(4));
    for (const auto& p : j.at(5))
      r.placed.push_back({p.at(0).get<std::string>(), p.at(1).get<std::uint64_t>(), p.at(2).get<std::uint64_t>(), p.at(3).get<double>(),
                          parse_ranges(p.at(4))});
    if (size > 7) {
      r.from = j.at(6).get<std::uint32_t>();
      r.more = j.at(7).get<bool>();
    }
    if (size > 8) r.suspect = j.at(8).get<bool>();
    if (const json* ready = extra("ready")) r.ready_at = ready->get<double>();
    return r;
  }
  if (kind == "team") {
    const auto quota = [](const json& t) -> std::optional<TeamQuota> {
      if (t.is_null()) return std::nullopt;
      return TeamQuota{{t.at(0).get<double>(), t.at(1).get<double>(), 0}, {t.at(2).get<double>(), t.at(3).get<double>(), 0}};
    };
    return TeamQuotaRecord{j.at(1).get<std::string>(), quota(j.at(2)), quota(j.at(3)), j.at(4).get<bool>()};
  }
  if (kind == "ended") {
    JobsEndedRecord r{word(j.at(1), "status", kStatuses), j.at(2).get<std::vector<std::string>>()};
    if (const json* at = extra("at"))
      for (const auto& p : *at) r.done_at.emplace_back(p.at(0).get<std::uint32_t>(), p.at(1).get<double>());
    if (const json* services = extra("services")) r.services = services->get<std::vector<std::uint32_t>>();
    return r;
  }
  throw ProtocolError("ledger record: unknown kind " + kind);
}
}  // namespace

namespace {
std::uint32_t format_version_of(const json& j) {
  const json* format_version = member(j, "level");
  return format_version ? static_cast<std::uint32_t>(std::min<std::uint64_t>(as_count(*format_version, "level"), UINT32_MAX)) : 1;
}
LedgerEntry entry_from(const json& j) {
  std::size_t place = 0;
  try {
    LedgerEntry entry;
    entry.format_version = format_version_of(j);
    entry.seq = count(j, "seq");
    const auto& records = list(j, "records");
    if (has_checksums(entry.format_version)) {
      entry.generation = count(j, "generation");
      entry.previous_link = parse_digest(text(j, "before"));
      if (reuses_keys(entry.format_version)) entry.number = count(j, "n");
      if (const json* first = member(j, "first")) entry.first_needed = as_count(*first, "first");
      entry.check = parse_digest(text(j, "check"));
      std::uint64_t digest = 0;
      for (const auto& r : records) digest = digest_with(digest, digest_of(r));
      if (check_of(entry, digest) != entry.check) throw ProtocolError("its check is wrong: it was altered");
    }
    for (const auto& r : records) {
      ++place;
      entry.records.push_back(record_from(r));
    }
    return entry;
  } catch (const std::exception& e) {
    throw ProtocolError((place > 0 ? "record " + std::to_string(place) + ": " : "") + e.what());
  }
}
}  // namespace

LedgerEntry parse_entry(std::string_view value) {
  return entry_from(parse_object(value));
}

bool parse_changed(std::string_view body) {
  return !list(parse_object(body), "events").empty();
}

EntryPage parse_entries(std::string_view body) {
  const json j = parse_object(body);
  EntryPage page;
  // Without it, nothing can be said of what changed since.
  if (const json* revision = member(j, "ledgerRev")) page.revision = as_count(*revision, "ledgerRev");
  page.truncated = flag_or(j, "truncated", false);
  for (const auto& r : list(j, "rows")) {
    EntryPage::Row row;
    row.key = text(r, "path");
    if (const json* mod_revision = member(r, "stamp")) row.mod_revision = as_count(*mod_revision, "stamp");
    try {
      const json& value = need(r, "value");
      if (!value.is_object()) bad("value", "not an object");
      row.entry.format_version = format_version_of(value);
      row.entry = entry_from(value);
    } catch (const ProtocolError& e) {
      row.error = e.what();
    }
    page.rows.push_back(std::move(row));
  }
  return page;
}

}  // namespace thistlefront
