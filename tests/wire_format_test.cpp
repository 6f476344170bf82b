// Wire format of each message. The tests compare with literal strings or bytes, so that they fail if a change of the code alters what
// other programs read or write.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "json_variants.hpp"
#include "ledger/ledger_writer.hpp"
#include "model/command.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"
#include "protocol/cloud_messages.hpp"
#include "protocol/digest.hpp"
#include "protocol/ledger_format.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/settings.hpp"
#include "protocol/store_messages.hpp"
#include "protocol/user_messages.hpp"
#include "protocol/version_messages.hpp"
#include "protocol/worker_messages.hpp"
#include "rollout/format_versions.hpp"
#include "transport/frames.hpp"
#include "transport/socket.hpp"

namespace thistlefront {
namespace {

// ---- helpers

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
std::string replaced(std::string text, std::string_view part, std::string_view replacement) {
  const auto at = text.find(part);
  EXPECT_NE(at, std::string::npos) << part;
  if (at != std::string::npos) text.replace(at, part.size(), replacement);
  return text;
}
std::string without(std::string text, std::string_view part) {
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

std::string hex_of(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string out;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    out += digits[value >> 4];
    out += digits[value & 15];
  }
  return out;
}
std::string bytes_of(std::string_view hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) out += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  return out;
}

// A frame as "kind payload", both in hexadecimal.
std::string hex_of(const Frame& frame) {
  return hex_of(std::string(1, static_cast<char>(frame.kind))) + " " + hex_of(frame.payload);
}
Frame frame_of(std::string_view hex) {
  Frame frame;
  frame.kind = static_cast<std::uint8_t>(bytes_of(hex.substr(0, 2)).at(0));
  frame.payload = bytes_of(hex.substr(3));
  return frame;
}

Resources resources(double cores, double accelerators, double ram_gb) {
  Resources out;
  out.cores = cores;
  out.accelerators = accelerators;
  out.ram_gb = ram_gb;
  return out;
}

TaskId task_id(const std::string& uid, std::uint32_t task) {
  TaskId id;
  id.uid = uid;
  id.task = task;
  return id;
}

TaskRange range(std::uint32_t first, std::uint32_t end) {
  TaskRange out;
  out.first = first;
  out.end = end;
  return out;
}

Command command(CommandType type, const std::string& uid, std::uint32_t task, std::uint64_t attempt, double grace_period_s = 0) {
  Command out;
  out.type = type;
  out.id = task_id(uid, task);
  out.attempt = attempt;
  out.grace_period_s = grace_period_s;
  return out;
}

std::vector<Command> command_of_each_type() {
  return {command(CommandType::run, "j-000412", 4, 2), command(CommandType::kill, "j-000377", 1, 1, 10),
          command(CommandType::kill, "j-000377", 2, 1, 2.5), command(CommandType::acknowledge_exit, "j-000398", 0, 1)};
}

Condition condition(const std::string& key, std::uint64_t mod_revision) {
  Condition out;
  out.key = key;
  out.mod_revision = mod_revision;
  return out;
}

Put put(const std::string& key, const std::string& value, std::uint64_t session_lease) {
  Put out;
  out.key = key;
  out.value = value;
  out.session_lease = session_lease;
  return out;
}

// ---- users

const std::string kFullSubmission =
    R"({"uid":"j-000412","jobClass":"train","owner":"vision","shape":"group","rank":"high","pieces":16,)"
    R"("cores":8.0,"accelerators":1.0,"ramGb":64.0,"bundle":"img-07","pullGb":6.2,)"
    R"("hostKinds":["g8","g16"],"yard":"a","oneZone":true,"spread":true,"loaners":true,)"
    R"("expectedS":240.0,"snapshotEveryS":30.0,"snapshotS":4.0,"dueS":900.0,"waitsOn":["j-000410","j-000411"]})";
// Without the fields that may be omitted.
const std::string kMinimalSubmission =
    R"({"uid":"j-1","jobClass":"c","owner":"red","shape":"batch","rank":"idle","pieces":1,)"
    R"("cores":0.5,"accelerators":0,"ramGb":1,"bundle":"img","pullGb":0,"oneZone":false,"spread":false,"loaners":false,)"
    R"("expectedS":0,"snapshotEveryS":0,"snapshotS":0})";

std::string submission_error(const std::string& body) {
  return error_message_of([&] { parse_submission(body); });
}

TEST(WireFormatUsers, ParsesEachFieldOfASubmission) {
  const auto spec = parse_submission(kFullSubmission);
  EXPECT_EQ(spec.uid, "j-000412");
  EXPECT_EQ(spec.job_class, "train");
  EXPECT_EQ(spec.owner, "vision");
  EXPECT_EQ(spec.job_type, JobType::gang);
  EXPECT_EQ(spec.priority, Priority::high);
  EXPECT_EQ(spec.task_count, 16u);
  EXPECT_EQ(spec.demand.cores, 8);
  EXPECT_EQ(spec.demand.accelerators, 1);
  EXPECT_EQ(spec.demand.ram_gb, 64);
  EXPECT_EQ(spec.image, "img-07");
  EXPECT_EQ(spec.image_gb, 6.2);
  EXPECT_EQ(spec.machine_types, (std::vector<std::string>{"g8", "g16"}));
  EXPECT_EQ(spec.zone, "a");
  EXPECT_TRUE(spec.single_zone);
  EXPECT_TRUE(spec.spread);
  EXPECT_TRUE(spec.allows_spot);
  EXPECT_EQ(spec.estimated_run_s, 240);
  EXPECT_EQ(spec.checkpoint_interval_s, 30);
  EXPECT_EQ(spec.checkpoint_duration_s, 4);
  EXPECT_EQ(spec.deadline_s, 900);
  EXPECT_EQ(spec.depends_on, (std::vector<std::string>{"j-000410", "j-000411"}));
}

TEST(WireFormatUsers, DefaultsOmittedFieldsOfASubmission) {
  const auto spec = parse_submission(kMinimalSubmission);
  EXPECT_EQ(spec.uid, "j-1");
  EXPECT_EQ(spec.job_class, "c");
  EXPECT_EQ(spec.owner, "red");
  EXPECT_EQ(spec.job_type, JobType::array);
  EXPECT_EQ(spec.priority, Priority::idle);
  EXPECT_EQ(spec.task_count, 1u);
  EXPECT_EQ(spec.demand.cores, 0.5);
  EXPECT_EQ(spec.demand.accelerators, 0);
  EXPECT_EQ(spec.demand.ram_gb, 1);
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

// `flag`: a field that is true instead of false.
std::string submission_with(const std::string& flag) {
  return replaced(kMinimalSubmission, "\"" + flag + "\":false", "\"" + flag + "\":true");
}

TEST(WireFormatUsers, ParsesEachFlagOfASubmissionIndependently) {
  const auto single_zone = parse_submission(submission_with("oneZone"));
  EXPECT_TRUE(single_zone.single_zone);
  EXPECT_FALSE(single_zone.spread);
  EXPECT_FALSE(single_zone.allows_spot);
  const auto spread = parse_submission(submission_with("spread"));
  EXPECT_FALSE(spread.single_zone);
  EXPECT_TRUE(spread.spread);
  EXPECT_FALSE(spread.allows_spot);
  const auto allows_spot = parse_submission(submission_with("loaners"));
  EXPECT_FALSE(allows_spot.single_zone);
  EXPECT_FALSE(allows_spot.spread);
  EXPECT_TRUE(allows_spot.allows_spot);
}

TEST(WireFormatUsers, TreatsNullFieldsOfASubmissionAsOmitted) {
  const auto spec = parse_submission(without(kMinimalSubmission, "}") + R"(,"hostKinds":null,"yard":null,"dueS":null})");
  EXPECT_TRUE(spec.machine_types.empty());
  EXPECT_EQ(spec.zone, "");
  EXPECT_EQ(spec.deadline_s, std::nullopt);
}

TEST(WireFormatUsers, ParsesNamesOfJobTypes) {
  const auto parsed_job_type = [](const std::string& name) {
    return parse_submission(replaced(kMinimalSubmission, R"("batch")", "\"" + name + "\"")).job_type;
  };
  EXPECT_EQ(parsed_job_type("batch"), JobType::array);
  EXPECT_EQ(parsed_job_type("group"), JobType::gang);
  EXPECT_EQ(parsed_job_type("service"), JobType::service);
}

TEST(WireFormatUsers, ParsesNamesOfPriorities) {
  const auto parsed_priority = [](const std::string& name) {
    return parse_submission(replaced(kMinimalSubmission, R"("idle")", "\"" + name + "\"")).priority;
  };
  EXPECT_EQ(parsed_priority("prod"), Priority::production);
  EXPECT_EQ(parsed_priority("high"), Priority::high);
  EXPECT_EQ(parsed_priority("standard"), Priority::standard);
  EXPECT_EQ(parsed_priority("idle"), Priority::idle);
}

TEST(WireFormatUsers, ErrorNamesTheFieldMissingInASubmission) {
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("uid":"j-1",)")), "uid: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("jobClass":"c",)")), "jobClass: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("owner":"red",)")), "owner: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("shape":"batch",)")), "shape: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("rank":"idle",)")), "rank: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("pieces":1,)")), "pieces: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("cores":0.5,)")), "cores: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("accelerators":0,)")), "accelerators: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("ramGb":1,)")), "ramGb: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("bundle":"img",)")), "bundle: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("pullGb":0,)")), "pullGb: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("oneZone":false,)")), "oneZone: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("spread":false,)")), "spread: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("loaners":false,)")), "loaners: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("expectedS":0,)")), "expectedS: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"("snapshotEveryS":0,)")), "snapshotEveryS: missing");
  EXPECT_EQ(submission_error(without(kMinimalSubmission, R"(,"snapshotS":0)")), "snapshotS: missing");
}

TEST(WireFormatUsers, ErrorNamesTheInvalidFieldOfASubmissionAndTheReason) {
  const auto with = [](std::string_view part, std::string_view other) { return submission_error(replaced(kFullSubmission, part, other)); };
  EXPECT_EQ(submission_error("{"), "body: not JSON");
  EXPECT_EQ(submission_error("[]"), "body: not an object");
  EXPECT_EQ(with(R"("uid":"j-000412")", R"("uid":"k-000412")"), "uid: not in form");
  EXPECT_EQ(with(R"("uid":"j-000412")", R"("uid":7)"), "uid: not a string");
  EXPECT_EQ(with(R"("owner":"vision")", R"("owner":"")"), "owner: empty");
  EXPECT_EQ(with(R"("owner":"vision")", R"("owner":")" + std::string(201, 'x') + "\""), "owner: too long");
  EXPECT_EQ(with(R"("shape":"group")", R"("shape":"gang")"), "shape: not a known value");
  EXPECT_EQ(with(R"("rank":"high")", R"("rank":3)"), "rank: not a known value");
  EXPECT_EQ(with(R"("pieces":16)", R"("pieces":0)"), "pieces: not from 1 to 100000");
  EXPECT_EQ(with(R"("pieces":16)", R"("pieces":100001)"), "pieces: not from 1 to 100000");
  EXPECT_EQ(with(R"("pieces":16)", R"("pieces":1.5)"), "pieces: not a count");
  EXPECT_EQ(with(R"("cores":8.0)", R"("cores":"8")"), "cores: not a number");
  EXPECT_EQ(with(R"("cores":8.0)", R"("cores":-8)"), "cores: negative");
  EXPECT_EQ(with(R"("ramGb":64.0)", R"("ramGb":1e13)"), "ramGb: too large");
  EXPECT_EQ(with(R"("hostKinds":["g8","g16"])", R"("hostKinds":"g8")"), "hostKinds: not a list");
  EXPECT_EQ(with(R"("hostKinds":["g8","g16"])", R"("hostKinds":[])"), "hostKinds: empty");
  EXPECT_EQ(with(R"("oneZone":true)", R"("oneZone":1)"), "oneZone: not true or false");
  EXPECT_EQ(with(R"("dueS":900.0)", R"("dueS":-1)"), "dueS: negative");
  EXPECT_EQ(with(R"("waitsOn":["j-000410","j-000411"])", R"("waitsOn":"j-1")"), "waitsOn: not a list");
  EXPECT_EQ(with(R"("waitsOn":["j-000410","j-000411"])", R"("waitsOn":["k-1"])"), "waitsOn: not a job's id");
}

TEST(WireFormatUsers, ExtractsTheUidOfAMalformedSubmission) {
  EXPECT_EQ(extract_uid(R"({"uid":"j-000412","pieces":-1})"), "j-000412");
  EXPECT_EQ(extract_uid(R"({"uid":"k-1"})"), "");
  EXPECT_EQ(extract_uid("{"), "");
}

TEST(WireFormatUsers, AcceptsOnlyUidsOfPrefixJAndDigits) {
  EXPECT_TRUE(is_uid("j-000412"));
  EXPECT_TRUE(is_uid("j-1"));
  EXPECT_FALSE(is_uid("j-"));
  EXPECT_FALSE(is_uid("j-1a"));
  EXPECT_FALSE(is_uid("J-1"));
}

TEST(WireFormatUsers, EncodesStatusReplyForEachStatus) {
  EXPECT_EQ(status_body("j-000412", JobStatus::queued, 0, 0), R"({"uid":"j-000412","status":"queued","done":0,"running":0})");
  EXPECT_EQ(status_body("j-000412", JobStatus::running, 3, 13), R"({"uid":"j-000412","status":"running","done":3,"running":13})");
  EXPECT_EQ(status_body("j-000412", JobStatus::done, 16, 0), R"({"uid":"j-000412","status":"done","done":16,"running":0})");
  EXPECT_EQ(status_body("j-000412", JobStatus::cancelled, 1, 2), R"({"uid":"j-000412","status":"aborted","done":1,"running":2})");
}

TEST(WireFormatUsers, EncodesAcknowledgementForEachStatus) {
  EXPECT_EQ(acknowledgement_body("j-000412", JobStatus::queued), R"({"uid":"j-000412","status":"queued"})");
  EXPECT_EQ(acknowledgement_body("j-000412", JobStatus::running), R"({"uid":"j-000412","status":"running"})");
  EXPECT_EQ(acknowledgement_body("j-000412", JobStatus::done), R"({"uid":"j-000412","status":"done"})");
  EXPECT_EQ(acknowledgement_body("j-000412", JobStatus::cancelled), R"({"uid":"j-000412","status":"aborted"})");
}

TEST(WireFormatUsers, EscapesReasonInErrorReply) {
  EXPECT_EQ(error_body("pieces: missing"), R"({"error":"pieces: missing"})");
  EXPECT_EQ(error_body("a \"b\"\n"), R"({"error":"a \"b\"\n"})");
  EXPECT_EQ(error_body("\xff"), "{\"error\":\"\xef\xbf\xbd\"}");
}

void expect_route(std::string_view method, std::string_view target, UserRoute::Kind kind, const std::string& uid = "") {
  const auto route = route_of(method, target);
  EXPECT_EQ(route.kind, kind) << method << " " << target;
  EXPECT_EQ(route.uid, uid) << method << " " << target;
}

TEST(WireFormatUsers, RecognizesEachRoute) {
  expect_route("POST", "/v1/jobs", UserRoute::Kind::submit);
  expect_route("GET", "/v1/jobs/j-000412", UserRoute::Kind::status, "j-000412");
  expect_route("POST", "/v1/jobs/j-000412/withdraw", UserRoute::Kind::cancel, "j-000412");
  expect_route("GET", "/healthz", UserRoute::Kind::health);
  expect_route("GET", "/metrics", UserRoute::Kind::metrics);
  expect_route("POST", "/v1/report", UserRoute::Kind::heartbeat);
  expect_route("GET", "/v1/jobs/j-000412?x=1", UserRoute::Kind::status, "j-000412");
}

TEST(WireFormatUsers, ReportsWrongMethodForAKnownPath) {
  expect_route("GET", "/v1/jobs", UserRoute::Kind::wrong_method);
  expect_route("POST", "/v1/jobs/j-000412", UserRoute::Kind::wrong_method, "j-000412");
  expect_route("GET", "/v1/jobs/j-000412/withdraw", UserRoute::Kind::wrong_method, "j-000412");
  expect_route("POST", "/healthz", UserRoute::Kind::wrong_method);
  expect_route("POST", "/metrics", UserRoute::Kind::wrong_method);
  expect_route("GET", "/v1/report", UserRoute::Kind::wrong_method);
}

TEST(WireFormatUsers, ReportsOtherPathsAsUnknown) {
  expect_route("GET", "/", UserRoute::Kind::unknown);
  expect_route("GET", "/v1/jobsx", UserRoute::Kind::unknown);
  expect_route("POST", "/v1/jobs/j-000412/cancel", UserRoute::Kind::unknown);
  expect_route("GET", "/v2/jobs/j-000412", UserRoute::Kind::unknown);
}

// ---- workers

const std::string kFullHeartbeat = R"({"host":"m-000231","address":"10.1.0.232:9000","hostKind":"g8","yard":"a","loaners":true,)"
                                   R"("tenure":1,"serial":88,"epoch":41,"recallS":61.5,)"
                                   R"("pieces":[{"piece":"j-000412/3","try":2,"status":"running"},)"
                                   R"({"piece":"j-000398/0","try":1,"status":"exited","cause":"halted","kept":true}]})";

std::string heartbeat_error(const std::string& body) {
  return error_message_of([&] { parse_heartbeat(body); });
}

TEST(WireFormatWorkers, ParsesEachFieldOfAHeartbeat) {
  const auto heartbeat = parse_heartbeat(kFullHeartbeat);
  EXPECT_EQ(heartbeat.node, "m-000231");
  EXPECT_EQ(heartbeat.address, "10.1.0.232:9000");
  EXPECT_EQ(heartbeat.machine_type, "g8");
  EXPECT_EQ(heartbeat.zone, "a");
  EXPECT_TRUE(heartbeat.spot);
  EXPECT_EQ(heartbeat.agent_incarnation, 1u);
  EXPECT_EQ(heartbeat.serial, 88u);
  EXPECT_EQ(heartbeat.fencing_token, 41u);
  EXPECT_EQ(heartbeat.interruption_in_s, 61.5);
  EXPECT_EQ(heartbeat.repeated_serial, std::nullopt);
  ASSERT_EQ(heartbeat.tasks.size(), 2u);
  EXPECT_EQ(heartbeat.tasks[0].id.uid, "j-000412");
  EXPECT_EQ(heartbeat.tasks[0].id.task, 3u);
  EXPECT_EQ(heartbeat.tasks[0].attempt, 2u);
  EXPECT_EQ(heartbeat.tasks[0].phase, TaskPhase::running);
  EXPECT_EQ(heartbeat.tasks[0].exit_reason, ExitReason::none);
  EXPECT_FALSE(heartbeat.tasks[0].checkpointed);
  EXPECT_EQ(heartbeat.tasks[1].id.uid, "j-000398");
  EXPECT_EQ(heartbeat.tasks[1].id.task, 0u);
  EXPECT_EQ(heartbeat.tasks[1].attempt, 1u);
  EXPECT_EQ(heartbeat.tasks[1].phase, TaskPhase::exited);
  EXPECT_EQ(heartbeat.tasks[1].exit_reason, ExitReason::stopped);
  EXPECT_TRUE(heartbeat.tasks[1].checkpointed);
}

TEST(WireFormatWorkers, DefaultsOmittedFieldsOfAHeartbeat) {
  const auto heartbeat = parse_heartbeat(
      R"({"host":"m","address":"a","hostKind":"k","yard":"z","loaners":false,"tenure":1,"serial":2,"epoch":0,"pieces":[]})");
  EXPECT_FALSE(heartbeat.spot);
  EXPECT_EQ(heartbeat.interruption_in_s, std::nullopt);
  EXPECT_EQ(heartbeat.fencing_token, 0u);
  EXPECT_TRUE(heartbeat.tasks.empty());
}

TEST(WireFormatWorkers, ParsesSecondsUntilInterruptionAsNullOrNumber) {
  const auto parsed_interruption = [](std::string_view value) {
    return parse_heartbeat(replaced(kFullHeartbeat, R"("recallS":61.5)", R"("recallS":)" + std::string(value))).interruption_in_s;
  };
  EXPECT_EQ(parsed_interruption("null"), std::nullopt);
  EXPECT_EQ(parsed_interruption("0"), 0);
  EXPECT_EQ(parsed_interruption("12"), 12);
  EXPECT_EQ(parsed_interruption("-3"), 0);
  EXPECT_EQ(parse_heartbeat(without(kFullHeartbeat, R"("recallS":61.5,)")).interruption_in_s, std::nullopt);
}

TEST(WireFormatWorkers, ParsesNamesOfTaskPhases) {
  const auto parsed_phase = [](const std::string& name) {
    return parse_heartbeat(replaced(kFullHeartbeat, R"("status":"running")", R"("status":")" + name + "\"")).tasks.at(0).phase;
  };
  EXPECT_EQ(parsed_phase("pulling"), TaskPhase::pulling_image);
  EXPECT_EQ(parsed_phase("gathering"), TaskPhase::waiting_for_gang);
  EXPECT_EQ(parsed_phase("running"), TaskPhase::running);
  EXPECT_EQ(parsed_phase("saving"), TaskPhase::checkpointing);
  EXPECT_EQ(parsed_phase("exited"), TaskPhase::exited);
}

TEST(WireFormatWorkers, ParsesNamesOfExitReasons) {
  const auto parsed_exit_reason = [](const std::string& name) {
    return parse_heartbeat(replaced(kFullHeartbeat, R"("cause":"halted")", R"("cause":")" + name + "\"")).tasks.at(1).exit_reason;
  };
  EXPECT_EQ(parsed_exit_reason("done"), ExitReason::completed);
  EXPECT_EQ(parsed_exit_reason("halted"), ExitReason::stopped);
  EXPECT_EQ(parsed_exit_reason("peers"), ExitReason::gang_member_lost);
  EXPECT_EQ(parsed_exit_reason("alone"), ExitReason::gang_incomplete);
  EXPECT_EQ(parsed_exit_reason("error"), ExitReason::failed);
  EXPECT_EQ(parsed_exit_reason("no_room"), ExitReason::insufficient_resources);
  EXPECT_EQ(parsed_exit_reason("busy"), ExitReason::duplicate_attempt);
  EXPECT_EQ(parsed_exit_reason("unknown"), ExitReason::unknown_task);
  EXPECT_EQ(parsed_exit_reason("of a later version"), ExitReason::failed);
}

// Guards against a failing task that is restarted without end: an exit without a reason counted neither as completed nor as failed.
TEST(WireFormatWorkers, TreatsAnExitWithoutAReasonAsAFailure) {
  const auto exit_reason_with = [](std::string_view cause) {
    return parse_heartbeat(replaced(kFullHeartbeat, R"(,"cause":"halted")", cause)).tasks.at(1).exit_reason;
  };
  EXPECT_EQ(exit_reason_with(""), ExitReason::failed);
  EXPECT_EQ(exit_reason_with(R"(,"cause":null)"), ExitReason::failed);
  EXPECT_EQ(exit_reason_with(R"(,"cause":7)"), ExitReason::failed);
}

TEST(WireFormatWorkers, ErrorNamesTheFieldMissingInAHeartbeat) {
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("host":"m-000231",)")), "host: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("address":"10.1.0.232:9000",)")), "address: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("hostKind":"g8",)")), "hostKind: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("yard":"a",)")), "yard: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("loaners":true,)")), "loaners: missing");
  EXPECT_EQ(heartbeat_error(replaced(kFullHeartbeat, R"("loaners":true)", R"("loaners":null)")), "loaners: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("tenure":1,)")), "tenure: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("serial":88,)")), "serial: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("epoch":41,)")), "epoch: missing");
  EXPECT_EQ(heartbeat_error(replaced(kFullHeartbeat, R"("pieces":)", R"("others":)")), "pieces: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("piece":"j-000412/3",)")), "piece: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("try":2,)")), "try: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"(,"status":"running")")), "status: missing");
}

TEST(WireFormatWorkers, ErrorNamesTheInvalidFieldOfAHeartbeatAndTheReason) {
  const auto with = [](std::string_view part, std::string_view other) { return heartbeat_error(replaced(kFullHeartbeat, part, other)); };
  EXPECT_EQ(heartbeat_error("{"), "body: not JSON");
  EXPECT_EQ(heartbeat_error("[]"), "body: not an object");
  EXPECT_EQ(with(R"("host":"m-000231")", R"("host":7)"), "host: not a string");
  EXPECT_EQ(with(R"("host":"m-000231")", R"("host":"")"), "host: empty");
  EXPECT_EQ(with(R"("yard":"a")", R"("yard":")" + std::string(201, 'x') + "\""), "yard: too long");
  EXPECT_EQ(with(R"("loaners":true)", R"("loaners":1)"), "loaners: not true or false");
  EXPECT_EQ(with(R"("tenure":1)", R"("tenure":-1)"), "tenure: not a count");
  EXPECT_EQ(with(R"("serial":88)", R"("serial":"88")"), "serial: not a count");
  EXPECT_EQ(with(R"("epoch":41)", R"("epoch":1.5)"), "epoch: not a count");
  EXPECT_EQ(with(R"("recallS":61.5)", R"("recallS":"x")"), "recallS: not a number");
  EXPECT_EQ(with(R"("piece":"j-000412/3")", R"("piece":"j-000412")"), "piece: not a task");
  EXPECT_EQ(with(R"("piece":"j-000412/3")", R"("piece":3)"), "piece: not a string");
  EXPECT_EQ(with(R"("try":2)", R"("try":-2)"), "try: not a count");
  EXPECT_EQ(with(R"("status":"running")", R"("status":"odd")"), "status: not a known value");
  EXPECT_EQ(with(R"("kept":true)", R"("kept":"yes")"), "kept: not true or false");
  const std::string head = R"({"host":"m","address":"a","hostKind":"k","yard":"z","loaners":false,"tenure":1,"serial":2,"epoch":0,)";
  EXPECT_EQ(heartbeat_error(head + R"("pieces":3})"), "pieces: not a list");
  EXPECT_EQ(heartbeat_error(head + R"("pieces":[3]})"), "pieces: not objects");
}

TEST(WireFormatWorkers, EncodesHeartbeatReplyWithFencingTokenAndCommands) {
  EXPECT_EQ(heartbeat_reply_body(41, {}), R"({"epoch":41,"orders":[]})");
  EXPECT_EQ(heartbeat_reply_body(41, command_of_each_type()),
            R"({"epoch":41,"orders":[{"verb":"run","piece":"j-000412/4","try":2},{"verb":"kill","piece":"j-000377/1",)"
            R"("try":1,"windDownS":10},{"verb":"kill","piece":"j-000377/2","try":1,"windDownS":2.5},{"verb":"reap",)"
            R"("piece":"j-000398/0","try":1}]})");
}

TEST(WireFormatWorkers, EncodesCommandsWithAgentIncarnation) {
  EXPECT_EQ(commands_body(41, 1, {}), R"({"epoch":41,"tenure":1,"orders":[]})");
  EXPECT_EQ(commands_body(18446744073709551615u, 2, command_of_each_type()),
            R"({"epoch":18446744073709551615,"tenure":2,"orders":[{"verb":"run","piece":"j-000412/4","try":2},{"verb":"kill",)"
            R"("piece":"j-000377/1","try":1,"windDownS":10},{"verb":"kill","piece":"j-000377/2","try":1,"windDownS":2.5},)"
            R"({"verb":"reap","piece":"j-000398/0","try":1}]})");
}

TEST(WireFormatWorkers, EncodesRedirectTarget) {
  EXPECT_EQ(redirect_body("host-2"), R"({"steward":"host-2"})");
  EXPECT_EQ(redirect_body(""), R"({})");
}

TEST(WireFormatWorkers, PathsAreUnchanged) {
  EXPECT_STREQ(kCommandsPath, "/commands");
  EXPECT_STREQ(kWorkerStatusPath, "/status");
}

// ---- cloud

TEST(WireFormatCloud, PathsAreUnchanged) {
  EXPECT_STREQ(kMachineTypesPath, "/flavors");
  EXPECT_STREQ(kRentPath, "/rentals");
  EXPECT_STREQ(kReleasePath, "/rentals/release");
  EXPECT_EQ(instances_path("", 500), "/rentals?page=500");
  EXPECT_EQ(instances_path("m-000230", 20), "/rentals?page=20&from=m-000230");
}

const std::string kMachineTypeList = R"({"hostKinds":[{"sku":"g8","cores":96,"accelerators":8,"ramGb":768,"cacheGb":200,"fetchGbPerS":1.0,)"
                                     R"("price":12.0,"marketPrice":4.5,"bootS":45,"yards":["a","b"]}]})";

TEST(WireFormatCloud, ParsesEachFieldOfAMachineType) {
  const auto machine_types = parse_machine_types(kMachineTypeList);
  ASSERT_EQ(machine_types.size(), 1u);
  EXPECT_EQ(machine_types[0].name, "g8");
  EXPECT_EQ(machine_types[0].capacity.cores, 96);
  EXPECT_EQ(machine_types[0].capacity.accelerators, 8);
  EXPECT_EQ(machine_types[0].capacity.ram_gb, 768);
  EXPECT_EQ(machine_types[0].image_cache_gb, 200);
  EXPECT_EQ(machine_types[0].image_fetch_gb_per_s, 1);
  EXPECT_EQ(machine_types[0].price, 12);
  EXPECT_EQ(machine_types[0].spot_price, 4.5);
  EXPECT_EQ(machine_types[0].boot_s, 45);
  EXPECT_EQ(machine_types[0].zones, (std::vector<std::string>{"a", "b"}));
}

// Guards against final refusals (422) of jobs that could run, and against instances taken for free: a machine type without the number
// of its accelerators or its price was offered with 0 of them.
TEST(WireFormatCloud, RefusesAMachineTypeThatLacksAField) {
  expect_fields_required(kMachineTypeList, "/hostKinds/0", {}, [](const std::string& body) { parse_machine_types(body); });
}

TEST(WireFormatCloud, ErrorNamesTheInvalidFieldOfAMachineType) {
  const auto error = [](const std::string& body) { return error_message_of([&] { parse_machine_types(body); }); };
  EXPECT_EQ(error("{}"), "hostKinds: missing");
  EXPECT_EQ(error(R"({"hostKinds":{}})"), "hostKinds: not a list");
  EXPECT_EQ(error(R"({"hostKinds":[3]})"), "hostKinds: not objects");
  EXPECT_EQ(error(R"({"hostKinds":[{"cores":4,"ramGb":16}]})"), "sku: missing");
  EXPECT_EQ(error(R"({"hostKinds":[{"sku":"c4","ramGb":16}]})"), "cores: missing");
  EXPECT_EQ(error(R"({"hostKinds":[{"sku":"c4","cores":4}]})"), "ramGb: missing");
  EXPECT_EQ(error(replaced(kMachineTypeList, R"(["a","b"])", "[7]")), "yards: not a string");
}

TEST(WireFormatCloud, ParsesEachFieldOfAnInstance) {
  const auto page = parse_instances(
      R"({"hosts":[{"uid":"m-000231","address":"10.1.0.232:9000","hostKind":"g8","yard":"a","loaners":true,"status":"running",)"
      R"("heldS":61.5},)"
      R"({"uid":"m-000232","hostKind":"c4","yard":"b","loaners":false,"status":"booting","heldS":0},)"
      R"({"uid":"m-000233","address":null,"hostKind":"c4","yard":"b","loaners":false,"status":"failed","heldS":3}],)"
      R"("truncated":true})");
  EXPECT_TRUE(page.truncated);
  ASSERT_EQ(page.instances.size(), 3u);
  EXPECT_EQ(page.instances[0].name, "m-000231");
  EXPECT_EQ(page.instances[0].address, "10.1.0.232:9000");
  EXPECT_EQ(page.instances[0].machine_type, "g8");
  EXPECT_EQ(page.instances[0].zone, "a");
  EXPECT_TRUE(page.instances[0].spot);
  EXPECT_EQ(page.instances[0].status, Instance::Status::running);
  EXPECT_EQ(page.instances[0].age_s, 61.5);
  EXPECT_EQ(page.instances[1].name, "m-000232");
  EXPECT_EQ(page.instances[1].address, "");
  EXPECT_FALSE(page.instances[1].spot);
  EXPECT_EQ(page.instances[1].status, Instance::Status::booting);
  EXPECT_EQ(page.instances[1].age_s, 0);
  EXPECT_EQ(page.instances[2].status, Instance::Status::failed);
  EXPECT_EQ(page.instances[2].age_s, 3);
}

TEST(WireFormatCloud, LastPageOfInstancesIsNotTruncated) {
  EXPECT_FALSE(parse_instances(R"({"hosts":[],"truncated":false})").truncated);
}

const std::string kInstanceList =
    R"({"hosts":[{"uid":"m-000231","address":"10.1.0.232:9000","hostKind":"g8","yard":"a","loaners":true,"status":"running",)"
    R"("heldS":61.5}],"truncated":true})";

// Guards against spot instances taken for ordinary ones, instances that never seem late to boot, and the rest of a list that is never
// read: an omitted field was read as false or 0.
TEST(WireFormatCloud, RefusesAListOfInstancesThatLacksAField) {
  const auto parse = [](const std::string& body) { parse_instances(body); };
  expect_fields_required(kInstanceList, "/hosts/0", {}, parse);
  expect_fields_required(kInstanceList, "", {}, parse);
}

TEST(WireFormatCloud, OnlyARunningInstanceMustHaveAnAddress) {
  const auto with_status = [](const std::string& status) { return replaced(kInstanceList, R"("running")", "\"" + status + "\""); };
  for (const auto* status : {"booting", "failed"}) {
    const auto list = without(with_status(status), R"("address":"10.1.0.232:9000",)");
    EXPECT_EQ(parse_instances(list).instances.at(0).address, "") << status;
    const auto wrong_kind = replaced(with_status(status), R"("10.1.0.232:9000")", "7");
    EXPECT_EQ(error_message_of([&] { parse_instances(wrong_kind); }), "address: not a string") << status;
  }
}

TEST(WireFormatCloud, ErrorNamesTheInvalidFieldOfAnInstance) {
  const auto error = [](const std::string& body) { return error_message_of([&] { parse_instances(body); }); };
  EXPECT_EQ(error("{}"), "hosts: missing");
  EXPECT_EQ(error(R"({"hosts":[3]})"), "hosts: not objects");
  EXPECT_EQ(error(R"({"hosts":[{"hostKind":"c4","yard":"b","status":"running"}]})"), "uid: missing");
  EXPECT_EQ(error(R"({"hosts":[{"uid":"m-1","yard":"b","status":"running"}]})"), "hostKind: missing");
  EXPECT_EQ(error(R"({"hosts":[{"uid":"m-1","hostKind":"c4","status":"running"}]})"), "yard: missing");
  EXPECT_EQ(error(R"({"hosts":[{"uid":"m-1","hostKind":"c4","yard":"b","loaners":false}]})"), "status: missing");
  EXPECT_EQ(error(R"({"hosts":[{"uid":"m-1","hostKind":"c4","yard":"b","loaners":false,"status":"odd"}]})"), "status: not a known value");
}

TEST(WireFormatCloud, EncodesRentRequest) {
  EXPECT_EQ(rent_body("r-17", "g8", "a", true, 12), R"({"count":12,"hostKind":"g8","loaners":true,"rental":"r-17","yard":"a"})");
  EXPECT_EQ(rent_body("r-18", "c4", "b", false, 1), R"({"count":1,"hostKind":"c4","loaners":false,"rental":"r-18","yard":"b"})");
}

TEST(WireFormatCloud, ParsesNamesOfRentedInstances) {
  EXPECT_EQ(parse_rented_names(R"({"hosts":["m-000231","m-000232"]})"), (std::vector<std::string>{"m-000231", "m-000232"}));
  EXPECT_TRUE(parse_rented_names(R"({"hosts":[]})").empty());
  EXPECT_EQ(error_message_of([] { parse_rented_names("{}"); }), "hosts: missing");
  EXPECT_EQ(error_message_of([] { parse_rented_names(R"({"hosts":[3]})"); }), "hosts: not a string");
}

TEST(WireFormatCloud, DistinguishesNoCapacityFromOtherErrors) {
  EXPECT_TRUE(reports_no_capacity(R"({"error":"no capacity"})"));
  EXPECT_FALSE(reports_no_capacity(R"({"error":"trouble"})"));
  EXPECT_FALSE(reports_no_capacity(""));
}

TEST(WireFormatCloud, EncodesReleaseRequest) {
  EXPECT_EQ(release_body({"m-000231", "m-000232"}), R"({"hosts":["m-000231","m-000232"]})");
  EXPECT_EQ(release_body({}), R"({"hosts":[]})");
}

// ---- key-value store

TEST(WireFormatStore, PathsAreUnchanged) {
  EXPECT_STREQ(kTxnPath, "/txn");
  EXPECT_STREQ(kSessionLeasesPath, "/holds");
  EXPECT_EQ(store_path("ledger/000000000007"), "/store/ledger/000000000007");
  EXPECT_EQ(list_path("ledger/", ""), "/store?prefix=ledger/&page=1000");
  EXPECT_EQ(list_path("ledger/", "ledger/7"), "/store?prefix=ledger/&page=1000&from=ledger/7");
  EXPECT_EQ(watch_path("lead", 431, 10000), "/follow?prefix=lead&from=431&blockMs=10000");
  EXPECT_EQ(session_lease_path(7, true), "/holds/7/renew");
  EXPECT_EQ(session_lease_path(7, false), "/holds/7");
}

TEST(WireFormatStore, KeysAreUnchanged) {
  EXPECT_STREQ(kLeaderKeyV1, "leader");
  EXPECT_STREQ(kLeadershipPrefix, "lead");
  EXPECT_STREQ(kLeaderKeyV2, "lead");
  EXPECT_STREQ(kActiveVersionKey, "lead-level");
  EXPECT_STREQ(kVersionReadinessKey, "lead-ready");
  EXPECT_STREQ(kRegistryPrefix, "roster/");
  EXPECT_STREQ(kLedgerPrefix, "ledger/");
}

TEST(WireFormatStore, UsesAnotherLeaderKeyFromVersionTwoOn) {
  EXPECT_STREQ(leader_key_for(1), "leader");
  EXPECT_STREQ(leader_key_for(2), "lead");
  EXPECT_STREQ(leader_key_for(4), "lead");
}

TEST(WireFormatStore, PadsNumbersInKeysOfLedgerEntries) {
  EXPECT_EQ(entry_key(0), "ledger/000000000000");
  EXPECT_EQ(entry_key(31), "ledger/000000000031");
  EXPECT_EQ(entry_key(123456789012345678u), "ledger/123456789012345678");
  EXPECT_EQ(parse_key_number(entry_key(31)), 31u);
  EXPECT_EQ(parse_key_number("ledger/0031"), 31u);
}

TEST(WireFormatStore, RequestsSessionLeaseWithDurationInMilliseconds) {
  EXPECT_EQ(session_lease_body(5000), R"({"lifeMs":5000})");
  EXPECT_EQ(parse_session_lease(R"({"hold":7})"), 7u);
  EXPECT_EQ(error_message_of([] { parse_session_lease("{}"); }), "hold: missing");
}

TEST(WireFormatStore, EncodesConditionsThenPutsThenRemovalsOfATransaction) {
  EXPECT_EQ(txn_body({}, {}, {}), R"({"if":[],"apply":[]})");
  EXPECT_EQ(
      txn_body({condition("a/b", 0), condition("a/c", 412)}, {put("a/b", R"({"x":1})", 7), put("a/c", R"("text")", 0)}, {"c/d", "c/e"}),
      R"({"if":[{"path":"a/b","stamp":0},{"path":"a/c","stamp":412}],"apply":[{"set":"a/b","value":{"x":1},"hold":7},)"
      R"({"set":"a/c","value":"text"},{"remove":"c/d"},{"remove":"c/e"}]})");
}

TEST(WireFormatStore, ParsesRepliesToTransactions) {
  EXPECT_EQ(parse_txn_revision(R"({"ledgerRev":432})"), 432u);
  EXPECT_EQ(error_message_of([] { parse_txn_revision("{}"); }), "ledgerRev: missing");
  EXPECT_EQ(parse_failed_keys(R"({"failed":["a/b","a/c"],"ledgerRev":431})"), (std::vector<std::string>{"a/b", "a/c"}));
  EXPECT_EQ(error_message_of([] { parse_failed_keys("{}"); }), "failed: missing");
}

TEST(WireFormatStore, ParsesEachFieldOfARow) {
  const auto row = parse_row(R"({"path":"a/b","value":{"y":[1,2.5,null],"x":"t"},"stamp":412,"hold":7})");
  EXPECT_EQ(row.key, "a/b");
  EXPECT_EQ(row.value, R"({"x":"t","y":[1,2.5,null]})");
  EXPECT_EQ(row.mod_revision, 412u);
  EXPECT_EQ(row.session_lease, 7u);
  EXPECT_EQ(parse_row(R"({"path":"a/b","value":1,"stamp":412})").session_lease, 0u);
  EXPECT_EQ(parse_row(R"({"path":"a/b","value":1,"stamp":412,"hold":null})").session_lease, 0u);
}

TEST(WireFormatStore, ErrorNamesTheFieldMissingInARow) {
  const auto error = [](const std::string& body) { return error_message_of([&] { parse_row(body); }); };
  EXPECT_EQ(error(R"({"value":1,"stamp":412})"), "path: missing");
  EXPECT_EQ(error(R"({"path":"a/b","stamp":412})"), "value: missing");
  EXPECT_EQ(error(R"({"path":"a/b","value":1})"), "stamp: missing");
}

TEST(WireFormatStore, ParsesEachFieldOfAPageOfRows) {
  const auto rows = parse_rows(R"({"rows":[{"path":"c/8","value":{"x":1},"stamp":430},{"path":"c/9","value":"t","stamp":431,"hold":7}],)"
                               R"("truncated":true,"ledgerRev":433})");
  EXPECT_TRUE(rows.truncated);
  EXPECT_EQ(rows.revision, 433u);
  ASSERT_EQ(rows.rows.size(), 2u);
  EXPECT_EQ(rows.rows[0].key, "c/8");
  EXPECT_EQ(rows.rows[0].value, R"({"x":1})");
  EXPECT_EQ(rows.rows[0].mod_revision, 430u);
  EXPECT_EQ(rows.rows[0].session_lease, 0u);
  EXPECT_EQ(rows.rows[1].key, "c/9");
  EXPECT_EQ(rows.rows[1].value, R"("t")");
  EXPECT_EQ(rows.rows[1].mod_revision, 431u);
  EXPECT_EQ(rows.rows[1].session_lease, 7u);
  EXPECT_FALSE(parse_rows(R"({"rows":[],"truncated":false,"ledgerRev":433})").truncated);
}

// Guards against accepted jobs that are forgotten: a page without `truncated` was taken for the last one.
TEST(WireFormatStore, RefusesAPageThatLacksAField) {
  const std::string page = R"({"rows":[{"path":"ledger/000000000001","value":{"seq":7,"records":[]},"stamp":430}],)"
                           R"("truncated":false,"ledgerRev":433})";
  const auto parse_as_rows = [](const std::string& body) { parse_rows(body); };
  const auto parse_as_entries = [](const std::string& body) { parse_entries(body); };
  expect_fields_required(page, "", {}, parse_as_rows);
  expect_fields_required(page, "", {}, parse_as_entries);
  expect_fields_required(page, "/rows/0", {"value"}, parse_as_rows);     // a value may be of any kind
  expect_fields_required(page, "/rows/0", {"value"}, parse_as_entries);  // the error of a value is kept with its row
}

TEST(WireFormatStore, WatchReplyShowsWhetherAnythingChanged) {
  EXPECT_TRUE(reports_change(R"({"ledgerRev":433,"events":[{"set":"c/9","value":{},"stamp":433}]})"));
  EXPECT_TRUE(reports_change(R"({"ledgerRev":433,"events":[{"remove":"c/d","stamp":432}]})"));
  EXPECT_FALSE(reports_change(R"({"ledgerRev":433,"events":[]})"));
  EXPECT_EQ(error_message_of([] { reports_change("{}"); }), "events: missing");
}

LeaderValue leader_named(const std::string& label, std::uint64_t incarnation) {
  LeaderValue out;
  out.label = label;
  out.incarnation = incarnation;
  return out;
}

TEST(WireFormatStore, EncodesAndParsesValueOfLeaderKey) {
  EXPECT_EQ(leader_value(leader_named("host-1", 42)), R"({"incarnation":42,"label":"host-1"})");
  const auto leader = parse_leader_value(R"({"incarnation":42,"label":"host-1"})");
  EXPECT_EQ(leader.label, "host-1");
  EXPECT_EQ(leader.incarnation, 42u);
  EXPECT_EQ(error_message_of([] { parse_leader_value(R"({"incarnation":42})"); }), "label: missing");
  EXPECT_EQ(error_message_of([] { parse_leader_value(R"({"label":"host-1"})"); }), "incarnation: missing");
}

TEST(WireFormatStore, EncodesPlaceholderInVersionOneLeaderKeyAtHigherVersions) {
  EXPECT_EQ(placeholder_leader_value(2), R"~({"incarnation":0,"label":"(state level 2)"})~");
  EXPECT_EQ(placeholder_leader_value(4), R"~({"incarnation":0,"label":"(state level 4)"})~");
}

const std::string kSupportedVersionsText = R"({"build":"0.3.0","incarnation":42,"least":1,"most":4,"teams":"00000000000000ab","wants":3})";

SupportedVersions supported_versions_of_host() {
  SupportedVersions supported_versions;
  supported_versions.min_version = 1;
  supported_versions.max_version = 4;
  supported_versions.max_allowed_version = 3;
  supported_versions.incarnation = 42;
  supported_versions.build = "0.3.0";
  supported_versions.teams_digest = 0xab;
  return supported_versions;
}

TEST(WireFormatStore, EncodesAndParsesSupportedVersions) {
  auto supported_versions = supported_versions_of_host();
  EXPECT_EQ(supported_versions_value(supported_versions), kSupportedVersionsText);
  EXPECT_EQ(parse_supported_versions(kSupportedVersionsText), supported_versions);
  supported_versions.teams_digest = 0;
  EXPECT_EQ(supported_versions_value(supported_versions), R"({"build":"0.3.0","incarnation":42,"least":1,"most":4,"wants":3})");
  EXPECT_EQ(parse_supported_versions(R"({"build":"0.3.0","incarnation":42,"least":1,"most":4,"wants":3})"), supported_versions);
  EXPECT_EQ(error_message_of([] { parse_supported_versions(R"({"build":"b","incarnation":1,"least":0,"most":1,"wants":1})"); }),
            "least: not a level");
}

TEST(WireFormatStore, EncodesAndParsesActiveVersion) {
  ActiveVersion active;
  active.format_version = 4;
  EXPECT_EQ(active_version_value(active), R"({"level":4})");
  EXPECT_EQ(parse_active_version(R"({"level":4})"), active);
  active.downgrade_to = 3;
  EXPECT_EQ(active_version_value(active), R"({"level":4,"towards":3})");
  EXPECT_EQ(parse_active_version(R"({"level":4,"towards":3})"), active);
  EXPECT_EQ(error_message_of([] { parse_active_version(R"({"level":0})"); }), "level: not a level");
}

TEST(WireFormatStore, EncodesAndParsesVersionReadiness) {
  VersionReadiness readiness;
  readiness.format_version = 2;
  readiness.since_wall_s = 100.5;
  EXPECT_EQ(version_readiness_value(readiness), R"({"at":100.5,"level":2})");
  EXPECT_EQ(parse_version_readiness(R"({"at":100.5,"level":2})"), readiness);
  EXPECT_EQ(error_message_of([] { parse_version_readiness(R"({"at":100.5,"level":0})"); }), "level: not a level");
}

TEST(WireFormatStore, FormatVersionsOfThisBuildAreUnchanged) {
  EXPECT_EQ(rollout::kMinFormatVersion, 1u);
  EXPECT_EQ(rollout::kMaxFormatVersion, 4u);
  EXPECT_STREQ(rollout::kBuild, "0.3.0");
}

rollout::LeadershipSnapshot snapshot_at_version(std::uint32_t format_version) {
  rollout::LeadershipSnapshot snapshot;
  snapshot.active.format_version = format_version;
  snapshot.active_mod_revision = format_version > 1 ? 77 : 0;
  snapshot.leader_mod_revision = 90;
  return snapshot;
}

TEST(WireFormatStore, EncodesTransactionThatAcquiresLeadership) {
  const auto body_at = [](std::uint32_t format_version) {
    return rollout::acquire_leadership_step(snapshot_at_version(format_version), supported_versions_of_host(), leader_named("host-1", 42),
                                            7)
        ->body();
  };
  EXPECT_EQ(body_at(1), R"({"if":[{"path":"leader","stamp":0},{"path":"lead-level","stamp":0}],"apply":[{"set":"leader",)"
                        R"("value":{"incarnation":42,"label":"host-1"},"hold":7}]})");
  EXPECT_EQ(body_at(4), R"({"if":[{"path":"lead","stamp":0},{"path":"lead-level","stamp":77}],"apply":[{"set":"lead",)"
                        R"("value":{"incarnation":42,"label":"host-1"},"hold":7}]})");
}

TEST(WireFormatStore, EncodesTransactionThatRaisesTheFencingToken) {
  const auto body_at = [](std::uint32_t format_version) {
    return rollout::raise_token_step(snapshot_at_version(format_version).active, leader_named("host-1", 42), 90, 7).body();
  };
  EXPECT_EQ(body_at(1),
            R"({"if":[{"path":"leader","stamp":90}],"apply":[{"set":"leader","value":{"incarnation":42,"label":"host-1"},"hold":7}]})");
  EXPECT_EQ(body_at(4),
            R"({"if":[{"path":"lead","stamp":90}],"apply":[{"set":"lead","value":{"incarnation":42,"label":"host-1"},"hold":7}]})");
}

TEST(WireFormatStore, EncodesTransactionThatReleasesLeadership) {
  EXPECT_EQ(rollout::release_leadership_step(snapshot_at_version(1)).body(),
            R"({"if":[{"path":"leader","stamp":90}],"apply":[{"remove":"leader"}]})");
  EXPECT_EQ(rollout::release_leadership_step(snapshot_at_version(4)).body(),
            R"({"if":[{"path":"lead","stamp":90}],"apply":[{"remove":"lead"}]})");
}

TEST(WireFormatStore, EncodesTransactionThatRegistersAController) {
  EXPECT_EQ(rollout::registration_step("host-1", supported_versions_of_host(), nullptr).body(),
            R"({"if":[{"path":"roster/host-1","stamp":0}],"apply":[{"set":"roster/host-1","value":{"build":"0.3.0",)"
            R"("incarnation":42,"least":1,"most":4,"teams":"00000000000000ab","wants":3}}]})");
  rollout::RegisteredController registered;
  registered.mod_revision = 12;
  EXPECT_EQ(rollout::registration_step("host-1", supported_versions_of_host(), &registered).body(),
            R"({"if":[{"path":"roster/host-1","stamp":12}],"apply":[{"set":"roster/host-1","value":{"build":"0.3.0",)"
            R"("incarnation":42,"least":1,"most":4,"teams":"00000000000000ab","wants":3}}]})");
}

// Next step of a leader at format version 1 that is the only controller and is allowed to activate version 3.
rollout::Step next_rollout_step(const rollout::LeadershipSnapshot& snapshot) {
  rollout::RegisteredController registered;
  registered.supported_versions = supported_versions_of_host();
  registered.mod_revision = 12;
  rollout::ControllerRegistry registry;
  registry["host-1"] = registered;
  rollout::LeaderState leader_state;
  leader_state.value = leader_named("host-1", 42);
  leader_state.fencing_token = 90;
  leader_state.session_lease = 7;
  return rollout::next_step(snapshot, registry, {"host-1"}, {}, leader_state, 200, 50);
}

TEST(WireFormatStore, EncodesTransactionThatStoresReadiness) {
  EXPECT_EQ(next_rollout_step(snapshot_at_version(1)).body(),
            R"({"if":[{"path":"leader","stamp":90},{"path":"lead-level","stamp":0},{"path":"lead-ready","stamp":0}],)"
            R"("apply":[{"set":"lead-ready","value":{"at":200.0,"level":3}}]})");
}

TEST(WireFormatStore, EncodesTransactionThatActivatesAVersion) {
  auto snapshot = snapshot_at_version(1);
  snapshot.readiness_mod_revision = 80;
  snapshot.readiness.emplace();
  snapshot.readiness->format_version = 3;
  snapshot.readiness->since_wall_s = 100;
  EXPECT_EQ(next_rollout_step(snapshot).body(),
            R"~({"if":[{"path":"leader","stamp":90},{"path":"lead-level","stamp":0},{"path":"lead-ready","stamp":80},)~"
            R"~({"path":"roster/host-1","stamp":12}],"apply":[{"set":"lead","value":{"incarnation":42,"label":"host-1"},"hold":7},)~"
            R"~({"set":"lead-level","value":{"level":3}},)~"
            R"~({"set":"leader","value":{"incarnation":0,"label":"(state level 3)"}},{"remove":"lead-ready"}]})~");
}

// ---- ledger

JobSpec full_job() {
  return parse_submission(kFullSubmission);
}
JobSpec minimal_job() {
  return parse_submission(kMinimalSubmission);
}

JobAcceptedRecord job_accepted_record(const JobSpec& job) {
  JobAcceptedRecord record;
  record.job = job;
  record.random_draw = 0.25;
  record.accepted_at = 12.5;
  return record;
}

TasksStartedRecord tasks_started_record() {
  TasksStartedRecord::NodeAssignment first;
  first.node = "m-1";
  first.agent_incarnation = 3;
  first.tasks = {range(0, 4), range(6, 7)};
  TasksStartedRecord::NodeAssignment second;
  second.node = "m-2";
  second.agent_incarnation = 1;
  second.tasks = {range(4, 6)};
  TasksStartedRecord record;
  record.uid = "j-1";
  record.attempt = 5;
  record.decided_at = 13;
  record.assignments = {first, second};
  return record;
}

TasksCompletedRecord tasks_completed_record(double completed_at) {
  TasksCompletedRecord record;
  record.uid = "j-1";
  record.tasks = {range(0, 1), range(3, 9)};
  record.completed_at = completed_at;
  return record;
}

TasksRemovedRecord tasks_removed_record(double failed_at) {
  TasksRemovedRecord record;
  record.uid = "j-1";
  record.attempt = 5;
  record.tasks = {range(1, 2)};
  record.failed_at = failed_at;
  return record;
}

JobCancelledRecord job_cancelled_record() {
  JobCancelledRecord record;
  record.uid = "j-1";
  return record;
}

MachineTypesRecord machine_types_record() {
  MachineType big;
  big.name = "big";
  big.capacity = resources(8, 2, 32);
  big.image_cache_gb = 50;
  big.image_fetch_gb_per_s = 1.5;
  big.price = 3;
  big.spot_price = 0.5;
  big.boot_s = 30;
  big.zones = {"x", "y"};
  MachineType small;
  small.name = "small";
  small.capacity = resources(0.5, 0, 2);
  MachineTypesRecord record;
  record.machine_types = {big, small};
  return record;
}

JobSnapshotRecord job_snapshot_record(JobStatus status) {
  JobSnapshotRecord record;
  record.accepted = job_accepted_record(minimal_job());
  record.status = status;
  record.attempts = 2;
  return record;
}

JobSnapshotRecord split_job_record() {
  auto record = job_snapshot_record(JobStatus::queued);
  record.has_more = true;
  return record;
}
JobSnapshotRecord suspect_job_record() {
  auto record = job_snapshot_record(JobStatus::queued);
  record.suspect = true;
  return record;
}

JobSnapshotRecord running_job_record(double eligible_since) {
  JobSnapshotRecord::PlacedTasks placed;
  placed.node = "m-1";
  placed.agent_incarnation = 3;
  placed.attempt = 2;
  placed.decided_at = 13.5;
  placed.tasks = {range(1, 3)};
  auto record = job_snapshot_record(JobStatus::running);
  record.done = {range(0, 1)};
  record.placed = {placed};
  record.first_task = 100;
  record.has_more = true;
  record.suspect = true;
  record.eligible_since = eligible_since;
  return record;
}

JobsEndedRecord jobs_ended_record(JobStatus status) {
  JobsEndedRecord record;
  record.status = status;
  record.uids = {"j-2", "j-3"};
  return record;
}
JobsEndedRecord jobs_ended_record_with_times() {
  auto record = jobs_ended_record(JobStatus::done);
  record.done_at = {{1, 11.5}};
  return record;
}
JobsEndedRecord jobs_ended_record_with_services() {
  auto record = jobs_ended_record(JobStatus::cancelled);
  record.services = {0};
  return record;
}

TeamQuota quota(double cores, double accelerators, double cores_max, double accelerators_max) {
  TeamQuota out;
  out.guarantee = resources(cores, accelerators, 0);
  out.limit = resources(cores_max, accelerators_max, 0);
  return out;
}

TeamQuotaRecord team_quota_record() {
  TeamQuotaRecord record;
  record.name = "red";
  record.agreed = quota(8, 1, 16, 4);
  record.proposed = quota(8, 1, 12, 4.5);
  return record;
}
TeamQuotaRecord removed_team_record() {
  TeamQuotaRecord record;
  record.name = "blue";
  record.in_no_settings = true;
  return record;
}

// A record and its encoded texts: at format versions 1 to 3, and at version 4, which adds dependencies between jobs.
struct RecordSample {
  Record record;
  std::string text_before_version_4, text_at_version_4;
  [[nodiscard]] const std::string& text_at(std::uint32_t format_version) const {
    return format_version > 3 ? text_at_version_4 : text_before_version_4;
  }
};
RecordSample record_sample(Record record, const std::string& text_before_version_4, const std::string& text_at_version_4) {
  RecordSample out;
  out.record = std::move(record);
  out.text_before_version_4 = text_before_version_4;
  out.text_at_version_4 = text_at_version_4;
  return out;
}
RecordSample record_sample(Record record, const std::string& text) {
  return record_sample(std::move(record), text, text);
}

const std::string kAcceptOfMinimalJob = R"([{"accelerators":0.0,"bundle":"img","cores":0.5,"expectedS":0.0,"jobClass":"c","owner":"red",)"
                                        R"("pieces":1,"pullGb":0.0,"ramGb":1.0,"rank":"idle","shape":"batch","uid":"j-1"},0.25,12.5])";

std::vector<RecordSample> record_samples() {
  return {
      record_sample(
          job_accepted_record(full_job()),
          R"(["accept",[{"accelerators":1.0,"bundle":"img-07","cores":8.0,"dueS":900.0,"expectedS":240.0,"hostKinds":["g8","g16"],)"
          R"("jobClass":"train","loaners":true,"oneZone":true,"owner":"vision","pieces":16,"pullGb":6.2,"ramGb":64.0,"rank":"high",)"
          R"("shape":"group","snapshotEveryS":30.0,"snapshotS":4.0,"spread":true,"uid":"j-000412","waitsOn":["j-000410",)"
          R"("j-000411"],"yard":"a"},0.25,12.5]])"),
      record_sample(job_accepted_record(minimal_job()), R"(["accept",)" + kAcceptOfMinimalJob + "]"),
      record_sample(job_accepted_record(parse_submission(submission_with("oneZone"))),
                    R"(["accept",)" + replaced(kAcceptOfMinimalJob, R"("owner")", R"("oneZone":true,"owner")") + "]"),
      record_sample(job_accepted_record(parse_submission(submission_with("spread"))),
                    R"(["accept",)" + replaced(kAcceptOfMinimalJob, R"("uid")", R"("spread":true,"uid")") + "]"),
      record_sample(job_accepted_record(parse_submission(submission_with("loaners"))),
                    R"(["accept",)" + replaced(kAcceptOfMinimalJob, R"("owner")", R"("loaners":true,"owner")") + "]"),
      record_sample(tasks_started_record(), R"(["start","j-1",5,13.0,[["m-1",3,[0,4,6,7]],["m-2",1,[4,6]]]])"),
      record_sample(tasks_completed_record(0), R"(["done","j-1",[0,1,3,9]])"),
      record_sample(tasks_completed_record(14.5), R"(["done","j-1",[0,1,3,9]])", R"(["done","j-1",[0,1,3,9],{"at":14.5}])"),
      record_sample(tasks_removed_record(0), R"(["off","j-1",5,[1,2]])"),
      record_sample(tasks_removed_record(14.5), R"(["off","j-1",5,[1,2],14.5])"),
      record_sample(job_cancelled_record(), R"(["cancel","j-1"])"),
      record_sample(
          machine_types_record(),
          R"(["flavors",[{"accelerators":2.0,"bootS":30.0,"cacheGb":50.0,"cores":8.0,"fetchGbPerS":1.5,"marketPrice":0.5,)"
          R"("price":3.0,"ramGb":32.0,"sku":"big","yards":["x","y"]},)"
          R"({"accelerators":0.0,"bootS":0.0,"cacheGb":0.0,"cores":0.5,"fetchGbPerS":0.0,"marketPrice":0.0,"price":0.0,"ramGb":2.0,)"
          R"("sku":"small","yards":[]}]])"),
      record_sample(job_snapshot_record(JobStatus::queued), R"(["job",)" + kAcceptOfMinimalJob + R"(,"queued",2,[],[],0,false,false])"),
      record_sample(job_snapshot_record(JobStatus::done), R"(["job",)" + kAcceptOfMinimalJob + R"(,"done",2,[],[],0,false,false])"),
      record_sample(job_snapshot_record(JobStatus::cancelled), R"(["job",)" + kAcceptOfMinimalJob + R"(,"aborted",2,[],[],0,false,false])"),
      record_sample(split_job_record(), R"(["job",)" + kAcceptOfMinimalJob + R"(,"queued",2,[],[],0,true,false])"),
      record_sample(suspect_job_record(), R"(["job",)" + kAcceptOfMinimalJob + R"(,"queued",2,[],[],0,false,true])"),
      record_sample(running_job_record(0),
                    R"(["job",)" + kAcceptOfMinimalJob + R"(,"running",2,[0,1],[["m-1",3,2,13.5,[1,3]]],100,true,true])"),
      record_sample(running_job_record(14.5),
                    R"(["job",)" + kAcceptOfMinimalJob + R"(,"running",2,[0,1],[["m-1",3,2,13.5,[1,3]]],100,true,true])",
                    R"(["job",)" + kAcceptOfMinimalJob + R"(,"running",2,[0,1],[["m-1",3,2,13.5,[1,3]]],100,true,true,{"ready":14.5}])"),
      record_sample(jobs_ended_record(JobStatus::done), R"(["ended","done",["j-2","j-3"]])"),
      record_sample(jobs_ended_record_with_times(), R"(["ended","done",["j-2","j-3"]])",
                    R"(["ended","done",["j-2","j-3"],{"at":[[1,11.5]]}])"),
      record_sample(jobs_ended_record_with_services(), R"(["ended","aborted",["j-2","j-3"]])",
                    R"(["ended","aborted",["j-2","j-3"],{"services":[0]}])"),
      record_sample(team_quota_record(), R"(["team","red",[8.0,1.0,16.0,4.0],[8.0,1.0,12.0,4.5],false])"),
      record_sample(removed_team_record(), R"(["team","blue",null,null,true])"),
  };
}

const std::string kEntryAtVersion4 = R"({"level":4,"generation":3,"check":"2fefa7fe74797301","before":"0123456789abcdef",)"
                                     R"("n":31,"first":24,"seq":7,"records":[["cancel","j-1"]]})";

EntryHead entry_head_at(std::uint32_t format_version) {
  EntryHead head;
  head.format_version = format_version;
  head.generation = 3;
  head.seq = 7;
  head.previous_link = 0x0123456789abcdef;
  head.number = 31;
  head.first_needed = 24;
  return head;
}

std::string entry_of(const std::vector<Record>& records, const EntryHead& head) {
  std::string text;
  std::uint64_t digest = 0;
  for (const auto& record : records) {
    const auto encoded = encode_record(record, head.format_version);
    if (!text.empty()) text += ',';
    text += encoded.text;
    digest = extend_digest_with_record(digest, encoded);
  }
  return entry_value(head, text, digest);
}
std::string entry_of_record_samples(std::uint32_t format_version) {
  std::vector<Record> records;
  for (const auto& sample : record_samples()) records.push_back(sample.record);
  return entry_of(records, entry_head_at(format_version));
}

// The expected entry: `head` and the texts of all record samples.
std::string expected_entry(const std::string& head, std::uint32_t format_version) {
  std::string out = head;
  const char* separator = "";
  for (const auto& sample : record_samples()) {
    out += separator + sample.text_at(format_version);
    separator = ",";
  }
  return out + "]}";
}

// Encodes a record in an entry of format version 4 and parses it again.
template <class RecordType>
RecordType encode_and_parse(const Record& record) {
  return std::get<RecordType>(parse_entry(entry_of({record}, entry_head_at(4))).records.at(0));
}
// Parses a record from its text in an entry of format version 1.
template <class RecordType>
RecordType parse_record_text(const std::string& text) {
  return std::get<RecordType>(parse_entry(R"({"seq":1,"records":[)" + text + "]}").records.at(0));
}

TEST(WireFormatLedger, EncodesEachRecordAtVersionOne) {
  for (const auto& sample : record_samples()) EXPECT_EQ(encode_record(sample.record, 1).text, sample.text_before_version_4);
}
TEST(WireFormatLedger, EncodesEachRecordAtVersionTwo) {
  for (const auto& sample : record_samples()) EXPECT_EQ(encode_record(sample.record, 2).text, sample.text_before_version_4);
}
TEST(WireFormatLedger, EncodesEachRecordAtVersionThree) {
  for (const auto& sample : record_samples()) EXPECT_EQ(encode_record(sample.record, 3).text, sample.text_before_version_4);
}
TEST(WireFormatLedger, EncodesEachRecordAtVersionFour) {
  for (const auto& sample : record_samples()) EXPECT_EQ(encode_record(sample.record, 4).text, sample.text_at_version_4);
}

TEST(WireFormatLedger, ComputesDigestsOfRecordsFromVersionTwoOn) {
  EXPECT_EQ(encode_record(tasks_completed_record(14.5), 1).digest, 0u);
  EXPECT_EQ(digest_text(encode_record(tasks_completed_record(14.5), 2).digest), "eeab5885f4e16aef");
  EXPECT_EQ(digest_text(encode_record(tasks_completed_record(14.5), 3).digest), "eeab5885f4e16aef");
  EXPECT_EQ(digest_text(encode_record(tasks_completed_record(14.5), 4).digest), "17fd7d2d95b432ce");
}

TEST(WireFormatLedger, FormatsDigestsAsSixteenHexadecimalDigits) {
  EXPECT_EQ(digest_text(0xab), "00000000000000ab");
  EXPECT_EQ(parse_digest("00000000000000ab"), 0xabu);
  EXPECT_EQ(digest_text(digest_of_text("123456789")), "3d1b615099f6cbca");
  EXPECT_EQ(digest_text(extend_digest(1, 2)), "2e596ff41153b982");
  EXPECT_EQ(digest_text(link_of(1, 2, 3)), "238415fc0e0f68af");
  EXPECT_EQ(error_message_of([] { parse_digest("ab"); }), "not a digest: ab");
}

TEST(WireFormatLedger, EncodesAnEntryAtVersionOne) {
  EXPECT_EQ(entry_of({job_cancelled_record()}, entry_head_at(1)), R"({"seq":7,"records":[["cancel","j-1"]]})");
}
TEST(WireFormatLedger, EncodesAnEntryAtVersionTwo) {
  EXPECT_EQ(entry_of({job_cancelled_record()}, entry_head_at(2)),
            R"({"level":2,"generation":3,"check":"b29c1306499945fe","before":"0123456789abcdef",)"
            R"("first":24,"seq":7,"records":[["cancel","j-1"]]})");
}
TEST(WireFormatLedger, EncodesAnEntryAtVersionThree) {
  EXPECT_EQ(entry_of({job_cancelled_record()}, entry_head_at(3)),
            R"({"level":3,"generation":3,"check":"b29c1306499945fe","before":"0123456789abcdef",)"
            R"("first":24,"seq":7,"records":[["cancel","j-1"]]})");
}
TEST(WireFormatLedger, EncodesAnEntryAtVersionFour) {
  EXPECT_EQ(entry_of({job_cancelled_record()}, entry_head_at(4)), kEntryAtVersion4);
}

TEST(WireFormatLedger, OmitsFirstNeededEntryOnlyIfZeroAndBelowVersionFour) {
  auto head = entry_head_at(2);
  head.first_needed = 0;
  EXPECT_EQ(entry_of({}, head),
            R"({"level":2,"generation":3,"check":"97f253d3b4f680fe","before":"0123456789abcdef","seq":7,"records":[]})");
  head.format_version = 4;
  EXPECT_EQ(entry_of({}, head), R"({"level":4,"generation":3,"check":"296051857a980392","before":"0123456789abcdef",)"
                                R"("n":31,"first":0,"seq":7,"records":[]})");
}

// Encodes and parses an entry with all record samples.
void expect_entry_of_record_samples(std::uint32_t format_version, const std::string& head_text) {
  const auto value = expected_entry(head_text, format_version);
  EXPECT_EQ(entry_of_record_samples(format_version), value);
  const auto entry = parse_entry(value);
  EXPECT_EQ(entry.format_version, format_version);
  EXPECT_EQ(entry.seq, 7u);
  const auto expected = record_samples();
  ASSERT_EQ(entry.records.size(), expected.size());
  for (std::size_t i = 0; i < expected.size(); ++i)
    EXPECT_EQ(encode_record(entry.records[i], format_version).text, expected[i].text_at(format_version));
}

TEST(WireFormatLedger, EncodesAndParsesAllRecordsAtVersionOne) {
  expect_entry_of_record_samples(1, R"({"seq":7,"records":[)");
}
TEST(WireFormatLedger, EncodesAndParsesAllRecordsAtVersionTwo) {
  expect_entry_of_record_samples(
      2, R"({"level":2,"generation":3,"check":"c7e153d2b5d931fe","before":"0123456789abcdef","first":24,"seq":7,"records":[)");
}
TEST(WireFormatLedger, EncodesAndParsesAllRecordsAtVersionThree) {
  expect_entry_of_record_samples(
      3, R"({"level":3,"generation":3,"check":"c7e153d2b5d931fe","before":"0123456789abcdef","first":24,"seq":7,"records":[)");
}
TEST(WireFormatLedger, EncodesAndParsesAllRecordsAtVersionFour) {
  expect_entry_of_record_samples(
      4, R"({"level":4,"generation":3,"check":"6f9c2c9e7a4d2736","before":"0123456789abcdef","n":31,"first":24,"seq":7,"records":[)");
}

TEST(WireFormatLedger, ParsesEachFieldOfAnEntryHead) {
  const auto entry = parse_entry(kEntryAtVersion4);
  EXPECT_EQ(entry.format_version, 4u);
  EXPECT_EQ(entry.generation, 3u);
  EXPECT_EQ(entry.seq, 7u);
  EXPECT_EQ(digest_text(entry.previous_link), "0123456789abcdef");
  EXPECT_EQ(entry.number, 31u);
  EXPECT_EQ(entry.first_needed, 24u);
  EXPECT_EQ(digest_text(entry.checksum), "2fefa7fe74797301");
  ASSERT_EQ(entry.records.size(), 1u);
  EXPECT_EQ(std::get<JobCancelledRecord>(entry.records[0]).uid, "j-1");
}

TEST(WireFormatLedger, EntryHeadAtVersionOneHasOnlyASequenceNumber) {
  const auto entry = parse_entry(R"({"seq":7,"records":[]})");
  EXPECT_EQ(entry.format_version, 1u);
  EXPECT_EQ(entry.generation, 0u);
  EXPECT_EQ(entry.seq, 7u);
  EXPECT_EQ(entry.previous_link, 0u);
  EXPECT_EQ(entry.number, 0u);
  EXPECT_EQ(entry.first_needed, 0u);
  EXPECT_EQ(entry.checksum, 0u);
}

TEST(WireFormatLedger, ParsesEachFieldOfAJobAcceptedRecord) {
  const auto record = encode_and_parse<JobAcceptedRecord>(job_accepted_record(full_job()));
  EXPECT_EQ(record.random_draw, 0.25);
  EXPECT_EQ(record.accepted_at, 12.5);
  EXPECT_EQ(record.job.uid, "j-000412");
  EXPECT_EQ(record.job.job_class, "train");
  EXPECT_EQ(record.job.owner, "vision");
  EXPECT_EQ(record.job.job_type, JobType::gang);
  EXPECT_EQ(record.job.priority, Priority::high);
  EXPECT_EQ(record.job.task_count, 16u);
  EXPECT_EQ(record.job.demand, resources(8, 1, 64));
  EXPECT_EQ(record.job.image, "img-07");
  EXPECT_EQ(record.job.image_gb, 6.2);
  EXPECT_EQ(record.job.machine_types, (std::vector<std::string>{"g8", "g16"}));
  EXPECT_EQ(record.job.zone, "a");
  EXPECT_TRUE(record.job.single_zone);
  EXPECT_TRUE(record.job.spread);
  EXPECT_TRUE(record.job.allows_spot);
  EXPECT_EQ(record.job.estimated_run_s, 240);
  EXPECT_EQ(record.job.checkpoint_interval_s, 30);
  EXPECT_EQ(record.job.checkpoint_duration_s, 4);
  EXPECT_EQ(record.job.deadline_s, 900);
  EXPECT_EQ(record.job.depends_on, (std::vector<std::string>{"j-000410", "j-000411"}));
}

// A description that lacks what a submission must contain.
const std::string kStoredJobWithoutDefaults = R"({"uid":"j-1","jobClass":"c","owner":"red","shape":"batch","rank":"idle","pieces":1,)"
                                              R"("cores":0.5,"ramGb":1,"bundle":"img","pullGb":0})";

void expect_default_values(const JobSpec& spec) {
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

// Descriptions are stored permanently, so what a submission may not omit must still be read.
TEST(WireFormatLedger, DefaultsOmittedFieldsOfAStoredJob) {
  EXPECT_NE(submission_error(kStoredJobWithoutDefaults), "no error");
  expect_default_values(parse_record_text<JobAcceptedRecord>(R"(["accept",[)" + kStoredJobWithoutDefaults + ",0.25,12.5]]").job);
  const std::string snapshot = R"(["job",[)" + kStoredJobWithoutDefaults + R"(,0.25,12.5],"queued",2,[],[]])";
  expect_default_values(parse_record_text<JobSnapshotRecord>(snapshot).accepted.job);
}

TEST(WireFormatLedger, TreatsNullFieldsOfAStoredJobAsOmitted) {
  const std::string nulls =
      R"(,"accelerators":null,"hostKinds":null,"yard":null,"oneZone":null,"spread":null,"loaners":null,"expectedS":null,)"
      R"("snapshotEveryS":null,"snapshotS":null,"dueS":null,"waitsOn":null})";
  const auto stored_job = without(kStoredJobWithoutDefaults, "}") + nulls;
  expect_default_values(parse_record_text<JobAcceptedRecord>(R"(["accept",[)" + stored_job + ",0.25,12.5]]").job);
}

TEST(WireFormatLedger, ParsesEachFieldOfATasksStartedRecord) {
  const auto record = parse_record_text<TasksStartedRecord>(R"(["start","j-1",5,13.0,[["m-1",3,[0,4,6,7]],["m-2",1,[4,6]]]])");
  EXPECT_EQ(record.uid, "j-1");
  EXPECT_EQ(record.attempt, 5u);
  EXPECT_EQ(record.decided_at, 13);
  ASSERT_EQ(record.assignments.size(), 2u);
  EXPECT_EQ(record.assignments[0].node, "m-1");
  EXPECT_EQ(record.assignments[0].agent_incarnation, 3u);
  EXPECT_EQ(record.assignments[0].tasks, (TaskRanges{range(0, 4), range(6, 7)}));
  EXPECT_EQ(record.assignments[1].node, "m-2");
}

TEST(WireFormatLedger, ParsesEachFieldOfATasksCompletedRecord) {
  const auto record = parse_record_text<TasksCompletedRecord>(R"(["done","j-1",[0,1,3,9],{"at":14.5}])");
  EXPECT_EQ(record.uid, "j-1");
  EXPECT_EQ(record.tasks, (TaskRanges{range(0, 1), range(3, 9)}));
  EXPECT_EQ(record.completed_at, 14.5);
  EXPECT_EQ(parse_record_text<TasksCompletedRecord>(R"(["done","j-1",[0,1]])").completed_at, 0);
}

TEST(WireFormatLedger, ParsesEachFieldOfATasksRemovedRecord) {
  const auto record = parse_record_text<TasksRemovedRecord>(R"(["off","j-1",5,[1,2],14.5])");
  EXPECT_EQ(record.uid, "j-1");
  EXPECT_EQ(record.attempt, 5u);
  EXPECT_EQ(record.tasks, (TaskRanges{range(1, 2)}));
  EXPECT_EQ(record.failed_at, 14.5);
  EXPECT_EQ(parse_record_text<TasksRemovedRecord>(R"(["off","j-1",5,[1,2]])").failed_at, 0);
}

TEST(WireFormatLedger, ParsesUidOfAJobCancelledRecord) {
  EXPECT_EQ(parse_record_text<JobCancelledRecord>(R"(["cancel","j-1"])").uid, "j-1");
}

TEST(WireFormatLedger, ParsesEachFieldOfAMachineTypesRecord) {
  const auto record = encode_and_parse<MachineTypesRecord>(machine_types_record());
  ASSERT_EQ(record.machine_types.size(), 2u);
  EXPECT_EQ(record.machine_types[0].name, "big");
  EXPECT_EQ(record.machine_types[0].capacity, resources(8, 2, 32));
  EXPECT_EQ(record.machine_types[0].image_cache_gb, 50);
  EXPECT_EQ(record.machine_types[0].image_fetch_gb_per_s, 1.5);
  EXPECT_EQ(record.machine_types[0].price, 3);
  EXPECT_EQ(record.machine_types[0].spot_price, 0.5);
  EXPECT_EQ(record.machine_types[0].boot_s, 30);
  EXPECT_EQ(record.machine_types[0].zones, (std::vector<std::string>{"x", "y"}));
  EXPECT_EQ(record.machine_types[1].name, "small");
}

// Whatever any build has stored remains readable, also what the cloud's list may not omit.
TEST(WireFormatLedger, DefaultsOmittedFieldsOfAStoredMachineType) {
  const auto record = parse_record_text<MachineTypesRecord>(R"(["flavors",[{"sku":"c4","cores":4,"ramGb":16,"price":2}]])");
  const MachineType& machine_type = record.machine_types.at(0);
  EXPECT_EQ(machine_type.capacity, resources(4, 0, 16));
  EXPECT_EQ(machine_type.image_cache_gb, 0);
  EXPECT_EQ(machine_type.image_fetch_gb_per_s, 0);
  EXPECT_EQ(machine_type.spot_price, 2);
  EXPECT_EQ(machine_type.boot_s, 60);
  EXPECT_TRUE(machine_type.zones.empty());
}

TEST(WireFormatLedger, ParsesEachFieldOfAJobSnapshotRecord) {
  const auto record = encode_and_parse<JobSnapshotRecord>(running_job_record(14.5));
  EXPECT_EQ(record.accepted.job.uid, "j-1");
  EXPECT_EQ(record.accepted.random_draw, 0.25);
  EXPECT_EQ(record.accepted.accepted_at, 12.5);
  EXPECT_EQ(record.status, JobStatus::running);
  EXPECT_EQ(record.attempts, 2u);
  EXPECT_EQ(record.done, (TaskRanges{range(0, 1)}));
  ASSERT_EQ(record.placed.size(), 1u);
  EXPECT_EQ(record.placed[0].node, "m-1");
  EXPECT_EQ(record.placed[0].agent_incarnation, 3u);
  EXPECT_EQ(record.placed[0].attempt, 2u);
  EXPECT_EQ(record.placed[0].decided_at, 13.5);
  EXPECT_EQ(record.placed[0].tasks, (TaskRanges{range(1, 3)}));
  EXPECT_EQ(record.first_task, 100u);
  EXPECT_TRUE(record.has_more);
  EXPECT_TRUE(record.suspect);
  EXPECT_EQ(record.eligible_since, 14.5);
}

TEST(WireFormatLedger, ParsesEachFlagOfAJobSnapshotRecordIndependently) {
  EXPECT_TRUE(encode_and_parse<JobSnapshotRecord>(split_job_record()).has_more);
  EXPECT_FALSE(encode_and_parse<JobSnapshotRecord>(split_job_record()).suspect);
  EXPECT_FALSE(encode_and_parse<JobSnapshotRecord>(suspect_job_record()).has_more);
  EXPECT_TRUE(encode_and_parse<JobSnapshotRecord>(suspect_job_record()).suspect);
}

TEST(WireFormatLedger, ParsesEachFieldOfAJobsEndedRecord) {
  const auto done = parse_record_text<JobsEndedRecord>(R"(["ended","done",["j-2","j-3"],{"at":[[1,11.5]],"services":[0]}])");
  EXPECT_EQ(done.status, JobStatus::done);
  EXPECT_EQ(done.uids, (std::vector<std::string>{"j-2", "j-3"}));
  ASSERT_EQ(done.done_at.size(), 1u);
  EXPECT_EQ(done.done_at[0].first, 1u);
  EXPECT_EQ(done.done_at[0].second, 11.5);
  EXPECT_EQ(done.services, (std::vector<std::uint32_t>{0}));
  EXPECT_EQ(parse_record_text<JobsEndedRecord>(R"(["ended","aborted",["j-4"]])").status, JobStatus::cancelled);
}

TEST(WireFormatLedger, ParsesEachFieldOfATeamQuotaRecord) {
  const auto record = parse_record_text<TeamQuotaRecord>(R"(["team","red",[8.0,1.0,16.0,4.0],[8.0,1.0,12.0,4.5],true])");
  EXPECT_EQ(record.name, "red");
  EXPECT_EQ(record.agreed, quota(8, 1, 16, 4));
  EXPECT_EQ(record.proposed, quota(8, 1, 12, 4.5));
  EXPECT_TRUE(record.in_no_settings);
  EXPECT_EQ(parse_record_text<TeamQuotaRecord>(R"(["team","red",null,null,false])").agreed, std::nullopt);
}

TEST(WireFormatLedger, ErrorNamesTheReasonForAMalformedEntry) {
  const auto error = [](const std::string& value) { return error_message_of([&] { parse_entry(value); }); };
  EXPECT_EQ(error(R"({"records":[]})"), "seq: missing");
  EXPECT_EQ(error(R"({"seq":1})"), "records: missing");
  EXPECT_EQ(error(R"({"seq":1,"records":[["odd"]]})"), "record 1: ledger record: unknown kind odd");
  EXPECT_EQ(error(replaced(kEntryAtVersion4, R"("seq":7)", R"("seq":8)")), "its check is wrong: it was altered");
}

TEST(WireFormatLedger, ParsesEachFieldOfAPageOfEntries) {
  const auto page = parse_entries(R"({"rows":[{"path":"ledger/000000000001","value":{"seq":7,"records":[["cancel","j-1"]]},"stamp":430},)"
                                  R"({"path":"ledger/000000000002","value":{"seq":8},"stamp":431}],"truncated":true,"ledgerRev":433})");
  EXPECT_TRUE(page.truncated);
  EXPECT_EQ(page.revision, 433u);
  ASSERT_EQ(page.rows.size(), 2u);
  EXPECT_EQ(page.rows[0].key, "ledger/000000000001");
  EXPECT_EQ(page.rows[0].mod_revision, 430u);
  EXPECT_EQ(page.rows[0].error, "");
  EXPECT_EQ(page.rows[0].entry.seq, 7u);
  ASSERT_EQ(page.rows[0].entry.records.size(), 1u);
  EXPECT_EQ(std::get<JobCancelledRecord>(page.rows[0].entry.records[0]).uid, "j-1");
  EXPECT_EQ(page.rows[1].error, "records: missing");
}

// ---- controllers

TEST(WireFormatControllers, TargetsOfCallsAreUnchanged) {
  EXPECT_STREQ(kRelaySupportTarget, "/intake");
  EXPECT_STREQ(kSupportedVersionsTarget, "/levels");
  EXPECT_STREQ(kTeamQuotasTarget, "/teams");
}

TEST(WireFormatControllers, FramesBeginWithLengthVersionAndKind) {
  EXPECT_EQ(kFrameVersion, 2);
  EXPECT_EQ(kMaxFrameBytes, 524288u);
  int sockets[2] = {};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets), 0);
  Stream writer{Socket(sockets[0])};
  Stream reader{Socket(sockets[1])};
  Frame frame;
  frame.kind = 3;
  frame.payload = "abc";
  ErrorCode ec;
  ASSERT_TRUE(write_frame(writer, frame, ec));
  std::array<char, 9> bytes{};
  ASSERT_TRUE(reader.read_exact(bytes.data(), bytes.size(), ec));
  const std::string expected_bytes = "050000000203616263";
  EXPECT_EQ(hex_of(std::string_view(bytes.data(), bytes.size())), expected_bytes);
  const auto sent = bytes_of(expected_bytes);
  ASSERT_TRUE(writer.write_all(sent.data(), sent.size(), ec));
  Frame read;
  ASSERT_TRUE(read_frame(reader, read, ec));
  EXPECT_EQ(read.kind, 3);
  EXPECT_EQ(read.payload, "abc");
}

constexpr std::string_view kPeerHeartbeatBytes =
    "01 0900000000000000070000000000000006000000686f73742d310500000000000000d20400000000000006000000";

TEST(WireFormatControllers, PacksAndUnpacksPeerHeartbeat) {
  PeerHeartbeat peer_heartbeat;
  peer_heartbeat.label = "host-1";
  peer_heartbeat.fencing_token = 9;
  peer_heartbeat.takeover_token = 7;
  peer_heartbeat.echoed_process = 5;
  peer_heartbeat.echoed_clock_ms = 1234;
  peer_heartbeat.oldest_cancellation_age_ms = 6;
  EXPECT_EQ(hex_of(pack(peer_heartbeat)), kPeerHeartbeatBytes);
  const auto read = unpack_peer_heartbeat(frame_of(kPeerHeartbeatBytes));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->label, "host-1");
  EXPECT_EQ(read->fencing_token, 9u);
  EXPECT_EQ(read->takeover_token, 7u);
  EXPECT_EQ(read->echoed_process, 5u);
  EXPECT_EQ(read->echoed_clock_ms, 1234u);
  EXPECT_EQ(read->oldest_cancellation_age_ms, 6u);
}

constexpr std::string_view kPeerHeartbeatAckBytes = "02 090000000000000006000000686f73742d310500000000000000d20400000000000006000000";

TEST(WireFormatControllers, PacksAndUnpacksPeerHeartbeatAck) {
  PeerHeartbeatAck ack;
  ack.fencing_token = 9;
  ack.leader = "host-1";
  ack.process = 5;
  ack.clock_ms = 1234;
  ack.last_renewal_age_ms = 6;
  EXPECT_EQ(hex_of(pack(ack)), kPeerHeartbeatAckBytes);
  const auto read = unpack_peer_heartbeat_ack(frame_of(kPeerHeartbeatAckBytes));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->fencing_token, 9u);
  EXPECT_EQ(read->leader, "host-1");
  EXPECT_EQ(read->process, 5u);
  EXPECT_EQ(read->clock_ms, 1234u);
  EXPECT_EQ(read->last_renewal_age_ms, 6u);
}

constexpr std::string_view kCallBytes = "03 04000000504f5354080000002f76312f6a6f6273020000007b7d";

TEST(WireFormatControllers, PacksAndUnpacksForwardedRequest) {
  PeerCall call;
  call.method = "POST";
  call.target = "/v1/jobs";
  call.body = "{}";
  EXPECT_EQ(hex_of(pack(call)), kCallBytes);
  const auto read = unpack_call(frame_of(kCallBytes));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->method, "POST");
  EXPECT_EQ(read->target, "/v1/jobs");
  EXPECT_EQ(read->body, "{}");
}

constexpr std::string_view kReplyBytes = "04 f7010200c4090000020000007b7d";
constexpr std::string_view kUnlimitedReplyBytes = "04 c8000000ffffffff020000007b7d";
constexpr std::string_view kExpiredReplyBytes = "04 f701020000000000020000007b7d";

TEST(WireFormatControllers, PacksAndUnpacksReplyWithRemainingValidity) {
  HttpReply reply;
  reply.status = 503;
  reply.body = "{}";
  reply.retry_after_s = 2;
  reply.valid_until = 102.5;
  EXPECT_EQ(hex_of(pack(reply, 100)), kReplyBytes);
  EXPECT_EQ(hex_of(pack(reply, 200)), kExpiredReplyBytes);
  const auto read = unpack_reply(frame_of(kReplyBytes), 10);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->status, 503u);
  EXPECT_EQ(read->body, "{}");
  EXPECT_EQ(read->retry_after_s, 2);
  EXPECT_EQ(read->valid_until, 12.5);
}

TEST(WireFormatControllers, PacksAndUnpacksReplyWithUnlimitedValidity) {
  HttpReply reply;
  reply.body = "{}";
  EXPECT_EQ(hex_of(pack(reply, 100)), kUnlimitedReplyBytes);
  const auto read = unpack_reply(frame_of(kUnlimitedReplyBytes), 10);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->status, 200u);
  EXPECT_EQ(read->retry_after_s, 0);
  EXPECT_EQ(read->valid_until, std::numeric_limits<double>::infinity());
}

TaskReport task_report_of(const std::string& uid, std::uint32_t task, TaskPhase phase, ExitReason exit_reason, bool checkpointed) {
  TaskReport task_report;
  task_report.id = task_id(uid, task);
  task_report.attempt = 2;
  task_report.phase = phase;
  task_report.exit_reason = exit_reason;
  task_report.checkpointed = checkpointed;
  return task_report;
}

AttemptKey attempt_key(const std::string& uid, std::uint32_t task, std::uint64_t attempt) {
  AttemptKey key;
  key.id = task_id(uid, task);
  key.attempt = attempt;
  return key;
}

HeartbeatDelta delta_of(HeartbeatDelta::Kind kind) {
  HeartbeatDelta delta;
  delta.kind = kind;
  delta.node = "m-1";
  delta.agent_incarnation = 1;
  delta.serial = 88;
  delta.fencing_token = 41;
  return delta;
}

HeartbeatDelta full_delta() {
  auto delta = delta_of(HeartbeatDelta::Kind::full);
  delta.interruption_in_s = 61.5;
  delta.address = "10.1.0.2:9000";
  delta.machine_type = "g8";
  delta.zone = "a";
  delta.spot = true;
  delta.tasks = {task_report_of("j-1", 3, TaskPhase::running, ExitReason::none, false),
                 task_report_of("j-2", 0, TaskPhase::exited, ExitReason::stopped, true)};
  return delta;
}
HeartbeatDelta difference_delta() {
  auto delta = delta_of(HeartbeatDelta::Kind::difference);
  delta.base_serial = 87;
  delta.spot = true;
  delta.tasks = {task_report_of("j-1", 3, TaskPhase::checkpointing, ExitReason::none, false)};
  delta.removed = {attempt_key("j-2", 0, 1), attempt_key("j-3", 7, 4)};
  return delta;
}
HeartbeatDelta unchanged_delta() {
  auto delta = delta_of(HeartbeatDelta::Kind::unchanged);
  delta.base_serial = 86;
  delta.interruption_in_s = 0.25;
  return delta;
}

HeartbeatBatch batch_of(const std::vector<HeartbeatDelta>& heartbeats) {
  HeartbeatBatch batch;
  batch.sender = "host-2";
  batch.takeover_token = 7;
  batch.agent_count = 300;
  batch.heartbeats = heartbeats;
  return batch;
}

// Unpacks a batch that must contain exactly one heartbeat.
HeartbeatDelta unpack_only_heartbeat(std::string_view hex) {
  const auto batch = unpack_heartbeat_batch(frame_of(hex));
  EXPECT_TRUE(batch && batch->heartbeats.size() == 1);
  return batch ? batch->heartbeats.at(0) : HeartbeatDelta{};
}

void expect_task_report(const TaskReport& task_report, const std::string& uid, std::uint32_t task, TaskPhase phase, ExitReason exit_reason,
                        bool checkpointed) {
  EXPECT_EQ(task_report.id.uid, uid);
  EXPECT_EQ(task_report.id.task, task);
  EXPECT_EQ(task_report.attempt, 2u);
  EXPECT_EQ(task_report.phase, phase);
  EXPECT_EQ(task_report.exit_reason, exit_reason);
  EXPECT_EQ(task_report.checkpointed, checkpointed);
}

void expect_delta_header(const HeartbeatDelta& delta, HeartbeatDelta::Kind kind) {
  EXPECT_EQ(delta.kind, kind);
  EXPECT_EQ(delta.node, "m-1");
  EXPECT_EQ(delta.agent_incarnation, 1u);
  EXPECT_EQ(delta.serial, 88u);
  EXPECT_EQ(delta.fencing_token, 41u);
}

constexpr std::string_view kEmptyBatchBytes = "05 0106000000686f73742d3207000000000000002c01000000000000";

TEST(WireFormatControllers, PacksAndUnpacksEmptyBatch) {
  EXPECT_EQ(hex_of(pack(batch_of({}))), kEmptyBatchBytes);
  const auto batch = unpack_heartbeat_batch(frame_of(kEmptyBatchBytes));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->sender, "host-2");
  EXPECT_EQ(batch->takeover_token, 7u);
  EXPECT_EQ(batch->agent_count, 300u);
  EXPECT_TRUE(batch->heartbeats.empty());
}

constexpr std::string_view kFullHeartbeatBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000100000001030000006d2d31010000000000000058000000000000002900000000000000033cf000000d0000"
    "0031302e312e302e323a39303030020000006738010000006102000000030000006a2d31030000000200000000000000020000030000006a2d32000000000200000000"
    "000000040201";

TEST(WireFormatControllers, PacksAndUnpacksFullHeartbeat) {
  EXPECT_EQ(hex_of(pack(batch_of({full_delta()}))), kFullHeartbeatBytes);
  const auto delta = unpack_only_heartbeat(kFullHeartbeatBytes);
  expect_delta_header(delta, HeartbeatDelta::Kind::full);
  EXPECT_EQ(delta.interruption_in_s, 61.5);
  EXPECT_EQ(delta.base_serial, 0u);
  EXPECT_EQ(delta.address, "10.1.0.2:9000");
  EXPECT_EQ(delta.machine_type, "g8");
  EXPECT_EQ(delta.zone, "a");
  EXPECT_TRUE(delta.spot);
  ASSERT_EQ(delta.tasks.size(), 2u);
  expect_task_report(delta.tasks[0], "j-1", 3, TaskPhase::running, ExitReason::none, false);
  expect_task_report(delta.tasks[1], "j-2", 0, TaskPhase::exited, ExitReason::stopped, true);
  EXPECT_TRUE(delta.removed.empty());
}

constexpr std::string_view kDifferenceBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000100000002030000006d2d310100000000000000580000000000000029000000000000000200000000570000"
    "000000000001000000030000006a2d3103000000020000000000000003000002000000030000006a2d32000000000100000000000000030000006a2d33070000000400"
    "000000000000";

TEST(WireFormatControllers, PacksAndUnpacksHeartbeatDifference) {
  EXPECT_EQ(hex_of(pack(batch_of({difference_delta()}))), kDifferenceBytes);
  const auto delta = unpack_only_heartbeat(kDifferenceBytes);
  expect_delta_header(delta, HeartbeatDelta::Kind::difference);
  EXPECT_EQ(delta.interruption_in_s, std::nullopt);
  EXPECT_EQ(delta.base_serial, 87u);
  EXPECT_EQ(delta.address, "");
  EXPECT_TRUE(delta.spot);
  ASSERT_EQ(delta.tasks.size(), 1u);
  expect_task_report(delta.tasks[0], "j-1", 3, TaskPhase::checkpointing, ExitReason::none, false);
  ASSERT_EQ(delta.removed.size(), 2u);
  EXPECT_EQ(delta.removed[0].id.uid, "j-2");
  EXPECT_EQ(delta.removed[0].id.task, 0u);
  EXPECT_EQ(delta.removed[0].attempt, 1u);
  EXPECT_EQ(delta.removed[1].id.uid, "j-3");
  EXPECT_EQ(delta.removed[1].id.task, 7u);
  EXPECT_EQ(delta.removed[1].attempt, 4u);
}

constexpr std::string_view kUnchangedBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000100000003030000006d2d3101000000000000005800000000000000290000000000000001fa000000560000"
    "0000000000";

TEST(WireFormatControllers, PacksAndUnpacksUnchangedHeartbeat) {
  EXPECT_EQ(hex_of(pack(batch_of({unchanged_delta()}))), kUnchangedBytes);
  const auto delta = unpack_only_heartbeat(kUnchangedBytes);
  expect_delta_header(delta, HeartbeatDelta::Kind::unchanged);
  EXPECT_EQ(delta.interruption_in_s, 0.25);
  EXPECT_EQ(delta.base_serial, 86u);
  EXPECT_FALSE(delta.spot);
  EXPECT_TRUE(delta.tasks.empty());
}

constexpr std::string_view kMixedBatchBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000300000001030000006d2d31010000000000000058000000000000002900000000000000033cf000000d0000"
    "0031302e312e302e323a39303030020000006738010000006102000000030000006a2d31030000000200000000000000020000030000006a2d32000000000200000000"
    "00000004020102030000006d2d310100000000000000580000000000000029000000000000000200000000570000000000000001000000030000006a2d310300000002"
    "0000000000000003000002000000030000006a2d32000000000100000000000000030000006a2d3307000000040000000000000003030000006d2d3101000000000000"
    "005800000000000000290000000000000001fa0000005600000000000000";

TEST(WireFormatControllers, PacksAndUnpacksBatchOfAllDeltaKinds) {
  EXPECT_EQ(hex_of(pack(batch_of({full_delta(), difference_delta(), unchanged_delta()}))), kMixedBatchBytes);
  const auto batch = unpack_heartbeat_batch(frame_of(kMixedBatchBytes));
  ASSERT_TRUE(batch);
  ASSERT_EQ(batch->heartbeats.size(), 3u);
  expect_delta_header(batch->heartbeats[0], HeartbeatDelta::Kind::full);
  expect_delta_header(batch->heartbeats[1], HeartbeatDelta::Kind::difference);
  expect_delta_header(batch->heartbeats[2], HeartbeatDelta::Kind::unchanged);
}

const std::vector<TaskPhase> kPhasesInOrder{TaskPhase::pulling_image, TaskPhase::waiting_for_gang, TaskPhase::running,
                                            TaskPhase::checkpointing, TaskPhase::exited};
const std::vector<ExitReason> kExitReasonsInOrder{ExitReason::none,
                                                  ExitReason::completed,
                                                  ExitReason::stopped,
                                                  ExitReason::gang_member_lost,
                                                  ExitReason::gang_incomplete,
                                                  ExitReason::failed,
                                                  ExitReason::insufficient_resources,
                                                  ExitReason::duplicate_attempt,
                                                  ExitReason::unknown_task,
                                                  ExitReason::node_lost};
constexpr std::string_view kPhasesAndExitReasonsBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000100000002030000006d2d310100000000000000580000000000000029000000000000000200000000570000"
    "00000000000f000000030000006a2d31000000000200000000000000000000030000006a2d31000000000200000000000000010000030000006a2d3100000000020000"
    "0000000000020000030000006a2d31000000000200000000000000030000030000006a2d31000000000200000000000000040000030000006a2d310000000002000000"
    "00000000040000030000006a2d31000000000200000000000000040100030000006a2d31000000000200000000000000040200030000006a2d31000000000200000000"
    "000000040300030000006a2d31000000000200000000000000040400030000006a2d31000000000200000000000000040500030000006a2d3100000000020000000000"
    "0000040600030000006a2d31000000000200000000000000040700030000006a2d31000000000200000000000000040800030000006a2d310000000002000000000000"
    "0004090000000000";

TEST(WireFormatControllers, NumbersOfPhasesAndExitReasonsAreUnchanged) {
  auto delta = difference_delta();
  delta.tasks.clear();
  delta.removed.clear();
  for (const auto phase : kPhasesInOrder) delta.tasks.push_back(task_report_of("j-1", 0, phase, ExitReason::none, false));
  for (const auto exit_reason : kExitReasonsInOrder) delta.tasks.push_back(task_report_of("j-1", 0, TaskPhase::exited, exit_reason, false));
  EXPECT_EQ(hex_of(pack(batch_of({delta}))), kPhasesAndExitReasonsBytes);
  const auto tasks = unpack_only_heartbeat(kPhasesAndExitReasonsBytes).tasks;
  ASSERT_EQ(tasks.size(), kPhasesInOrder.size() + kExitReasonsInOrder.size());
  for (std::size_t i = 0; i < kPhasesInOrder.size(); ++i) EXPECT_EQ(tasks[i].phase, kPhasesInOrder[i]) << i;
  for (std::size_t i = 0; i < kExitReasonsInOrder.size(); ++i)
    EXPECT_EQ(tasks[kPhasesInOrder.size() + i].exit_reason, kExitReasonsInOrder[i]) << i;
}

HeartbeatReply reply_of(HeartbeatReply::Outcome outcome) {
  HeartbeatReply reply;
  reply.outcome = outcome;
  return reply;
}

constexpr std::string_view kBatchReplyBytes =
    "06 "
    "01070000000000000009000000000000001400000006000000686f73742d3304000000010300000000030000006a2d3104000000020000000000000000000000010300"
    "00006a2d32010000000100000000000000c409000002030000006a2d3300000000010000000000000000000000020000000003000000000400000000";

TEST(WireFormatControllers, PacksAndUnpacksBatchReply) {
  HeartbeatBatchReply reply;
  reply.takeover_token = 7;
  reply.fencing_token = 9;
  reply.redirect_count = 20;
  reply.redirect_target = "host-3";
  reply.replies = {reply_of(HeartbeatReply::Outcome::renewed), reply_of(HeartbeatReply::Outcome::refused),
                   reply_of(HeartbeatReply::Outcome::full_required), reply_of(HeartbeatReply::Outcome::retry_later)};
  reply.replies[0].commands = {command(CommandType::run, "j-1", 4, 2), command(CommandType::kill, "j-2", 1, 1, 2.5),
                               command(CommandType::acknowledge_exit, "j-3", 0, 1)};
  EXPECT_EQ(hex_of(pack(reply)), kBatchReplyBytes);

  const auto read = unpack_heartbeat_batch_reply(frame_of(kBatchReplyBytes));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->takeover_token, 7u);
  EXPECT_EQ(read->fencing_token, 9u);
  EXPECT_EQ(read->redirect_count, 20u);
  EXPECT_EQ(read->redirect_target, "host-3");
  ASSERT_EQ(read->replies.size(), 4u);
  EXPECT_EQ(read->replies[0].outcome, HeartbeatReply::Outcome::renewed);
  EXPECT_EQ(read->replies[1].outcome, HeartbeatReply::Outcome::refused);
  EXPECT_EQ(read->replies[2].outcome, HeartbeatReply::Outcome::full_required);
  EXPECT_EQ(read->replies[3].outcome, HeartbeatReply::Outcome::retry_later);
  const auto& commands = read->replies[0].commands;
  ASSERT_EQ(commands.size(), 3u);
  EXPECT_EQ(commands[0].type, CommandType::run);
  EXPECT_EQ(commands[0].id.uid, "j-1");
  EXPECT_EQ(commands[0].id.task, 4u);
  EXPECT_EQ(commands[0].attempt, 2u);
  EXPECT_EQ(commands[1].type, CommandType::kill);
  EXPECT_EQ(commands[1].grace_period_s, 2.5);
  EXPECT_EQ(commands[2].type, CommandType::acknowledge_exit);
}

TEST(WireFormatControllers, RejectsFramesOfAnotherVersionOrKind) {
  auto batch = frame_of(kFullHeartbeatBytes);
  batch.payload[0] = 2;
  EXPECT_FALSE(unpack_heartbeat_batch(batch));
  EXPECT_FALSE(unpack_heartbeat_batch_reply(frame_of(kFullHeartbeatBytes)));
  EXPECT_FALSE(unpack_peer_heartbeat(frame_of(kPeerHeartbeatAckBytes)));
  EXPECT_FALSE(unpack_peer_heartbeat_ack(frame_of(kPeerHeartbeatBytes)));
  EXPECT_FALSE(unpack_call(frame_of(kReplyBytes)));
  EXPECT_FALSE(unpack_reply(frame_of(kCallBytes), 0));
}

constexpr std::string_view kSupportedVersionsBytes = "01000100000004000000030000002a0000000000000005000000302e332e30ab00000000000000";

TEST(WireFormatControllers, PacksAndUnpacksSupportedVersions) {
  EXPECT_EQ(hex_of(pack(supported_versions_of_host())), kSupportedVersionsBytes);
  EXPECT_EQ(unpack_supported_versions(bytes_of(kSupportedVersionsBytes)), supported_versions_of_host());
  EXPECT_EQ(unpack_supported_versions(bytes_of(kSupportedVersionsBytes) + "of a later version"), supported_versions_of_host());
  EXPECT_EQ(unpack_supported_versions(bytes_of(kSupportedVersionsBytes.substr(2))), std::nullopt);
}

constexpr std::string_view kTeamsBytes =
    "01000200000004000000626c75650000000000000000000000000000000000000000000000000000000000000000030000007265640000000000002040000000000000"
    "e03f00000000000030400000000000001140";

TEST(WireFormatControllers, PacksAndUnpacksTeamQuotas) {
  std::map<std::string, TeamQuota> teams;
  teams["red"] = quota(8, 0.5, 16, 4.25);
  teams["blue"] = quota(0, 0, 0, 0);
  EXPECT_EQ(hex_of(pack(teams)), kTeamsBytes);
  EXPECT_EQ(unpack_teams(bytes_of(kTeamsBytes)), teams);
  EXPECT_EQ(unpack_teams(bytes_of(kTeamsBytes) + "x"), std::nullopt);
}

// ---- settings

const std::string kSettingsText = R"(label = "host-0"
site = "north"
client_listen = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
of_a_later_version = 1

[[peers]]
label = "host-1"
site = "south"
addr = "10.0.0.2:8081"

[[peers]]
label = "host-2"
site = "north"
addr = "10.0.0.3:8081"

[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[deployment]
count = 3
zones = ["north", "south"]
skew_ms = 25.0

[[deployment.teams]]
name = "red"
cpus = 192.0
cpus_max = 424.0
gpus = 16.0
gpus_max = 64.0

[[deployment.teams]]
name = "blue"

[[deployment.objectives]]
kind = "wait"
class = "viewer"
within_s = 1.5
share = 0.95

[[deployment.objectives]]
kind = "finished"
class = "train"
within_s = 300
share = 0.82

[[deployment.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.94

[deployment.workers]
report_s = 1.25
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 40.0

[deployment.state]
rps = 250.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 16

[deployment.cloud]
rps = 6.5
list_lag_s = 4.0

[deployment.limits]
cpu = 0.064
memory_mb = 56.0
max_sockets = 900
)";

// A temporary settings file, removed at the end of the test.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text) : path_(testing::TempDir() + "wire_format_" + std::to_string(getpid()) + ".toml") {
    std::ofstream(path_) << text;
  }
  ~SettingsFile() { std::remove(path_.c_str()); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

Settings settings_of(const std::string& text) {
  const SettingsFile file(text);
  return load_settings(file.path());
}

// The error message without the file's path at its beginning. Marks a message that lacks the path.
std::string settings_error(const std::string& text) {
  const SettingsFile file(text);
  const auto error = error_message_of([&] { load_settings(file.path()); });
  const auto prefix = file.path() + ": ";
  return error.starts_with(prefix) ? error.substr(prefix.size()) : "without the path: " + error;
}

TEST(WireFormatSettings, ReadsAddressesAndPeers) {
  const auto settings = settings_of(kSettingsText);
  EXPECT_EQ(settings.label, "host-0");
  EXPECT_EQ(settings.site, "north");
  EXPECT_EQ(settings.client_listen, "10.0.0.1:8080");
  EXPECT_EQ(settings.peer_listen, "10.0.0.1:8081");
  ASSERT_EQ(settings.peers.size(), 2u);
  EXPECT_EQ(settings.peers[0].label, "host-1");
  EXPECT_EQ(settings.peers[0].site, "south");
  EXPECT_EQ(settings.peers[0].address, "10.0.0.2:8081");
  EXPECT_EQ(settings.peers[1].label, "host-2");
  EXPECT_EQ(settings.peers[1].site, "north");
  EXPECT_EQ(settings.peers[1].address, "10.0.0.3:8081");
  EXPECT_EQ(settings.cloud_address, "10.2.0.2:8443");
  EXPECT_EQ(settings.store_address, "10.2.0.1:2379");
}

TEST(WireFormatSettings, ReadsTeams) {
  const auto settings = settings_of(kSettingsText);
  ASSERT_EQ(settings.teams.size(), 2u);
  EXPECT_EQ(settings.teams[0].name, "red");
  EXPECT_EQ(settings.teams[0].guarantee, resources(192, 16, 0));
  EXPECT_EQ(settings.teams[0].limit, resources(424, 64, 0));
  EXPECT_EQ(settings.teams[1].name, "blue");
  EXPECT_EQ(settings.teams[1].guarantee, resources(0, 0, 0));
  EXPECT_EQ(settings.teams[1].limit, resources(0, 0, 0));
}

TEST(WireFormatSettings, ReadsObjectives) {
  const auto settings = settings_of(kSettingsText);
  ASSERT_EQ(settings.objectives.size(), 3u);
  EXPECT_EQ(settings.objectives[0].kind, "wait");
  EXPECT_EQ(settings.objectives[0].job_class, "viewer");
  EXPECT_EQ(settings.objectives[0].within_s, 1.5);
  EXPECT_EQ(settings.objectives[0].fraction, 0.95);
  EXPECT_EQ(settings.objectives[1].kind, "finished");
  EXPECT_EQ(settings.objectives[1].job_class, "train");
  EXPECT_EQ(settings.objectives[1].within_s, 300);
  EXPECT_EQ(settings.objectives[1].fraction, 0.82);
  EXPECT_EQ(settings.objectives[2].kind, "guarantee");
  EXPECT_EQ(settings.objectives[2].job_class, "");
  EXPECT_EQ(settings.objectives[2].within_s, 5);
  EXPECT_EQ(settings.objectives[2].fraction, 0.94);
}

TEST(WireFormatSettings, ReadsTimesAndLimits) {
  const auto settings = settings_of(kSettingsText);
  EXPECT_EQ(settings.controller_count, 3u);
  EXPECT_EQ(settings.max_clock_skew_ms, 25);
  EXPECT_EQ(settings.heartbeat_interval_s, 1.25);
  EXPECT_EQ(settings.lease_s, 10);
  EXPECT_EQ(settings.gang_wait_s, 50);
  EXPECT_EQ(settings.gang_peer_s, 6);
  EXPECT_EQ(settings.cancel_s, 40);
  EXPECT_EQ(settings.store_rps, 250);
  EXPECT_EQ(settings.store_write_rps, 100);
  EXPECT_EQ(settings.max_value_kb, 8);
  EXPECT_EQ(settings.max_txn_ops, 16u);
  EXPECT_EQ(settings.cloud_rps, 6.5);
  EXPECT_EQ(settings.list_lag_s, 4);
  EXPECT_EQ(settings.cpu, 0.064);
  EXPECT_EQ(settings.memory_mb, 56);
  EXPECT_EQ(settings.max_sockets, 900u);
}

TEST(WireFormatSettings, AppliesMinimumOfPresentAndAnnouncedStoreLimits) {
  const std::string next = "txn_ops = 16\n[deployment.state.next]\nrps = 200.0\nwrite_rps = 120.0\nvalue_kb = 4.0\ntxn_ops = 8\n";
  const auto settings = settings_of(replaced(kSettingsText, "txn_ops = 16\n", next));
  EXPECT_EQ(settings.store_rps, 200);
  EXPECT_EQ(settings.store_write_rps, 100);
  EXPECT_EQ(settings.max_value_kb, 4);
  EXPECT_EQ(settings.max_txn_ops, 8u);
}

TEST(WireFormatSettings, DefaultsOmittedOptionalFields) {
  auto text = without(kSettingsText, "share = 0.95\n");
  text = replaced(text, "kind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.94\n", "kind = \"of a later version\"\n");
  const auto settings = settings_of(text);
  EXPECT_EQ(settings.objectives.at(0).fraction, 0);
  EXPECT_EQ(settings.objectives.at(2).job_class, "");
  EXPECT_EQ(settings.objectives.at(2).within_s, 0);
  EXPECT_EQ(settings.objectives.at(2).fraction, 0);
}

TEST(WireFormatSettings, ErrorNamesTheMissingFieldAndItsTable) {
  const auto error = [](std::string_view line) { return settings_error(without(kSettingsText, line)); };
  EXPECT_EQ(error("label = \"host-0\"\n"), "label: missing");
  EXPECT_EQ(error("site = \"north\"\n"), "site: missing");
  EXPECT_EQ(error("client_listen = \"10.0.0.1:8080\"\n"), "client_listen: missing");
  EXPECT_EQ(error("peer_listen = \"10.0.0.1:8081\"\n"), "peer_listen: missing");
  EXPECT_EQ(error("label = \"host-1\"\n"), "peers[0].label: missing");
  EXPECT_EQ(error("site = \"south\"\n"), "peers[0].site: missing");
  EXPECT_EQ(error("addr = \"10.0.0.3:8081\"\n"), "peers[1].addr: missing");
  EXPECT_EQ(error("cloud = \"10.2.0.2:8443\"\n"), "endpoints.cloud: missing");
  EXPECT_EQ(error("state = \"10.2.0.1:2379\"\n"), "endpoints.state: missing");
  EXPECT_EQ(error("name = \"blue\"\n"), "deployment.teams[1].name: missing");
  EXPECT_EQ(error("kind = \"finished\"\n"), "deployment.objectives[1].kind: missing");
  EXPECT_EQ(error("class = \"viewer\"\n"), "deployment.objectives[0].class: missing");
  EXPECT_EQ(error("within_s = 1.5\n"), "deployment.objectives[0].within_s: missing");
  EXPECT_EQ(error("class = \"train\"\n"), "deployment.objectives[1].class: missing");
  EXPECT_EQ(error("within_s = 300\n"), "deployment.objectives[1].within_s: missing");
  EXPECT_EQ(error("count = 3\n"), "deployment.count: missing");
  EXPECT_EQ(error("skew_ms = 25.0\n"), "deployment.skew_ms: missing");
  EXPECT_EQ(error("report_s = 1.25\n"), "deployment.workers.report_s: missing");
  EXPECT_EQ(error("lease_s = 10.0\n"), "deployment.workers.lease_s: missing");
  EXPECT_EQ(error("gang_wait_s = 50.0\n"), "deployment.workers.gang_wait_s: missing");
  EXPECT_EQ(error("gang_peer_s = 6.0\n"), "deployment.workers.gang_peer_s: missing");
  EXPECT_EQ(error("cancel_s = 40.0\n"), "deployment.workers.cancel_s: missing");
  EXPECT_EQ(error("rps = 250.0\n"), "deployment.state.rps: missing");
  EXPECT_EQ(error("write_rps = 100.0\n"), "deployment.state.write_rps: missing");
  EXPECT_EQ(error("value_kb = 8.0\n"), "deployment.state.value_kb: missing");
  EXPECT_EQ(error("txn_ops = 16\n"), "deployment.state.txn_ops: missing");
  EXPECT_EQ(error("rps = 6.5\n"), "deployment.cloud.rps: missing");
  EXPECT_EQ(error("list_lag_s = 4.0\n"), "deployment.cloud.list_lag_s: missing");
  EXPECT_EQ(error("cpu = 0.064\n"), "deployment.limits.cpu: missing");
  EXPECT_EQ(error("memory_mb = 56.0\n"), "deployment.limits.memory_mb: missing");
  EXPECT_EQ(error("max_sockets = 900\n"), "deployment.limits.max_sockets: missing");
}

TEST(WireFormatSettings, ErrorNamesTheMissingTable) {
  const auto error = [](std::string_view table) { return settings_error(replaced(kSettingsText, table, "[other]")); };
  EXPECT_EQ(error("[endpoints]"), "endpoints: missing");
  const auto without_teams = replaced(replaced(kSettingsText, "[[deployment.teams]]", "[[other]]"), "[[deployment.teams]]", "[[other]]");
  EXPECT_EQ(settings_error(without_teams), "deployment.teams: missing");
  EXPECT_EQ(error("[deployment.workers]"), "deployment.workers: missing");
  EXPECT_EQ(error("[deployment.state]"), "deployment.state: missing");
  EXPECT_EQ(error("[deployment.cloud]"), "deployment.cloud: missing");
  EXPECT_EQ(error("[deployment.limits]"), "deployment.limits: missing");
}

TEST(WireFormatSettings, ErrorNamesTheInvalidFieldAndTheReason) {
  const auto error = [](std::string_view line, std::string_view other) { return settings_error(replaced(kSettingsText, line, other)); };
  EXPECT_EQ(error("label = \"host-0\"", "label = 7"), "label: not a string");
  EXPECT_EQ(error("label = \"host-0\"", "label = \"\""), "label: empty");
  EXPECT_EQ(error("\"10.0.0.1:8080\"", "\"host:80\""), "client_listen: not an address of the form 1.2.3.4:80");
  EXPECT_EQ(error("\"10.0.0.2:8081\"", "\"10.0.0.2\""), "peers[0].addr: not an address of the form 1.2.3.4:80");
  EXPECT_EQ(error("report_s = 1.25", "report_s = \"1.25\""), "deployment.workers.report_s: not a number");
  EXPECT_EQ(error("report_s = 1.25", "report_s = inf"), "deployment.workers.report_s: not finite");
  EXPECT_EQ(error("report_s = 1.25", "report_s = 0"), "deployment.workers.report_s: not from 0.01 to 86400");
  EXPECT_EQ(error("txn_ops = 16", "txn_ops = 16.0"), "deployment.state.txn_ops: not a whole number");
  EXPECT_EQ(error("txn_ops = 16", "txn_ops = 3"), "deployment.state.txn_ops: not from 4 to 1000000");
  EXPECT_EQ(
      error("[endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n", "[endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = 1\n"),
      "endpoints.state: not a string");
}

TEST(WireFormatSettings, ErrorNamesTheFileThatCannotBeRead) {
  EXPECT_EQ(error_message_of([] { load_settings("/nowhere/settings.toml"); }), "/nowhere/settings.toml: cannot be read");
}

TEST(WireFormatSettings, ErrorNamesTheLineOfASyntaxError) {
  EXPECT_EQ(settings_error("label = \"a\"\nsite = \n").substr(0, 8), "line 2: ");
}

}  // namespace
}  // namespace thistlefront
