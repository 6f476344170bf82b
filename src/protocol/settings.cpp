#include "protocol/settings.hpp"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "transport/socket.hpp"

namespace thistlefront {

namespace {

// Reads fields of one table and names the field in what it throws.
class LedgerReader {
 public:
  LedgerReader(const std::string& file, const toml::table& table, std::string prefix)
      : file_(file), table_(table), prefix_(std::move(prefix)) {}

  [[noreturn]] void fail(const std::string& field, const std::string& error) const {
    throw std::runtime_error(file_ + ": " + prefix_ + field + ": " + error);
  }
  std::string text(const char* field) const {
    auto v = node(field).value_exact<std::string>();
    if (!v) fail(field, "not a string");
    if (v->empty()) fail(field, "empty");
    return *v;
  }
  std::string address(const char* field) const {
    auto v = text(field);
    if (!split_address(v)) fail(field, "not an address of the form 1.2.3.4:80");
    return v;
  }
  double number(const char* field, double least, double most) const { return checked(field, node(field).value<double>(), least, most); }
  double number_or(const char* field, double otherwise, double least, double most) const {
    if (!table_.contains(field)) return otherwise;
    return number(field, least, most);
  }
  std::uint64_t whole(const char* field, std::int64_t least, std::int64_t most) const {
    auto v = node(field).value_exact<std::int64_t>();
    if (!v) fail(field, "not a whole number");
    if (*v < least || *v > most) fail(field, "not from " + std::to_string(least) + " to " + std::to_string(most));
    return static_cast<std::uint64_t>(*v);
  }
  [[nodiscard]] bool has(const char* field) const { return table_.contains(field); }
  LedgerReader table(const char* field) const {
    const auto* t = node(field).as_table();
    if (!t) fail(field, "not a table");
    return {file_, *t, prefix_ + field + "."};
  }
  std::vector<LedgerReader> tables(const char* field) const {
    std::vector<LedgerReader> out;
    const auto* n = table_.get(field);
    if (!n) return out;
    const auto* a = n->as_array();
    if (!a) fail(field, "not a list of tables");
    for (std::size_t i = 0; i < a->size(); ++i) {
      const auto* t = a->get(i)->as_table();
      const auto name = std::string(field) + "[" + std::to_string(i) + "]";
      if (!t) fail(name, "not a table");
      out.push_back({file_, *t, prefix_ + name + "."});
    }
    return out;
  }

 private:
  const toml::node& node(const char* field) const {
    const auto* n = table_.get(field);
    if (!n) fail(field, "missing");
    return *n;
  }
  double checked(const char* field, std::optional<double> v, double least, double most) const {
    if (!v) fail(field, "not a number");
    if (!std::isfinite(*v)) fail(field, "not finite");
    if (*v < least || *v > most) {
      std::ostringstream error;
      error << "not from " << least << " to " << most;
      fail(field, error.str());
    }
    return *v;
  }

  const std::string& file_;
  const toml::table& table_;
  std::string prefix_;
};

constexpr double kDay = 86400;
constexpr std::int64_t kLeastTxnOps = 4;  // a state level is switched on by four changes at once

}  // namespace

Settings load_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + ": cannot be read");
  std::stringstream bytes;
  bytes << in.rdbuf();
  toml::table root;
  try {
    root = toml::parse(bytes.str());
  } catch (const toml::parse_error& e) {
    std::ostringstream why;
    why << path << ": line " << e.source().begin.line << ": " << e.description();
    throw std::runtime_error(why.str());
  }
  const LedgerReader top(path, root, "");
  Settings s;
  s.label = top.text("label");
  s.site = top.text("site");
  s.client_listen = top.address("client_listen");
  s.peer_listen = top.address("peer_listen");
  for (const auto& p : top.tables("peers")) s.peers.push_back({p.text("label"), p.text("site"), p.address("addr")});
  const auto endpoints = top.table("endpoints");
  s.cloud_address = endpoints.address("cloud");
  s.store_address = endpoints.address("state");
  const auto d = top.table("deployment");
  s.skew_ms = d.number_or("skew_ms", 0, 0, kDay * 1000);
  s.count = static_cast<std::size_t>(d.number_or("count", 0, 0, 1e6));
  for (const auto& t : d.tables("teams")) {
    s.teams.push_back({t.text("name"),
                       {t.number_or("cpus", 0, 0, 1e9), t.number_or("gpus", 0, 0, 1e9), 0},
                       {t.number_or("cpus_max", 0, 0, 1e9), t.number_or("gpus_max", 0, 0, 1e9), 0}});
  }
  for (const auto& o : d.tables("objectives")) {
    Settings::Objective objective;
    objective.kind = o.text("kind");
    objective.within_s = o.number_or("within_s", 0, 0, 1e9);
    objective.share = o.number_or("share", 0, 0, 1);
    // "guarantee" speaks of no class.
    if (objective.kind != "guarantee") {
      try {
        objective.job_class = o.text("class");
      } catch (const std::runtime_error&) {
        objective.job_class.clear();
      }
    }
    s.objectives.push_back(std::move(objective));
  }
  const auto w = d.table("workers");
  s.heartbeat_interval_s = w.number("report_s", 0.01, kDay);
  s.lease_s = w.number("lease_s", 0.01, kDay);
  s.gang_wait_s = w.number("gang_wait_s", 0, kDay);
  s.gang_peer_s = w.number("gang_peer_s", 0, kDay);
  s.cancel_s = w.number("cancel_s", 0, kDay);
  const auto st = d.table("state");
  s.state_rps = st.number("rps", 1, 1e9);
  s.state_write_rps = st.number("write_rps", 1, 1e9);
  s.value_kb = st.number("value_kb", 1, 1e6);
  s.txn_ops = st.whole("txn_ops", kLeastTxnOps, 1000000);
  // They come in force without notice, and what is stored must fit then: kept to from the first write on.
  if (st.has("next")) {
    const auto next = st.table("next");
    s.state_rps = std::min(s.state_rps, next.number_or("rps", s.state_rps, 1, 1e9));
    s.state_write_rps = std::min(s.state_write_rps, next.number_or("write_rps", s.state_write_rps, 1, 1e9));
    s.value_kb = std::min(s.value_kb, next.number_or("value_kb", s.value_kb, 1, 1e6));
    if (next.has("txn_ops")) s.txn_ops = std::min(s.txn_ops, next.whole("txn_ops", kLeastTxnOps, 1000000));
  }
  const auto c = d.table("cloud");
  s.cloud_rps = c.number("rps", 0.01, 1e9);
  s.list_lag_s = c.number("list_lag_s", 0, kDay);
  const auto l = d.table("limits");
  s.cpu = l.number("cpu", 0.0001, 1e6);
  s.memory_mb = l.number("memory_mb", 1, 1e9);
  s.max_sockets = l.whole("max_sockets", 16, 100000000);
  return s;
}

}  // namespace thistlefront
