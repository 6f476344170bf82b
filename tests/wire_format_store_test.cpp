// Wire format of the key-value store: requests, replies, keys and values. The tests compare with literal strings or bytes, so that they
// fail if a change of the code alters what other programs read or write.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "ledger/ledger_keys.hpp"
#include "protocol/digest.hpp"
#include "protocol/ledger_format.hpp"
#include "protocol/store_messages.hpp"
#include "protocol/version_messages.hpp"
#include "rollout/format_versions.hpp"
#include "wire_format.hpp"

namespace thistlefront {
namespace {

TEST(WireFormatStore, PathsAreUnchanged) {
  EXPECT_STREQ(kTxnPath, "/txn");
  EXPECT_STREQ(kSessionLeasesPath, "/holds");
  EXPECT_EQ(store_path("ledger/000000000007"), "/store/ledger/000000000007");
  EXPECT_EQ(list_path("ledger/", ""), "/store?prefix=ledger/&page=1000");
  EXPECT_EQ(list_path("ledger/", "ledger/7"), "/store?prefix=ledger/&page=1000&from=ledger/7");
  EXPECT_EQ(watch_path("lead", 431, 10000), "/follow?prefix=lead&from=431&blockMs=10000");
  EXPECT_EQ(session_lease_path(7, true), "/holds/7/renew");
  EXPECT_EQ(session_lease_path(7, false), "/holds/7");
}

TEST(WireFormatStore, KeysAreUnchanged) {
  EXPECT_STREQ(kLeaderKeyV1, "leader");
  EXPECT_STREQ(kLeadershipPrefix, "lead");
  EXPECT_STREQ(kLeaderKeyV2, "lead");
  EXPECT_STREQ(kActiveVersionKey, "lead-level");
  EXPECT_STREQ(kVersionReadinessKey, "lead-ready");
  EXPECT_STREQ(kRegistryPrefix, "roster/");
  EXPECT_STREQ(kLedgerPrefix, "ledger/");
}

TEST(WireFormatStore, UsesAnotherLeaderKeyFromVersionTwoOn) {
  EXPECT_STREQ(leader_key_for(1), "leader");
  EXPECT_STREQ(leader_key_for(2), "lead");
  EXPECT_STREQ(leader_key_for(4), "lead");
}

TEST(WireFormatStore, PadsNumbersInKeysOfLedgerEntries) {
  EXPECT_EQ(entry_key(0), "ledger/000000000000");
  EXPECT_EQ(entry_key(31), "ledger/000000000031");
  EXPECT_EQ(entry_key(123456789012345678u), "ledger/123456789012345678");
  EXPECT_EQ(parse_key_number(entry_key(31)), 31u);
  EXPECT_EQ(parse_key_number("ledger/0031"), 31u);
}

TEST(WireFormatStore, RequestsSessionLeaseWithDurationInMilliseconds) {
  EXPECT_EQ(session_lease_body(5000), R"({"lifeMs":5000})");
  EXPECT_EQ(parse_session_lease(R"({"hold":7})"), 7u);
  EXPECT_EQ(error_message_of([] { parse_session_lease("{}"); }), "hold: missing");
}

TEST(WireFormatStore, EncodesConditionsThenPutsThenRemovalsOfATransaction) {
  EXPECT_EQ(txn_body({}, {}, {}), R"({"if":[],"apply":[]})");
  EXPECT_EQ(
      txn_body({condition("a/b", 0), condition("a/c", 412)}, {put("a/b", R"({"x":1})", 7), put("a/c", R"("text")", 0)}, {"c/d", "c/e"}),
      R"({"if":[{"path":"a/b","stamp":0},{"path":"a/c","stamp":412}],"apply":[{"set":"a/b","value":{"x":1},"hold":7},)"
      R"({"set":"a/c","value":"text"},{"remove":"c/d"},{"remove":"c/e"}]})");
}

TEST(WireFormatStore, ParsesRepliesToTransactions) {
  EXPECT_EQ(parse_txn_revision(R"({"ledgerRev":432})"), 432u);
  EXPECT_EQ(error_message_of([] { parse_txn_revision("{}"); }), "ledgerRev: missing");
  EXPECT_EQ(parse_failed_keys(R"({"failed":["a/b","a/c"],"ledgerRev":431})"), (std::vector<std::string>{"a/b", "a/c"}));
  EXPECT_EQ(error_message_of([] { parse_failed_keys("{}"); }), "failed: missing");
}

TEST(WireFormatStore, ParsesEachFieldOfARow) {
  const auto row = parse_row(R"({"path":"a/b","value":{"y":[1,2.5,null],"x":"t"},"stamp":412,"hold":7})");
  EXPECT_EQ(row.key, "a/b");
  EXPECT_EQ(row.value, R"({"x":"t","y":[1,2.5,null]})");
  EXPECT_EQ(row.mod_revision, 412u);
  EXPECT_EQ(row.session_lease, 7u);
  EXPECT_EQ(parse_row(R"({"path":"a/b","value":1,"stamp":412})").session_lease, 0u);
  EXPECT_EQ(parse_row(R"({"path":"a/b","value":1,"stamp":412,"hold":null})").session_lease, 0u);
}

TEST(WireFormatStore, ErrorNamesTheFieldMissingInARow) {
  const auto error = [](const std::string& body) { return error_message_of([&] { parse_row(body); }); };
  EXPECT_EQ(error(R"({"value":1,"stamp":412})"), "path: missing");
  EXPECT_EQ(error(R"({"path":"a/b","stamp":412})"), "value: missing");
  EXPECT_EQ(error(R"({"path":"a/b","value":1})"), "stamp: missing");
}

TEST(WireFormatStore, ParsesEachFieldOfAPageOfRows) {
  const auto rows = parse_rows(R"({"rows":[{"path":"c/8","value":{"x":1},"stamp":430},{"path":"c/9","value":"t","stamp":431,"hold":7}],)"
                               R"("truncated":true,"ledgerRev":433})");
  EXPECT_TRUE(rows.truncated);
  EXPECT_EQ(rows.revision, 433u);
  ASSERT_EQ(rows.rows.size(), 2u);
  EXPECT_EQ(rows.rows[0].key, "c/8");
  EXPECT_EQ(rows.rows[0].value, R"({"x":1})");
  EXPECT_EQ(rows.rows[0].mod_revision, 430u);
  EXPECT_EQ(rows.rows[0].session_lease, 0u);
  EXPECT_EQ(rows.rows[1].key, "c/9");
  EXPECT_EQ(rows.rows[1].value, R"("t")");
  EXPECT_EQ(rows.rows[1].mod_revision, 431u);
  EXPECT_EQ(rows.rows[1].session_lease, 7u);
  EXPECT_FALSE(parse_rows(R"({"rows":[],"truncated":false,"ledgerRev":433})").truncated);
}

// Guards against accepted jobs that are forgotten: a page without `truncated` was taken for the last one.
TEST(WireFormatStore, RefusesAPageThatLacksAField) {
  const std::string page = R"({"rows":[{"path":"ledger/000000000001","value":{"seq":7,"records":[]},"stamp":430}],)"
                           R"("truncated":false,"ledgerRev":433})";
  const auto parse_as_rows = [](const std::string& body) { parse_rows(body); };
  const auto parse_as_entries = [](const std::string& body) { parse_entries(body); };
  expect_fields_required(page, "", {}, parse_as_rows);
  expect_fields_required(page, "", {}, parse_as_entries);
  expect_fields_required(page, "/rows/0", {"value"}, parse_as_rows);     // a value may be of any kind
  expect_fields_required(page, "/rows/0", {"value"}, parse_as_entries);  // the error of a value is kept with its row
}

TEST(WireFormatStore, WatchReplyShowsWhetherAnythingChanged) {
  EXPECT_TRUE(reports_change(R"({"ledgerRev":433,"events":[{"set":"c/9","value":{},"stamp":433}]})"));
  EXPECT_TRUE(reports_change(R"({"ledgerRev":433,"events":[{"remove":"c/d","stamp":432}]})"));
  EXPECT_FALSE(reports_change(R"({"ledgerRev":433,"events":[]})"));
  EXPECT_EQ(error_message_of([] { reports_change("{}"); }), "events: missing");
}

LeaderValue leader_named(const std::string& label, std::uint64_t incarnation) {
  LeaderValue out;
  out.label = label;
  out.incarnation = incarnation;
  return out;
}

TEST(WireFormatStore, EncodesAndParsesValueOfLeaderKey) {
  EXPECT_EQ(leader_value(leader_named("host-1", 42)), R"({"incarnation":42,"label":"host-1"})");
  const auto leader = parse_leader_value(R"({"incarnation":42,"label":"host-1"})");
  EXPECT_EQ(leader.label, "host-1");
  EXPECT_EQ(leader.incarnation, 42u);
  EXPECT_EQ(error_message_of([] { parse_leader_value(R"({"incarnation":42})"); }), "label: missing");
  EXPECT_EQ(error_message_of([] { parse_leader_value(R"({"label":"host-1"})"); }), "incarnation: missing");
}

TEST(WireFormatStore, EncodesPlaceholderInVersionOneLeaderKeyAtHigherVersions) {
  EXPECT_EQ(placeholder_leader_value(2), R"~({"incarnation":0,"label":"(state level 2)"})~");
  EXPECT_EQ(placeholder_leader_value(4), R"~({"incarnation":0,"label":"(state level 4)"})~");
}

TEST(WireFormatStore, EncodesAndParsesSupportedVersions) {
  auto supported_versions = supported_versions_of_host();
  EXPECT_EQ(supported_versions_value(supported_versions), kSupportedVersionsText);
  EXPECT_EQ(parse_supported_versions(kSupportedVersionsText), supported_versions);
  supported_versions.teams_digest = 0;
  EXPECT_EQ(supported_versions_value(supported_versions), R"({"build":"0.3.0","incarnation":42,"least":1,"most":4,"wants":3})");
  EXPECT_EQ(parse_supported_versions(R"({"build":"0.3.0","incarnation":42,"least":1,"most":4,"wants":3})"), supported_versions);
  EXPECT_EQ(error_message_of([] { parse_supported_versions(R"({"build":"b","incarnation":1,"least":0,"most":1,"wants":1})"); }),
            "least: not a level");
}

TEST(WireFormatStore, EncodesAndParsesActiveVersion) {
  ActiveVersion active;
  active.format_version = 4;
  EXPECT_EQ(active_version_value(active), R"({"level":4})");
  EXPECT_EQ(parse_active_version(R"({"level":4})"), active);
  active.downgrade_to = 3;
  EXPECT_EQ(active_version_value(active), R"({"level":4,"towards":3})");
  EXPECT_EQ(parse_active_version(R"({"level":4,"towards":3})"), active);
  EXPECT_EQ(error_message_of([] { parse_active_version(R"({"level":0})"); }), "level: not a level");
}

TEST(WireFormatStore, EncodesAndParsesVersionReadiness) {
  VersionReadiness readiness;
  readiness.format_version = 2;
  readiness.since_wall_s = 100.5;
  EXPECT_EQ(version_readiness_value(readiness), R"({"at":100.5,"level":2})");
  EXPECT_EQ(parse_version_readiness(R"({"at":100.5,"level":2})"), readiness);
  EXPECT_EQ(error_message_of([] { parse_version_readiness(R"({"at":100.5,"level":0})"); }), "level: not a level");
}

TEST(WireFormatStore, FormatVersionsOfThisBuildAreUnchanged) {
  EXPECT_EQ(rollout::kMinFormatVersion, 1u);
  EXPECT_EQ(rollout::kMaxFormatVersion, 4u);
  EXPECT_STREQ(rollout::kBuild, "0.3.0");
}

rollout::LeadershipSnapshot snapshot_at_version(std::uint32_t format_version) {
  rollout::LeadershipSnapshot snapshot;
  snapshot.active.format_version = format_version;
  snapshot.active_mod_revision = format_version > 1 ? 77 : 0;
  snapshot.leader_mod_revision = 90;
  return snapshot;
}

TEST(WireFormatStore, EncodesTransactionThatAcquiresLeadership) {
  const auto body_at = [](std::uint32_t format_version) {
    return rollout::acquire_leadership_step(snapshot_at_version(format_version), supported_versions_of_host(), leader_named("host-1", 42),
                                            7)
        ->body();
  };
  EXPECT_EQ(body_at(1), R"({"if":[{"path":"leader","stamp":0},{"path":"lead-level","stamp":0}],"apply":[{"set":"leader",)"
                        R"("value":{"incarnation":42,"label":"host-1"},"hold":7}]})");
  EXPECT_EQ(body_at(4), R"({"if":[{"path":"lead","stamp":0},{"path":"lead-level","stamp":77}],"apply":[{"set":"lead",)"
                        R"("value":{"incarnation":42,"label":"host-1"},"hold":7}]})");
}

TEST(WireFormatStore, EncodesTransactionThatRaisesTheFencingToken) {
  const auto body_at = [](std::uint32_t format_version) {
    return rollout::raise_token_step(snapshot_at_version(format_version).active, leader_named("host-1", 42), 90, 7).body();
  };
  EXPECT_EQ(body_at(1),
            R"({"if":[{"path":"leader","stamp":90}],"apply":[{"set":"leader","value":{"incarnation":42,"label":"host-1"},"hold":7}]})");
  EXPECT_EQ(body_at(4),
            R"({"if":[{"path":"lead","stamp":90}],"apply":[{"set":"lead","value":{"incarnation":42,"label":"host-1"},"hold":7}]})");
}

TEST(WireFormatStore, EncodesTransactionThatReleasesLeadership) {
  EXPECT_EQ(rollout::release_leadership_step(snapshot_at_version(1)).body(),
            R"({"if":[{"path":"leader","stamp":90}],"apply":[{"remove":"leader"}]})");
  EXPECT_EQ(rollout::release_leadership_step(snapshot_at_version(4)).body(),
            R"({"if":[{"path":"lead","stamp":90}],"apply":[{"remove":"lead"}]})");
}

TEST(WireFormatStore, EncodesTransactionThatRegistersAController) {
  EXPECT_EQ(rollout::registration_step("host-1", supported_versions_of_host(), nullptr).body(),
            R"({"if":[{"path":"roster/host-1","stamp":0}],"apply":[{"set":"roster/host-1","value":{"build":"0.3.0",)"
            R"("incarnation":42,"least":1,"most":4,"teams":"00000000000000ab","wants":3}}]})");
  rollout::RegisteredController registered;
  registered.mod_revision = 12;
  EXPECT_EQ(rollout::registration_step("host-1", supported_versions_of_host(), &registered).body(),
            R"({"if":[{"path":"roster/host-1","stamp":12}],"apply":[{"set":"roster/host-1","value":{"build":"0.3.0",)"
            R"("incarnation":42,"least":1,"most":4,"teams":"00000000000000ab","wants":3}}]})");
}

// Next step of a leader at format version 1 that is the only controller and is allowed to activate version 3.
rollout::Step next_rollout_step(const rollout::LeadershipSnapshot& snapshot) {
  rollout::RegisteredController registered;
  registered.supported_versions = supported_versions_of_host();
  registered.mod_revision = 12;
  rollout::ControllerRegistry registry;
  registry["host-1"] = registered;
  rollout::LeaderState leader_state;
  leader_state.value = leader_named("host-1", 42);
  leader_state.fencing_token = 90;
  leader_state.session_lease = 7;
  return rollout::next_step(snapshot, registry, {"host-1"}, {}, leader_state, 200, 50);
}

TEST(WireFormatStore, EncodesTransactionThatStoresReadiness) {
  EXPECT_EQ(next_rollout_step(snapshot_at_version(1)).body(),
            R"({"if":[{"path":"leader","stamp":90},{"path":"lead-level","stamp":0},{"path":"lead-ready","stamp":0}],)"
            R"("apply":[{"set":"lead-ready","value":{"at":200.0,"level":3}}]})");
}

TEST(WireFormatStore, EncodesTransactionThatActivatesAVersion) {
  auto snapshot = snapshot_at_version(1);
  snapshot.readiness_mod_revision = 80;
  snapshot.readiness.emplace();
  snapshot.readiness->format_version = 3;
  snapshot.readiness->since_wall_s = 100;
  EXPECT_EQ(next_rollout_step(snapshot).body(),
            R"~({"if":[{"path":"leader","stamp":90},{"path":"lead-level","stamp":0},{"path":"lead-ready","stamp":80},)~"
            R"~({"path":"roster/host-1","stamp":12}],"apply":[{"set":"lead","value":{"incarnation":42,"label":"host-1"},"hold":7},)~"
            R"~({"set":"lead-level","value":{"level":3}},)~"
            R"~({"set":"leader","value":{"incarnation":0,"label":"(state level 3)"}},{"remove":"lead-ready"}]})~");
}

}  // namespace
}  // namespace thistlefront
