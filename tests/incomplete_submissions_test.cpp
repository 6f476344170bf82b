// Guards against jobs that are accepted, and run with default values, although their submission lacks a required field (review/7).
// Real controllers; each request is sent to the leader and to a follower, which forwards it.
#include <gtest/gtest.h>

#include <vector>

#include "cluster.hpp"
#include "json_variants.hpp"

namespace thistlefront {
namespace {

using nlohmann::json;
using test_support::Cluster;
using test_support::job_body;
using test_support::status_of;

constexpr double kReadyWithinS = 20;
// The fields that the protocol lets be null. They may be omitted.
constexpr const char* kNullableFields[] = {"hostKinds", "yard", "dueS"};

json complete_submission(const std::string& uid) {
  auto submission = json::parse(job_body(uid));
  submission["hostKinds"] = {"big"};
  submission["yard"] = "x";
  submission["dueS"] = 900.0;
  return submission;
}

std::vector<std::string> required_fields() {
  auto submission = complete_submission("j-1");
  for (const char* field : kNullableFields) submission.erase(field);
  std::vector<std::string> fields;
  for (const auto& [field, value] : submission.items()) fields.push_back(field);
  return fields;
}

class IncompleteSubmissions : public testing::Test {
 protected:
  IncompleteSubmissions() {
    EXPECT_TRUE(cluster.submit_until("j-1", kReadyWithinS));
    const std::size_t leader = cluster.leader();
    controllers = {leader, (leader + 1) % 2};
    const auto forwards = [&] { return cluster.ask(controllers[1], "GET", "/v1/jobs/j-1").is(200); };
    EXPECT_TRUE(cluster.eventually(kReadyWithinS, forwards));
  }
  HttpResult submit(std::size_t controller, const json& submission) const {
    return cluster.ask(controller, "POST", "/v1/jobs", submission.dump());
  }
  std::string next_uid() { return "j-" + std::to_string(++last_uid_); }
  // The submission must be refused through each controller, and its job stay unknown.
  void expect_refused(const json& submission, const std::string& uid) const {
    for (const std::size_t controller : controllers) {
      const auto reply = submit(controller, submission);
      EXPECT_TRUE(reply.is(400)) << "controller " << controller << ": " << reply.status << " for " << submission;
      EXPECT_TRUE(cluster.ask(controller, "GET", "/v1/jobs/" + uid).is(404)) << submission;
    }
  }
  // Sends a new submission made by `change` through each controller. Each must be accepted.
  template <class Change>
  void expect_accepted(const std::string& what, Change change) {
    for (const std::size_t controller : controllers) {
      auto submission = complete_submission(next_uid());
      change(submission);
      const auto reply = submit(controller, submission);
      EXPECT_TRUE(reply.is(201)) << what << ": " << reply.status << " " << reply.body;
    }
  }

  Cluster cluster{2};
  std::vector<std::size_t> controllers;  // the leader, then the follower

 private:
  std::size_t last_uid_ = 100;
};

TEST_F(IncompleteSubmissions, AreRefusedWhicheverFieldIsMissing) {
  for (const auto& field : required_fields()) {
    const auto uid = next_uid();
    auto submission = complete_submission(uid);
    submission.erase(field);
    expect_refused(submission, uid);
  }
  EXPECT_EQ(cluster.acceptances_in_ledger().size(), 1u) << "only j-1 was accepted";
}

TEST_F(IncompleteSubmissions, AreRefusedWhicheverFieldIsNull) {
  auto fields = required_fields();
  fields.emplace_back("waitsOn");  // may be omitted, but the protocol does not let it be null
  for (const auto& field : fields) {
    const auto uid = next_uid();
    auto submission = complete_submission(uid);
    submission[field] = nullptr;
    expect_refused(submission, uid);
  }
  EXPECT_EQ(cluster.acceptances_in_ledger().size(), 1u) << "only j-1 was accepted";
}

TEST_F(IncompleteSubmissions, AreRefusedWhicheverFieldIsOfTheWrongKind) {
  auto typical = complete_submission("j-1");
  typical["waitsOn"] = json::array({"j-1"});
  for (const auto& [field, value] : typical.items()) {
    for (const auto& other : test_support::values_of_other_kinds(value)) {
      const auto uid = next_uid();
      auto submission = complete_submission(uid);
      submission[field] = other;
      expect_refused(submission, uid);
    }
  }
  EXPECT_EQ(cluster.acceptances_in_ledger().size(), 1u) << "only j-1 was accepted";
}

TEST_F(IncompleteSubmissions, NullableFieldsMayBeNullOrOmittedAndUnknownFieldsAreIgnored) {
  for (const char* field : kNullableFields) {
    expect_accepted(std::string(field) + " omitted", [&](json& submission) { submission.erase(field); });
    expect_accepted(std::string(field) + " null", [&](json& submission) { submission[field] = nullptr; });
  }
  expect_accepted("unknown fields", [](json& submission) { submission["later"] = {{"uid", nullptr}}; });
}

TEST_F(IncompleteSubmissions, OfAnAcceptedJobAreAnsweredWithItsState) {
  for (const auto& field : required_fields()) {
    if (field == "uid") continue;  // without it, the request names no job
    for (const bool is_null : {false, true}) {
      auto repeat = complete_submission("j-1");
      repeat.erase(field);
      if (is_null) repeat[field] = nullptr;
      for (const std::size_t controller : controllers) {
        const auto reply = submit(controller, repeat);
        EXPECT_TRUE(reply.is(200)) << "controller " << controller << ": " << reply.status << " for " << repeat;
      }
    }
  }
}

// An older build accepted a submission without seven of the fields, and stored it without some of them.
TEST_F(IncompleteSubmissions, ThatAnOlderBuildAcceptedAreRecoveredAndTheirRepeatsAnswered) {
  const std::string submitted =
      R"({"uid":"j-7","jobClass":"c","owner":"red","shape":"batch","rank":"standard","pieces":2,"cores":1,"ramGb":1,)"
      R"("bundle":"i","pullGb":1})";
  const std::string stored_by_older_build =
      R"({"accelerators":0.0,"bundle":"i","cores":1.0,"expectedS":0.0,"jobClass":"c","owner":"red","pieces":2,"pullGb":1.0,)"
      R"("ramGb":1.0,"rank":"standard","shape":"batch","uid":"j-7"})";
  const auto stored_entries = cluster.store.ledger_entries();
  cluster.stop_all();
  auto entry = json::parse(stored_entries.rbegin()->second);
  entry["records"].push_back({"accept", {json::parse(stored_by_older_build), 0.5, 1.0}});
  cluster.store.put(stored_entries.rbegin()->first, entry.dump());
  for (const std::size_t controller : controllers) cluster.start(controller, test_support::fixed_version_options());
  for (const std::size_t controller : controllers) {
    const auto is_known = [&] { return cluster.ask(controller, "GET", "/v1/jobs/j-7").is(200); };
    EXPECT_TRUE(cluster.eventually(kReadyWithinS, is_known)) << "controller " << controller;
    const auto reply = submit(controller, json::parse(submitted));
    EXPECT_TRUE(reply.is(200)) << "controller " << controller << ": " << reply.status << " " << reply.body;
    EXPECT_EQ(status_of(reply), "queued");
  }
}

}  // namespace
}  // namespace thistlefront
