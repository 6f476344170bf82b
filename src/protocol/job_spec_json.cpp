#include "protocol/job_spec_json.hpp"

#include <nlohmann/json.hpp>
#include <unordered_set>

#include "protocol/enum_names.hpp"
#include "protocol/json_fields.hpp"

namespace thistlefront {

using nlohmann::json;

namespace {

constexpr std::size_t kMinUidBytes = 3, kMaxUidBytes = 32;
constexpr std::uint64_t kMaxTasks = 100000;

constexpr EnumName<JobType> kJobTypeNames[] = {{"batch", JobType::array}, {"group", JobType::gang}, {"service", JobType::service}};
constexpr EnumName<Priority> kPriorityNames[] = {
    {"prod", Priority::production}, {"high", Priority::high}, {"standard", Priority::standard}, {"idle", Priority::idle}};

std::string read_uid(const json& object) {
  auto uid = read_text(object, "uid");
  if (!is_uid(uid)) fail_field("uid", "not in form");
  return uid;
}

std::uint32_t read_task_count(const json& object) {
  const auto task_count = read_count(object, "pieces");
  if (task_count < 1 || task_count > kMaxTasks) fail_field("pieces", "not from 1 to 100000");
  return static_cast<std::uint32_t>(task_count);
}

std::vector<std::string> read_machine_types(const json& object) {
  const json* names = find_member(object, "hostKinds");
  if (!names) return {};
  if (!names->is_array()) fail_field("hostKinds", "not a list");
  if (names->empty()) fail_field("hostKinds", "empty");
  std::vector<std::string> machine_types;
  for (const auto& name : *names) machine_types.push_back(as_text(name, "hostKinds"));
  return machine_types;
}

std::vector<std::string> read_dependencies(const json& object) {
  const json* uids = find_member(object, "waitsOn");
  if (!uids) return {};
  if (!uids->is_array()) fail_field("waitsOn", "not a list");
  std::vector<std::string> depends_on;
  std::unordered_set<std::string_view> seen;
  for (const auto& uid : *uids) {
    if (!uid.is_string() || !is_uid(uid.get_ref<const std::string&>())) fail_field("waitsOn", "not a job's id");
    if (seen.insert(uid.get_ref<const std::string&>()).second) depends_on.push_back(uid.get<std::string>());
  }
  return depends_on;
}

// Reads the fields that both forms always contain, and those that may be null in both. The order of these statements decides which of
// several invalid fields is reported.
JobSpec parse_fields_of_both_forms(const json& object) {
  JobSpec spec;
  spec.uid = read_uid(object);
  spec.job_class = read_text(object, "jobClass");
  spec.owner = read_text(object, "owner");
  spec.job_type = as_enum(require_member(object, "shape"), "shape", kJobTypeNames);
  spec.priority = as_enum(require_member(object, "rank"), "rank", kPriorityNames);
  spec.task_count = read_task_count(object);
  spec.demand.cores = read_amount(object, "cores");
  spec.demand.ram_gb = read_amount(object, "ramGb");
  spec.image = read_text(object, "bundle");
  spec.image_gb = read_amount(object, "pullGb");
  spec.machine_types = read_machine_types(object);
  if (const json* zone = find_member(object, "yard")) spec.zone = as_text(*zone, "yard");
  if (const json* deadline = find_member(object, "dueS")) spec.deadline_s = as_amount(*deadline, "dueS");
  spec.depends_on = read_dependencies(object);
  return spec;
}

}  // namespace

bool is_uid(std::string_view uid) {
  if (uid.size() < kMinUidBytes || uid.size() > kMaxUidBytes || uid.substr(0, 2) != "j-") return false;
  for (const char c : uid.substr(2))
    if (c < '0' || c > '9') return false;
  return true;
}

json stored_job_spec_json(const JobSpec& spec) {
  json object = {{"uid", spec.uid},
                 {"jobClass", spec.job_class},
                 {"owner", spec.owner},
                 {"shape", enum_name(spec.job_type, kJobTypeNames)},
                 {"rank", enum_name(spec.priority, kPriorityNames)},
                 {"pieces", spec.task_count},
                 {"cores", spec.demand.cores},
                 {"accelerators", spec.demand.accelerators},
                 {"ramGb", spec.demand.ram_gb},
                 {"bundle", spec.image},
                 {"pullGb", spec.image_gb},
                 {"expectedS", spec.estimated_run_s}};
  if (!spec.machine_types.empty()) object["hostKinds"] = spec.machine_types;
  if (!spec.zone.empty()) object["yard"] = spec.zone;
  if (spec.single_zone) object["oneZone"] = true;
  if (spec.spread) object["spread"] = true;
  if (spec.allows_spot) object["loaners"] = true;
  if (spec.checkpoint_interval_s > 0) object["snapshotEveryS"] = spec.checkpoint_interval_s;
  if (spec.checkpoint_duration_s > 0) object["snapshotS"] = spec.checkpoint_duration_s;
  if (spec.deadline_s) object["dueS"] = *spec.deadline_s;
  if (!spec.depends_on.empty()) object["waitsOn"] = spec.depends_on;
  return object;
}

JobSpec parse_stored_job_spec(const json& object) {
  JobSpec spec = parse_fields_of_both_forms(object);
  spec.demand.accelerators = read_amount_or(object, "accelerators", 0);
  spec.single_zone = read_flag_or(object, "oneZone", false);
  spec.spread = read_flag_or(object, "spread", false);
  spec.allows_spot = read_flag_or(object, "loaners", false);
  spec.estimated_run_s = read_amount_or(object, "expectedS", 0);
  spec.checkpoint_interval_s = read_amount_or(object, "snapshotEveryS", 0);
  spec.checkpoint_duration_s = read_amount_or(object, "snapshotS", 0);
  return spec;
}

JobSpec parse_submitted_job_spec(const json& object) {
  JobSpec spec = parse_fields_of_both_forms(object);
  spec.demand.accelerators = read_amount(object, "accelerators");
  spec.single_zone = read_flag(object, "oneZone");
  spec.spread = read_flag(object, "spread");
  spec.allows_spot = read_flag(object, "loaners");
  spec.estimated_run_s = read_amount(object, "expectedS");
  spec.checkpoint_interval_s = read_amount(object, "snapshotEveryS");
  spec.checkpoint_duration_s = read_amount(object, "snapshotS");
  if (object.contains("waitsOn")) require_member(object, "waitsOn");  // may be omitted, but not null
  return spec;
}

}  // namespace thistlefront
