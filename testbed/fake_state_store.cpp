#include "testbed/fake_state_store.hpp"

#include <chrono>

namespace thistlefront::test_support {

namespace {
using json = nlohmann::json;

constexpr int kServerConnections = 50;
constexpr std::chrono::milliseconds kTick{10};
constexpr double kLostAnswerDelay = 1.7;         // seconds: longer than a controller waits for an answer
constexpr double kLeastLateDelay = 1.8;          // seconds
constexpr double kRepeatDelay = 1.0;             // seconds
constexpr double kOvertakenLeaseDuration = 1.3;  // seconds
constexpr const char* kUnavailable = R"({"error":"trouble"})";

// A parameter of a request's query; empty: not given.
std::string query_parameter(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const auto from = at + name.size() + 1;
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
  clock_ = std::jthread([this](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(kTick);
      std::lock_guard lock(mutex_);
      tick();
    }
  });
}

FakeStateStore::~FakeStateStore() {
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
    changed_.notify_all();
  }
  for (auto& endpoint : endpoints_) endpoint.server->stop();
}

FakeStateStore::Endpoint& FakeStateStore::endpoint(std::size_t i) {
  return *std::next(endpoints_.begin(), static_cast<std::ptrdiff_t>(i));
}

// ---- what tests ask and set

void FakeStateStore::limit(std::size_t value_bytes, std::size_t changes) {
  std::lock_guard lock(mutex_);
  value_bytes_ = value_bytes;
  most_changes_ = changes;
}

void FakeStateStore::expire_session_leases() {
  std::lock_guard lock(mutex_);
  for (auto& [id, session_lease] : session_leases_) session_lease.expires_at = 0;
  tick();
}

void FakeStateStore::outage(bool is) {
  std::lock_guard lock(mutex_);
  set_outage(is);
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

std::map<std::string, std::string> FakeStateStore::entries() {
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
  changes_[key] = revision_;
  changed_.notify_all();
}

void FakeStateStore::remove(const std::string& key) {
  std::lock_guard lock(mutex_);
  keys_.erase(key);
  changes_[key] = ++revision_;
  changed_.notify_all();
}

std::string FakeStateStore::lead() const {
  std::lock_guard lock(mutex_);
  return leader_key();
}

// ---- time and outages

std::string FakeStateStore::leader_key() const {
  const auto it = keys_.find("lead-level");
  return it != keys_.end() && it->second.value.at("level") > 1 ? "lead" : "leader";
}

void FakeStateStore::set_outage(bool is) {
  if (outage_ && !is)
    for (auto& [id, session_lease] : session_leases_) session_lease.expires_at = steady_now() + session_lease.duration_s;
  outage_ = is;
  for (auto& endpoint : endpoints_) endpoint.refuses = is;
}

void FakeStateStore::tick() {
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
      if (attached) changes_[entry.first] = ++revision_;
      return attached;
    });
    it = session_leases_.erase(it);
    changed_.notify_all();
  }
}

void FakeStateStore::execute_delayed(double now) {
  for (auto it = delayed_.begin(); it != delayed_.end();) {
    if (now < it->execute_at) {
      ++it;
      continue;
    }
    ++late_ones_;
    execute(it->transaction);
    it = delayed_.erase(it);
  }
}

// ---- requests

HttpReply FakeStateStore::serve(Endpoint& endpoint, const HttpCall& call) {
  const std::string target(call.target);
  if (endpoint.slow > 0 && target == "/txn") std::this_thread::sleep_for(std::chrono::duration<double>(endpoint.slow.load()));
  Lock lock(mutex_);
  const bool counts = !target.starts_with("/follow") && !target.ends_with("/renew");
  if (counts && endpoint.fuse >= 0) {
    --endpoint.fuse;
    if (endpoint.fuse < 0) return reach_fuse(endpoint, lock, call);
  }
  HttpReply reply = dispatch(endpoint, lock, call);
  while (endpoint.frozen && !ending_) changed_.wait_for(lock, std::chrono::milliseconds(20));
  return reply;
}

HttpReply FakeStateStore::reach_fuse(Endpoint& endpoint, Lock& lock, const HttpCall& call) {
  if (endpoint.executes) dispatch(endpoint, lock, call);
  endpoint.blown = true;
  while (endpoint.blown && !ending_) changed_.wait_for(lock, std::chrono::milliseconds(2));
  HttpReply none{503, "{}"};
  none.close_connection = true;
  return none;
}

HttpReply FakeStateStore::dispatch(Endpoint& endpoint, Lock& lock, const HttpCall& call) {
  const std::string target(call.target), body(call.body);
  if (target.starts_with("/follow")) return watch(endpoint, lock, target);
  if (target.starts_with("/store?prefix=ledger/") && outage_at_reading.exchange(false)) set_outage(true);
  if (endpoint.refuses) return {503, kUnavailable};
  tick();
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
    return std::any_of(changes_.begin(), changes_.end(),
                       [&](const auto& change) { return change.second > from && change.first.starts_with(prefix); });
  };
  if (endpoint.refuses && until <= steady_now()) return {503, kUnavailable};
  while (!ending_ && steady_now() < until && (endpoint.refuses || !changed())) changed_.wait_for(lock, std::chrono::milliseconds(20));
  json events = json::array();
  for (const auto& [key, revision] : changes_) {
    if (revision <= from || !key.starts_with(prefix)) continue;
    const auto at = keys_.find(key);
    events.push_back(at == keys_.end() ? json{{"remove", key}, {"stamp", revision}}
                                       : json{{"set", key}, {"value", at->second.value}, {"stamp", revision}});
  }
  return {200, json{{"ledgerRev", revision_}, {"events", events}}.dump()};
}

HttpReply FakeStateStore::transact(Endpoint& endpoint, Lock& lock, const json& transaction) {
  if (endpoint.lead_overtaken && takes_lead(transaction)) {
    if (overtaken_.is_null()) {
      overtaken_ = transaction;
      return lost_answer(lock);
    }
    for (const auto& change : overtaken_.at("apply"))
      if (const auto id = change.value("hold", std::uint64_t{0}))
        session_leases_[id] = {kOvertakenLeaseDuration, steady_now() + kOvertakenLeaseDuration};
    execute(std::exchange(overtaken_, json()));
    endpoint.lead_overtaken = false;
  }
  if (chance(endpoint.repeats)) delayed_.push_back({steady_now() + kRepeatDelay, transaction});
  if (chance(endpoint.late)) {
    const double most = std::max(kLeastLateDelay + 0.01, endpoint.late_most.load());
    const double delay = std::uniform_real_distribution<double>(kLeastLateDelay, most)(random_);
    delayed_.push_back({steady_now() + delay, transaction});
    return lost_answer(lock);
  }
  auto reply = execute(transaction);
  if (const char* prefix = endpoint.loses_next; prefix && reply.status == 200 && changes_prefix(transaction, prefix)) {
    endpoint.loses_next = nullptr;
    ++endpoint.lost;
    return lost_answer(lock);
  }
  return chance(endpoint.loses) ? lost_answer(lock) : reply;
}

HttpReply FakeStateStore::grant_session_lease(const std::string& body) {
  const double duration_s = json::parse(body).at("lifeMs").get<double>() / 1000;
  session_leases_[++session_lease_ids_] = {duration_s, steady_now() + duration_s};
  return {200, json{{"hold", session_lease_ids_}}.dump()};
}

HttpReply FakeStateStore::change_session_lease(const Endpoint& endpoint, std::uint64_t id, bool removes) {
  const auto it = session_leases_.find(id);
  if (it == session_leases_.end()) return {404, "{}"};
  if (removes && endpoint.lead_overtaken) return {503, kUnavailable};
  it->second.expires_at = removes ? 0 : steady_now() + it->second.duration_s;
  tick();
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

HttpReply FakeStateStore::lost_answer(Lock& lock) {
  const double until = steady_now() + kLostAnswerDelay;
  while (!ending_ && steady_now() < until) changed_.wait_for(lock, std::chrono::milliseconds(50));
  HttpReply reply{503, "{}"};
  reply.close_connection = true;
  return reply;
}

// ---- transactions

HttpReply FakeStateStore::execute(const json& transaction) {
  const auto changes = transaction.value("apply", json::array());
  if (exceeds_limits(changes)) {
    ++too_large_;
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
    changes_[removed] = revision_;
    keys_.erase(removed);
    return;
  }
  const auto key = change.at("set").get<std::string>();
  if (key.starts_with("ledger/")) {
    const auto current = keys_.find(leader_key());
    if (current == keys_.end() || current->second.mod_revision != leader_key_condition) ++unfenced_;
  }
  changes_[key] = revision_;
  if (key == leader_key() && !keys_.contains(key) && outage_at_takeover.exchange(false)) set_outage(true);
  keys_[key] = {change.at("value"), revision_, change.value("hold", std::uint64_t{0})};
}

bool FakeStateStore::exceeds_limits(const json& changes) const {
  return changes.size() > most_changes_ || std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
           return change.contains("value") && change.at("value").dump().size() > value_bytes_;
         });
}

std::uint64_t FakeStateStore::revision_of(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? 0 : it->second.mod_revision;
}

bool FakeStateStore::takes_lead(const json& transaction) const {
  const auto changes = transaction.value("apply", json::array());
  return !keys_.contains(leader_key()) && std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
    return change.value("set", std::string()) == leader_key();
  });
}

bool FakeStateStore::chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

}  // namespace thistlefront::test_support
