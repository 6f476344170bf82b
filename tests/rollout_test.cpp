// Rollouts with real controllers: mixed builds, upgrades and downgrades of the format version, and ledgers that no controller, or only
// some of them, can read. `max_readable_format_version` makes a controller behave like an older build.
#include <gtest/gtest.h>

#include "cluster.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {
namespace {

using test_support::Cluster;

// A build that supports up to format version 2 and activates it after this soak time.
Options build_of_version_two(double soak_s) {
  Options out;
  out.format_version_soak_s = soak_s;
  out.max_readable_format_version = 2;
  return out;
}
// A build that supports format version 1 only.
Options build_of_version_one() {
  Options out = build_of_version_two(0);
  out.max_readable_format_version = 1;
  return out;
}
// A build that supports up to format version 2, whose operator allows only this version.
Options build_of_version_two_allowing(std::uint32_t format_version) {
  Options out = build_of_version_two(0);
  out.max_format_version = format_version;
  return out;
}
// The current build, without a soak time.
Options current_build_without_soak_time() {
  Options out;
  out.format_version_soak_s = 0;
  return out;
}

constexpr const char* kVersionTwo = R"({"level":2})";

void expect_known_to_all_controllers(Cluster& cluster, const std::vector<std::string>& uids) {
  for (const auto& uid : uids)
    for (std::size_t i = 0; i < cluster.client_addresses.size(); ++i)
      EXPECT_TRUE(cluster.eventually(15, [&] { return cluster.ask(i, "GET", "/v1/jobs/" + uid).is(200); }))
          << uid << " at controller " << i;
}

// Whether all entries have format version 2 or, if `expected` is false, all have another version. False if there are no entries.
bool each_entry_has_version_two(Cluster& cluster, bool expected) {
  const auto entries = cluster.store.ledger_entries();
  return !entries.empty() && std::all_of(entries.begin(), entries.end(), [&](const auto& entry) {
    return (entry.second.find("\"level\":2") != std::string::npos) == expected;
  });
}

TEST(Rollout, ActivatesAVersionOnceTheLastControllerSupportsIt) {
  Cluster cluster(3, 1, {build_of_version_two(0), build_of_version_two(0), build_of_version_one()});
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  // The older build may lead, and its registry record states the version that it supports.
  ASSERT_TRUE(cluster.eventually(20, [&] { return !cluster.store.value("roster/host-2").empty(); }));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(cluster.format_version(), "");
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
  }
  EXPECT_TRUE(each_entry_has_version_two(cluster, /*expected=*/false)) << "an older build must be able to read the entries";
  cluster.start(2, build_of_version_two(0));
  ASSERT_TRUE(cluster.eventually(30, [&] { return cluster.format_version() == kVersionTwo; }));
  EXPECT_NE(cluster.store.value("leader").find("(state level 2)"), std::string::npos)
      << "a placeholder without a session lease, for builds older than format versions";
  ASSERT_TRUE(cluster.submit_until("j-2", 20));
  EXPECT_TRUE(cluster.eventually(20, [&] { return each_entry_has_version_two(cluster, /*expected=*/true); }))
      << "old entries are rewritten";
  expect_known_to_all_controllers(cluster, {"j-1", "j-2"});
  // A new leader keeps the active version.
  cluster.store.expire_session_leases();
  ASSERT_TRUE(cluster.submit_until("j-3", 20));
  expect_known_to_all_controllers(cluster, {"j-1", "j-2", "j-3"});
  EXPECT_EQ(cluster.store.unfenced_writes(), 0u);
}

// A controller that is down during the whole rollout counts with its last registry record. A controller without a record counts as an old
// build.
TEST(Rollout, DoesNotActivateAVersionWhileAControllerIsDownOrUnregistered) {
  Cluster cluster(3, 1, {build_of_version_two(0), build_of_version_two(0), build_of_version_one()});
  ASSERT_TRUE(cluster.eventually(20, [&] { return !cluster.store.value("roster/host-2").empty(); }));
  cluster.stop(2);
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  EXPECT_TRUE(cluster.eventually(
      20, [&] { return cluster.metric(cluster.leader(), "state_level_waits_for").find("host-2 (build ") != std::string::npos; }));
  cluster.store.remove("roster/host-2");
  EXPECT_TRUE(cluster.eventually(
      20, [&] { return cluster.metric(cluster.leader(), "state_level_waits_for").find("host-2 (never seen)") != std::string::npos; }));
  EXPECT_EQ(cluster.format_version(), "");
}

TEST(Rollout, OlderBuildFollowsAndNeverLeadsAfterActivation) {
  Cluster cluster(2, 1, {build_of_version_two(0)});
  ASSERT_TRUE(cluster.eventually(30, [&] { return cluster.format_version() == kVersionTwo; }));
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  cluster.start(1, build_of_version_one());
  expect_known_to_all_controllers(cluster, {"j-1"});
  EXPECT_TRUE(cluster.eventually(20, [&] { return cluster.submit(1, "j-2").is(201) || cluster.submit(1, "j-2").is(200); }))
      << "the older build forwards requests";
  cluster.stop(0);
  const auto deadline = steady_now() + 4;
  while (steady_now() < deadline) {
    EXPECT_NE(cluster.store.leader(), "host-1");
    EXPECT_FALSE(cluster.ask(1, "GET", "/v1/jobs/j-1").is(404));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  cluster.start(0, build_of_version_two(0));
  expect_known_to_all_controllers(cluster, {"j-1", "j-2"});
}

TEST(Rollout, DowngradesWhenAMajorityAllowsOnlyALowerVersion) {
  Cluster cluster(3, 1, {build_of_version_two(0)});
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  ASSERT_TRUE(cluster.eventually(30, [&] { return cluster.format_version() == kVersionTwo; }));
  ASSERT_TRUE(cluster.submit_until("j-2", 20));
  cluster.start(0, build_of_version_two_allowing(1));
  ASSERT_TRUE(cluster.submit_until("j-3", 20));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  EXPECT_EQ(cluster.format_version(), kVersionTwo) << "a single controller with a forgotten flag causes no downgrade";
  cluster.start(1, build_of_version_two_allowing(1));
  ASSERT_TRUE(cluster.eventually(40, [&] { return cluster.format_version() == R"({"level":1})"; }));
  EXPECT_TRUE(each_entry_has_version_two(cluster, /*expected=*/false)) << "entries are rewritten before the lower version is activated";
  EXPECT_EQ(cluster.store.value("lead"), "");
  for (std::size_t i = 0; i < 3; ++i) cluster.start(i, build_of_version_one());
  ASSERT_TRUE(cluster.submit_until("j-4", 20));
  expect_known_to_all_controllers(cluster, {"j-1", "j-2", "j-3", "j-4"});
  EXPECT_EQ(cluster.store.unfenced_writes(), 0u);
}

// Faults during the activation of a version: session leases expire, transactions are late, lost and repeated, controllers restart.
TEST(Rollout, ActivationSurvivesFaultsInEachStep) {
  for (unsigned seed = 1; seed <= 2; ++seed) {
    Cluster cluster(3, seed, {build_of_version_two(1)});
    std::mt19937 random(seed);
    std::vector<std::string> accepted;
    // Faults for five seconds, or longer if by chance no job was accepted in that time.
    const double started_at = steady_now();
    while (steady_now() < started_at + 5 || (accepted.empty() && steady_now() < started_at + 25)) {
      const auto controller = random() % 3;
      auto& endpoint = cluster.store.endpoint(controller);
      switch (random() % 6) {
        case 0: endpoint.rejects_requests = !endpoint.rejects_requests; break;
        case 1: endpoint.reply_loss_probability = endpoint.reply_loss_probability > 0 ? 0 : 0.4; break;
        case 2: endpoint.delay_probability = endpoint.delay_probability > 0 ? 0 : 0.3; break;
        case 3: endpoint.duplicate_probability = endpoint.duplicate_probability > 0 ? 0 : 0.4; break;
        case 4: cluster.store.expire_session_leases(); break;
        default: cluster.start(controller, random() % 2 == 0 ? build_of_version_two(1) : build_of_version_one());
      }
      const std::string uid = "j-" + std::to_string(1000 * seed + accepted.size());
      if (const auto reply = cluster.submit(random() % 3, uid); reply.is(201) || reply.is(200)) accepted.push_back(uid);
      // Older builds may not be allowed to lead; then there is no leader for a while.
    }
    for (std::size_t i = 0; i < 3; ++i) {
      auto& endpoint = cluster.store.endpoint(i);
      endpoint.rejects_requests = false;
      endpoint.reply_loss_probability = endpoint.delay_probability = endpoint.duplicate_probability = 0;
      cluster.start(i, build_of_version_two(0));
    }
    ASSERT_TRUE(cluster.eventually(40, [&] { return cluster.format_version() == kVersionTwo; })) << "seed " << seed;
    ASSERT_TRUE(cluster.submit_until("j-9", 30)) << "seed " << seed;
    EXPECT_FALSE(accepted.empty());
    expect_known_to_all_controllers(cluster, accepted);
    EXPECT_EQ(cluster.store.unfenced_writes(), 0u) << "seed " << seed;
  }
}

// The newest quota record of a team in the ledger; nothing if there is none.
std::optional<TeamQuotaRecord> quota_record_in_ledger(Cluster& cluster, const std::string& name) {
  std::optional<TeamQuotaRecord> out;
  for (const auto& [key, value] : cluster.store.ledger_entries())
    for (const auto& record : parse_entry(value).records)
      if (const auto* quota = std::get_if<TeamQuotaRecord>(&record); quota && quota->name == name) out = *quota;
  return out;
}

// A settings file with a changed limit and an additional team is rolled out controller by controller, with new leaders in between.
TEST(Rollout, ChangedQuotasTakeEffectOnceAllControllersHaveThem) {
  const Options options = current_build_without_soak_time();
  Cluster cluster(3, 1, {options});
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  ASSERT_TRUE(cluster.eventually(60, [&] { return quota_record_in_ledger(cluster, "red").has_value(); }));
  EXPECT_EQ(cluster.format_version(), R"({"level":4})");
  const TeamQuota old_quota = quota_record_in_ledger(cluster, "red")->agreed.value();
  const auto restart_with_changed_teams = [&](std::size_t i) {
    cluster.settings(i).teams = {{"red", {}, {6, 0, 0}}, {"green", {}, {3, 0, 0}}};
    cluster.start(i, options);
  };
  restart_with_changed_teams(0);
  ASSERT_TRUE(cluster.eventually(30, [&] {
    const auto red = quota_record_in_ledger(cluster, "red");
    return red->agreed == old_quota && red->proposed && red->proposed->limit.cores == 6;
  }));
  ASSERT_TRUE(cluster.eventually(30, [&] { return quota_record_in_ledger(cluster, "green").has_value(); }));
  // Whichever controller leads, the quotas in the ledger are in force, also for the team that only one settings file has.
  auto green = nlohmann::json::parse(test_support::job_body("j-20"));
  green["owner"] = "green";
  for (int i = 0; i < 2; ++i) {
    cluster.store.expire_session_leases();
    green["uid"] = "j-2" + std::to_string(i);
    EXPECT_TRUE(cluster.eventually(20, [&] { return cluster.ask(2, "POST", "/v1/jobs", green.dump()).is(201); })) << i;
    EXPECT_EQ(quota_record_in_ledger(cluster, "red")->agreed, old_quota);
    EXPECT_TRUE(quota_record_in_ledger(cluster, "red")->proposed);
  }
  restart_with_changed_teams(1);
  restart_with_changed_teams(2);
  ASSERT_TRUE(cluster.eventually(40, [&] {
    const auto red = quota_record_in_ledger(cluster, "red");
    return red->agreed->limit.cores == 6 && !red->proposed;
  }));
  // A job that needs more than the new limit can never run and is rejected, as is a job of an unknown team.
  auto large = nlohmann::json::parse(test_support::job_body("j-30"));
  large["shape"] = "group";
  large["pieces"] = 7;
  EXPECT_TRUE(cluster.eventually(10, [&] { return cluster.ask(0, "POST", "/v1/jobs", large.dump()).is(422); }));
  green["owner"] = "blue";
  green["uid"] = "j-40";
  EXPECT_TRUE(cluster.eventually(10, [&] { return cluster.ask(0, "POST", "/v1/jobs", green.dump()).is(422); }));
  EXPECT_EQ(cluster.store.unfenced_writes(), 0u);
}

std::string dependent_job_body(const std::string& uid, const nlohmann::json& depends_on, std::uint32_t tasks = 2) {
  auto body = nlohmann::json::parse(test_support::job_body(uid));
  body["waitsOn"] = depends_on;
  body["pieces"] = tasks;
  return body.dump();
}

// Jobs with dependencies get a temporary error until all controllers support the format version. Then, whichever controller is asked and
// whichever leads, they are accepted, rejected permanently, or cancelled together with the job that they depend on.
TEST(Rollout, DependentJobsAreAcceptedOnceTheVersionIsActive) {
  const Options current = current_build_without_soak_time();
  Options older = current;
  older.max_readable_format_version = 3;
  Cluster cluster(3, 1, {current, current, older});
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  ASSERT_TRUE(cluster.eventually(20, [&] { return cluster.format_version() == R"({"level":3})"; }));
  const auto submit = [&](std::size_t controller, const std::string& uid, const nlohmann::json& depends_on) {
    return cluster.ask(controller, "POST", "/v1/jobs", dependent_job_body(uid, depends_on));
  };
  for (std::size_t i = 0; i < 3; ++i) {
    const auto reply = submit(i, "j-2", {"j-1"});
    EXPECT_TRUE(reply.is(503)) << "the job must not be accepted without its dependencies";
    EXPECT_TRUE(submit(i, "j-2", "j-1").is(400) || submit(i, "j-2", "j-1").is(503));
  }
  EXPECT_TRUE(cluster.eventually(10, [&] { return submit(0, "j-1", {"j-77"}).is(200); })) << "a known job is not validated again";
  EXPECT_TRUE(cluster.eventually(10, [&] { return submit(1, "j-3", nlohmann::json::array()).is(201); })) << "a job without dependencies";
  cluster.start(2, current);
  ASSERT_TRUE(cluster.eventually(20, [&] { return submit(0, "j-2", {"j-1", "j-1", "j-3"}).is(201); }));
  EXPECT_EQ(cluster.format_version(), R"({"level":4})");
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(submit(i, "j-9", {"j-77"}).is(422)) << "the dependency was never accepted";
    EXPECT_TRUE(submit(i, "j-9", {"j-9"}).is(422));
    EXPECT_TRUE(submit(i, "j-9", {"J-1"}).is(400));
    EXPECT_TRUE(submit(i, "j-9", 7).is(400));
    EXPECT_TRUE(submit(i, "j-2", {"j-77"}).is(200));
  }
  ASSERT_TRUE(submit(1, "j-4", {"j-2"}).is(201));
  const auto has_status_everywhere = [&](const std::string& uid, const std::string& status) {
    for (std::size_t i = 0; i < 3; ++i)
      if (cluster.ask(i, "GET", "/v1/jobs/" + uid).body.find(status) == std::string::npos) return false;
    return true;
  };
  EXPECT_TRUE(cluster.eventually(10, [&] { return has_status_everywhere("j-4", "queued"); }));
  ASSERT_TRUE(cluster.eventually(10, [&] { return cluster.ask(2, "POST", "/v1/jobs/j-3/withdraw").is(200); }));
  EXPECT_TRUE(has_status_everywhere("j-2", "aborted") && has_status_everywhere("j-4", "aborted"));
  EXPECT_TRUE(has_status_everywhere("j-1", "queued"));
  const auto late = submit(0, "j-5", {"j-4", "j-1"});
  EXPECT_TRUE(late.is(201)) << "accepted although a dependency is cancelled";
  EXPECT_NE(late.body.find("aborted"), std::string::npos);
  for (int i = 0; i < 2; ++i) {
    cluster.store.expire_session_leases();
    EXPECT_TRUE(cluster.eventually(20, [&] {
      return has_status_everywhere("j-4", "aborted") && has_status_everywhere("j-5", "aborted") && has_status_everywhere("j-1", "queued");
    }));
  }
  EXPECT_EQ(cluster.store.unfenced_writes(), 0u);
}

// The store's limits are reduced to a quarter. The ledger then has entries of both sizes, and a large job that still fits is accepted.
TEST(Rollout, ServiceContinuesWithReducedStoreLimits) {
  const Options options = current_build_without_soak_time();
  Cluster cluster(3, 1, {options});
  ASSERT_TRUE(cluster.eventually(20, [&] { return cluster.format_version() == R"({"level":4})"; }));
  for (int i = 0; i < 40; ++i) ASSERT_TRUE(cluster.submit_until("j-1" + std::to_string(i), 20));
  for (std::size_t i = 0; i < 3; ++i) cluster.settings(i).max_value_kb = 2, cluster.settings(i).max_txn_ops = 4;
  for (std::size_t i = 0; i < 3; ++i) cluster.start(i, options);
  ASSERT_TRUE(cluster.submit_until("j-20", 20));
  cluster.store.set_limits(2048, 4);
  nlohmann::json names = nlohmann::json::array();
  for (int i = 0; i < 40; ++i) names.push_back("j-1" + std::to_string(i));
  EXPECT_TRUE(cluster.eventually(20, [&] { return cluster.ask(0, "POST", "/v1/jobs", dependent_job_body("j-30", names)).is(201); }));
  for (int i = 0; i < 160; ++i) names.push_back("j-1" + std::to_string(i % 40) + std::string(8, '0') + std::to_string(i));
  EXPECT_TRUE(cluster.eventually(20, [&] { return cluster.ask(0, "POST", "/v1/jobs", dependent_job_body("j-31", names)).is(422); }))
      << "rejected as too long, or because it depends on an unknown job";
  for (int i = 0; i < 30; ++i) ASSERT_TRUE(cluster.submit_until("j-4" + std::to_string(i), 20));
  cluster.store.expire_session_leases();
  ASSERT_TRUE(cluster.submit_until("j-50", 20));
  for (const auto* uid : {"j-10", "j-139", "j-30", "j-429"})
    EXPECT_TRUE(cluster.eventually(10, [&] { return cluster.ask(1, "GET", std::string("/v1/jobs/") + uid).is(200); })) << uid;
  EXPECT_EQ(cluster.store.oversized_transactions(), 0u);
}

// The store accepts less than the settings state. Leaders must detect this and send smaller transactions instead of stepping down one
// after the other.
TEST(Rollout, LeaderSendsSmallerTransactionsWhenTheStoreRejectsLargeOnes) {
  const Options options = current_build_without_soak_time();
  Cluster cluster(2, 1, {options});
  ASSERT_TRUE(cluster.eventually(20, [&] { return cluster.format_version() == R"({"level":4})"; }));
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  cluster.store.set_limits(2048, 4);
  for (int i = 0; i < 40; ++i) ASSERT_TRUE(cluster.submit_until("j-2" + std::to_string(i), 20)) << i;
  EXPECT_GT(cluster.store.oversized_transactions(), 0u);
  EXPECT_LT(cluster.store.oversized_transactions(), 12u);
}

// The entry with an additional record that no build can read.
std::string with_unknown_record(const std::string& entry) {
  auto value = nlohmann::json::parse(entry);
  value["records"].push_back({"from-the-future", 1});
  return value.dump();
}

// Guards against a loss of service after a newer build led briefly: controllers that could not read its entry became leader in turn, and
// none of them served requests.
TEST(Rollout, ControllerThatCannotReadTheLedgerYieldsLeadershipToOneThatCan) {
  Cluster cluster(2, 1, {build_of_version_one(), build_of_version_two_allowing(1)});
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  const auto entries = cluster.store.ledger_entries();
  auto value = nlohmann::json::parse(entries.begin()->second);
  // An entry of version 2 while version 1 is active: only the newer build can read it.
  const auto entry = parse_entry(entries.begin()->second);
  cluster.stop(0);
  cluster.stop(1);
  std::string text;
  std::uint64_t digest = 0;
  for (const auto& record : entry.records) {
    const auto encoded = encode_record(record, 2);
    text += (text.empty() ? "" : ",") + encoded.text;
    digest = extend_digest_with_record(digest, encoded);
  }
  cluster.store.put(entries.begin()->first, entry_value({2, 0, entry.seq, 0}, text, digest));
  cluster.start(0, build_of_version_one());
  cluster.start(1, build_of_version_two_allowing(1));
  ASSERT_TRUE(cluster.submit_until("j-2", 15));
  EXPECT_EQ(cluster.store.leader(), "host-1");
  expect_known_to_all_controllers(cluster, {"j-1", "j-2"});
}

TEST(Rollout, LeasesAreRenewedWhileNoControllerCanReadTheLedger) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.submit_until("j-1", 20));
  const auto entry = *cluster.store.ledger_entries().begin();
  for (std::size_t i = 0; i < 3; ++i) cluster.stop(i);
  cluster.store.put(entry.first, with_unknown_record(entry.second));
  for (std::size_t i = 0; i < 3; ++i) cluster.start(i, Options{});
  std::uint64_t serial = 0;
  std::size_t renewed_leases = 0;
  std::set<std::string> leaders;
  for (const double deadline = steady_now() + 12; steady_now() < deadline;) {
    for (std::size_t i = 0; i < 3; ++i) {
      const auto poll = cluster.ask(i, "GET", "/v1/jobs/j-1");
      EXPECT_FALSE(poll.is(404) || poll.is(200)) << poll.body;
      EXPECT_FALSE(cluster.submit(i, "j-2").is(201));
      const auto reply = cluster.ask(i, "POST", "/v1/report", test_support::heartbeat_body("m-1", "127.0.0.1:1", ++serial, 0));
      if (!reply.is(200)) continue;
      ++renewed_leases;
      EXPECT_NE(reply.body.find("\"orders\":[]"), std::string::npos) << reply.body;
    }
    leaders.insert(cluster.store.leader());
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  leaders.erase("");
  EXPECT_GT(leaders.size(), 1u) << "each controller becomes leader in turn";
  EXPECT_GT(renewed_leases, 10u);
  // Once the entry is readable again, service resumes without intervention.
  cluster.store.put(entry.first, entry.second);
  EXPECT_TRUE(cluster.submit_until("j-2", 30));
  expect_known_to_all_controllers(cluster, {"j-1", "j-2"});
}

}  // namespace
}  // namespace thistlefront
