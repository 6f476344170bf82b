// Examples and helpers shared by the tests of the wire format.
#pragma once
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "json_variants.hpp"
#include "model/command.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"
#include "protocol/store_messages.hpp"
#include "protocol/user_messages.hpp"
#include "protocol/version_messages.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

// Message of the exception that `action` throws; "no error" if it throws none.
template <class Action>
std::string error_message_of(Action action) {
  try {
    action();
  } catch (const std::exception& e) {
    return e.what();
  }
  return "no error";
}

// Replaces `part` in `text`, which must contain it.
inline std::string replaced(std::string text, std::string_view part, std::string_view replacement) {
  const auto at = text.find(part);
  EXPECT_NE(at, std::string::npos) << part;
  if (at != std::string::npos) text.replace(at, part.size(), replacement);
  return text;
}
inline std::string without(std::string text, std::string_view part) {
  return replaced(std::move(text), part, "");
}

// Removes each field of an object in `body` in turn, makes it null, and gives it values of other kinds. `parse` must refuse each result
// with an error that names the field. `object`: JSON pointer to the object; `exempt`: fields that are left as they are.
template <class Parse>
void expect_fields_required(const std::string& body, const std::string& object, const std::set<std::string>& exempt, Parse parse) {
  using nlohmann::json;
  const json message = json::parse(body);
  EXPECT_EQ(error_message_of([&] { parse(message.dump()); }), "no error");
  const json::json_pointer at(object);
  for (const auto& [field, value] : message.at(at).items()) {
    if (exempt.contains(field)) continue;
    json changed = message;
    changed.at(at).erase(field);
    EXPECT_EQ(error_message_of([&] { parse(changed.dump()); }), field + ": missing");
    changed.at(at)[field] = nullptr;
    EXPECT_EQ(error_message_of([&] { parse(changed.dump()); }), field + ": missing");
    for (const auto& other : test_support::values_of_other_kinds(value)) {
      changed.at(at)[field] = other;
      EXPECT_TRUE(error_message_of([&] { parse(changed.dump()); }).starts_with(field + ": not ")) << changed;
    }
  }
}

inline std::string hex_of(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    out += digits[value >> 4];
    out += digits[value & 15];
  }
  return out;
}
inline std::string bytes_of(std::string_view hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) out += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  return out;
}

// A frame as "kind payload", both in hexadecimal.
inline std::string hex_of(const Frame& frame) {
  return hex_of(std::string(1, static_cast<char>(frame.kind))) + " " + hex_of(frame.payload);
}
inline Frame frame_of(std::string_view hex) {
  Frame frame;
  frame.kind = static_cast<std::uint8_t>(bytes_of(hex.substr(0, 2)).at(0));
  frame.payload = bytes_of(hex.substr(3));
  return frame;
}

inline Resources resources(double cores, double accelerators, double ram_gb) {
  Resources out;
  out.cores = cores;
  out.accelerators = accelerators;
  out.ram_gb = ram_gb;
  return out;
}

inline TeamQuota quota(double cores, double accelerators, double cores_max, double accelerators_max) {
  TeamQuota out;
  out.guarantee = resources(cores, accelerators, 0);
  out.limit = resources(cores_max, accelerators_max, 0);
  return out;
}

inline TaskId task_id(const std::string& uid, std::uint32_t task) {
  TaskId id;
  id.uid = uid;
  id.task = task;
  return id;
}

inline TaskRange range(std::uint32_t first, std::uint32_t end) {
  TaskRange out;
  out.first = first;
  out.end = end;
  return out;
}

inline Command command(CommandType type, const std::string& uid, std::uint32_t task, std::uint64_t attempt, double grace_period_s = 0) {
  Command out;
  out.type = type;
  out.id = task_id(uid, task);
  out.attempt = attempt;
  out.grace_period_s = grace_period_s;
  return out;
}

inline std::vector<Command> command_of_each_type() {
  return {command(CommandType::run, "j-000412", 4, 2), command(CommandType::kill, "j-000377", 1, 1, 10),
          command(CommandType::kill, "j-000377", 2, 1, 2.5), command(CommandType::acknowledge_exit, "j-000398", 0, 1)};
}

inline Condition condition(const std::string& key, std::uint64_t mod_revision) {
  Condition out;
  out.key = key;
  out.mod_revision = mod_revision;
  return out;
}

inline Put put(const std::string& key, const std::string& value, std::uint64_t session_lease) {
  Put out;
  out.key = key;
  out.value = value;
  out.session_lease = session_lease;
  return out;
}

inline const std::string kFullSubmission =
    R"({"uid":"j-000412","jobClass":"train","owner":"vision","shape":"group","rank":"high","pieces":16,)"
    R"("cores":8.0,"accelerators":1.0,"ramGb":64.0,"bundle":"img-07","pullGb":6.2,)"
    R"("hostKinds":["g8","g16"],"yard":"a","oneZone":true,"spread":true,"loaners":true,)"
    R"("expectedS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0,"waitsOn":["j-000410","j-000411"]})";
// Without the fields that may be omitted.
inline const std::string kMinimalSubmission =
    R"({"uid":"j-1","jobClass":"c","owner":"red","shape":"batch","rank":"idle","pieces":1,)"
    R"("cores":0.5,"accelerators":0,"ramGb":1,"bundle":"img","pullGb":0,"oneZone":false,"spread":false,"loaners":false,)"
    R"("expectedS":0,"snapshotEveryS":0,"snapshotS":0})";

inline std::string submission_error(const std::string& body) {
  return error_message_of([&] { parse_submission(body); });
}

inline const std::string kSupportedVersionsText =
    R"({"build":"0.3.0","incarnation":42,"least":1,"most":4,"teams":"00000000000000ab","wants":3})";

inline SupportedVersions supported_versions_of_host() {
  SupportedVersions supported_versions;
  supported_versions.min_version = 1;
  supported_versions.max_version = 4;
  supported_versions.max_allowed_version = 3;
  supported_versions.incarnation = 42;
  supported_versions.build = "0.3.0";
  supported_versions.teams_digest = 0xab;
  return supported_versions;
}

// `flag`: a field that is true instead of false.
inline std::string submission_with(const std::string& flag) {
  return replaced(kMinimalSubmission, "\"" + flag + "\":false", "\"" + flag + "\":true");
}

// The job of kMinimalSubmission, also of a stored description that omits what has its default value.
inline void expect_default_values(const JobSpec& spec) {
  EXPECT_EQ(spec.uid, "j-1");
  EXPECT_EQ(spec.job_class, "c");
  EXPECT_EQ(spec.owner, "red");
  EXPECT_EQ(spec.job_type, JobType::array);
  EXPECT_EQ(spec.priority, Priority::idle);
  EXPECT_EQ(spec.task_count, 1u);
  EXPECT_EQ(spec.demand, resources(0.5, 0, 1));
  EXPECT_EQ(spec.image, "img");
  EXPECT_EQ(spec.image_gb, 0);
  EXPECT_TRUE(spec.machine_types.empty());
  EXPECT_EQ(spec.zone, "");
  EXPECT_FALSE(spec.single_zone);
  EXPECT_FALSE(spec.spread);
  EXPECT_FALSE(spec.allows_spot);
  EXPECT_EQ(spec.estimated_run_s, 0);
  EXPECT_EQ(spec.checkpoint_interval_s, 0);
  EXPECT_EQ(spec.checkpoint_duration_s, 0);
  EXPECT_EQ(spec.deadline_s, std::nullopt);
  EXPECT_TRUE(spec.depends_on.empty());
}

}  // namespace thistlefront
