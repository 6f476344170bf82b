// Format of ledger entries and their records. The tests compare with literal strings or bytes, so that they fail if a change of the code
// alters what other programs read or write.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ledger/ledger_writer.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/resources.hpp"
#include "model/task.hpp"
#include "protocol/digest.hpp"
#include "protocol/ledger_format.hpp"
#include "protocol/user_messages.hpp"
#include "wire_format.hpp"

namespace thistlefront {
namespace {

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

}  // namespace
}  // namespace thistlefront
