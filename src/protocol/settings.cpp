#include "protocol/settings.hpp"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "transport/socket.hpp"

namespace thistlefront {

namespace {

constexpr double kDaySeconds = 86400;
constexpr double kMinIntervalSeconds = 0.01;
constexpr double kMaxAmount = 1e9;  // for numbers without a limit of their own
constexpr double kMaxControllers = 1e6;
constexpr double kMaxValueKb = 1e6;
constexpr double kMinCpu = 0.0001, kMaxCpu = 1e6;  // processor cores
constexpr double kMinCloudRps = 0.01;
constexpr std::int64_t kMinTxnOps = 4;  // activating a format version changes four keys in one transaction
constexpr std::int64_t kMaxTxnOps = 1000000;
constexpr std::int64_t kMinSockets = 16, kMaxSockets = 100000000;

// Reads the fields of one table. Throws SettingsError with the full path of the field.
class TableReader {
 public:
  TableReader(const std::string& file, const toml::table& table, std::string prefix)
      : file_(file), table_(table), prefix_(std::move(prefix)) {}

  [[noreturn]] void fail(const std::string& field, const std::string& reason) const { throw SettingsError(file_, prefix_ + field, reason); }
  std::string text(const char* field) const {
    auto value = value_of(field).value_exact<std::string>();
    if (!value) fail(field, "not a string");
    if (value->empty()) fail(field, "empty");
    return *value;
  }
  std::string address(const char* field) const {
    auto address = text(field);
    if (!split_address(address)) fail(field, "not an address of the form 1.2.3.4:80");
    return address;
  }
  double number(const char* field, double min, double max) const { return checked(field, value_of(field).value<double>(), min, max); }
  double number_or(const char* field, double default_value, double min, double max) const {
    if (!table_.contains(field)) return default_value;
    return number(field, min, max);
  }
  std::uint64_t whole_number(const char* field, std::int64_t min, std::int64_t max) const {
    const auto value = value_of(field).value_exact<std::int64_t>();
    if (!value) fail(field, "not a whole number");
    if (*value < min || *value > max) fail(field, "not from " + std::to_string(min) + " to " + std::to_string(max));
    return static_cast<std::uint64_t>(*value);
  }
  [[nodiscard]] bool has(const char* field) const { return table_.contains(field); }
  [[nodiscard]] bool has_text(const char* field) const { return table_[field].is_string(); }
  TableReader table(const char* field) const {
    const auto* found = value_of(field).as_table();
    if (!found) fail(field, "not a table");
    return {file_, *found, prefix_ + field + "."};
  }
  std::vector<TableReader> required_tables(const char* field) const {
    if (!has(field)) fail(field, "missing");
    return tables(field);
  }
  std::vector<TableReader> tables(const char* field) const {
    std::vector<TableReader> out;
    const auto* found = table_.get(field);
    if (!found) return out;
    const auto* array = found->as_array();
    if (!array) fail(field, "not a list of tables");
    for (std::size_t i = 0; i < array->size(); ++i) {
      const auto* item = array->get(i)->as_table();
      const auto name = std::string(field) + "[" + std::to_string(i) + "]";
      if (!item) fail(name, "not a table");
      out.push_back({file_, *item, prefix_ + name + "."});
    }
    return out;
  }

 private:
  const toml::node& value_of(const char* field) const {
    const auto* found = table_.get(field);
    if (!found) fail(field, "missing");
    return *found;
  }
  double checked(const char* field, std::optional<double> value, double min, double max) const {
    if (!value) fail(field, "not a number");
    if (!std::isfinite(*value)) fail(field, "not finite");
    if (*value < min || *value > max) {
      std::ostringstream reason;
      reason << "not from " << min << " to " << max;
      fail(field, reason.str());
    }
    return *value;
  }

  const std::string& file_;
  const toml::table& table_;
  std::string prefix_;
};

toml::table read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw SettingsError(path, "", "cannot be read");
  std::stringstream bytes;
  bytes << in.rdbuf();
  try {
    return toml::parse(bytes.str());
  } catch (const toml::parse_error& e) {
    throw SettingsError(path, "line " + std::to_string(e.source().begin.line), std::string(e.description()));
  }
}

void read_identity(const TableReader& top, Settings& settings) {
  settings.label = top.text("label");
  settings.site = top.text("site");
  settings.client_listen = top.address("client_listen");
  settings.peer_listen = top.address("peer_listen");
  for (const auto& peer : top.tables("peers")) settings.peers.push_back({peer.text("label"), peer.text("site"), peer.address("addr")});
}

void read_endpoints(const TableReader& endpoints, Settings& settings) {
  settings.cloud_address = endpoints.address("cloud");
  settings.store_address = endpoints.address("state");
}

Settings::Team read_team(const TableReader& team) {
  return {team.text("name"),
          {team.number_or("cpus", 0, 0, kMaxAmount), team.number_or("gpus", 0, 0, kMaxAmount), 0},
          {team.number_or("cpus_max", 0, 0, kMaxAmount), team.number_or("gpus_max", 0, 0, kMaxAmount), 0}};
}

// Objectives that limit a delay need their class and time. Other kinds, also ones that this build does not know, may omit them.
Settings::Objective read_objective(const TableReader& table) {
  Settings::Objective objective;
  objective.kind = table.text("kind");
  const bool limits_delay = objective.kind == "wait" || objective.kind == "finished";
  if (limits_delay || table.has("within_s")) objective.within_s = table.number("within_s", 0, kMaxAmount);
  objective.fraction = table.number_or("share", 0, 0, 1);
  if (objective.kind == "guarantee") return objective;
  if (limits_delay || table.has_text("class")) objective.job_class = table.text("class");
  return objective;
}

void read_workers(const TableReader& workers, Settings& settings) {
  settings.heartbeat_interval_s = workers.number("report_s", kMinIntervalSeconds, kDaySeconds);
  settings.lease_s = workers.number("lease_s", kMinIntervalSeconds, kDaySeconds);
  settings.gang_wait_s = workers.number("gang_wait_s", 0, kDaySeconds);
  settings.gang_peer_s = workers.number("gang_peer_s", 0, kDaySeconds);
  settings.cancel_s = workers.number("cancel_s", 0, kDaySeconds);
}

// The announced limits take effect without notice, and values stored before must already comply with them. They are therefore
// applied from the first write on.
void apply_next_store_limits(const TableReader& next, Settings& settings) {
  const auto min_limit = [&](const char* field, double present, double max) {
    return std::min(present, next.number_or(field, present, 1, max));
  };
  settings.store_rps = min_limit("rps", settings.store_rps, kMaxAmount);
  settings.store_write_rps = min_limit("write_rps", settings.store_write_rps, kMaxAmount);
  settings.max_value_kb = min_limit("value_kb", settings.max_value_kb, kMaxValueKb);
  if (next.has("txn_ops")) settings.max_txn_ops = std::min(settings.max_txn_ops, next.whole_number("txn_ops", kMinTxnOps, kMaxTxnOps));
}

void read_store(const TableReader& store, Settings& settings) {
  settings.store_rps = store.number("rps", 1, kMaxAmount);
  settings.store_write_rps = store.number("write_rps", 1, kMaxAmount);
  settings.max_value_kb = store.number("value_kb", 1, kMaxValueKb);
  settings.max_txn_ops = store.whole_number("txn_ops", kMinTxnOps, kMaxTxnOps);
  if (store.has("next")) apply_next_store_limits(store.table("next"), settings);
}

void read_cloud(const TableReader& cloud, Settings& settings) {
  settings.cloud_rps = cloud.number("rps", kMinCloudRps, kMaxAmount);
  settings.list_lag_s = cloud.number("list_lag_s", 0, kDaySeconds);
}

void read_limits(const TableReader& limits, Settings& settings) {
  settings.cpu = limits.number("cpu", kMinCpu, kMaxCpu);
  settings.memory_mb = limits.number("memory_mb", 1, kMaxAmount);
  settings.max_sockets = limits.whole_number("max_sockets", kMinSockets, kMaxSockets);
}

void read_deployment(const TableReader& deployment, Settings& settings) {
  settings.max_clock_skew_ms = deployment.number("skew_ms", 0, kDaySeconds * 1000);
  settings.controller_count = static_cast<std::size_t>(deployment.number("count", 0, kMaxControllers));
  for (const auto& team : deployment.required_tables("teams")) settings.teams.push_back(read_team(team));
  for (const auto& objective : deployment.tables("objectives")) settings.objectives.push_back(read_objective(objective));
  read_workers(deployment.table("workers"), settings);
  read_store(deployment.table("state"), settings);
  read_cloud(deployment.table("cloud"), settings);
  read_limits(deployment.table("limits"), settings);
}

std::string error_line(const std::string& file, const std::string& field, const std::string& reason) {
  return file + ": " + (field.empty() ? "" : field + ": ") + reason;
}

}  // namespace

SettingsError::SettingsError(std::string file, std::string field, std::string reason)
    : std::runtime_error(error_line(file, field, reason)), file_(std::move(file)), field_(std::move(field)), reason_(std::move(reason)) {}

// The order of these calls decides which of several invalid fields is reported.
Settings load_settings(const std::string& path) {
  const toml::table root = read_file(path);
  const TableReader top(path, root, "");
  Settings settings;
  read_identity(top, settings);
  read_endpoints(top.table("endpoints"), settings);
  read_deployment(top.table("deployment"), settings);
  return settings;
}

}  // namespace thistlefront
