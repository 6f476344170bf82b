// Messages: accepted and rejected input, the field named in a rejection, and round trips.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "controller/histograms.hpp"
#include "job_builders.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "protocol/ledger_format.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/settings.hpp"
#include "protocol/user_messages.hpp"
#include "protocol/worker_messages.hpp"

namespace thistlefront {
namespace {

nlohmann::json valid_submission() {
  return {{"uid", "j-000412"}, {"jobClass", "train"}, {"owner", "vision"}, {"shape", "group"},   {"rank", "high"},
          {"pieces", 16},      {"cores", 8.0},        {"accelerators", 1}, {"ramGb", 64.0},      {"bundle", "img"},
          {"pullGb", 6.2},     {"hostKinds", {"g8"}}, {"yard", nullptr},   {"oneZone", true},    {"spread", false},
          {"loaners", false},  {"expectedS", 240.0},  {"snapshotS", 0},    {"snapshotEveryS", 0}};
}

std::string rejection_of(const nlohmann::json& submission) {
  try {
    parse_submission(submission.dump());
    return "accepted";
  } catch (const ProtocolError& e) {
    return e.what();
  }
}

TEST(JobSpec, UnknownFieldsAreIgnoredAndNullFieldsCountAsOmitted) {
  auto j = valid_submission();
  j["later"] = {1, 2};
  j["dueS"] = nullptr;
  const auto s = parse_submission(j.dump());
  EXPECT_EQ(s.task_count, 16u);
  EXPECT_FALSE(s.deadline_s.has_value());
  EXPECT_TRUE(s.zone.empty());
}

TEST(JobSpec, RejectionNamesTheField) {
  const std::pair<const char*, nlohmann::json> cases[] = {
      {"uid", "k-1"},      {"uid", "j-"},  {"uid", 7},     {"pieces", 0},    {"pieces", -1},     {"pieces", 1.5},
      {"pieces", 100001},  {"cores", -1},  {"cores", "8"}, {"cores", 1e300}, {"shape", "x"},     {"rank", nullptr},
      {"hostKinds", "g8"}, {"oneZone", 1}, {"owner", ""},  {"dueS", -3},     {"ramGb", nullptr}, {"hostKinds", nlohmann::json::array()}};
  for (const auto& [field, value] : cases) {
    auto j = valid_submission();
    j[field] = value;
    EXPECT_EQ(rejection_of(j).rfind(std::string(field) + ": ", 0), 0u) << field << "=" << value << ": " << rejection_of(j);
  }
  EXPECT_THROW(parse_submission("{"), ProtocolError);
  EXPECT_THROW(parse_submission("[]"), ProtocolError);
  EXPECT_THROW(parse_submission("{\"cores\":1e999}"), ProtocolError);
}

TEST(Messages, ProtocolErrorHasFieldAndReason) {
  auto job = valid_submission();
  job["pieces"] = 0;
  try {
    parse_submission(job.dump());
    FAIL() << "accepted";
  } catch (const ProtocolError& e) {
    EXPECT_EQ(e.field(), "pieces");
    EXPECT_EQ(e.reason(), "not from 1 to 100000");
    EXPECT_STREQ(e.what(), "pieces: not from 1 to 100000");
  }
  const ProtocolError without_field("its check is wrong");
  EXPECT_EQ(without_field.field(), "");
  EXPECT_EQ(without_field.reason(), "its check is wrong");
  EXPECT_STREQ(without_field.what(), "its check is wrong");
}

TEST(Messages, SettingsErrorHasFileFieldAndReason) {
  try {
    load_settings("/nowhere/settings.toml");
    FAIL() << "no error";
  } catch (const SettingsError& e) {
    EXPECT_EQ(e.file(), "/nowhere/settings.toml");
    EXPECT_EQ(e.field(), "");
    EXPECT_EQ(e.reason(), "cannot be read");
  }
  const SettingsError with_field("a.toml", "deployment.state.rps", "missing");
  EXPECT_EQ(with_field.field(), "deployment.state.rps");
  EXPECT_STREQ(with_field.what(), "a.toml: deployment.state.rps: missing");
}

TEST(Routes, PathAndMethodSelectTheRoute) {
  using Kind = UserRoute::Kind;
  EXPECT_EQ(route_of("POST", "/v1/jobs").kind, Kind::submit);
  EXPECT_EQ(route_of("GET", "/v1/jobs/j-1").uid, "j-1");
  EXPECT_EQ(route_of("POST", "/v1/jobs/j-1/withdraw").kind, Kind::cancel);
  EXPECT_EQ(route_of("GET", "/v1/jobs/j-1/withdraw").kind, Kind::wrong_method);
  EXPECT_EQ(route_of("DELETE", "/v1/jobs").kind, Kind::wrong_method);
  EXPECT_EQ(route_of("GET", "/v1/jobsx").kind, Kind::unknown);
  EXPECT_EQ(route_of("GET", "/v1/jobs/j-1/else").kind, Kind::unknown);
}

TEST(Heartbeats, MalformedHeartbeatsAreRejected) {
  const std::string head = R"({"host":"m","address":"a","hostKind":"k","yard":"z","loaners":false,"tenure":1,"serial":2,"epoch":3,)";
  const auto r = parse_heartbeat(head + R"("recallS":null,"pieces":[{"piece":"j-1/3","try":2,"status":"running"}]})");
  EXPECT_EQ(r.tasks.at(0).id.task, 3u);
  for (const char* rest :
       {R"("pieces":3})", R"("pieces":[{"piece":"j-1","try":2,"status":"running"}]})",
        R"("pieces":[{"piece":"j-1/99999999","try":2,"status":"running"}]})",
        R"("pieces":[{"piece":"j-1/1","try":-2,"status":"running"}]})", R"("pieces":[{"piece":"j-1/1","try":2,"status":"odd"}]})",
        R"("pieces":{"a":1}})", R"("pieces":[[]]})", R"("pieces":[3]})", R"("pieces":[{"piece":"j-1/1","status":"running"}]})",
        R"("pieces":null})", R"("pieces":[]},)", R"("loaners":1,"pieces":[]})", R"("recallS":"x","pieces":[]})"})
    EXPECT_THROW(parse_heartbeat(head + rest), ProtocolError) << rest;
}

TEST(Heartbeats, UnknownFieldsAreIgnoredWhateverTheyContain) {
  const auto r = parse_heartbeat(
      R"({"x":{"host":"no","pieces":[{"piece":"j-9/9"}]},"host":"m","address":"a","hostKind":"k","yard":"z","y":[[{}],3],)"
      R"("loaners":true,"tenure":1,"serial":2.0,"epoch":3,"recallS":4.5,"pieces":[{"z":{"try":9,"s":[1]},"piece":"j-1/3","try":2,)"
      R"("status":"exited","cause":"halted","kept":true},{"piece":"j-2/0","try":1,"status":"exited","cause":"new one"}],"w":null})");
  EXPECT_EQ(r.node, "m");
  EXPECT_TRUE(r.spot);
  EXPECT_EQ(r.serial, 2u);
  EXPECT_EQ(r.interruption_in_s, 4.5);
  ASSERT_EQ(r.tasks.size(), 2u);
  EXPECT_EQ(r.tasks[0].attempt, 2u);
  EXPECT_EQ(r.tasks[0].exit_reason, ExitReason::stopped);
  EXPECT_TRUE(r.tasks[0].checkpointed);
  EXPECT_EQ(r.tasks[1].id.uid, "j-2");
  EXPECT_EQ(r.tasks[1].exit_reason, ExitReason::failed);
  EXPECT_FALSE(r.tasks[1].checkpointed);
  EXPECT_THROW(parse_heartbeat("[]"), ProtocolError);
  EXPECT_THROW(parse_heartbeat("{"), ProtocolError);
}

TEST(Ledger, RecordsSurviveARoundTrip) {
  const auto s = parse_submission(valid_submission().dump());
  const std::vector<Record> records{JobAcceptedRecord{s, 0.25, 12.5},
                                    TasksStartedRecord{"j-000412", 3, 9.5, {{"m-1", 2, {{0, 4}, {6, 7}}}}},
                                    TasksCompletedRecord{"j-000412", {{0, 1}}}};
  const auto entry = parse_entry(stored_entry(records, {1, 0, 7, 0}));
  EXPECT_EQ(entry.seq, 7u);
  const auto& accept = std::get<JobAcceptedRecord>(entry.records.at(0));
  EXPECT_EQ(accept.job.uid, s.uid);
  EXPECT_EQ(accept.job.machine_types, s.machine_types);
  EXPECT_TRUE(accept.job.single_zone);
  EXPECT_DOUBLE_EQ(accept.random_draw, 0.25);
  const auto& start = std::get<TasksStartedRecord>(entry.records.at(1));
  EXPECT_EQ(start.assignments.at(0).tasks, (TaskRanges{{0, 4}, {6, 7}}));
  EXPECT_THROW(parse_entry(R"({"seq":1,"records":[["start"]]})"), ProtocolError);
}

TEST(Frames, TruncatedOrExtendedFramesAreRejected) {
  const Frame frame = pack(PeerCall{"GET", "/v1/jobs/j-1", "body"});
  const auto call = unpack_call(frame);
  ASSERT_TRUE(call);
  EXPECT_EQ(call->target, "/v1/jobs/j-1");
  for (std::size_t length = 0; length < frame.payload.size(); ++length)
    EXPECT_FALSE(unpack_call({frame.kind, frame.payload.substr(0, length)})) << length;
  EXPECT_FALSE(unpack_call({frame.kind, frame.payload + "x"}));
  EXPECT_FALSE(unpack_peer_heartbeat(frame));
}

TEST(Histograms, BucketsAreCumulativeAndTheInfinityBucketCountsAllValues) {
  SecondsHistogram histogram;
  for (const double seconds : {0.005, 0.005, 0.5, 5000.0}) histogram.add(seconds);
  std::string out;
  histogram.print(out, "x", "class=\"c\"");
  EXPECT_NE(out.find("x_bucket{class=\"c\",le=\"0.01\"} 2\n"), std::string::npos) << out;
  EXPECT_NE(out.find("x_bucket{class=\"c\",le=\"0.64\"} 3\n"), std::string::npos) << out;
  EXPECT_NE(out.find("x_bucket{class=\"c\",le=\"+Inf\"} 4\n"), std::string::npos) << out;
  EXPECT_NE(out.find("x_count{class=\"c\"} 4\n"), std::string::npos) << out;
}

}  // namespace
}  // namespace thistlefront
