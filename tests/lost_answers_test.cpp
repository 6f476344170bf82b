// A transaction is executed and only its answer is lost, while other controllers read what it wrote: for each kind of write. The writer
// goes on telling what it knows, readers tell what they read; then the writer learns that the write is its own, and does not write it
// again.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "ledger/ledger_writer.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {
namespace {

using test_support::Cluster;
using test_support::wait;

constexpr testbed::Times kTimes{0.3, 4, 8, 0.05};  // heartbeat, lease, cancel, pull

struct Kind {
  const char *name, *before, *after;  // the job's status without the record, and with it
  bool successor;                     // another controller leads and reads the record; else its writer learns by itself
  friend std::ostream& operator<<(std::ostream& out, const Kind& kind) {
    return out << kind.name << (kind.successor ? ", read by a successor" : "");
  }
};

class LostAnswer : public test_support::ClusterFixture, public testing::WithParamInterface<Kind> {
 protected:
  LostAnswer() : ClusterFixture(kTimes) {}
};

TEST_P(LostAnswer, OfARecordInTheLedger) {
  const Kind& kind = GetParam();
  const std::string name = kind.name;
  // Long enough for the writer to be in doubt about its write while it leads.
  Options options = test_support::fixed_version_options();
  options.leader_lease_ms = 2000;
  start_cluster(3, 2, "", options);
  checker.submitted({"j-1", "red", "batch", "", 2, 1, name == "ended" ? 1.5 : 1000}, steady_now());
  ASSERT_TRUE(cluster->submit_until("j-9", 20));
  const auto writer = cluster->leader();
  const auto fencing_token = cluster->state.fencing_token();
  auto& endpoint = cluster->state.endpoint(writer);
  if (name != "accepted") {
    ASSERT_TRUE(cluster->submit_until("j-1", 20));
    ASSERT_TRUE(cluster->eventually(20, [&] { return count_running_tasks("j-1") == 2; }));
  }
  std::jthread user;
  if (name == "accepted") {
    endpoint.loses_next = "ledger/";
    user = std::jthread([&] { submit(writer, "j-1"); });
  } else if (name == "cancelled") {
    checker.wants_withdrawn("j-1");
    endpoint.loses_next = "ledger/";
    user = std::jthread([&] { withdraw(writer, "j-1"); });
  } else {
    // The record of the second task's end, which may be that of both.
    endpoint.loses_next = "ledger/";
    ASSERT_TRUE(cluster->eventually(10, [&] { return endpoint.lost == 1; }));
    if (checker.tasks_done() < 2) {
      ASSERT_TRUE(cluster->eventually(10, [&] { return count_running_tasks("j-1") == 1; }));
      endpoint.loses_next = "ledger/";
    }
  }
  ASSERT_TRUE(cluster->eventually(10, [&] { return endpoint.lost >= 1 && endpoint.loses_next == nullptr; }));
  // The record is there, and its writer does not know.
  EXPECT_NE(std::string(kind.before).find(poll(writer, "j-1")), std::string::npos) << "the writer goes on telling what it knows";
  if (kind.successor) {
    endpoint.refuses = true;
    ASSERT_TRUE(cluster->eventually(10, [&] { return !cluster->state.leader().empty() && cluster->leader() != writer; }));
  }
  EXPECT_TRUE(cluster->eventually(10, [&] { return poll(cluster->leader(), "j-1") == kind.after; }));
  for (int k = 0; k < 10; ++k)
    for (std::size_t i = 0; i < 3; ++i) poll(i, "j-1");
  if (!kind.successor) {
    EXPECT_EQ(cluster->state.fencing_token(), fencing_token) << "the writer knows its own record and leads on";
  }
  endpoint.refuses = false;
  for (std::size_t i = 0; i < 3; ++i) EXPECT_TRUE(cluster->eventually(10, [&] { return poll(i, "j-1") == kind.after; })) << i;
  EXPECT_EQ(cluster->acceptances_in_ledger()["j-1"], 1);
  EXPECT_EQ(cluster->state.unfenced(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Kinds, LostAnswer,
                         testing::Values(Kind{"accepted", "unknown", "queued", false}, Kind{"accepted", "unknown", "queued", true},
                                         Kind{"cancelled", "running", "aborted", false}, Kind{"cancelled", "running", "aborted", true},
                                         Kind{"ended", "queued or running", "done", false},
                                         Kind{"ended", "queued or running", "done", true}),
                         [](const auto& info) {
                           return std::string(info.param.name) + (info.param.successor ? "AndReadByASuccessor" : "");
                         });

// The others see that it leads before it does itself. It then finds the leader key attached to the session lease that it asked for.
TEST(LostAnswerOf, TheLeaderKeyTakenIsItsOwn) {
  Options options = test_support::fixed_version_options();
  options.leader_lease_ms = 4000;
  Cluster c(3, 1, {options});
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto first = c.leader();
  for (std::size_t i = 0; i < 3; ++i) c.state.endpoint(i).loses_next = i == first ? nullptr : "lead";
  c.stop(first);
  const auto lost = [&] { return c.state.endpoint((first + 1) % 3).lost + c.state.endpoint((first + 2) % 3).lost; };
  ASSERT_TRUE(c.eventually(20, [&] { return lost() == 1; }));
  const auto next = c.leader();
  const auto fencing_token = c.state.fencing_token();
  EXPECT_TRUE(c.eventually(5, [&] { return c.metric(3 - first - next, "epoch") == "thistlefront_epoch " + std::to_string(fencing_token); }))
      << "another controller knows of it";
  EXPECT_NE(c.metric(next, "leading"), "thistlefront_leading 1") << "it does not know yet";
  EXPECT_TRUE(c.eventually(5, [&] { return c.metric(next, "leading") == "thistlefront_leading 1"; }));
  EXPECT_EQ(c.state.fencing_token(), fencing_token) << "taken once";
  EXPECT_TRUE(c.submit_until("j-2", 10));
  EXPECT_EQ(lost(), 1u);
}

// The others see the raised fencing token before the leader does; it leads on with that and with what was queued.
TEST(LostAnswerOf, TheRaisedFencingTokenIsItsOwn) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const auto first = c.leader();
  const auto before = c.state.fencing_token();
  auto& endpoint = c.state.endpoint(first);
  std::atomic<bool> ending{false};
  const auto address = test_support::free_address();
  HttpServer worker(address, 10, [&](const HttpCall&) -> HttpReply {
    for (int i = 0; i < 200 && !ending; ++i) wait(0.01);
    return {503, "{}"};
  });
  endpoint.loses_next = kLeaderKeyV1;
  std::uint64_t serial = 0;
  EXPECT_TRUE(c.eventually(20, [&] {
    c.ask(first, "POST", "/v1/report", test_support::heartbeat_body("m-1", address, ++serial, 0));
    return endpoint.lost == 1;
  }));
  const auto raised = c.state.fencing_token();
  EXPECT_GT(raised, before);
  EXPECT_TRUE(c.eventually(5, [&] { return c.metric(1 - first, "epoch") == "thistlefront_epoch " + std::to_string(raised); }));
  EXPECT_EQ(c.metric(first, "epoch"), "thistlefront_epoch " + std::to_string(before)) << "the other one knows first";
  std::jthread user([&] { c.submit(first, "j-1"); });
  EXPECT_TRUE(c.eventually(5, [&] { return c.metric(first, "epoch") == "thistlefront_epoch " + std::to_string(raised); }));
  EXPECT_TRUE(c.submit_until("j-1", 10));
  EXPECT_EQ(c.state.fencing_token(), raised) << "nobody took the lead since";
  EXPECT_EQ(c.acceptances_in_ledger()["j-1"], 1);
  ending = true;
}

// Other controllers read the new format version before the leader that raised it knows; it leads on, and writes with it.
TEST(LostAnswerOf, TheFormatVersionIsItsOwn) {
  Options options;
  options.format_version_soak_s = 0.2;
  Cluster c(3, 1, {options});
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const auto first = c.leader();
  auto& endpoint = c.state.endpoint(first);
  endpoint.loses_next = kActiveVersionKey;
  ASSERT_TRUE(c.eventually(20, [&] { return endpoint.lost == 1; }));
  const auto fencing_token = c.state.fencing_token();
  EXPECT_FALSE(c.format_version().empty());
  EXPECT_TRUE(c.submit_until("j-1", 20));
  EXPECT_TRUE(c.eventually(10, [&] { return c.metric(first, "epoch") == "thistlefront_epoch " + std::to_string(fencing_token); }));
  EXPECT_EQ(c.leader(), first);
  EXPECT_EQ(c.state.fencing_token(), fencing_token) << "nobody took the lead since";
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// The controller reads its own registry record back as it wrote it: nothing is written again.
TEST(LostAnswerOf, TheRegistryRecordIsWrittenOnce) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const std::string key = std::string(kRegistryPrefix) + "host-1";
  ASSERT_TRUE(c.eventually(10, [&] { return c.state.mod_revision(key) > 0; }));
  // Both are stopped: a leader would write the record for another controller that it hears.
  c.stop(0);
  c.stop(1);
  c.state.remove(key);
  auto& endpoint = c.state.endpoint(1);
  endpoint.loses_next = kRegistryPrefix;
  c.start(1, test_support::fixed_version_options());
  ASSERT_TRUE(c.eventually(10, [&] { return endpoint.lost == 1; }));
  const auto mod_revision = c.state.mod_revision(key);
  EXPECT_GT(mod_revision, 0u);
  wait(4);
  EXPECT_EQ(c.state.mod_revision(key), mod_revision);
}

// A controller removed the leader key of its own earlier process and does not know it; another one leads by now, whose key must stay.
TEST(LostAnswerOf, TheLeaderKeyGivenBackIsNotTheNextLeaders) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  for (std::size_t i = 0; i < 3; ++i) c.stop(i);
  c.state.put(c.state.lead(), R"({"label":"host-1","incarnation":7})");
  auto& endpoint = c.state.endpoint(1);
  endpoint.loses_next = "lead";
  for (std::size_t i = 0; i < 3; ++i) c.start(i, test_support::fixed_version_options());
  ASSERT_TRUE(c.eventually(10, [&] { return endpoint.lost == 1; }));
  ASSERT_TRUE(c.eventually(10, [&] { return !c.state.leader().empty() && c.state.leader() != "host-1"; }))
      << "another controller reads that there is no leader";
  const auto fencing_token = c.state.fencing_token();
  EXPECT_TRUE(c.submit_until("j-2", 10));
  wait(4);
  EXPECT_EQ(c.state.fencing_token(), fencing_token);
  EXPECT_TRUE(c.eventually(5, [&] { return c.ask(1, "GET", "/v1/jobs/j-2").is(200); })) << "it follows";
}

// Two leaders in a row write an entry under the same key with the same sequence number: the first one's answer was lost, or its write was
// never executed. An entry is a leader's own only if it is what that leader wrote.
TEST(LostAnswerOf, AnEntryIsItsOwnOnlyIfItSaysTheSame) {
  for (const std::uint32_t format_version : {1u, 2u, 4u}) {
    const ClusterState cluster_state({Team{"red", {}, {}}});
    const auto entry_with = [&](const std::string& uid) {
      std::deque<QueuedRecord> queue{{JobCancelledRecord{uid}, 1}};
      return LedgerWriter({}, format_version).prepare_commit(cluster_state, queue, {4096, 2, 8}).puts.back();
    };
    const Put mine = entry_with("j-1"), others = entry_with("j-2");
    EXPECT_EQ(mine.key, others.key);
    EXPECT_EQ(parse_entry(mine.value).seq, parse_entry(others.value).seq);
    EXPECT_FALSE(is_as_written(mine, others.value)) << "format version " << format_version;
    EXPECT_TRUE(is_as_written(mine, nlohmann::json::parse(mine.value).dump(2))) << "as the store may print it";
    EXPECT_FALSE(is_as_written(mine, "no entry"));
  }
}

}  // namespace
}  // namespace thistlefront
