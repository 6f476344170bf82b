#include "protocol/ledger_record_json.hpp"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <variant>

#include "protocol/digest.hpp"
#include "protocol/enum_names.hpp"
#include "protocol/format_version.hpp"
#include "protocol/job_spec_json.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/machine_type_json.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

// ---- writing

// Flat array of the bounds of half-open ranges: first, end, first, end, ...
json ranges_json(const TaskRanges& ranges) {
  json numbers = json::array();
  for (const auto& range : ranges) {
    numbers.push_back(range.first);
    numbers.push_back(range.end);
  }
  return numbers;
}

json accept_json(const JobAcceptedRecord& record) {
  return {stored_job_spec_json(record.job), record.random_draw, record.accepted_at};
}

// Null if there is no quota. Memory has no quota.
json quota_json(const std::optional<TeamQuota>& quota) {
  if (!quota) return nullptr;
  return {quota->guarantee.cores, quota->guarantee.accelerators, quota->limit.cores, quota->limit.accelerators};
}

struct RecordEncoder {
  std::uint32_t format_version;

  json operator()(const JobAcceptedRecord& record) const { return {"accept", accept_json(record)}; }
  json operator()(const TasksStartedRecord& record) const {
    json assignments = json::array();
    for (const auto& assignment : record.assignments)
      assignments.push_back({assignment.node, assignment.agent_incarnation, ranges_json(assignment.tasks)});
    return {"start", record.uid, record.attempt, record.decided_at, std::move(assignments)};
  }
  json operator()(const TasksCompletedRecord& record) const {
    json items{"done", record.uid, ranges_json(record.tasks)};
    if (record.completed_at > 0 && has_dependencies(format_version)) items.push_back({{"at", record.completed_at}});
    return items;
  }
  json operator()(const TasksRemovedRecord& record) const {
    json items{"off", record.uid, record.attempt, ranges_json(record.tasks)};
    if (record.failed_at > 0) items.push_back(record.failed_at);
    return items;
  }
  json operator()(const JobCancelledRecord& record) const { return {"cancel", record.uid}; }
  json operator()(const MachineTypesRecord& record) const {
    json machine_types = json::array();
    for (const auto& machine_type : record.machine_types) machine_types.push_back(stored_machine_type_json(machine_type));
    return {"flavors", std::move(machine_types)};
  }
  json operator()(const JobSnapshotRecord& record) const {
    json placed = json::array();
    for (const auto& tasks : record.placed)
      placed.push_back({tasks.node, tasks.agent_incarnation, tasks.attempt, tasks.decided_at, ranges_json(tasks.tasks)});
    json items{"job",
               accept_json(record.accepted),
               enum_name(record.status, kJobStatusNames),
               record.attempts,
               ranges_json(record.done),
               std::move(placed),
               record.first_task,
               record.has_more,
               record.suspect};
    if (record.eligible_since > 0 && has_dependencies(format_version)) items.push_back({{"ready", record.eligible_since}});
    return items;
  }
  json operator()(const TeamQuotaRecord& record) const {
    return {"team", record.name, quota_json(record.agreed), quota_json(record.proposed), record.in_no_settings};
  }
  json operator()(const JobsEndedRecord& record) const {
    json items{"ended", enum_name(record.status, kJobStatusNames), record.uids};
    if (!has_dependencies(format_version)) return items;
    json extras = json::object();
    for (const auto& [index, at] : record.done_at) extras["at"].push_back({index, at});
    if (!record.services.empty()) extras["services"] = record.services;
    if (!extras.empty()) items.push_back(std::move(extras));
    return items;
  }
};

// Upper bound in bytes of a JSON string, including its quotes and a comma.
std::size_t max_encoded_bytes(const std::string& text) {
  constexpr std::size_t kQuotesAndComma = 3;
  constexpr std::size_t kControlCharacterBytes = 6;  // \u001f
  constexpr unsigned char kFirstPrintable = 0x20;
  std::size_t bytes = kQuotesAndComma;
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < kFirstPrintable) {
      bytes += kControlCharacterBytes;
    } else {
      bytes += c == '"' || c == '\\' ? 2 : 1;
    }
  }
  return bytes;
}

// ---- reading

// The items of a record, without the optional trailing object of extras.
struct RecordItems {
  const json& items;
  std::size_t size;    // number of items, without the extras
  const json* extras;  // null if there are none

  explicit RecordItems(const json& all)
      : items(all), size(all.size() - (all.back().is_object() ? 1 : 0)), extras(all.back().is_object() ? &all.back() : nullptr) {}
  [[nodiscard]] const json& at(std::size_t index) const { return items.at(index); }
  [[nodiscard]] const json* extra(const char* name) const { return extras ? find_member(*extras, name) : nullptr; }
};

TaskRanges parse_ranges(const json& numbers) {
  TaskRanges ranges;
  if (!numbers.is_array() || numbers.size() % 2 != 0) fail_field("ranges", "not pairs");
  for (std::size_t i = 0; i < numbers.size(); i += 2)
    ranges.push_back({numbers[i].get<std::uint32_t>(), numbers[i + 1].get<std::uint32_t>()});
  return ranges;
}

JobAcceptedRecord parse_accept(const json& items) {
  return {parse_stored_job_spec(items.at(0)), items.at(1).get<double>(), items.at(2).get<double>()};
}

std::optional<TeamQuota> parse_quota(const json& items) {
  if (items.is_null()) return std::nullopt;
  return TeamQuota{{items.at(0).get<double>(), items.at(1).get<double>(), 0}, {items.at(2).get<double>(), items.at(3).get<double>(), 0}};
}

Record parse_job_accepted(const RecordItems& items) {
  return parse_accept(items.at(1));
}

Record parse_tasks_started(const RecordItems& items) {
  TasksStartedRecord record{items.at(1).get<std::string>(), items.at(2).get<std::uint64_t>(), items.at(3).get<double>(), {}};
  for (const auto& assignment : items.at(4)) {
    record.assignments.push_back(
        {assignment.at(0).get<std::string>(), assignment.at(1).get<std::uint64_t>(), parse_ranges(assignment.at(2))});
  }
  return record;
}

Record parse_tasks_completed(const RecordItems& items) {
  TasksCompletedRecord record{items.at(1).get<std::string>(), parse_ranges(items.at(2)), 0};
  if (const json* at = items.extra("at")) record.completed_at = at->get<double>();
  return record;
}

Record parse_tasks_removed(const RecordItems& items) {
  return TasksRemovedRecord{items.at(1).get<std::string>(), items.at(2).get<std::uint64_t>(), parse_ranges(items.at(3)),
                            items.size > 4 ? items.at(4).get<double>() : 0.0};
}

Record parse_job_cancelled(const RecordItems& items) {
  return JobCancelledRecord{items.at(1).get<std::string>()};
}

Record parse_machine_types_record(const RecordItems& items) {
  MachineTypesRecord record;
  for (const auto& machine_type : items.at(1)) record.machine_types.push_back(parse_stored_machine_type(machine_type));
  return record;
}

// Early builds wrote fewer items: `first_task` and `has_more` were added together, `suspect` later.
Record parse_job_snapshot(const RecordItems& items) {
  JobSnapshotRecord record;
  record.accepted = parse_accept(items.at(1));
  record.status = as_enum(items.at(2), "status", kJobStatusNames);
  record.attempts = items.at(3).get<std::uint64_t>();
  record.done = parse_ranges(items.at(4));
  for (const auto& placed : items.at(5)) {
    record.placed.push_back({placed.at(0).get<std::string>(), placed.at(1).get<std::uint64_t>(), placed.at(2).get<std::uint64_t>(),
                             placed.at(3).get<double>(), parse_ranges(placed.at(4))});
  }
  if (items.size > 7) {
    record.first_task = items.at(6).get<std::uint32_t>();
    record.has_more = items.at(7).get<bool>();
  }
  if (items.size > 8) record.suspect = items.at(8).get<bool>();
  if (const json* ready_at = items.extra("ready")) record.eligible_since = ready_at->get<double>();
  return record;
}

Record parse_team_quota(const RecordItems& items) {
  return TeamQuotaRecord{items.at(1).get<std::string>(), parse_quota(items.at(2)), parse_quota(items.at(3)), items.at(4).get<bool>()};
}

Record parse_jobs_ended(const RecordItems& items) {
  JobsEndedRecord record{as_enum(items.at(1), "status", kJobStatusNames), items.at(2).get<std::vector<std::string>>()};
  if (const json* done_at = items.extra("at"))
    for (const auto& pair : *done_at) record.done_at.emplace_back(pair.at(0).get<std::uint32_t>(), pair.at(1).get<double>());
  if (const json* services = items.extra("services")) record.services = services->get<std::vector<std::uint32_t>>();
  return record;
}

struct RecordParser {
  std::string_view kind;
  Record (*parse)(const RecordItems& items);
};
constexpr RecordParser kRecordParsers[] = {
    {"accept", parse_job_accepted}, {"start", parse_tasks_started},  {"done", parse_tasks_completed},
    {"off", parse_tasks_removed},   {"cancel", parse_job_cancelled}, {"flavors", parse_machine_types_record},
    {"job", parse_job_snapshot},    {"team", parse_team_quota},      {"ended", parse_jobs_ended},
};

}  // namespace

EncodedRecord encode_record(const Record& record, std::uint32_t format_version) {
  const json items = std::visit(RecordEncoder{format_version}, record);
  return {items.dump(), has_checksums(format_version) ? digest_of(items) : 0};
}

std::size_t max_job_spec_bytes(const JobSpec& spec) {
  constexpr std::size_t kFixedBytes = 500;  // field names, numbers, flags
  std::size_t bytes = kFixedBytes;
  for (const auto* text : {&spec.uid, &spec.job_class, &spec.owner, &spec.image, &spec.zone}) bytes += max_encoded_bytes(*text);
  for (const auto& machine_type : spec.machine_types) bytes += max_encoded_bytes(machine_type);
  for (const auto& uid : spec.depends_on) bytes += max_encoded_bytes(uid);
  return bytes;
}

Record parse_record(const json& items) {
  const auto& kind = items.at(0).get_ref<const std::string&>();
  for (const auto& parser : kRecordParsers)
    if (parser.kind == kind) return parser.parse(RecordItems(items));
  throw ProtocolError("ledger record", "unknown kind " + kind);
}

}  // namespace thistlefront
