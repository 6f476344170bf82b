// Format of the settings file. The tests compare with literal strings or bytes, so that they fail if a change of the code alters what other
// programs read or write.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <string_view>

#include "model/resources.hpp"
#include "protocol/settings.hpp"
#include "wire_format.hpp"

namespace thistlefront {
namespace {

const std::string kSettingsText = R"(label = "host-0"
site = "north"
client_listen = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
of_a_later_version = 1

[[peers]]
label = "host-1"
site = "south"
addr = "10.0.0.2:8081"

[[peers]]
label = "host-2"
site = "north"
addr = "10.0.0.3:8081"

[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[deployment]
count = 3
zones = ["north", "south"]
skew_ms = 25.0

[[deployment.teams]]
name = "red"
cpus = 192.0
cpus_max = 424.0
gpus = 16.0
gpus_max = 64.0

[[deployment.teams]]
name = "blue"

[[deployment.objectives]]
kind = "wait"
class = "viewer"
within_s = 1.5
share = 0.95

[[deployment.objectives]]
kind = "finished"
class = "train"
within_s = 300
share = 0.82

[[deployment.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.94

[deployment.workers]
report_s = 1.25
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 40.0

[deployment.state]
rps = 250.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 16

[deployment.cloud]
rps = 6.5
list_lag_s = 4.0

[deployment.limits]
cpu = 0.064
memory_mb = 56.0
max_sockets = 900
)";

// A temporary settings file, removed at the end of the test.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text) : path_(testing::TempDir() + "wire_format_" + std::to_string(getpid()) + ".toml") {
    std::ofstream(path_) << text;
  }
  ~SettingsFile() { std::remove(path_.c_str()); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

Settings settings_of(const std::string& text) {
  const SettingsFile file(text);
  return load_settings(file.path());
}

// The error message without the file's path at its beginning. Marks a message that lacks the path.
std::string settings_error(const std::string& text) {
  const SettingsFile file(text);
  const auto error = error_message_of([&] { load_settings(file.path()); });
  const auto prefix = file.path() + ": ";
  return error.starts_with(prefix) ? error.substr(prefix.size()) : "without the path: " + error;
}

TEST(WireFormatSettings, ReadsAddressesAndPeers) {
  const auto settings = settings_of(kSettingsText);
  EXPECT_EQ(settings.label, "host-0");
  EXPECT_EQ(settings.site, "north");
  EXPECT_EQ(settings.client_listen, "10.0.0.1:8080");
  EXPECT_EQ(settings.peer_listen, "10.0.0.1:8081");
  ASSERT_EQ(settings.peers.size(), 2u);
  EXPECT_EQ(settings.peers[0].label, "host-1");
  EXPECT_EQ(settings.peers[0].site, "south");
  EXPECT_EQ(settings.peers[0].address, "10.0.0.2:8081");
  EXPECT_EQ(settings.peers[1].label, "host-2");
  EXPECT_EQ(settings.peers[1].site, "north");
  EXPECT_EQ(settings.peers[1].address, "10.0.0.3:8081");
  EXPECT_EQ(settings.cloud_address, "10.2.0.2:8443");
  EXPECT_EQ(settings.store_address, "10.2.0.1:2379");
}

TEST(WireFormatSettings, ReadsTeams) {
  const auto settings = settings_of(kSettingsText);
  ASSERT_EQ(settings.teams.size(), 2u);
  EXPECT_EQ(settings.teams[0].name, "red");
  EXPECT_EQ(settings.teams[0].guarantee, resources(192, 16, 0));
  EXPECT_EQ(settings.teams[0].limit, resources(424, 64, 0));
  EXPECT_EQ(settings.teams[1].name, "blue");
  EXPECT_EQ(settings.teams[1].guarantee, resources(0, 0, 0));
  EXPECT_EQ(settings.teams[1].limit, resources(0, 0, 0));
}

TEST(WireFormatSettings, ReadsObjectives) {
  const auto settings = settings_of(kSettingsText);
  ASSERT_EQ(settings.objectives.size(), 3u);
  EXPECT_EQ(settings.objectives[0].kind, "wait");
  EXPECT_EQ(settings.objectives[0].job_class, "viewer");
  EXPECT_EQ(settings.objectives[0].within_s, 1.5);
  EXPECT_EQ(settings.objectives[0].fraction, 0.95);
  EXPECT_EQ(settings.objectives[1].kind, "finished");
  EXPECT_EQ(settings.objectives[1].job_class, "train");
  EXPECT_EQ(settings.objectives[1].within_s, 300);
  EXPECT_EQ(settings.objectives[1].fraction, 0.82);
  EXPECT_EQ(settings.objectives[2].kind, "guarantee");
  EXPECT_EQ(settings.objectives[2].job_class, "");
  EXPECT_EQ(settings.objectives[2].within_s, 5);
  EXPECT_EQ(settings.objectives[2].fraction, 0.94);
}

TEST(WireFormatSettings, ReadsTimesAndLimits) {
  const auto settings = settings_of(kSettingsText);
  EXPECT_EQ(settings.controller_count, 3u);
  EXPECT_EQ(settings.max_clock_skew_ms, 25);
  EXPECT_EQ(settings.heartbeat_interval_s, 1.25);
  EXPECT_EQ(settings.lease_s, 10);
  EXPECT_EQ(settings.gang_wait_s, 50);
  EXPECT_EQ(settings.gang_peer_s, 6);
  EXPECT_EQ(settings.cancel_s, 40);
  EXPECT_EQ(settings.store_rps, 250);
  EXPECT_EQ(settings.store_write_rps, 100);
  EXPECT_EQ(settings.max_value_kb, 8);
  EXPECT_EQ(settings.max_txn_ops, 16u);
  EXPECT_EQ(settings.cloud_rps, 6.5);
  EXPECT_EQ(settings.list_lag_s, 4);
  EXPECT_EQ(settings.cpu, 0.064);
  EXPECT_EQ(settings.memory_mb, 56);
  EXPECT_EQ(settings.max_sockets, 900u);
}

TEST(WireFormatSettings, AppliesMinimumOfPresentAndAnnouncedStoreLimits) {
  const std::string next = "txn_ops = 16\n[deployment.state.next]\nrps = 200.0\nwrite_rps = 120.0\nvalue_kb = 4.0\ntxn_ops = 8\n";
  const auto settings = settings_of(replaced(kSettingsText, "txn_ops = 16\n", next));
  EXPECT_EQ(settings.store_rps, 200);
  EXPECT_EQ(settings.store_write_rps, 100);
  EXPECT_EQ(settings.max_value_kb, 4);
  EXPECT_EQ(settings.max_txn_ops, 8u);
}

TEST(WireFormatSettings, DefaultsOmittedOptionalFields) {
  auto text = without(kSettingsText, "share = 0.95\n");
  text = replaced(text, "kind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.94\n", "kind = \"of a later version\"\nclass = 7\n");
  const auto settings = settings_of(text);
  EXPECT_EQ(settings.objectives.at(0).fraction, 0);
  EXPECT_EQ(settings.objectives.at(2).job_class, "");
  EXPECT_EQ(settings.objectives.at(2).within_s, 0);
  EXPECT_EQ(settings.objectives.at(2).fraction, 0);
}

TEST(WireFormatSettings, ErrorNamesTheMissingFieldAndItsTable) {
  const auto error = [](std::string_view line) { return settings_error(without(kSettingsText, line)); };
  EXPECT_EQ(error("label = \"host-0\"\n"), "label: missing");
  EXPECT_EQ(error("site = \"north\"\n"), "site: missing");
  EXPECT_EQ(error("client_listen = \"10.0.0.1:8080\"\n"), "client_listen: missing");
  EXPECT_EQ(error("peer_listen = \"10.0.0.1:8081\"\n"), "peer_listen: missing");
  EXPECT_EQ(error("label = \"host-1\"\n"), "peers[0].label: missing");
  EXPECT_EQ(error("site = \"south\"\n"), "peers[0].site: missing");
  EXPECT_EQ(error("addr = \"10.0.0.3:8081\"\n"), "peers[1].addr: missing");
  EXPECT_EQ(error("cloud = \"10.2.0.2:8443\"\n"), "endpoints.cloud: missing");
  EXPECT_EQ(error("state = \"10.2.0.1:2379\"\n"), "endpoints.state: missing");
  EXPECT_EQ(error("name = \"blue\"\n"), "deployment.teams[1].name: missing");
  EXPECT_EQ(error("kind = \"finished\"\n"), "deployment.objectives[1].kind: missing");
  EXPECT_EQ(error("class = \"viewer\"\n"), "deployment.objectives[0].class: missing");
  EXPECT_EQ(error("within_s = 1.5\n"), "deployment.objectives[0].within_s: missing");
  EXPECT_EQ(error("class = \"train\"\n"), "deployment.objectives[1].class: missing");
  EXPECT_EQ(error("within_s = 300\n"), "deployment.objectives[1].within_s: missing");
  EXPECT_EQ(error("count = 3\n"), "deployment.count: missing");
  EXPECT_EQ(error("skew_ms = 25.0\n"), "deployment.skew_ms: missing");
  EXPECT_EQ(error("report_s = 1.25\n"), "deployment.workers.report_s: missing");
  EXPECT_EQ(error("lease_s = 10.0\n"), "deployment.workers.lease_s: missing");
  EXPECT_EQ(error("gang_wait_s = 50.0\n"), "deployment.workers.gang_wait_s: missing");
  EXPECT_EQ(error("gang_peer_s = 6.0\n"), "deployment.workers.gang_peer_s: missing");
  EXPECT_EQ(error("cancel_s = 40.0\n"), "deployment.workers.cancel_s: missing");
  EXPECT_EQ(error("rps = 250.0\n"), "deployment.state.rps: missing");
  EXPECT_EQ(error("write_rps = 100.0\n"), "deployment.state.write_rps: missing");
  EXPECT_EQ(error("value_kb = 8.0\n"), "deployment.state.value_kb: missing");
  EXPECT_EQ(error("txn_ops = 16\n"), "deployment.state.txn_ops: missing");
  EXPECT_EQ(error("rps = 6.5\n"), "deployment.cloud.rps: missing");
  EXPECT_EQ(error("list_lag_s = 4.0\n"), "deployment.cloud.list_lag_s: missing");
  EXPECT_EQ(error("cpu = 0.064\n"), "deployment.limits.cpu: missing");
  EXPECT_EQ(error("memory_mb = 56.0\n"), "deployment.limits.memory_mb: missing");
  EXPECT_EQ(error("max_sockets = 900\n"), "deployment.limits.max_sockets: missing");
}

TEST(WireFormatSettings, ErrorNamesTheMissingTable) {
  const auto error = [](std::string_view table) { return settings_error(replaced(kSettingsText, table, "[other]")); };
  EXPECT_EQ(error("[endpoints]"), "endpoints: missing");
  const auto without_teams = replaced(replaced(kSettingsText, "[[deployment.teams]]", "[[other]]"), "[[deployment.teams]]", "[[other]]");
  EXPECT_EQ(settings_error(without_teams), "deployment.teams: missing");
  EXPECT_EQ(error("[deployment.workers]"), "deployment.workers: missing");
  EXPECT_EQ(error("[deployment.state]"), "deployment.state: missing");
  EXPECT_EQ(error("[deployment.cloud]"), "deployment.cloud: missing");
  EXPECT_EQ(error("[deployment.limits]"), "deployment.limits: missing");
}

TEST(WireFormatSettings, ErrorNamesTheInvalidFieldAndTheReason) {
  const auto error = [](std::string_view line, std::string_view other) { return settings_error(replaced(kSettingsText, line, other)); };
  EXPECT_EQ(error("label = \"host-0\"", "label = 7"), "label: not a string");
  EXPECT_EQ(error("label = \"host-0\"", "label = \"\""), "label: empty");
  EXPECT_EQ(error("\"10.0.0.1:8080\"", "\"host:80\""), "client_listen: not an address of the form 1.2.3.4:80");
  EXPECT_EQ(error("\"10.0.0.2:8081\"", "\"10.0.0.2\""), "peers[0].addr: not an address of the form 1.2.3.4:80");
  EXPECT_EQ(error("report_s = 1.25", "report_s = \"1.25\""), "deployment.workers.report_s: not a number");
  EXPECT_EQ(error("report_s = 1.25", "report_s = inf"), "deployment.workers.report_s: not finite");
  EXPECT_EQ(error("report_s = 1.25", "report_s = 0"), "deployment.workers.report_s: not from 0.01 to 86400");
  EXPECT_EQ(error("txn_ops = 16", "txn_ops = 16.0"), "deployment.state.txn_ops: not a whole number");
  EXPECT_EQ(error("txn_ops = 16", "txn_ops = 3"), "deployment.state.txn_ops: not from 4 to 1000000");
  EXPECT_EQ(
      error("[endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n", "[endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = 1\n"),
      "endpoints.state: not a string");
}

TEST(WireFormatSettings, ErrorNamesTheFileThatCannotBeRead) {
  EXPECT_EQ(error_message_of([] { load_settings("/nowhere/settings.toml"); }), "/nowhere/settings.toml: cannot be read");
}

TEST(WireFormatSettings, ErrorNamesTheLineOfASyntaxError) {
  EXPECT_EQ(settings_error("label = \"a\"\nsite = \n").substr(0, 8), "line 2: ");
}

}  // namespace
}  // namespace thistlefront
