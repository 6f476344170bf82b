#include "protocol/messages.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <unordered_set>

#include "protocol/digest.hpp"

namespace thistle {

using nlohmann::json;

namespace {

json parse_object(std::string_view body) {
  json j = json::parse(body.begin(), body.end(), nullptr, false);
  if (j.is_discarded()) throw Malformed("body: not JSON");
  if (!j.is_object()) throw Malformed("body: not an object");
  return j;
}

[[noreturn]] void bad(const char* field, const char* why) {
  throw Malformed(std::string(field) + ": " + why);
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
constexpr Word<Shape> kShapes[] = {{"batch", Shape::batch}, {"group", Shape::group}, {"service", Shape::service}};
constexpr Word<Rank> kRanks[] = {{"prod", Rank::prod}, {"high", Rank::high}, {"standard", Rank::standard}, {"idle", Rank::idle}};
constexpr Word<JobStatus> kStatuses[] = {
    {"queued", JobStatus::queued}, {"running", JobStatus::running}, {"done", JobStatus::done}, {"aborted", JobStatus::aborted}};
constexpr Word<Phase> kPhases[] = {{"pulling", Phase::pulling},
                                   {"gathering", Phase::gathering},
                                   {"running", Phase::running},
                                   {"saving", Phase::saving},
                                   {"exited", Phase::exited}};
constexpr Word<Cause> kCauses[] = {{"done", Cause::done},   {"halted", Cause::halted},  {"peers", Cause::peers},
                                   {"alone", Cause::alone}, {"error", Cause::error},    {"no_room", Cause::no_room},
                                   {"busy", Cause::busy},   {"unknown", Cause::unknown}};
constexpr Word<Machine::Status> kMachineStatuses[] = {
    {"booting", Machine::Status::booting}, {"running", Machine::Status::running}, {"failed", Machine::Status::failed}};
constexpr Word<Verb> kVerbs[] = {{"run", Verb::run}, {"kill", Verb::kill}, {"reap", Verb::reap}};

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

PieceId split_piece(const std::string& s, const char* field) {
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

void append_orders(std::string& out, const std::vector<Order>& orders) {
  out += "\"orders\":[";
  bool first = true;
  for (const auto& o : orders) {
    if (!first) out += ',';
    first = false;
    // uids come from is_uid() or from the worker's own report by way of the JSON parser: digits and letters.
    out += "{\"verb\":\"";
    out += spell(o.type, kVerbs);
    out += "\",\"piece\":";
    out += json(o.id.uid + "/" + std::to_string(o.id.task)).dump();
    out += ",\"try\":" + std::to_string(o.attempt);
    if (o.type == Verb::kill) {
      out += ",\"windDownS\":";
      append_number(out, o.wind_down_s);
    }
    out += '}';
  }
  out += ']';
}

json ranges_json(const Ranges& ranges) {
  json out = json::array();
  for (const auto& r : ranges) {
    out.push_back(r.first);
    out.push_back(r.last);
  }
  return out;
}
Ranges parse_ranges(const json& j) {
  Ranges out;
  if (!j.is_array() || j.size() % 2) bad("ranges", "not pairs");
  for (std::size_t i = 0; i < j.size(); i += 2) out.push_back({j[i].get<std::uint32_t>(), j[i + 1].get<std::uint32_t>()});
  return out;
}

json submission_json(const Submission& s) {
  json j = {{"uid", s.uid},
            {"jobClass", s.job_class},
            {"owner", s.owner},
            {"shape", spell(s.shape, kShapes)},
            {"rank", spell(s.rank, kRanks)},
            {"pieces", s.task_count},
            {"cores", s.demand.cores},
            {"accelerators", s.demand.accelerators},
            {"ramGb", s.demand.ram_gb},
            {"bundle", s.bundle},
            {"pullGb", s.pull_gb},
            {"expectedS", s.expected_s}};
  if (!s.host_kinds.empty()) j["hostKinds"] = s.host_kinds;
  if (!s.yard.empty()) j["yard"] = s.yard;
  if (s.one_zone) j["oneZone"] = true;
  if (s.spread) j["spread"] = true;
  if (s.loaners) j["loaners"] = true;
  if (s.snapshot_every_s > 0) j["snapshotEveryS"] = s.snapshot_every_s;
  if (s.snapshot_s > 0) j["snapshotS"] = s.snapshot_s;
  if (s.due_s) j["dueS"] = *s.due_s;
  if (!s.waits_on.empty()) j["waitsOn"] = s.waits_on;
  return j;
}

Submission submission_from(const json& j) {
  Submission s;
  s.uid = text(j, "uid");
  if (!is_uid(s.uid)) bad("uid", "not in form");
  s.job_class = text(j, "jobClass");
  s.owner = text(j, "owner");
  s.shape = word(need(j, "shape"), "shape", kShapes);
  s.rank = word(need(j, "rank"), "rank", kRanks);
  const auto pieces = count(j, "pieces");
  if (pieces < 1 || pieces > 100000) bad("pieces", "not from 1 to 100000");
  s.task_count = static_cast<std::uint32_t>(pieces);
  s.demand = {amount(j, "cores"), amount_or(j, "accelerators", 0), amount(j, "ramGb")};
  s.bundle = text(j, "bundle");
  s.pull_gb = amount(j, "pullGb");
  if (const json* kinds = member(j, "hostKinds")) {
    if (!kinds->is_array()) bad("hostKinds", "not a list");
    if (kinds->empty()) bad("hostKinds", "empty");
    for (const auto& k : *kinds) s.host_kinds.push_back(as_text(k, "hostKinds"));
  }
  if (const json* yard = member(j, "yard")) s.yard = as_text(*yard, "yard");
  s.one_zone = flag_or(j, "oneZone", false);
  s.spread = flag_or(j, "spread", false);
  s.loaners = flag_or(j, "loaners", false);
  s.expected_s = amount_or(j, "expectedS", 0);
  s.snapshot_every_s = amount_or(j, "snapshotEveryS", 0);
  s.snapshot_s = amount_or(j, "snapshotS", 0);
  if (const json* due = member(j, "dueS")) s.due_s = as_amount(*due, "dueS");
  if (const json* names = member(j, "waitsOn")) {
    if (!names->is_array()) bad("waitsOn", "not a list");
    std::unordered_set<std::string_view> seen;
    for (const auto& n : *names) {
      if (!n.is_string() || !is_uid(n.get_ref<const std::string&>())) bad("waitsOn", "not a job's id");
      if (seen.insert(n.get_ref<const std::string&>()).second) s.waits_on.push_back(n.get<std::string>());
    }
  }
  return s;
}

json flavor_json(const Flavor& f) {
  return {{"sku", f.name},
          {"cores", f.capacity.cores},
          {"accelerators", f.capacity.accelerators},
          {"ramGb", f.capacity.ram_gb},
          {"cacheGb", f.cache_gb},
          {"fetchGbPerS", f.fetch_gb_per_s},
          {"price", f.price},
          {"marketPrice", f.market_price},
          {"bootS", f.boot_s},
          {"yards", f.yards}};
}
Flavor flavor_from(const json& j) {
  if (!j.is_object()) bad("hostKinds", "not objects");
  Flavor f;
  f.name = text(j, "sku");
  f.capacity = {amount(j, "cores"), amount_or(j, "accelerators", 0), amount(j, "ramGb")};
  f.cache_gb = amount_or(j, "cacheGb", 0);
  f.fetch_gb_per_s = amount_or(j, "fetchGbPerS", 0);
  f.price = amount_or(j, "price", 0);
  f.market_price = amount_or(j, "marketPrice", f.price);
  f.boot_s = amount_or(j, "bootS", 60);
  if (const json* yards = member(j, "yards")) {
    if (!yards->is_array()) bad("yards", "not a list");
    for (const auto& y : *yards) f.yards.push_back(as_text(y, "yards"));
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

Submission parse_submission(std::string_view body) {
  return submission_from(parse_object(body));
}

std::string peek_uid(std::string_view body) {
  const json j = json::parse(body.begin(), body.end(), nullptr, false);
  if (!j.is_object()) return {};
  const json* uid = member(j, "uid");
  return uid && uid->is_string() && is_uid(uid->get_ref<const std::string&>()) ? uid->get<std::string>() : "";
}

std::string status_body(const std::string& uid, JobStatus status, std::uint32_t done, std::uint32_t running) {
  return "{\"uid\":\"" + uid + "\",\"status\":\"" + std::string(spell(status, kStatuses)) + "\",\"done\":" + std::to_string(done) +
         ",\"running\":" + std::to_string(running) + "}";
}
std::string brief_body(const std::string& uid, JobStatus status) {
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
  if (target == "/v1/report") return with("POST", Kind::report);
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
class ReportReader {
 public:
  Report report;

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
    else if (depth_ == 2 && in_pieces_)
      piece_ = {}, has_ = {};
    else if (!take({.kind = Value::Kind::other}))
      return false;
    ++depth_;
    return true;
  }
  bool end_object() {
    --depth_;
    if (depth_ == 2 && in_pieces_) {
      if (!has_.piece) bad("piece", "missing");
      if (!has_.attempt) bad("try", "missing");
      if (!has_.status) bad("status", "missing");
      report.tasks.push_back(std::move(piece_));
    }
    return true;
  }
  bool start_array(std::size_t) {
    if (depth_ == 1 && key_ == "pieces")
      in_pieces_ = seen_pieces_ = true, report.tasks.clear();
    else if (!take({.kind = Value::Kind::other}))
      return false;
    ++depth_;
    return true;
  }
  bool end_array() {
    --depth_;
    if (depth_ == 1) in_pieces_ = false;
    return true;
  }
  bool key(std::string& k) {
    if (depth_ == 1 || (depth_ == 3 && in_pieces_)) key_ = k;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) { return false; }

  void check(bool whole) const {
    if (!whole) bad("body", "not JSON");
    if (!object_) bad("body", "not an object");
    if (report.host.empty()) bad("host", "missing");
    if (report.address.empty()) bad("address", "missing");
    if (report.machine_type.empty()) bad("hostKind", "missing");
    if (report.yard.empty()) bad("yard", "missing");
    if (!tenure_) bad("tenure", "missing");
    if (!serial_) bad("serial", "missing");
    if (!epoch_) bad("epoch", "missing");
    if (!seen_pieces_) bad("pieces", "missing");
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
    if (depth_ == 2 && in_pieces_) bad("pieces", "not objects");
    // Nulls are like omissions; what is nested in unknown fields is passed over.
    if (v.kind == Value::Kind::null) return true;
    if (depth_ == 1) {
      of_report(v);
    } else if (depth_ == 3 && in_pieces_) {
      of_piece(v);
    }
    return true;
  }
  void of_report(const Value& v) {
    if (key_ == "host")
      report.host = as_text(v, "host");
    else if (key_ == "address")
      report.address = as_text(v, "address");
    else if (key_ == "hostKind")
      report.machine_type = as_text(v, "hostKind");
    else if (key_ == "yard")
      report.yard = as_text(v, "yard");
    else if (key_ == "loaners")
      report.loaner = as_flag(v, "loaners");
    else if (key_ == "tenure")
      report.tenure = as_count(v, "tenure"), tenure_ = true;
    else if (key_ == "serial")
      report.serial = as_count(v, "serial"), serial_ = true;
    else if (key_ == "epoch")
      report.epoch = as_count(v, "epoch"), epoch_ = true;
    else if (key_ == "pieces")
      bad("pieces", "not a list");
    else if (key_ == "recallS") {
      if (v.kind != Value::Kind::count && v.kind != Value::Kind::real) bad("recallS", "not a number");
      report.recall_s = std::max(0.0, v.real);
    }
  }
  void of_piece(const Value& v) {
    if (key_ == "piece") {
      if (v.kind != Value::Kind::text) bad("piece", "not a string");
      piece_.id = split_piece(*v.text, "piece");
      has_.piece = true;
    } else if (key_ == "try") {
      piece_.attempt = as_count(v, "try");
      has_.attempt = true;
    } else if (key_ == "status") {
      const auto* phase = v.kind == Value::Kind::text ? find_word(*v.text, kPhases) : nullptr;
      if (!phase) bad("status", "not a known value");
      piece_.phase = *phase;
      has_.status = true;
    } else if (key_ == "cause") {
      // A cause this version does not know is taken as a failure of the task, never as done.
      const auto* cause = v.kind == Value::Kind::text ? find_word(*v.text, kCauses) : nullptr;
      piece_.cause = cause ? *cause : Cause::error;
    } else if (key_ == "kept") {
      piece_.checkpointed = as_flag(v, "kept");
    }
  }

  int depth_ = 0;
  bool object_ = false, in_pieces_ = false, seen_pieces_ = false, tenure_ = false, serial_ = false, epoch_ = false;
  std::string key_;
  ReportedPiece piece_;
  struct {
    bool piece = false, attempt = false, status = false;
  } has_;
};

}  // namespace

constexpr std::size_t kPieceBytes = 60;  // about, of one piece in a report

Report parse_report(std::string_view body) {
  ReportReader reader;
  reader.report.tasks.reserve(body.size() / kPieceBytes);
  const bool whole = json::sax_parse(body.begin(), body.end(), &reader);
  reader.check(whole);
  return std::move(reader.report);
}

std::string orders_body(std::uint64_t epoch, const std::vector<Order>& orders) {
  std::string out = "{\"epoch\":" + std::to_string(epoch) + ",";
  append_orders(out, orders);
  return out + "}";
}
std::string commands_body(std::uint64_t epoch, std::uint64_t tenure, const std::vector<Order>& orders) {
  std::string out = "{\"epoch\":" + std::to_string(epoch) + ",\"tenure\":" + std::to_string(tenure) + ",";
  append_orders(out, orders);
  return out + "}";
}
std::string steward_body(std::string_view steward) {
  if (steward.empty()) return "{}";
  return json{{"steward", steward}}.dump();
}

// ---- cloud

std::string machines_path(const std::string& from, unsigned page) {
  std::string out = std::string(kRentPath) + "?page=" + std::to_string(page);
  if (!from.empty()) out += "&from=" + from;
  return out;
}
std::vector<Flavor> parse_flavors(std::string_view body) {
  const json j = parse_object(body);
  std::vector<Flavor> out;
  for (const auto& f : list(j, "hostKinds")) out.push_back(flavor_from(f));
  return out;
}
MachinePage parse_machines(std::string_view body) {
  const json j = parse_object(body);
  MachinePage page;
  page.truncated = flag_or(j, "truncated", false);
  for (const auto& m : list(j, "hosts")) {
    if (!m.is_object()) bad("hosts", "not objects");
    Machine machine;
    machine.name = text(m, "uid");
    if (const json* address = member(m, "address"); address && address->is_string()) machine.address = address->get<std::string>();
    machine.machine_type = text(m, "hostKind");
    machine.yard = text(m, "yard");
    machine.loaner = flag_or(m, "loaners", false);
    machine.status = word(need(m, "status"), "status", kMachineStatuses);
    machine.held_s = amount_or(m, "heldS", 0);
    page.machines.push_back(std::move(machine));
  }
  return page;
}
std::string rent_body(const std::string& rental, const std::string& kind, const std::string& yard, bool loaner, unsigned count) {
  return json{{"rental", rental}, {"hostKind", kind}, {"yard", yard}, {"loaners", loaner}, {"count", count}}.dump();
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
std::string hold_path(std::uint64_t hold, bool renew) {
  return std::string(kHoldsPath) + "/" + std::to_string(hold) + (renew ? "/renew" : "");
}
std::string hold_body(unsigned life_ms) {
  return "{\"lifeMs\":" + std::to_string(life_ms) + "}";
}
std::uint64_t parse_hold(std::string_view body) {
  return count(parse_object(body), "hold");
}
std::string txn_body(const std::vector<Condition>& conditions, const std::vector<Put>& puts, const std::vector<std::string>& removes) {
  std::string out = "{\"if\":[";
  const char* sep = "";
  for (const auto& c : conditions) {
    out += sep;
    out += "{\"path\":\"" + c.key + "\",\"stamp\":" + std::to_string(c.stamp) + "}";
    sep = ",";
  }
  out += "],\"apply\":[";
  sep = "";
  for (const auto& p : puts) {
    out += sep;
    out += "{\"set\":\"" + p.key + "\",\"value\":" + p.value;
    if (p.hold) out += ",\"hold\":" + std::to_string(p.hold);
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
std::uint64_t parse_rev(std::string_view body) {
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
  row.stamp = count(j, "stamp");
  if (const json* hold = member(j, "hold"); hold && !hold->is_null()) row.hold = as_count(*hold, "hold");
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

EncodedRecord encode_record(const Record& record, std::uint32_t level) {
  struct Encode {
    std::uint32_t level;
    static json accept(const AcceptRecord& r) { return {submission_json(r.job), r.draw, r.at}; }
    json operator()(const AcceptRecord& r) const { return {"accept", accept(r)}; }
    json operator()(const StartRecord& r) const {
      json parts = json::array();
      for (const auto& p : r.assignments) parts.push_back({p.host, p.tenure, ranges_json(p.tasks)});
      return {"start", r.uid, r.attempt, r.at, std::move(parts)};
    }
    json operator()(const DoneRecord& r) const {
      json out{"done", r.uid, ranges_json(r.tasks)};
      if (r.at > 0 && pipelines_at(level)) out.push_back({{"at", r.at}});
      return out;
    }
    json operator()(const OffRecord& r) const {
      json out{"off", r.uid, r.attempt, ranges_json(r.tasks)};
      if (r.failed_at > 0) out.push_back(r.failed_at);
      return out;
    }
    json operator()(const CancelRecord& r) const { return {"cancel", r.uid}; }
    json operator()(const FlavorsRecord& r) const {
      json flavors = json::array();
      for (const auto& f : r.flavors) flavors.push_back(flavor_json(f));
      return {"flavors", std::move(flavors)};
    }
    json operator()(const JobRecord& r) const {
      json placed = json::array();
      for (const auto& p : r.placed) placed.push_back({p.host, p.tenure, p.attempt, p.at, ranges_json(p.tasks)});
      json out{"job",  accept(r.accept), spell(r.status, kStatuses), r.attempts, ranges_json(r.done), std::move(placed), r.from,
               r.more, r.suspect};
      if (r.ready_at > 0 && pipelines_at(level)) out.push_back({{"ready", r.ready_at}});
      return out;
    }
    static json terms(const std::optional<TeamTerms>& t) {
      if (!t) return nullptr;
      return {t->guarantee.cores, t->guarantee.accelerators, t->limit.cores, t->limit.accelerators};
    }
    json operator()(const TeamRecord& r) const { return {"team", r.name, terms(r.agreed), terms(r.proposed), r.leaving}; }
    json operator()(const EndedRecord& r) const {
      json out{"ended", spell(r.status, kStatuses), r.uids};
      if (!pipelines_at(level)) return out;
      json extras = json::object();
      for (const auto& [i, at] : r.done_at) extras["at"].push_back({i, at});
      if (!r.services.empty()) extras["services"] = r.services;
      if (!extras.empty()) out.push_back(std::move(extras));
      return out;
    }
  };
  const json j = std::visit(Encode{level}, record);
  return {j.dump(), checked_at(level) ? digest_of(j) : 0};
}

std::size_t encoded_most(const Submission& s) {
  constexpr std::size_t kFixed = 500;  // names of fields, numbers, flags
  constexpr std::size_t kEscaped = 6;  // of a control character
  std::size_t bytes = kFixed;
  const auto add = [&](const std::string& t) {
    bytes += 3;
    for (const char c : t) bytes += static_cast<unsigned char>(c) < 0x20 ? kEscaped : c == '"' || c == '\\' ? 2 : 1;
  };
  for (const auto* t : {&s.uid, &s.job_class, &s.owner, &s.bundle, &s.yard}) add(*t);
  for (const auto& k : s.host_kinds) add(k);
  for (const auto& n : s.waits_on) add(n);
  return bytes;
}

std::uint64_t digest_with_record(std::uint64_t digest, const EncodedRecord& record) {
  return digest_with(digest, record.digest);
}
std::uint64_t check_of(const EntryHead& head, std::uint64_t records_digest) {
  const auto check = digest_with(digest_with(records_digest, head.seq), head.generation);
  return slots_at(head.level) ? digest_with(digest_with(check, head.number), head.first_needed) : check;
}
std::uint64_t link_of(std::uint64_t before, std::uint64_t n, std::uint64_t check) {
  return digest_with(digest_with(before, n), check);
}

std::string entry_value(const EntryHead& head, std::string_view records, std::uint64_t records_digest) {
  std::string out = "{";
  if (checked_at(head.level)) {
    out += "\"level\":" + std::to_string(head.level) + ",\"generation\":" + std::to_string(head.generation) + ",\"check\":\"" +
           digest_text(check_of(head, records_digest)) + "\",\"before\":\"" + digest_text(head.previous_link) + "\",";
    if (slots_at(head.level)) out += "\"n\":" + std::to_string(head.number) + ",";
    if (slots_at(head.level) || head.first_needed > 0) out += "\"first\":" + std::to_string(head.first_needed) + ",";
  }
  out += "\"seq\":" + std::to_string(head.seq) + ",\"records\":[";
  out.append(records);
  return out + "]}";
}

namespace {
AcceptRecord accept_from(const json& j) {
  return {submission_from(j.at(0)), j.at(1).get<double>(), j.at(2).get<double>()};
}
Record record_from(const json& j) {
  const auto& kind = j.at(0).get_ref<const std::string&>();
  // Named extras, at the end, are of a writer that knows more than this reader, and such that it may pass them over.
  const std::size_t size = j.size() - (j.back().is_object() ? 1 : 0);
  const json* extras = j.back().is_object() ? &j.back() : nullptr;
  const auto extra = [&](const char* name) { return extras ? member(*extras, name) : nullptr; };
  if (kind == "accept") return accept_from(j.at(1));
  if (kind == "start") {
    StartRecord r{j.at(1).get<std::string>(), j.at(2).get<std::uint64_t>(), j.at(3).get<double>(), {}};
    for (const auto& p : j.at(4))
      r.assignments.push_back({p.at(0).get<std::string>(), p.at(1).get<std::uint64_t>(), parse_ranges(p.at(2))});
    return r;
  }
  if (kind == "done") {
    DoneRecord r{j.at(1).get<std::string>(), parse_ranges(j.at(2)), 0};
    if (const json* at = extra("at")) r.at = at->get<double>();
    return r;
  }
  if (kind == "off")
    return OffRecord{j.at(1).get<std::string>(), j.at(2).get<std::uint64_t>(), parse_ranges(j.at(3)),
                     size > 4 ? j.at(4).get<double>() : 0.0};
  if (kind == "cancel") return CancelRecord{j.at(1).get<std::string>()};
  if (kind == "flavors") {
    FlavorsRecord r;
    for (const auto& f : j.at(1)) r.flavors.push_back(flavor_from(f));
    return r;
  }
  if (kind == "job") {
    JobRecord r;
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
    const auto terms = [](const json& t) -> std::optional<TeamTerms> {
      if (t.is_null()) return std::nullopt;
      return TeamTerms{{t.at(0).get<double>(), t.at(1).get<double>(), 0}, {t.at(2).get<double>(), t.at(3).get<double>(), 0}};
    };
    return TeamRecord{j.at(1).get<std::string>(), terms(j.at(2)), terms(j.at(3)), j.at(4).get<bool>()};
  }
  if (kind == "ended") {
    EndedRecord r{word(j.at(1), "status", kStatuses), j.at(2).get<std::vector<std::string>>()};
    if (const json* at = extra("at"))
      for (const auto& p : *at) r.done_at.emplace_back(p.at(0).get<std::uint32_t>(), p.at(1).get<double>());
    if (const json* services = extra("services")) r.services = services->get<std::vector<std::uint32_t>>();
    return r;
  }
  throw Malformed("ledger record: unknown kind " + kind);
}
}  // namespace

namespace {
std::uint32_t level_of(const json& j) {
  const json* level = member(j, "level");
  return level ? static_cast<std::uint32_t>(std::min<std::uint64_t>(as_count(*level, "level"), UINT32_MAX)) : 1;
}
LedgerEntry entry_from(const json& j) {
  std::size_t place = 0;
  try {
    LedgerEntry entry;
    entry.level = level_of(j);
    entry.seq = count(j, "seq");
    const auto& records = list(j, "records");
    if (checked_at(entry.level)) {
      entry.generation = count(j, "generation");
      entry.previous_link = parse_digest(text(j, "before"));
      if (slots_at(entry.level)) entry.number = count(j, "n");
      if (const json* first = member(j, "first")) entry.first_needed = as_count(*first, "first");
      entry.check = parse_digest(text(j, "check"));
      std::uint64_t digest = 0;
      for (const auto& r : records) digest = digest_with(digest, digest_of(r));
      if (check_of(entry, digest) != entry.check) throw Malformed("its check is wrong: it was altered");
    }
    for (const auto& r : records) {
      ++place;
      entry.records.push_back(record_from(r));
    }
    return entry;
  } catch (const std::exception& e) {
    throw Malformed((place > 0 ? "record " + std::to_string(place) + ": " : "") + e.what());
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
  if (const json* rev = member(j, "ledgerRev")) page.revision = as_count(*rev, "ledgerRev");
  page.truncated = flag_or(j, "truncated", false);
  for (const auto& r : list(j, "rows")) {
    EntryPage::Row row;
    row.key = text(r, "path");
    if (const json* stamp = member(r, "stamp")) row.stamp = as_count(*stamp, "stamp");
    try {
      const json& value = need(r, "value");
      if (!value.is_object()) bad("value", "not an object");
      row.entry.level = level_of(value);
      row.entry = entry_from(value);
    } catch (const Malformed& e) {
      row.error = e.what();
    }
    page.rows.push_back(std::move(row));
  }
  return page;
}

}  // namespace thistle
