// A transaction is applied, but the reply to its writer is lost, while other controllers read what it wrote. Tested for each kind of
// write: until the writer knows the outcome it replies according to its old state, and readers according to what they read. The writer
// then recognizes the write as its own and does not repeat it.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "ledger/ledger_writer.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {
namespace {

using test_support::Cluster;
using test_support::wait;

constexpr testbed::ProtocolTimes kTimes{.heartbeat_interval_s = 0.3, .lease_s = 4, .cancel_s = 8, .image_pull_s = 0.05};

struct RecordCase {
  const char *name, *status_before, *status_after;  // the job's status without the record, and with it
  bool new_leader;  // true: another controller becomes leader and reads the record; false: the writer recognizes it
  friend std::ostream& operator<<(std::ostream& out, const RecordCase& record_case) {
    return out << record_case.name << (record_case.new_leader ? ", read by a new leader" : "");
  }
};

class LostReply : public test_support::ClusterFixture, public testing::WithParamInterface<RecordCase> {
 protected:
  LostReply() : ClusterFixture(kTimes) {}
};

TEST_P(LostReply, RecordTakesEffectOnce) {
  const RecordCase& record_case = GetParam();
  const std::string name = record_case.name;
  Options options = test_support::fixed_version_options();
  // Long enough that the writer still leads while the outcome of its write is unknown.
  options.leader_lease_ms = 2000;
  start_cluster(3, 2, "", options);
  checker.record_submission({"j-1", "red", "batch", "", 2, 1, name == "ended" ? 1.5 : 1000}, steady_now());
  ASSERT_TRUE(cluster->submit_until("j-9", 20));
  const auto writer = cluster->leader();
  const auto fencing_token = cluster->store.fencing_token();
  auto& endpoint = cluster->store.endpoint(writer);
  if (name != "accepted") {
    ASSERT_TRUE(cluster->submit_until("j-1", 20));
    ASSERT_TRUE(cluster->eventually(20, [&] { return count_running_tasks("j-1") == 2; }));
  }
  std::jthread user;
  if (name == "accepted") {
    endpoint.lose_next_reply_for = "ledger/";
    user = std::jthread([&] { submit(writer, "j-1"); });
  } else if (name == "cancelled") {
    checker.record_withdrawal("j-1");
    endpoint.lose_next_reply_for = "ledger/";
    user = std::jthread([&] { withdraw(writer, "j-1"); });
  } else {
    // Loses the reply to the record that completes the second task, which may cover both tasks.
    endpoint.lose_next_reply_for = "ledger/";
    ASSERT_TRUE(cluster->eventually(10, [&] { return endpoint.lost_replies == 1; }));
    if (checker.completed_tasks() < 2) {
      ASSERT_TRUE(cluster->eventually(10, [&] { return count_running_tasks("j-1") == 1; }));
      endpoint.lose_next_reply_for = "ledger/";
    }
  }
  ASSERT_TRUE(cluster->eventually(10, [&] { return endpoint.lost_replies >= 1 && endpoint.lose_next_reply_for == nullptr; }));
  // The record is in the ledger, but its writer does not know that.
  EXPECT_NE(std::string(record_case.status_before).find(poll(writer, "j-1")), std::string::npos)
      << "the writer replies according to its old state";
  if (record_case.new_leader) {
    endpoint.rejects_requests = true;
    ASSERT_TRUE(cluster->eventually(10, [&] { return !cluster->store.leader().empty() && cluster->leader() != writer; }));
  }
  EXPECT_TRUE(cluster->eventually(10, [&] { return poll(cluster->leader(), "j-1") == record_case.status_after; }));
  for (int round = 0; round < 10; ++round)
    for (std::size_t i = 0; i < 3; ++i) poll(i, "j-1");
  if (!record_case.new_leader) {
    EXPECT_EQ(cluster->store.fencing_token(), fencing_token) << "the writer recognizes its record and remains leader";
  }
  endpoint.rejects_requests = false;
  for (std::size_t i = 0; i < 3; ++i) EXPECT_TRUE(cluster->eventually(10, [&] { return poll(i, "j-1") == record_case.status_after; })) << i;
  EXPECT_EQ(cluster->acceptances_in_ledger()["j-1"], 1);
  EXPECT_EQ(cluster->store.unfenced_writes(), 0u);
}
INSTANTIATE_TEST_SUITE_P(
    Records, LostReply,
    testing::Values(RecordCase{"accepted", "unknown", "queued", false}, RecordCase{"accepted", "unknown", "queued", true},
                    RecordCase{"cancelled", "running", "aborted", false}, RecordCase{"cancelled", "running", "aborted", true},
                    RecordCase{"ended", "queued or running", "done", false}, RecordCase{"ended", "queued or running", "done", true}),
    [](const auto& info) { return std::string(info.param.name) + (info.param.new_leader ? "ReadByNewLeader" : ""); });

// The other controllers see the new leader before it knows that it leads. It then finds that the leader key is attached to its own
// session lease.
TEST(LostReplyRecovery, RecognizesTheLeaderKeyThatItAcquired) {
  Options options = test_support::fixed_version_options();
  options.leader_lease_ms = 4000;
  Cluster cluster(3, 1, {options});
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  const auto first = cluster.leader();
  for (std::size_t i = 0; i < 3; ++i) cluster.store.endpoint(i).lose_next_reply_for = i == first ? nullptr : "lead";
  cluster.stop(first);
  const auto lost = [&] {
    return cluster.store.endpoint((first + 1) % 3).lost_replies + cluster.store.endpoint((first + 2) % 3).lost_replies;
  };
  ASSERT_TRUE(cluster.eventually(20, [&] { return lost() == 1; }));
  const auto next = cluster.leader();
  const auto fencing_token = cluster.store.fencing_token();
  EXPECT_TRUE(cluster.eventually(5, [&] {
    return cluster.metric(3 - first - next, "epoch") == "thistlefront_epoch " + std::to_string(fencing_token);
  })) << "another controller knows the new leader";
  EXPECT_NE(cluster.metric(next, "leading"), "thistlefront_leading 1") << "the new leader does not know yet";
  EXPECT_TRUE(cluster.eventually(5, [&] { return cluster.metric(next, "leading") == "thistlefront_leading 1"; }));
  EXPECT_EQ(cluster.store.fencing_token(), fencing_token) << "leadership was acquired once";
  EXPECT_TRUE(cluster.submit_until("j-2", 10));
  EXPECT_EQ(lost(), 1u);
}

// The other controller sees the raised fencing token before the leader does. The leader then continues with that token and with its
// queued records.
TEST(LostReplyRecovery, RecognizesTheFencingTokenThatItRaised) {
  Cluster cluster(2);
  ASSERT_TRUE(cluster.submit_until("j-0", 20));
  const auto first = cluster.leader();
  const auto old_token = cluster.store.fencing_token();
  auto& endpoint = cluster.store.endpoint(first);
  std::atomic<bool> stopping{false};
  const auto address = test_support::free_address();
  HttpServer worker(address, 10, [&](const HttpCall&) -> HttpReply {
    for (int i = 0; i < 200 && !stopping; ++i) wait(0.01);
    return {503, "{}"};
  });
  endpoint.lose_next_reply_for = kLeaderKeyV1;
  std::uint64_t serial = 0;
  EXPECT_TRUE(cluster.eventually(20, [&] {
    cluster.ask(first, "POST", "/v1/report", test_support::heartbeat_body("m-1", address, ++serial, 0));
    return endpoint.lost_replies == 1;
  }));
  const auto raised_token = cluster.store.fencing_token();
  EXPECT_GT(raised_token, old_token);
  EXPECT_TRUE(
      cluster.eventually(5, [&] { return cluster.metric(1 - first, "epoch") == "thistlefront_epoch " + std::to_string(raised_token); }));
  EXPECT_EQ(cluster.metric(first, "epoch"), "thistlefront_epoch " + std::to_string(old_token)) << "the other controller knows first";
  std::jthread user([&] { cluster.submit(first, "j-1"); });
  EXPECT_TRUE(
      cluster.eventually(5, [&] { return cluster.metric(first, "epoch") == "thistlefront_epoch " + std::to_string(raised_token); }));
  EXPECT_TRUE(cluster.submit_until("j-1", 10));
  EXPECT_EQ(cluster.store.fencing_token(), raised_token) << "there was no takeover since";
  EXPECT_EQ(cluster.acceptances_in_ledger()["j-1"], 1);
  stopping = true;
}

// The other controllers read the new format version before the leader that activated it knows. The leader remains leader and writes in
// that version.
TEST(LostReplyRecovery, RecognizesTheFormatVersionThatItActivated) {
  Options options;
  options.format_version_soak_s = 0.2;
  Cluster cluster(3, 1, {options});
  ASSERT_TRUE(cluster.submit_until("j-0", 20));
  const auto first = cluster.leader();
  auto& endpoint = cluster.store.endpoint(first);
  endpoint.lose_next_reply_for = kActiveVersionKey;
  ASSERT_TRUE(cluster.eventually(20, [&] { return endpoint.lost_replies == 1; }));
  const auto fencing_token = cluster.store.fencing_token();
  EXPECT_FALSE(cluster.format_version().empty());
  EXPECT_TRUE(cluster.submit_until("j-1", 20));
  EXPECT_TRUE(
      cluster.eventually(10, [&] { return cluster.metric(first, "epoch") == "thistlefront_epoch " + std::to_string(fencing_token); }));
  EXPECT_EQ(cluster.leader(), first);
  EXPECT_EQ(cluster.store.fencing_token(), fencing_token) << "there was no takeover since";
  EXPECT_EQ(cluster.store.unfenced_writes(), 0u);
}

// The controller reads its registry record, finds it unchanged and does not write it again.
TEST(LostReplyRecovery, WritesTheRegistryRecordOnce) {
  Cluster cluster(2);
  ASSERT_TRUE(cluster.submit_until("j-0", 20));
  const std::string key = std::string(kRegistryPrefix) + "host-1";
  ASSERT_TRUE(cluster.eventually(10, [&] { return cluster.store.mod_revision(key) > 0; }));
  // Both controllers are stopped, because a leader writes the record of a peer that replies to it.
  cluster.stop(0);
  cluster.stop(1);
  cluster.store.remove(key);
  auto& endpoint = cluster.store.endpoint(1);
  endpoint.lose_next_reply_for = kRegistryPrefix;
  cluster.start(1, test_support::fixed_version_options());
  ASSERT_TRUE(cluster.eventually(10, [&] { return endpoint.lost_replies == 1; }));
  const auto mod_revision = cluster.store.mod_revision(key);
  EXPECT_GT(mod_revision, 0u);
  wait(4);
  EXPECT_EQ(cluster.store.mod_revision(key), mod_revision);
}

// A controller removed the leader key of its earlier process but does not know it. Another controller leads by now, and its key must not
// be removed.
TEST(LostReplyRecovery, DoesNotRemoveTheNextLeadersKey) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  for (std::size_t i = 0; i < 3; ++i) cluster.stop(i);
  cluster.store.put(cluster.store.leader_key_name(), R"({"label":"host-1","incarnation":7})");
  auto& endpoint = cluster.store.endpoint(1);
  endpoint.lose_next_reply_for = "lead";
  for (std::size_t i = 0; i < 3; ++i) cluster.start(i, test_support::fixed_version_options());
  ASSERT_TRUE(cluster.eventually(10, [&] { return endpoint.lost_replies == 1; }));
  ASSERT_TRUE(cluster.eventually(10, [&] { return !cluster.store.leader().empty() && cluster.store.leader() != "host-1"; }))
      << "another controller reads that there is no leader";
  const auto fencing_token = cluster.store.fencing_token();
  EXPECT_TRUE(cluster.submit_until("j-2", 10));
  wait(4);
  EXPECT_EQ(cluster.store.fencing_token(), fencing_token);
  EXPECT_TRUE(cluster.eventually(5, [&] { return cluster.ask(1, "GET", "/v1/jobs/j-2").is(200); })) << "the controller follows";
}

// Two successive leaders may write an entry at the same key with the same sequence number. The first one, which got no reply, must not
// take the entry of the second one for its own: an entry is a leader's own only if its content is what that leader wrote.
TEST(LostReplyRecovery, MatchesAnEntryOnlyIfItsContentIsEqual) {
  for (const std::uint32_t format_version : {1u, 2u, 4u}) {
    const ClusterState cluster_state({Team{"red", {}, {}}});
    const auto entry_with = [&](const std::string& uid) {
      std::deque<QueuedRecord> queue{{JobCancelledRecord{uid}, 1}};
      return LedgerWriter({}, format_version).prepare_commit(cluster_state, queue, {4096, 2, 8}).puts.back();
    };
    const Put own = entry_with("j-1"), other = entry_with("j-2");
    EXPECT_EQ(own.key, other.key);
    EXPECT_EQ(parse_entry(own.value).seq, parse_entry(other.value).seq);
    EXPECT_FALSE(matches_put(own, other.value)) << "format version " << format_version;
    EXPECT_TRUE(matches_put(own, nlohmann::json::parse(own.value).dump(2))) << "the store may return the JSON in another format";
    EXPECT_FALSE(matches_put(own, "no entry"));
  }
}

}  // namespace
}  // namespace thistlefront
