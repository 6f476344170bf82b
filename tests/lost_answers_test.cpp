// A transaction is carried out at once and only its answer is lost, while other controllers read what it wrote: for each kind that is
// written. The writer goes on telling what it knows; whoever reads tells what is there; then the writer learns, and tells it once.
#include <gtest/gtest.h>

#include "cluster_fixture.hpp"
#include "ledger/ledger_writer.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {
namespace {

using test_support::Cluster;
using test_support::wait;

constexpr testbed::Times kTimes{0.3, 4, 8, 0.05};  // report, lease, cancel, pull

struct Kind {
  const char *name, *before, *after;  // what users are told of the job without the record, and with it
  bool successor;                     // another one leads, and reads the record; else its writer learns by itself
  friend std::ostream& operator<<(std::ostream& out, const Kind& k) {
    return out << k.name << (k.successor ? ", read by a successor" : "");
  }
};

class LostAnswer : public test_support::ClusterFixture, public testing::WithParamInterface<Kind> {
 protected:
  LostAnswer() : ClusterFixture(kTimes) {}
};

TEST_P(LostAnswer, OfARecordInTheLedger) {
  const Kind& kind = GetParam();
  const std::string name = kind.name;
  // Long enough for the writer to be in doubt while it leads.
  Options options = test_support::one_level();
  options.leader_lease_ms = 2000;
  begin(3, 2, "", options);
  checker.submitted({"j-1", "red", "batch", "", 2, 1, name == "ended" ? 1.5 : 1000}, steady_now());
  ASSERT_TRUE(cluster->submit_until("j-9", 20));
  const auto writer = cluster->leader();
  const auto fencing_token = cluster->state.fencing_token();
  auto& endpoint = cluster->state.endpoint(writer);
  if (name != "accepted") {
    ASSERT_TRUE(cluster->submit_until("j-1", 20));
    ASSERT_TRUE(cluster->eventually(20, [&] { return running("j-1") == 2; }));
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
    // The record of the last end: of the first, or of both at once.
    endpoint.loses_next = "ledger/";
    ASSERT_TRUE(cluster->eventually(10, [&] { return endpoint.lost == 1; }));
    if (checker.tasks_done() < 2) {
      ASSERT_TRUE(cluster->eventually(10, [&] { return running("j-1") == 1; }));
      endpoint.loses_next = "ledger/";
    }
  }
  ASSERT_TRUE(cluster->eventually(10, [&] { return endpoint.lost >= 1 && endpoint.loses_next == nullptr; }));
  // It is there, and its writer does not know.
  EXPECT_NE(std::string(kind.before).find(poll(writer, "j-1")), std::string::npos) << "it goes on telling what it knows";
  if (kind.successor) {
    endpoint.refuses = true;
    ASSERT_TRUE(cluster->eventually(10, [&] { return !cluster->state.leader().empty() && cluster->leader() != writer; }));
  }
  EXPECT_TRUE(cluster->eventually(10, [&] { return poll(cluster->leader(), "j-1") == kind.after; }));
  for (int k = 0; k < 10; ++k)
    for (std::size_t i = 0; i < 3; ++i) poll(i, "j-1");
  if (!kind.successor) {
    EXPECT_EQ(cluster->state.fencing_token(), fencing_token) << "it knows its own record, and leads on";
  }
  endpoint.refuses = false;
  for (std::size_t i = 0; i < 3; ++i) EXPECT_TRUE(cluster->eventually(10, [&] { return poll(i, "j-1") == kind.after; })) << i;
  EXPECT_EQ(cluster->accepted_in_ledger()["j-1"], 1);
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

// The others see that it leads before it does. It finds its key, under the hold that it asked for.
TEST(LostAnswerOf, TheLeadTakenIsItsOwn) {
  Options options = test_support::one_level();
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
      << "another one knows of it";
  EXPECT_NE(c.metric(next, "leading"), "thistlefront_leading 1") << "it does not know yet";
  EXPECT_TRUE(c.eventually(5, [&] { return c.metric(next, "leading") == "thistlefront_leading 1"; }));
  EXPECT_EQ(c.state.fencing_token(), fencing_token) << "taken once";
  EXPECT_TRUE(c.submit_until("j-2", 10));
  EXPECT_EQ(lost(), 1u);
}

// The others see a higher epoch before its holder does; it leads on under that, with what was queued.
TEST(LostAnswerOf, TheRaisedEpochIsItsOwn) {
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
  EXPECT_EQ(c.accepted_in_ledger()["j-1"], 1);
  ending = true;
}

// The level is on for all who read before the leader that switched it on knows; it leads on, and writes at that level.
TEST(LostAnswerOf, TheStateLevelIsItsOwn) {
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

// Looked at once more, its own record is as it wrote it: nothing is written again.
TEST(LostAnswerOf, TheRosterRecordIsWrittenOnce) {
  Cluster c(2);
  ASSERT_TRUE(c.submit_until("j-0", 20));
  const std::string key = std::string(kRegistryPrefix) + "host-1";
  ASSERT_TRUE(c.eventually(10, [&] { return c.state.mod_revision(key) > 0; }));
  // A leader would write it for another one that it hears.
  c.stop(0);
  c.stop(1);
  c.state.remove(key);
  auto& endpoint = c.state.endpoint(1);
  endpoint.loses_next = kRegistryPrefix;
  c.start(1, test_support::one_level());
  ASSERT_TRUE(c.eventually(10, [&] { return endpoint.lost == 1; }));
  const auto mod_revision = c.state.mod_revision(key);
  EXPECT_GT(mod_revision, 0u);
  wait(4);
  EXPECT_EQ(c.state.mod_revision(key), mod_revision);
}

// It gave back the lead of its own earlier process, does not know, and another one leads by now: that one's key stays.
TEST(LostAnswerOf, TheLeadGivenBackIsNotAnothersNextOne) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  for (std::size_t i = 0; i < 3; ++i) c.stop(i);
  c.state.put(c.state.lead(), R"({"label":"host-1","incarnation":7})");
  auto& endpoint = c.state.endpoint(1);
  endpoint.loses_next = "lead";
  for (std::size_t i = 0; i < 3; ++i) c.start(i, test_support::one_level());
  ASSERT_TRUE(c.eventually(10, [&] { return endpoint.lost == 1; }));
  ASSERT_TRUE(c.eventually(10, [&] { return !c.state.leader().empty() && c.state.leader() != "host-1"; }))
      << "another one reads that it is free";
  const auto fencing_token = c.state.fencing_token();
  EXPECT_TRUE(c.submit_until("j-2", 10));
  wait(4);
  EXPECT_EQ(c.state.fencing_token(), fencing_token);
  EXPECT_TRUE(c.eventually(5, [&] { return c.ask(1, "GET", "/v1/jobs/j-2").is(200); })) << "it follows";
}

// Two leaders one after the other write an entry of the same number, under the same key and with the same sequence number: the first
// one's answer was lost, or it was never carried out. What is there is one's own only if it is what one wrote.
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
    EXPECT_FALSE(is_as_written(mine, others.value)) << "level " << format_version;
    EXPECT_TRUE(is_as_written(mine, nlohmann::json::parse(mine.value).dump(2))) << "as the state service may print it";
    EXPECT_FALSE(is_as_written(mine, "no entry"));
  }
}

}  // namespace
}  // namespace thistlefront
