// Stored values and messages between controllers, byte for byte as each format version writes them, compared with the files in
// tests/stored. Data written by earlier builds must remain readable, and data written in an older format version must be exactly what
// earlier builds read.
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

// Reads a file in tests/stored: one value per line, preceded by its name.
std::map<std::string, std::string> read_stored_file(const std::string& file) {
  std::ifstream in(std::string(TRACES) + "/../stored/" + file);
  std::map<std::string, std::string> out;
  for (std::string line; std::getline(in, line);) {
    if (line.empty() || line[0] == '#') continue;
    out[line.substr(0, line.find(' '))] = line.substr(line.find(' ') + 1);
  }
  EXPECT_FALSE(out.empty()) << file;
  return out;
}

std::vector<Record> example_records() {
  MachineType big;
  big.name = "big";
  big.capacity = {8, 0, 32};
  big.image_cache_gb = 50, big.image_fetch_gb_per_s = 1, big.price = 1, big.spot_price = 0.5, big.boot_s = 30;
  big.zones = {"x"};
  const JobAcceptedRecord accepted{submission("j-1", 4, 1.5), 0.25, 12.5};
  JobSnapshotRecord snapshot{accepted, JobStatus::queued, 2, {{0, 1}}, {{"m-1", 3, 2, 13.5, {{1, 3}}}}, 0, false, true};
  return {MachineTypesRecord{{big}},
          accepted,
          TasksStartedRecord{"j-1", 1, 13, {{"m-1", 3, {{0, 2}}}}},
          TasksCompletedRecord{"j-1", {{0, 1}}},
          TasksRemovedRecord{"j-1", 1, {{1, 2}}, 14.5},
          JobCancelledRecord{"j-1"},
          snapshot,
          JobsEndedRecord{JobStatus::done, {"j-2", "j-3"}}};
}

TEST(StoredFormat, EntriesKeepTheirBytesInEachFormatVersion) {
  const auto lines = read_stored_file("entries.txt");
  const auto records = example_records();
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
    EXPECT_EQ(stored_entry(entry.records, {1, 0, 7, 0}), lines.at("level-1")) << "parsing lost something of " << name;
  }
  // Format version 4: dependencies between jobs, completion times that they need, and an entry that contains its number.
  auto dependent = submission("j-9", 2, 1);
  dependent.depends_on = {"j-1", "j-2"};
  JobSnapshotRecord eligible{{submission("j-8", 1, 1), 0.25, 12.5}, JobStatus::queued, 0, {}, {}, 0, false, false, 14.5};
  const std::vector<Record> dependency_records{JobAcceptedRecord{dependent, 0.25, 12.5}, TasksCompletedRecord{"j-1", {{0, 1}}, 13.5},
                                               eligible, JobsEndedRecord{JobStatus::done, {"j-2", "j-3"}, {{1, 11.5}}, {}},
                                               JobsEndedRecord{JobStatus::cancelled, {"j-4"}, {}, {0}}};
  const EntryHead head{4, 0, 9, 0x0123456789abcdef, 31, 24};
  EXPECT_EQ(stored_entry(dependency_records, head), lines.at("level-4"));
  const auto entry = parse_entry(lines.at("level-4"));
  EXPECT_EQ(entry.number, 31u);
  EXPECT_EQ(entry.first_needed, 24u);
  EXPECT_EQ(stored_entry(entry.records, head), lines.at("level-4")) << "parsing lost something";
  // Another spelling of the same values, as a key-value store may return them.
  EXPECT_EQ(parse_entry(lines.at("level-2-respelled")).records.size(), records.size());
  // Named extras of a newer writer are ignored, but the checksum covers them.
  EXPECT_EQ(parse_entry(lines.at("level-2-extras")).records.size(), 2u);
}

TEST(StoredFormat, LeadershipKeysKeepTheirBytes) {
  const auto lines = read_stored_file("keys.txt");
  EXPECT_EQ(leader_value({"host-1", 42}), lines.at("leader"));
  EXPECT_EQ(placeholder_leader_value(2), lines.at("leader-parked"));
  EXPECT_EQ(active_version_value({2, 0}), lines.at("lead-level"));
  EXPECT_EQ(active_version_value({2, 1}), lines.at("lead-level-lowering"));
  EXPECT_EQ(version_readiness_value({2, 100.5}), lines.at("lead-ready"));
  EXPECT_EQ(supported_versions_value({1, 2, 2, 42, "0.2.0", 0xab}), lines.at("roster"));
  EXPECT_EQ(parse_active_version(lines.at("lead-level-lowering")), (ActiveVersion{2, 1}));
  EXPECT_EQ(parse_version_readiness(lines.at("lead-ready")), (VersionReadiness{2, 100.5}));
  EXPECT_EQ(parse_supported_versions(lines.at("roster")), (SupportedVersions{1, 2, 2, 42, "0.2.0", 0xab}));
  // Fields of a later build are ignored.
  EXPECT_EQ(parse_active_version(R"({"level":2,"towards":1,"why":"x"})"), (ActiveVersion{2, 1}));
  for (const auto* malformed : {"{}", R"({"level":0})", R"({"level":"2"})", "2", "[", R"({"level":-1})"})
    EXPECT_THROW(parse_active_version(malformed), ProtocolError) << malformed;
}

std::string hex(const Frame& frame) {
  std::string out = std::to_string(frame.kind) + ":";
  for (const char c : frame.payload) {
    out += "0123456789abcdef"[static_cast<unsigned char>(c) >> 4];
    out += "0123456789abcdef"[c & 15];
  }
  return out;
}

TEST(StoredFormat, FramesKeepTheirBytes) {
  const auto lines = read_stored_file("frames.txt");
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
      << "fields that a later build appends are ignored";
  for (std::size_t length = 0; length < supported_versions.size(); ++length)
    EXPECT_FALSE(unpack_supported_versions(supported_versions.substr(0, length))) << "truncated to " << length;
  const std::map<std::string, TeamQuota> teams{{"red", {{8, 0.5, 0}, {16, 4, 0}}}, {"blue", {}}};
  const auto packed_teams = pack(teams);
  EXPECT_EQ(hex({0, packed_teams}), lines.at("teams"));
  EXPECT_EQ(unpack_teams(packed_teams), teams);
  for (std::size_t length = 0; length < packed_teams.size(); ++length)
    EXPECT_FALSE(unpack_teams(packed_teams.substr(0, length))) << "truncated to " << length;
}

// A flipped bit, an outdated version of an entry and a missing entry are each detected, and the error names the entry.
TEST(StoredFormat, AlteredOutdatedAndMissingEntriesAreDetected) {
  std::vector<std::string> values, outdated_values;
  std::uint64_t link = 0;
  for (std::uint64_t n = 0; n < 4; ++n) {
    std::vector<Record> records{JobAcceptedRecord{submission("j-" + std::to_string(n), 1, 1), 0.5, 1.0 * static_cast<double>(n)}};
    outdated_values.push_back(stored_entry(records, {2, 0, 2 * n + 1, link}));
    records.emplace_back(JobCancelledRecord{"j-" + std::to_string(n)});
    values.push_back(stored_entry(records, {2, 0, 2 * n + 2, link}));
    const auto entry = parse_entry(values.back());
    link = link_of(entry.previous_link, n, entry.checksum);
  }
  const auto read_error = [](const std::map<std::uint64_t, std::string>& entries) {
    ClusterState cluster_state = cluster_state_with_core_limit(10);
    LedgerReader reader(cluster_state, 1, 2);
    for (const auto& [n, value] : entries) {
      if (!reader.add_entry(stored_row(entry_key(n), value, 1))) return reader.error();
    }
    return reader.finish() ? std::string() : reader.error();
  };
  const std::map<std::uint64_t, std::string> complete{{0, values[0]}, {1, values[1]}, {2, values[2]}, {3, values[3]}};
  EXPECT_EQ(read_error(complete), "");
  auto suffix = complete;
  suffix.erase(0);
  EXPECT_EQ(read_error(suffix), "") << "the oldest entries are removed when they are no longer needed";
  auto without_entry_one = complete;
  without_entry_one.erase(1);
  EXPECT_NE(read_error(without_entry_one).find("ledger/000000000002 can't be read: it does not follow entry 0"), std::string::npos)
      << read_error(without_entry_one);
  auto with_outdated_entry = complete;
  with_outdated_entry[2] = outdated_values[2];
  EXPECT_NE(read_error(with_outdated_entry).find("ledger/000000000003 can't be read: it does not follow entry 2"), std::string::npos)
      << read_error(with_outdated_entry);
  // A bit is flipped in each byte of an entry in turn. Results that are not valid JSON are skipped.
  std::size_t detected = 0;
  for (std::size_t i = 0; i < values[2].size(); ++i) {
    auto altered = complete;
    altered[2][i] = static_cast<char>(altered[2][i] ^ 1);
    if (!nlohmann::json::accept(altered[2])) continue;
    EXPECT_NE(read_error(altered), "") << altered[2];
    ++detected;
  }
  EXPECT_GT(detected, 100u);
  auto with_newer_entry = complete;
  with_newer_entry[2].replace(with_newer_entry[2].find("\"level\":2"), 9, "\"level\":3");
  EXPECT_NE(read_error(with_newer_entry).find("it is of state level 3, and this build reads 1 to 2"), std::string::npos)
      << read_error(with_newer_entry);
}

TEST(LeadershipBackoff, DoublesUpToALimitAndResetsAfterAPause) {
  LeadershipBackoff backoff;
  EXPECT_EQ(backoff.remaining_s(100), 0);
  EXPECT_EQ(backoff.record_hand_over(100), 15);
  EXPECT_EQ(backoff.record_hand_over(150), 30);
  EXPECT_EQ(backoff.record_hand_over(200), 60);
  EXPECT_EQ(backoff.record_hand_over(250), 120);
  EXPECT_EQ(backoff.record_hand_over(300), 120);
  EXPECT_EQ(backoff.record_hand_over(500), 15);
  backoff.extend_until(510);
  EXPECT_EQ(backoff.remaining_s(503), 7);
}

TEST(StartStallDetector, ReportsEachStallOnce) {
  StartStallDetector detector;
  EXPECT_FALSE(detector.should_report(50));
  detector.record_planned(50);
  detector.record_planned(55);
  EXPECT_FALSE(detector.should_report(59));
  EXPECT_TRUE(detector.should_report(61));
  EXPECT_FALSE(detector.should_report(70));
  EXPECT_EQ(detector.stalled_for(70), 20);
  detector.record_started();
  EXPECT_EQ(detector.stalled_for(71), 0);
  detector.record_planned(80);
  EXPECT_TRUE(detector.should_report(91));
}

TEST(WriteRateLimiter, ReservesWritesForUsersAndNeverExceedsTheRate) {
  WriteRateLimiter limiter(40);
  double now = 100, writes = 0;
  EXPECT_EQ(limiter.delay_s(now, false), 0) << "the bucket is full at first";
  while (limiter.delay_s(now, false) == 0) limiter.charge(1), ++writes;
  EXPECT_GT(limiter.delay_s(now, false), 0);
  EXPECT_EQ(limiter.delay_s(now, true), 0) << "reserved for users";
  while (now < 110) {
    if (const double wait = limiter.delay_s(now, true); wait > 0) {
      now += wait + 1e-6;
    } else {
      limiter.charge(1), ++writes;
    }
  }
  EXPECT_LE(writes, 40 * 10.0);
  EXPECT_GT(writes, 300);
}

}  // namespace
}  // namespace thistlefront
