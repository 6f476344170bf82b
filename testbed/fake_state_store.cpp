#include "testbed/fake_state_store.hpp"

#include <chrono>

namespace thistlefront::test_support {

namespace {
using json = nlohmann::json;

constexpr int kServerConnections = 50;
constexpr std::chrono::milliseconds kTimerInterval{10};
constexpr double kLostReplyDelayS = 1.7;  // longer than a controller waits for a reply
constexpr double kMinTransactionDelayS = 1.8;
constexpr double kDuplicateDelayS = 1.0;
constexpr double kDelayedTakeoverLeaseS = 1.3;
constexpr const char* kUnavailable = R"({"error":"trouble"})";

// A query parameter of a request; empty: not given.
std::string query_parameter(const std::string& target, const std::string& name) {
  const auto position = target.find(name + "=");
  if (position == std::string::npos) return "";
  const auto from = position + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

// Whether a transaction sets or removes a key with this prefix.
bool changes_prefix(const json& transaction, const std::string& prefix) {
  const auto changes = transaction.value("apply", json::array());
  return std::any_of(changes.begin(), changes.end(),
                     [&](const auto& change) { return change.value("set", change.value("remove", std::string())).starts_with(prefix); });
}
}  // namespace

FakeStateStore::FakeStateStore(std::size_t endpoints, unsigned seed) : random_(seed) {
  for (std::size_t i = 0; i < endpoints; ++i) {
    auto& endpoint = endpoints_.emplace_back();
    endpoint.server = std::make_unique<HttpServer>(endpoint.address, kServerConnections,
                                                   [this, &endpoint](const HttpCall& call) { return serve(endpoint, call); });
  }
  timer_thread_ = std::jthread([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(kTimerInterval);
      std::lock_guard lock(mutex_);
      process_due_events();
    }
  });
}

FakeStateStore::~FakeStateStore() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  for (auto& endpoint : endpoints_) endpoint.server->stop();
}

FakeStateStore::Endpoint& FakeStateStore::endpoint(std::size_t i) {
  return *std::next(endpoints_.begin(), static_cast<std::ptrdiff_t>(i));
}

// ---- interface for tests

void FakeStateStore::set_limits(std::size_t max_value_bytes, std::size_t max_changes) {
  std::lock_guard lock(mutex_);
  max_value_bytes_ = max_value_bytes;
  max_changes_ = max_changes;
}

void FakeStateStore::expire_session_leases() {
  std::lock_guard lock(mutex_);
  for (auto& [id, session_lease] : session_leases_) session_lease.expires_at = 0;
  process_due_events();
}

void FakeStateStore::set_outage(bool is_out) {
  std::lock_guard lock(mutex_);
  apply_outage(is_out);
}

std::string FakeStateStore::leader() {
  std::lock_guard lock(mutex_);
  const auto it = keys_.find(leader_key());
  return it == keys_.end() ? "" : it->second.value.at("label").get<std::string>();
}

std::uint64_t FakeStateStore::fencing_token() {
  std::lock_guard lock(mutex_);
  return revision_of(leader_key());
}

std::map<std::string, std::string> FakeStateStore::ledger_entries() {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::string> out;
  for (const auto& [name, key] : keys_)
    if (name.starts_with("ledger/")) out[name] = key.value.dump();
  return out;
}

std::string FakeStateStore::value(const std::string& key) {
  std::lock_guard lock(mutex_);
  const auto it = keys_.find(key);
  return it == keys_.end() ? "" : it->second.value.dump();
}

std::uint64_t FakeStateStore::mod_revision(const std::string& key) {
  std::lock_guard lock(mutex_);
  return revision_of(key);
}

void FakeStateStore::put(const std::string& key, const std::string& value) {
  std::lock_guard lock(mutex_);
  keys_[key] = {json::parse(value), ++revision_, 0};
  latest_changes_[key] = revision_;
  changed_.notify_all();
}

void FakeStateStore::remove(const std::string& key) {
  std::lock_guard lock(mutex_);
  keys_.erase(key);
  latest_changes_[key] = ++revision_;
  changed_.notify_all();
}

std::string FakeStateStore::leader_key_name() const {
  std::lock_guard lock(mutex_);
  return leader_key();
}

// ---- time and outages

std::string FakeStateStore::leader_key() const {
  const auto it = keys_.find("lead-level");
  return it != keys_.end() && it->second.value.at("level") > 1 ? "lead" : "leader";
}

void FakeStateStore::apply_outage(bool is_out) {
  if (outage_ && !is_out)
    for (auto& [id, session_lease] : session_leases_) session_lease.expires_at = steady_now() + session_lease.duration_s;
  outage_ = is_out;
  for (auto& endpoint : endpoints_) endpoint.rejects_requests = is_out;
}

void FakeStateStore::process_due_events() {
  const double now = steady_now();
  if (!outage_) expire_due_session_leases(now);
  execute_delayed(now);
}

void FakeStateStore::expire_due_session_leases(double now) {
  for (auto it = session_leases_.begin(); it != session_leases_.end();) {
    if (now < it->second.expires_at) {
      ++it;
      continue;
    }
    std::erase_if(keys_, [&](const auto& entry) {
      const bool attached = entry.second.session_lease == it->first;
      if (attached) latest_changes_[entry.first] = ++revision_;
      return attached;
    });
    it = session_leases_.erase(it);
    changed_.notify_all();
  }
}

void FakeStateStore::execute_delayed(double now) {
  for (auto it = delayed_transactions_.begin(); it != delayed_transactions_.end();) {
    if (now < it->execute_at) {
      ++it;
      continue;
    }
    ++delayed_executions_;
    execute(it->transaction);
    it = delayed_transactions_.erase(it);
  }
}

// ---- requests

HttpReply FakeStateStore::serve(Endpoint& endpoint, const HttpCall& call) {
  const std::string target(call.target);
  if (endpoint.latency_s > 0 && target == "/txn") std::this_thread::sleep_for(std::chrono::duration<double>(endpoint.latency_s.load()));
  Lock lock(mutex_);
  const bool counts_for_crash = !target.starts_with("/follow") && !target.ends_with("/renew");
  if (counts_for_crash && endpoint.requests_before_crash >= 0) {
    --endpoint.requests_before_crash;
    if (endpoint.requests_before_crash < 0) return simulate_crash(endpoint, lock, call);
  }
  HttpReply reply = dispatch(endpoint, lock, call);
  while (endpoint.holds_replies && !stopping_) changed_.wait_for(lock, std::chrono::milliseconds(20));
  return reply;
}

HttpReply FakeStateStore::simulate_crash(Endpoint& endpoint, Lock& lock, const HttpCall& call) {
  if (endpoint.executes_last_request) dispatch(endpoint, lock, call);
  endpoint.crash_reached = true;
  while (endpoint.crash_reached && !stopping_) changed_.wait_for(lock, std::chrono::milliseconds(2));
  HttpReply reply{503, "{}"};
  reply.close_connection = true;
  return reply;
}

HttpReply FakeStateStore::dispatch(Endpoint& endpoint, Lock& lock, const HttpCall& call) {
  const std::string target(call.target), body(call.body);
  if (target.starts_with("/follow")) return watch(endpoint, lock, target);
  if (target.starts_with("/store?prefix=ledger/") && outage_at_ledger_read.exchange(false)) apply_outage(true);
  if (endpoint.rejects_requests) return {503, kUnavailable};
  process_due_events();
  constexpr std::string_view kLeasePath = "/holds/", kKeyPath = "/store/";
  if (target == "/txn") return transact(endpoint, lock, json::parse(body));
  if (target == "/holds") return grant_session_lease(body);
  if (target.starts_with(kLeasePath))
    return change_session_lease(endpoint, std::stoull(target.substr(kLeasePath.size())), call.method == "DELETE");
  if (target.starts_with("/store?")) return list(target);
  return read(target.substr(kKeyPath.size()));
}

HttpReply FakeStateStore::watch(const Endpoint& endpoint, Lock& lock, const std::string& target) {
  const auto prefix = query_parameter(target, "prefix");
  const auto from = std::stoull(query_parameter(target, "from"));
  const double until = steady_now() + std::stod(query_parameter(target, "blockMs")) / 1000;
  const auto changed = [&] {
    return std::any_of(latest_changes_.begin(), latest_changes_.end(),
                       [&](const auto& change) { return change.second > from && change.first.starts_with(prefix); });
  };
  if (endpoint.rejects_requests && until <= steady_now()) return {503, kUnavailable};
  while (!stopping_ && steady_now() < until && (endpoint.rejects_requests || !changed()))
    changed_.wait_for(lock, std::chrono::milliseconds(20));
  json events = json::array();
  for (const auto& [key, revision] : latest_changes_) {
    if (revision <= from || !key.starts_with(prefix)) continue;
    const auto it = keys_.find(key);
    events.push_back(it == keys_.end() ? json{{"remove", key}, {"stamp", revision}}
                                       : json{{"set", key}, {"value", it->second.value}, {"stamp", revision}});
  }
  return {200, json{{"ledgerRev", revision_}, {"events", events}}.dump()};
}

HttpReply FakeStateStore::transact(Endpoint& endpoint, Lock& lock, const json& transaction) {
  if (endpoint.delays_takeover && takes_leader_key(transaction)) {
    if (delayed_takeover_.is_null()) {
      delayed_takeover_ = transaction;
      return lose_reply(lock);
    }
    for (const auto& change : delayed_takeover_.at("apply"))
      if (const auto id = change.value("hold", std::uint64_t{0}))
        session_leases_[id] = {kDelayedTakeoverLeaseS, steady_now() + kDelayedTakeoverLeaseS};
    execute(std::exchange(delayed_takeover_, json()));
    endpoint.delays_takeover = false;
  }
  if (draw_with_probability(endpoint.duplicate_probability))
    delayed_transactions_.push_back({steady_now() + kDuplicateDelayS, transaction});
  if (draw_with_probability(endpoint.delay_probability)) {
    const double max_delay_s = std::max(kMinTransactionDelayS + 0.01, endpoint.max_delay_s.load());
    const double delay_s = std::uniform_real_distribution<double>(kMinTransactionDelayS, max_delay_s)(random_);
    delayed_transactions_.push_back({steady_now() + delay_s, transaction});
    return lose_reply(lock);
  }
  auto reply = execute(transaction);
  if (const char* prefix = endpoint.lose_next_reply_for; prefix && reply.status == 200 && changes_prefix(transaction, prefix)) {
    endpoint.lose_next_reply_for = nullptr;
    ++endpoint.lost_replies;
    return lose_reply(lock);
  }
  return draw_with_probability(endpoint.reply_loss_probability) ? lose_reply(lock) : reply;
}

HttpReply FakeStateStore::grant_session_lease(const std::string& body) {
  const double duration_s = json::parse(body).at("lifeMs").get<double>() / 1000;
  session_leases_[++last_session_lease_id_] = {duration_s, steady_now() + duration_s};
  return {200, json{{"hold", last_session_lease_id_}}.dump()};
}

HttpReply FakeStateStore::change_session_lease(const Endpoint& endpoint, std::uint64_t id, bool deletes) {
  const auto it = session_leases_.find(id);
  if (it == session_leases_.end()) return {404, "{}"};
  if (deletes && endpoint.delays_takeover) return {503, kUnavailable};
  it->second.expires_at = deletes ? 0 : steady_now() + it->second.duration_s;
  process_due_events();
  return {200, "{}"};
}

HttpReply FakeStateStore::list(const std::string& target) const {
  json rows = json::array();
  const auto prefix = query_parameter(target, "prefix"), from = query_parameter(target, "from");
  for (const auto& [name, key] : keys_)
    if (name.starts_with(prefix) && name > from) rows.push_back({{"path", name}, {"value", key.value}, {"stamp", key.mod_revision}});
  return {200, json{{"rows", rows}, {"truncated", false}, {"ledgerRev", revision_}}.dump()};
}

HttpReply FakeStateStore::read(const std::string& key) const {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return {404, json{{"ledgerRev", revision_}}.dump()};
  json row{{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.mod_revision}};
  if (it->second.session_lease) row["hold"] = it->second.session_lease;
  return {200, row.dump()};
}

HttpReply FakeStateStore::lose_reply(Lock& lock) {
  const double until = steady_now() + kLostReplyDelayS;
  while (!stopping_ && steady_now() < until) changed_.wait_for(lock, std::chrono::milliseconds(50));
  HttpReply reply{503, "{}"};
  reply.close_connection = true;
  return reply;
}

// ---- transactions

HttpReply FakeStateStore::execute(const json& transaction) {
  const auto changes = transaction.value("apply", json::array());
  if (exceeds_limits(changes)) {
    ++oversized_transactions_;
    return {400, R"({"error":"too large"})"};
  }
  json failed = json::array();
  std::uint64_t leader_key_condition = 0;
  for (const auto& condition : transaction.value("if", json::array())) {
    const auto key = condition.at("path").get<std::string>();
    const auto expected = condition.at("stamp").get<std::uint64_t>();
    if (key == leader_key()) leader_key_condition = expected;
    if (revision_of(key) != expected) failed.push_back(key);
  }
  if (!failed.empty()) return {409, json{{"failed", failed}, {"ledgerRev", revision_}}.dump()};
  for (const auto& change : changes)
    if (change.contains("hold") && !session_leases_.contains(change.at("hold").get<std::uint64_t>()))
      return {400, R"({"error":"no such lease"})"};
  ++revision_;
  for (const auto& change : changes) apply(change, leader_key_condition);
  changed_.notify_all();
  return {200, json{{"ledgerRev", revision_}}.dump()};
}

void FakeStateStore::apply(const json& change, std::uint64_t leader_key_condition) {
  if (change.contains("remove")) {
    const auto removed = change.at("remove").get<std::string>();
    latest_changes_[removed] = revision_;
    keys_.erase(removed);
    return;
  }
  const auto key = change.at("set").get<std::string>();
  if (key.starts_with("ledger/")) {
    const auto current = keys_.find(leader_key());
    if (current == keys_.end() || current->second.mod_revision != leader_key_condition) ++unfenced_writes_;
  }
  latest_changes_[key] = revision_;
  if (key == leader_key() && !keys_.contains(key) && outage_at_takeover.exchange(false)) apply_outage(true);
  keys_[key] = {change.at("value"), revision_, change.value("hold", std::uint64_t{0})};
}

bool FakeStateStore::exceeds_limits(const json& changes) const {
  return changes.size() > max_changes_ || std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
           return change.contains("value") && change.at("value").dump().size() > max_value_bytes_;
         });
}

std::uint64_t FakeStateStore::revision_of(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? 0 : it->second.mod_revision;
}

bool FakeStateStore::takes_leader_key(const json& transaction) const {
  const auto changes = transaction.value("apply", json::array());
  return !keys_.contains(leader_key()) && std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
    return change.value("set", std::string()) == leader_key();
  });
}

bool FakeStateStore::draw_with_probability(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

}  // namespace thistlefront::test_support
