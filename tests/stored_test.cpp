// What is stored and said, byte for byte as each level writes it: kept in tests/stored, where people read
// it. What an earlier build wrote must be read for ever, and what is written at its level must be just what
// it reads.
#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "job_builders.hpp"
#include "leadership/leadership_backoff.hpp"
#include "ledger/ledger_reader.hpp"
#include "ledger/write_rate_limiter.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "protocol/ledger_format.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/store_messages.hpp"
#include "protocol/version_messages.hpp"
#include "rollout/format_versions.hpp"
#include "scheduling/start_stall_detector.hpp"

namespace thistlefront {
namespace {

// One line a value; the first word is its name.
std::map<std::string, std::string> kept(const std::string& file) {
  std::ifstream in(std::string(TRACES) + "/../stored/" + file);
  std::map<std::string, std::string> out;
  for (std::string line; std::getline(in, line);) {
    if (line.empty() || line[0] == '#') continue;
    out[line.substr(0, line.find(' '))] = line.substr(line.find(' ') + 1);
  }
  EXPECT_FALSE(out.empty()) << file;
  return out;
}

std::vector<Record> some_of_each_kind() {
  MachineType big;
  big.name = "big";
  big.capacity = {8, 0, 32};
  big.image_cache_gb = 50, big.image_fetch_gb_per_s = 1, big.price = 1, big.spot_price = 0.5, big.boot_s = 30;
  big.zones = {"x"};
  const JobAcceptedRecord accept{submission("j-1", 4, 1.5), 0.25, 12.5};
  JobSnapshotRecord job{accept, JobStatus::queued, 2, {{0, 1}}, {{"m-1", 3, 2, 13.5, {{1, 3}}}}, 0, false, true};
  return {MachineTypesRecord{{big}},
          accept,
          TasksStartedRecord{"j-1", 1, 13, {{"m-1", 3, {{0, 2}}}}},
          TasksCompletedRecord{"j-1", {{0, 1}}},
          TasksRemovedRecord{"j-1", 1, {{1, 2}}, 14.5},
          JobCancelledRecord{"j-1"},
          job,
          JobsEndedRecord{JobStatus::done, {"j-2", "j-3"}}};
}

TEST(Stored, EntriesOfEachLevelAreWhatTheyWere) {
  const auto lines = kept("entries.txt");
  const auto records = some_of_each_kind();
  EXPECT_EQ(stored_entry(records, {1, 0, 7, 0}), lines.at("level-1"));
  EXPECT_EQ(stored_entry(records, {2, 0, 7, 0x0123456789abcdef}), lines.at("level-2"));
  const TeamQuota quota{{8, 0, 0}, {16, 4, 0}};
  const std::vector<Record> teams{TeamQuotaRecord{"red", quota, std::nullopt, false},
                                  TeamQuotaRecord{"blue", quota, TeamQuota{{8, 0, 0}, {12, 4, 0}}, false},
                                  TeamQuotaRecord{"gone", quota, std::nullopt, true}};
  EXPECT_EQ(stored_entry(teams, {3, 0, 8, 0x0123456789abcdef}), lines.at("level-3"));
  const auto read = parse_entry(lines.at("level-3")).records;
  for (std::size_t i = 0; i < teams.size(); ++i) EXPECT_EQ(std::get<TeamQuotaRecord>(read.at(i)), std::get<TeamQuotaRecord>(teams[i]));
  for (const auto* name : {"level-1", "level-2"}) {
    const auto entry = parse_entry(lines.at(name));
    EXPECT_EQ(entry.seq, 7u);
    EXPECT_EQ(stored_entry(entry.records, {1, 0, 7, 0}), lines.at("level-1")) << "nothing is lost from " << name;
  }
  // Level 4: jobs that wait for others, and what is kept of their ends; an entry that tells its number.
  auto waits = submission("j-9", 2, 1);
  waits.depends_on = {"j-1", "j-2"};
  JobSnapshotRecord ready{{submission("j-8", 1, 1), 0.25, 12.5}, JobStatus::queued, 0, {}, {}, 0, false, false, 14.5};
  const std::vector<Record> dependency_graph{JobAcceptedRecord{waits, 0.25, 12.5}, TasksCompletedRecord{"j-1", {{0, 1}}, 13.5}, ready,
                                             JobsEndedRecord{JobStatus::done, {"j-2", "j-3"}, {{1, 11.5}}, {}},
                                             JobsEndedRecord{JobStatus::cancelled, {"j-4"}, {}, {0}}};
  const EntryHead head{4, 0, 9, 0x0123456789abcdef, 31, 24};
  EXPECT_EQ(stored_entry(dependency_graph, head), lines.at("level-4"));
  const auto four = parse_entry(lines.at("level-4"));
  EXPECT_EQ(four.number, 31u);
  EXPECT_EQ(four.first_needed, 24u);
  EXPECT_EQ(stored_entry(four.records, head), lines.at("level-4")) << "nothing is lost";
  // Another spelling of the same values, as a state service may give them back.
  EXPECT_EQ(parse_entry(lines.at("level-2-respelled")).records.size(), records.size());
  // Named extras of a writer that knows more are passed over; the check is of them as well.
  EXPECT_EQ(parse_entry(lines.at("level-2-extras")).records.size(), 2u);
}

TEST(Stored, KeysOfTheLeadAreWhatTheyWere) {
  const auto lines = kept("keys.txt");
  EXPECT_EQ(leader_value({"host-1", 42}), lines.at("leader"));
  EXPECT_EQ(parked_leader_value(2), lines.at("leader-parked"));
  EXPECT_EQ(active_version_value({2, 0}), lines.at("lead-level"));
  EXPECT_EQ(active_version_value({2, 1}), lines.at("lead-level-lowering"));
  EXPECT_EQ(version_readiness_value({2, 100.5}), lines.at("lead-ready"));
  EXPECT_EQ(supported_versions_value({1, 2, 2, 42, "0.2.0", 0xab}), lines.at("roster"));
  EXPECT_EQ(parse_active_version(lines.at("lead-level-lowering")), (ActiveVersion{2, 1}));
  EXPECT_EQ(parse_version_readiness(lines.at("lead-ready")), (VersionReadiness{2, 100.5}));
  EXPECT_EQ(parse_supported_versions(lines.at("roster")), (SupportedVersions{1, 2, 2, 42, "0.2.0", 0xab}));
  // What a later build has more is passed over.
  EXPECT_EQ(parse_active_version(R"({"level":2,"towards":1,"why":"x"})"), (ActiveVersion{2, 1}));
  for (const auto* bad : {"{}", R"({"level":0})", R"({"level":"2"})", "2", "[", R"({"level":-1})"})
    EXPECT_THROW(parse_active_version(bad), ProtocolError) << bad;
}

std::string hex(const Frame& frame) {
  std::string out = std::to_string(frame.kind) + ":";
  for (const char c : frame.payload) {
    out += "0123456789abcdef"[static_cast<unsigned char>(c) >> 4];
    out += "0123456789abcdef"[c & 15];
  }
  return out;
}

TEST(Stored, FramesOfLevelOneAreWhatTheyWere) {
  const auto lines = kept("frames.txt");
  EXPECT_EQ(lines.at("version"), std::to_string(kFrameVersion));
  EXPECT_EQ(hex(pack(PeerHeartbeat{"host-1", 9, 7, 5, 1234, 6})), lines.at("beat"));
  EXPECT_EQ(hex(pack(PeerHeartbeatAck{9, "host-1", 5, 1234, 6})), lines.at("beat-ack"));
  EXPECT_EQ(hex(pack(PeerCall{"GET", kSupportedVersionsTarget, ""})), lines.at("call"));
  HttpReply reply{200, "{}"};
  reply.valid_until = 12.5;
  EXPECT_EQ(hex(pack(reply, 10)), lines.at("reply"));
  const auto supported_versions = pack(SupportedVersions{1, 2, 2, 42, "0.2.0", 0xab});
  EXPECT_EQ(hex({0, supported_versions}), lines.at("able"));
  EXPECT_EQ(unpack_supported_versions(supported_versions), (SupportedVersions{1, 2, 2, 42, "0.2.0", 0xab}));
  EXPECT_EQ(unpack_supported_versions(supported_versions + "more"), (SupportedVersions{1, 2, 2, 42, "0.2.0", 0xab}))
      << "of a later version";
  for (std::size_t cut = 0; cut < supported_versions.size(); ++cut)
    EXPECT_FALSE(unpack_supported_versions(supported_versions.substr(0, cut))) << cut;
  const std::map<std::string, TeamQuota> teams{{"red", {{8, 0.5, 0}, {16, 4, 0}}}, {"blue", {}}};
  const auto packed = pack(teams);
  EXPECT_EQ(hex({0, packed}), lines.at("teams"));
  EXPECT_EQ(unpack_teams(packed), teams);
  for (std::size_t cut = 0; cut < packed.size(); ++cut) EXPECT_FALSE(unpack_teams(packed.substr(0, cut))) << cut;
}

// A flipped bit, an older version of an entry, a missing one: each is told, with its place.
TEST(Stored, WhatWasAlteredIsLostOrIsOlderIsTold) {
  std::vector<std::string> values, older;
  std::uint64_t link = 0;
  for (std::uint64_t n = 0; n < 4; ++n) {
    std::vector<Record> records{JobAcceptedRecord{submission("j-" + std::to_string(n), 1, 1), 0.5, 1.0 * static_cast<double>(n)}};
    older.push_back(stored_entry(records, {2, 0, 2 * n + 1, link}));
    records.emplace_back(JobCancelledRecord{"j-" + std::to_string(n)});
    values.push_back(stored_entry(records, {2, 0, 2 * n + 2, link}));
    const auto entry = parse_entry(values.back());
    link = link_of(entry.previous_link, n, entry.check);
  }
  const auto why = [](const std::map<std::uint64_t, std::string>& entries) {
    ClusterState cluster_state = cluster_state_with_core_limit(10);
    LedgerReader reader(cluster_state, 1, 2);
    for (const auto& [n, value] : entries) {
      const auto page = parse_entries(R"({"rows":[{"path":")" + entry_key(n) + R"(","value":)" + value + "}]}");
      if (!reader.add_entry(page.rows.at(0))) return reader.error();
    }
    return reader.finish() ? std::string() : reader.error();
  };
  const std::map<std::uint64_t, std::string> whole{{0, values[0]}, {1, values[1]}, {2, values[2]}, {3, values[3]}};
  EXPECT_EQ(why(whole), "");
  auto suffix = whole;
  suffix.erase(0);
  EXPECT_EQ(why(suffix), "") << "the oldest go when they are not needed any more";
  auto hole = whole;
  hole.erase(1);
  EXPECT_NE(why(hole).find("ledger/000000000002 can't be read: it does not follow entry 0"), std::string::npos) << why(hole);
  auto back = whole;
  back[2] = older[2];
  EXPECT_NE(why(back).find("ledger/000000000003 can't be read: it does not follow entry 2"), std::string::npos) << why(back);
  // Each byte of an entry, changed: unreadable, or the same values.
  std::size_t told = 0;
  for (std::size_t i = 0; i < values[2].size(); ++i) {
    auto altered = whole;
    altered[2][i] = static_cast<char>(altered[2][i] ^ 1);
    if (!nlohmann::json::accept(altered[2])) continue;
    EXPECT_NE(why(altered), "") << altered[2];
    ++told;
  }
  EXPECT_GT(told, 100u);
  auto future = whole;
  future[2].replace(future[2].find("\"level\":2"), 9, "\"level\":3");
  EXPECT_NE(why(future).find("it is of state level 3, and this build reads 1 to 2"), std::string::npos) << why(future);
}

TEST(LeadershipBackoff, IsLongerWhereItComesToThatAgainAndAgain) {
  LeadershipBackoff s;
  EXPECT_EQ(s.remaining_s(100), 0);
  EXPECT_EQ(s.record_hand_over(100), 15);
  EXPECT_EQ(s.record_hand_over(150), 30);
  EXPECT_EQ(s.record_hand_over(200), 60);
  EXPECT_EQ(s.record_hand_over(250), 120);
  EXPECT_EQ(s.record_hand_over(300), 120);
  EXPECT_EQ(s.record_hand_over(500), 15);
  s.extend_until(510);
  EXPECT_EQ(s.remaining_s(503), 7);
}

TEST(StartStallDetector, TellsOnceForEachStall) {
  StartStallDetector w;
  EXPECT_FALSE(w.should_report(50));
  w.record_planned(50);
  w.record_planned(55);
  EXPECT_FALSE(w.should_report(59));
  EXPECT_TRUE(w.should_report(61));
  EXPECT_FALSE(w.should_report(70));
  EXPECT_EQ(w.stalled_for(70), 20);
  w.record_started();
  EXPECT_EQ(w.stalled_for(71), 0);
  w.record_planned(80);
  EXPECT_TRUE(w.should_report(91));
}

TEST(WriteRateLimiter, KeepsSomeForUsersAndNeverPassesTheRate) {
  WriteRateLimiter b(40);
  double now = 100, made = 0;
  EXPECT_EQ(b.delay_s(now, false), 0) << "full at first";
  while (b.delay_s(now, false) == 0) b.charge(1), ++made;
  EXPECT_GT(b.delay_s(now, false), 0);
  EXPECT_EQ(b.delay_s(now, true), 0) << "kept for users";
  while (now < 110) {
    if (const double wait = b.delay_s(now, true); wait > 0) {
      now += wait + 1e-6;
    } else {
      b.charge(1), ++made;
    }
  }
  EXPECT_LE(made, 40 * 10.0);
  EXPECT_GT(made, 300);
}

}  // namespace
}  // namespace thistlefront
