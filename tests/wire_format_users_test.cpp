// Wire format of users' requests and of the replies to them. The tests compare with literal strings or bytes, so that they fail if a change
// of the code alters what other programs read or write.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/job.hpp"
#include "protocol/user_messages.hpp"
#include "wire_format.hpp"

namespace thistlefront {
namespace {

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
  expect_default_values(parse_submission(kMinimalSubmission));
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

}  // namespace
}  // namespace thistlefront
