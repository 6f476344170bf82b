// Rollouts with real controllers: mixed builds, a format version raised and lowered again, and a ledger that no controller, or only some,
// can read. `max_readable_format_version` makes a controller behave like an older build.
#include <gtest/gtest.h>

#include "cluster.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {
namespace {

using test_support::Cluster;

// A build of format version 2, which raises the version after this time.
Options soaking(double seconds) {
  Options out;
  out.format_version_soak_s = seconds;
  out.max_readable_format_version = 2;
  return out;
}
// A build of format version 1.
Options older() {
  Options out = soaking(0);
  out.max_readable_format_version = 1;
  return out;
}
// A build of format version 2 that an operator holds at a lower one.
Options held_at(std::uint32_t format_version) {
  Options out = soaking(0);
  out.max_format_version = format_version;
  return out;
}
// This build, which raises the format version at once.
Options at_once() {
  Options out;
  out.format_version_soak_s = 0;
  return out;
}

constexpr const char* kVersionTwo = R"({"level":2})";

void expect_all_known(Cluster& c, const std::vector<std::string>& uids) {
  for (const auto& uid : uids)
    for (std::size_t i = 0; i < c.users.size(); ++i)
      EXPECT_TRUE(c.eventually(15, [&] { return c.ask(i, "GET", "/v1/jobs/" + uid).is(200); })) << uid << " at " << i;
}

bool all_entries_have_version_two(Cluster& c, bool wanted) {
  const auto entries = c.state.entries();
  return !entries.empty() && std::all_of(entries.begin(), entries.end(),
                                         [&](const auto& e) { return (e.second.find("\"level\":2") != std::string::npos) == wanted; });
}

TEST(Rollout, AControllerWithoutTheVersionHoldsItBackAndTheLastOneRaisesIt) {
  Cluster c(3, 1, {soaking(0), soaking(0), older()});
  ASSERT_TRUE(c.submit_until("j-1", 20));
  // The older build may lead and be followed, and its registry record says what it has.
  ASSERT_TRUE(c.eventually(20, [&] { return !c.state.value("roster/host-2").empty(); }));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(c.format_version(), "");
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
  }
  EXPECT_TRUE(all_entries_have_version_two(c, false)) << "what an older build reads, as long as there is one";
  c.start(2, soaking(0));
  ASSERT_TRUE(c.eventually(30, [&] { return c.format_version() == kVersionTwo; }));
  EXPECT_NE(c.state.value("leader").find("(state level 2)"), std::string::npos)
      << "held by no session lease, for builds from before format versions";
  ASSERT_TRUE(c.submit_until("j-2", 20));
  EXPECT_TRUE(c.eventually(20, [&] { return all_entries_have_version_two(c, true); })) << "old entries are rewritten";
  expect_all_known(c, {"j-1", "j-2"});
  // A new leader changes nothing of it.
  c.state.expire_session_leases();
  ASSERT_TRUE(c.submit_until("j-3", 20));
  expect_all_known(c, {"j-1", "j-2", "j-3"});
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// A controller that is down for the whole rollout counts with the version it last had, and one never seen as an old build.
TEST(Rollout, AControllerThatIsDownOrWasNeverSeenIsWaitedFor) {
  Cluster c(3, 1, {soaking(0), soaking(0), older()});
  ASSERT_TRUE(c.eventually(20, [&] { return !c.state.value("roster/host-2").empty(); }));
  c.stop(2);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  EXPECT_TRUE(c.eventually(20, [&] { return c.metric(c.leader(), "state_level_waits_for").find("host-2 (build ") != std::string::npos; }));
  c.state.remove("roster/host-2");
  EXPECT_TRUE(
      c.eventually(20, [&] { return c.metric(c.leader(), "state_level_waits_for").find("host-2 (never seen)") != std::string::npos; }));
  EXPECT_EQ(c.format_version(), "");
}

TEST(Rollout, AfterTheVersionIsRaisedAnOlderBuildFollowsAndNeverLeads) {
  Cluster c(2, 1, {soaking(0)});
  ASSERT_TRUE(c.eventually(30, [&] { return c.format_version() == kVersionTwo; }));
  ASSERT_TRUE(c.submit_until("j-1", 20));
  c.start(1, older());
  expect_all_known(c, {"j-1"});
  EXPECT_TRUE(c.eventually(20, [&] { return c.submit(1, "j-2").is(201) || c.submit(1, "j-2").is(200); })) << "it forwards";
  c.stop(0);
  const auto until = steady_now() + 4;
  while (steady_now() < until) {
    EXPECT_NE(c.state.leader(), "host-1");
    EXPECT_FALSE(c.ask(1, "GET", "/v1/jobs/j-1").is(404));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  c.start(0, soaking(0));
  expect_all_known(c, {"j-1", "j-2"});
}

TEST(Rollout, AMajorityHeldBelowLowersTheVersionAndOlderBuildsLeadAgain) {
  Cluster c(3, 1, {soaking(0)});
  ASSERT_TRUE(c.submit_until("j-1", 20));
  ASSERT_TRUE(c.eventually(30, [&] { return c.format_version() == kVersionTwo; }));
  ASSERT_TRUE(c.submit_until("j-2", 20));
  c.start(0, held_at(1));
  ASSERT_TRUE(c.submit_until("j-3", 20));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_EQ(c.format_version(), kVersionTwo) << "one flag that was forgotten lowers nothing";
  c.start(1, held_at(1));
  ASSERT_TRUE(c.eventually(40, [&] { return c.format_version() == R"({"level":1})"; }));
  EXPECT_TRUE(all_entries_have_version_two(c, false)) << "before it is on";
  EXPECT_EQ(c.state.value("lead"), "");
  for (std::size_t i = 0; i < 3; ++i) c.start(i, older());
  ASSERT_TRUE(c.submit_until("j-4", 20));
  expect_all_known(c, {"j-1", "j-2", "j-3", "j-4"});
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// Session leases that expire, transactions that are late, lost and repeated, and controllers that restart while the version is raised.
TEST(Rollout, RaisingTheVersionSurvivesFaultsInEachOfItsSteps) {
  for (unsigned seed = 1; seed <= 2; ++seed) {
    Cluster c(3, seed, {soaking(1)});
    std::mt19937 random(seed);
    std::vector<std::string> told;
    // Five seconds of faults, and more where nothing could be accepted in them, which happens by chance.
    const double began = steady_now();
    while (steady_now() < began + 5 || (told.empty() && steady_now() < began + 25)) {
      const auto replica = random() % 3;
      auto& endpoint = c.state.endpoint(replica);
      switch (random() % 6) {
        case 0: endpoint.refuses = !endpoint.refuses; break;
        case 1: endpoint.loses = endpoint.loses > 0 ? 0 : 0.4; break;
        case 2: endpoint.late = endpoint.late > 0 ? 0 : 0.3; break;
        case 3: endpoint.repeats = endpoint.repeats > 0 ? 0 : 0.4; break;
        case 4: c.state.expire_session_leases(); break;
        default: c.start(replica, random() % 2 == 0 ? soaking(1) : older());
      }
      const std::string uid = "j-" + std::to_string(1000 * seed + told.size());
      if (const auto r = c.submit(random() % 3, uid); r.is(201) || r.is(200)) told.push_back(uid);
      // An older build may have had to stand by: then nobody leads for a while.
    }
    for (std::size_t i = 0; i < 3; ++i) {
      auto& endpoint = c.state.endpoint(i);
      endpoint.refuses = false;
      endpoint.loses = endpoint.late = endpoint.repeats = 0;
      c.start(i, soaking(0));
    }
    ASSERT_TRUE(c.eventually(40, [&] { return c.format_version() == kVersionTwo; })) << "seed " << seed;
    ASSERT_TRUE(c.submit_until("j-9", 30)) << "seed " << seed;
    EXPECT_FALSE(told.empty());
    expect_all_known(c, told);
    EXPECT_EQ(c.state.unfenced(), 0u) << "seed " << seed;
  }
}

// The newest quota of a team in the ledger, if there is one.
std::optional<TeamQuotaRecord> team_in_ledger(Cluster& c, const std::string& name) {
  std::optional<TeamQuotaRecord> out;
  for (const auto& [key, value] : c.state.entries())
    for (const auto& r : parse_entry(value).records)
      if (const auto* t = std::get_if<TeamQuotaRecord>(&r); t && t->name == name) out = *t;
  return out;
}

// A settings file with another limit and one more team is rolled out controller by controller, with new leaders in between.
TEST(Rollout, ChangedTeamsComeIntoForceWhenAllControllersHaveThem) {
  const Options now = at_once();
  Cluster c(3, 1, {now});
  ASSERT_TRUE(c.submit_until("j-1", 20));
  ASSERT_TRUE(c.eventually(60, [&] { return team_in_ledger(c, "red").has_value(); }));
  EXPECT_EQ(c.format_version(), R"({"level":4})");
  const TeamQuota before = team_in_ledger(c, "red")->agreed.value();
  const auto changed = [&](std::size_t i) {
    c.settings(i).teams = {{"red", {}, {6, 0, 0}}, {"green", {}, {3, 0, 0}}};
    c.start(i, now);
  };
  changed(0);
  ASSERT_TRUE(c.eventually(30, [&] {
    const auto red = team_in_ledger(c, "red");
    return red->agreed == before && red->proposed && red->proposed->limit.cores == 6;
  }));
  ASSERT_TRUE(c.eventually(30, [&] { return team_in_ledger(c, "green").has_value(); }));
  // Whoever leads, the ledger's quota holds, also for the team that is in one file only.
  auto green = nlohmann::json::parse(test_support::job_body("j-20"));
  green["owner"] = "green";
  for (int i = 0; i < 2; ++i) {
    c.state.expire_session_leases();
    green["uid"] = "j-2" + std::to_string(i);
    EXPECT_TRUE(c.eventually(20, [&] { return c.ask(2, "POST", "/v1/jobs", green.dump()).is(201); })) << i;
    EXPECT_EQ(team_in_ledger(c, "red")->agreed, before);
    EXPECT_TRUE(team_in_ledger(c, "red")->proposed);
  }
  changed(1);
  changed(2);
  ASSERT_TRUE(c.eventually(40, [&] {
    const auto red = team_in_ledger(c, "red");
    return red->agreed->limit.cores == 6 && !red->proposed;
  }));
  // A job that needs more than the new limit can never run, and an unknown team is refused for good.
  auto large = nlohmann::json::parse(test_support::job_body("j-30"));
  large["shape"] = "group";
  large["pieces"] = 7;
  EXPECT_TRUE(c.eventually(10, [&] { return c.ask(0, "POST", "/v1/jobs", large.dump()).is(422); }));
  green["owner"] = "blue";
  green["uid"] = "j-40";
  EXPECT_TRUE(c.eventually(10, [&] { return c.ask(0, "POST", "/v1/jobs", green.dump()).is(422); }));
  EXPECT_EQ(c.state.unfenced(), 0u);
}

std::string waiting_body(const std::string& uid, const nlohmann::json& names, std::uint32_t tasks = 2) {
  auto j = nlohmann::json::parse(test_support::job_body(uid));
  j["waitsOn"] = names;
  j["pieces"] = tasks;
  return j.dump();
}

// Jobs that depend on others, as users meet them: refused for a while until all controllers have the version; then, whoever is asked and
// whoever leads, accepted, refused for good, or cancelled with the job they depend on.
TEST(Rollout, DependentJobsComeWithTheVersionAndAreKnownToEachLeader) {
  const Options now = at_once();
  Options before = now;
  before.max_readable_format_version = 3;
  Cluster c(3, 1, {now, now, before});
  ASSERT_TRUE(c.submit_until("j-1", 20));
  ASSERT_TRUE(c.eventually(20, [&] { return c.format_version() == R"({"level":3})"; }));
  const auto submit = [&](std::size_t replica, const std::string& uid, const nlohmann::json& names) {
    return c.ask(replica, "POST", "/v1/jobs", waiting_body(uid, names));
  };
  for (std::size_t i = 0; i < 3; ++i) {
    const auto r = submit(i, "j-2", {"j-1"});
    EXPECT_TRUE(r.is(503)) << "never taken as if it waited for nothing";
    EXPECT_TRUE(submit(i, "j-2", "j-1").is(400) || submit(i, "j-2", "j-1").is(503));
  }
  EXPECT_TRUE(c.eventually(10, [&] { return submit(0, "j-1", {"j-77"}).is(200); })) << "known, and not checked again";
  EXPECT_TRUE(c.eventually(10, [&] { return submit(1, "j-3", nlohmann::json::array()).is(201); })) << "waits for none";
  c.start(2, now);
  ASSERT_TRUE(c.eventually(20, [&] { return submit(0, "j-2", {"j-1", "j-1", "j-3"}).is(201); }));
  EXPECT_EQ(c.format_version(), R"({"level":4})");
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(submit(i, "j-9", {"j-77"}).is(422)) << "never accepted";
    EXPECT_TRUE(submit(i, "j-9", {"j-9"}).is(422));
    EXPECT_TRUE(submit(i, "j-9", {"J-1"}).is(400));
    EXPECT_TRUE(submit(i, "j-9", 7).is(400));
    EXPECT_TRUE(submit(i, "j-2", {"j-77"}).is(200));
  }
  ASSERT_TRUE(submit(1, "j-4", {"j-2"}).is(201));
  const auto is = [&](const std::string& uid, const std::string& status) {
    for (std::size_t i = 0; i < 3; ++i)
      if (c.ask(i, "GET", "/v1/jobs/" + uid).body.find(status) == std::string::npos) return false;
    return true;
  };
  EXPECT_TRUE(c.eventually(10, [&] { return is("j-4", "queued"); }));
  ASSERT_TRUE(c.eventually(10, [&] { return c.ask(2, "POST", "/v1/jobs/j-3/withdraw").is(200); }));
  EXPECT_TRUE(is("j-2", "aborted") && is("j-4", "aborted"));
  EXPECT_TRUE(is("j-1", "queued"));
  const auto late = submit(0, "j-5", {"j-4", "j-1"});
  EXPECT_TRUE(late.is(201)) << "accepted all the same";
  EXPECT_NE(late.body.find("aborted"), std::string::npos);
  for (int i = 0; i < 2; ++i) {
    c.state.expire_session_leases();
    EXPECT_TRUE(c.eventually(20, [&] { return is("j-4", "aborted") && is("j-5", "aborted") && is("j-1", "queued"); }));
  }
  EXPECT_EQ(c.state.unfenced(), 0u);
}

// The store's limits fall to a quarter: with entries of both sizes, and the largest job that is accepted.
TEST(Rollout, LoweredLimitsOfTheStoreStopNothing) {
  const Options now = at_once();
  Cluster c(3, 1, {now});
  ASSERT_TRUE(c.eventually(20, [&] { return c.format_version() == R"({"level":4})"; }));
  for (int i = 0; i < 40; ++i) ASSERT_TRUE(c.submit_until("j-1" + std::to_string(i), 20));
  for (std::size_t i = 0; i < 3; ++i) c.settings(i).value_kb = 2, c.settings(i).txn_ops = 4;
  for (std::size_t i = 0; i < 3; ++i) c.start(i, now);
  ASSERT_TRUE(c.submit_until("j-20", 20));
  c.state.limit(2048, 4);
  nlohmann::json names = nlohmann::json::array();
  for (int i = 0; i < 40; ++i) names.push_back("j-1" + std::to_string(i));
  EXPECT_TRUE(c.eventually(20, [&] { return c.ask(0, "POST", "/v1/jobs", waiting_body("j-30", names)).is(201); }));
  for (int i = 0; i < 160; ++i) names.push_back("j-1" + std::to_string(i % 40) + std::string(8, '0') + std::to_string(i));
  EXPECT_TRUE(c.eventually(20, [&] { return c.ask(0, "POST", "/v1/jobs", waiting_body("j-31", names)).is(422); }))
      << "refused as too long, or because it names an unknown job";
  for (int i = 0; i < 30; ++i) ASSERT_TRUE(c.submit_until("j-4" + std::to_string(i), 20));
  c.state.expire_session_leases();
  ASSERT_TRUE(c.submit_until("j-50", 20));
  for (const auto* uid : {"j-10", "j-139", "j-30", "j-429"})
    EXPECT_TRUE(c.eventually(10, [&] { return c.ask(1, "GET", std::string("/v1/jobs/") + uid).is(200); })) << uid;
  EXPECT_EQ(c.state.too_large(), 0u);
}

// A store that takes less than the settings say: leaders find out and write smaller transactions, and don't step down one after the other.
TEST(Rollout, AStoreThatTakesLessThanItSaysIsGivenSmallerTransactions) {
  const Options now = at_once();
  Cluster c(2, 1, {now});
  ASSERT_TRUE(c.eventually(20, [&] { return c.format_version() == R"({"level":4})"; }));
  ASSERT_TRUE(c.submit_until("j-1", 20));
  c.state.limit(2048, 4);
  for (int i = 0; i < 40; ++i) ASSERT_TRUE(c.submit_until("j-2" + std::to_string(i), 20)) << i;
  EXPECT_GT(c.state.too_large(), 0u);
  EXPECT_LT(c.state.too_large(), 12u);
}

std::string beyond(const std::string& entry) {
  auto j = nlohmann::json::parse(entry);
  j["records"].push_back({"from-the-future", 1});
  return j.dump();
}

// One newer controller led for a moment: those that can't read its entry once took the lead in turn, and nobody served.
TEST(Rollout, AControllerThatCantReadTheLedgerGivesTheLeadToOneThatCan) {
  Cluster c(2, 1, {older(), held_at(1)});
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto entries = c.state.entries();
  auto j = nlohmann::json::parse(entries.begin()->second);
  // An entry of version 2 while version 1 is active: only the newer build reads it.
  const auto entry = parse_entry(entries.begin()->second);
  c.stop(0);
  c.stop(1);
  std::string text;
  std::uint64_t digest = 0;
  for (const auto& r : entry.records) {
    const auto encoded = encode_record(r, 2);
    text += (text.empty() ? "" : ",") + encoded.text;
    digest = digest_with_record(digest, encoded);
  }
  c.state.put(entries.begin()->first, entry_value({2, 0, entry.seq, 0}, text, digest));
  c.start(0, older());
  c.start(1, held_at(1));
  ASSERT_TRUE(c.submit_until("j-2", 15));
  EXPECT_EQ(c.state.leader(), "host-1");
  expect_all_known(c, {"j-1", "j-2"});
}

TEST(Rollout, WhereNobodyCanReadTheLedgerItIsAnOutageAndLeasesAreKept) {
  Cluster c(3);
  ASSERT_TRUE(c.submit_until("j-1", 20));
  const auto entry = *c.state.entries().begin();
  for (std::size_t i = 0; i < 3; ++i) c.stop(i);
  c.state.put(entry.first, beyond(entry.second));
  for (std::size_t i = 0; i < 3; ++i) c.start(i, Options{});
  std::uint64_t serial = 0;
  std::size_t kept = 0;
  std::set<std::string> leaders;
  for (const double until = steady_now() + 12; steady_now() < until;) {
    for (std::size_t i = 0; i < 3; ++i) {
      const auto poll = c.ask(i, "GET", "/v1/jobs/j-1");
      EXPECT_FALSE(poll.is(404) || poll.is(200)) << poll.body;
      EXPECT_FALSE(c.submit(i, "j-2").is(201));
      const auto answer = c.ask(i, "POST", "/v1/report", test_support::heartbeat_body("m-1", "127.0.0.1:1", ++serial, 0));
      if (!answer.is(200)) continue;
      ++kept;
      EXPECT_NE(answer.body.find("\"orders\":[]"), std::string::npos) << answer.body;
    }
    leaders.insert(c.state.leader());
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  leaders.erase("");
  EXPECT_GT(leaders.size(), 1u) << "each controller tries";
  EXPECT_GT(kept, 10u);
  // Once the entry is readable again, service resumes by itself.
  c.state.put(entry.first, entry.second);
  EXPECT_TRUE(c.submit_until("j-2", 30));
  expect_all_known(c, {"j-1", "j-2"});
}

}  // namespace
}  // namespace thistlefront
