// An in-memory state service for tests and rig, as the protocol describes it, with a door (a listening address) for each
// controller. A door can refuse, lose answers, and keep transactions to execute them late.
#pragma once
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace thistlefront::test_support {

// An address on this machine that nothing listens on, on a loopback address of this process's own, below the ports that outgoing
// connections take. On one that processes shared, another one took the address of a controller that had ended for a moment, and
// answered its users (rigs side by side: jobs "forgotten", and done ones of status "?").
inline std::string free_address() {
  constexpr unsigned first = 12000, count = 20000;
  static std::atomic<unsigned> next{0};
  const auto pid = static_cast<unsigned>(::getpid());
  const auto host = "127." + std::to_string(1 + (pid >> 16) % 250) + "." + std::to_string((pid >> 8) & 255) + "." +
                    std::to_string(1 + (pid & 255) % 254) + ":";
  for (;;) {
    const auto address = host + std::to_string(first + next++ % count);
    try {
      listen_on(address);
      return address;
    } catch (const std::runtime_error&) {
    }
  }
}

class FakeStateStore {
 public:
  using json = nlohmann::json;
  struct Endpoint {
    std::string address = free_address();
    std::atomic<bool> refuses{false};
    std::atomic<bool> frozen{false};     // requests are executed, and the answers wait until this is over
    std::atomic<double> loses{0};        // share of transactions that are executed, and whose answer never comes
    std::atomic<double> late{0};         // share of transactions that are executed after their sender gave up
    std::atomic<double> late_most{1.8};  // seconds until these are executed, 1.8 at least: after newer ones
    std::atomic<double> slow{0};         // seconds that each transaction waits before it is executed
    std::atomic<double> repeats{0};      // share of transactions that are executed once more, later
    // So many requests more (watches and renewals aside), and at the next its controller is to end: the request is executed
    // or not, and nobody answers it. Below 0: none.
    std::atomic<int> fuse{-1};
    // The next transaction that takes the lead gets no answer and is executed just before the one after it, with its hold alive as
    // after an outage; holds can't be dropped meanwhile.
    std::atomic<bool> lead_overtaken{false};
    // The next transaction that sets or removes a key with this beginning is executed at once, and its answer never comes.
    std::atomic<const char*> loses_next{nullptr};
    std::atomic<std::size_t> lost{0};  // such ones
    std::atomic<bool> executes{true};
    std::atomic<bool> blown{false};  // now; whoever ends the controller takes it back
    std::unique_ptr<HttpServer> server;
  };

  explicit FakeStateStore(std::size_t endpoints, unsigned seed) : random_(seed) {
    for (std::size_t i = 0; i < endpoints; ++i) {
      auto& endpoint = endpoints_.emplace_back();
      endpoint.server =
          std::make_unique<HttpServer>(endpoint.address, 50, [this, &endpoint](const HttpCall& c) { return on(endpoint, c); });
    }
    clock_ = std::jthread([this](std::stop_token stop) {
      while (!stop.stop_requested()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        std::lock_guard lock(mutex_);
        tick();
      }
    });
  }
  ~FakeStateStore() {
    {
      std::lock_guard lock(mutex_);
      ending_ = true;
      changed_.notify_all();
    }
    for (auto& d : endpoints_) d.server->stop();
  }

  Endpoint& endpoint(std::size_t i) { return *std::next(endpoints_.begin(), static_cast<long>(i)); }
  // Its limits from now on: a larger value, or a transaction of more changes, gets 400.
  void limit(std::size_t value_bytes, std::size_t changes) {
    std::lock_guard lock(mutex_);
    value_bytes_ = value_bytes;
    most_changes_ = changes;
  }
  // Transactions that it refused for their size.
  std::size_t too_large() const { return too_large_; }
  // Ends a hold before its time, as an outage that swallowed its renewals would.
  void expire_session_leases() {
    std::lock_guard lock(mutex_);
    for (auto& [id, h] : session_leases_) h.ends = 0;
    tick();
  }
  std::string leader() {
    std::lock_guard lock(mutex_);
    auto it = keys_.find(lead());
    return it == keys_.end() ? "" : it->second.value.at("label").get<std::string>();
  }
  std::uint64_t fencing_token() {
    std::lock_guard lock(mutex_);
    auto it = keys_.find(lead());
    return it == keys_.end() ? 0 : it->second.mod_revision;
  }
  std::map<std::string, std::string> entries() {
    std::lock_guard lock(mutex_);
    std::map<std::string, std::string> out;
    for (const auto& [k, v] : keys_)
      if (k.starts_with("ledger/")) out[k] = v.value.dump();
    return out;
  }
  std::string value(const std::string& key) {
    std::lock_guard lock(mutex_);
    const auto it = keys_.find(key);
    return it == keys_.end() ? "" : it->second.value.dump();
  }
  // 0: there is no such key.
  std::uint64_t mod_revision(const std::string& key) {
    std::lock_guard lock(mutex_);
    const auto it = keys_.find(key);
    return it == keys_.end() ? 0 : it->second.mod_revision;
  }
  void put(const std::string& key, const std::string& value) {
    std::lock_guard lock(mutex_);
    keys_[key] = {json::parse(value), ++revision_, 0};
    changes_[key] = revision_;
    changed_.notify_all();
  }
  void remove(const std::string& key) {
    std::lock_guard lock(mutex_);
    keys_.erase(key);
    changes_[key] = ++revision_;
    changed_.notify_all();
  }
  // The key that the leader holds: another one from state level 2 on.
  std::string lead() const {
    const auto it = keys_.find("lead-level");
    return it != keys_.end() && it->second.value.at("level") > 1 ? "lead" : "leader";
  }
  // An outage from now on, or none any more: afterwards every hold has its full time again.
  void outage(bool is) {
    std::lock_guard lock(mutex_);
    set_outage(is);
  }
  // An outage from the moment at which some controller next takes the lead: it leads, and can read nothing.
  std::atomic<bool> outage_at_takeover{false};
  // An outage from the moment at which some controller next reads the ledger.
  std::atomic<bool> outage_at_reading{false};
  // Writes to the ledger that were applied under another epoch than the leader key's. None is ever allowed.
  std::size_t unfenced() const { return unfenced_; }
  std::size_t late_ones() const { return late_ones_; }

 private:
  struct Key {
    json value;
    std::uint64_t mod_revision = 0, session_lease = 0;
  };
  struct SessionLease {
    double life = 0, ends = 0;
  };
  struct Late {
    double at;
    json txn;
  };

  void set_outage(bool is) {
    if (outage_ && !is)
      for (auto& [id, h] : session_leases_) h.ends = steady_now() + h.life;
    outage_ = is;
    for (auto& d : endpoints_) d.refuses = is;
  }
  void tick() {
    const double now = steady_now();
    for (auto it = session_leases_.begin(); it != session_leases_.end();) {
      if (outage_ || now < it->second.ends) {
        ++it;
        continue;
      }
      for (auto k = keys_.begin(); k != keys_.end();) {
        const bool goes = k->second.session_lease == it->first;
        if (goes) changes_[k->first] = ++revision_;
        k = goes ? keys_.erase(k) : std::next(k);
      }
      it = session_leases_.erase(it);
      changed_.notify_all();
    }
    for (auto it = late_.begin(); it != late_.end();) {
      if (now < it->at) {
        ++it;
        continue;
      }
      ++late_ones_;
      execute(it->txn);
      it = late_.erase(it);
    }
  }

  HttpReply execute(const json& txn) {
    const auto apply = txn.value("apply", json::array());
    if (apply.size() > most_changes_ || std::any_of(apply.begin(), apply.end(), [&](const auto& a) {
          return a.contains("value") && a.at("value").dump().size() > value_bytes_;
        })) {
      ++too_large_;
      return {400, R"({"error":"too large"})"};
    }
    json failed = json::array();
    std::uint64_t conditioned = 0;
    for (const auto& c : txn.value("if", json::array())) {
      const auto path = c.at("path").get<std::string>();
      const auto it = keys_.find(path);
      const auto mod_revision = c.at("stamp").get<std::uint64_t>();
      if (path == lead()) conditioned = mod_revision;
      if ((it == keys_.end() ? 0 : it->second.mod_revision) != mod_revision) failed.push_back(path);
    }
    if (!failed.empty()) return {409, json{{"failed", failed}, {"ledgerRev", revision_}}.dump()};
    for (const auto& a : txn.value("apply", json::array()))
      if (a.contains("hold") && !session_leases_.contains(a.at("hold").get<std::uint64_t>())) return {400, R"({"error":"no such lease"})"};
    ++revision_;
    for (const auto& a : txn.value("apply", json::array())) {
      if (a.contains("remove")) {
        changes_[a.at("remove").get<std::string>()] = revision_;
        keys_.erase(a.at("remove").get<std::string>());
        continue;
      }
      const auto path = a.at("set").get<std::string>();
      if (path.starts_with("ledger/")) {
        const auto it = keys_.find(lead());
        if (it == keys_.end() || it->second.mod_revision != conditioned) ++unfenced_;
      }
      changes_[path] = revision_;
      if (path == lead() && !keys_.contains(path) && outage_at_takeover.exchange(false)) set_outage(true);
      keys_[path] = {a.at("value"), revision_, a.value("hold", std::uint64_t{0})};
    }
    changed_.notify_all();
    return {200, json{{"ledgerRev", revision_}}.dump()};
  }

  bool takes_lead(const json& txn) const {
    const auto apply = txn.value("apply", json::array());
    return !keys_.contains(lead()) &&
           std::any_of(apply.begin(), apply.end(), [&](const auto& a) { return a.value("set", std::string()) == lead(); });
  }
  static bool sets(const json& txn, const std::string& prefix) {
    const auto apply = txn.value("apply", json::array());
    return std::any_of(apply.begin(), apply.end(),
                       [&](const auto& a) { return a.value("set", a.value("remove", std::string())).starts_with(prefix); });
  }
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

  static std::string query(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
  }

  HttpReply on(Endpoint& endpoint, const HttpCall& call) {
    const std::string target(call.target);
    if (endpoint.slow > 0 && target == "/txn") std::this_thread::sleep_for(std::chrono::duration<double>(endpoint.slow.load()));
    std::unique_lock lock(mutex_);
    const bool counts = !target.starts_with("/follow") && !target.ends_with("/renew");
    if (counts && endpoint.fuse >= 0 && --endpoint.fuse < 0) {
      if (endpoint.executes) dispatch(endpoint, lock, std::string(call.method), target, std::string(call.body));
      endpoint.blown = true;
      while (endpoint.blown && !ending_) changed_.wait_for(lock, std::chrono::milliseconds(2));
      HttpReply none{503, "{}"};
      none.close = true;
      return none;
    }
    HttpReply reply = dispatch(endpoint, lock, std::string(call.method), target, std::string(call.body));
    while (endpoint.frozen && !ending_) changed_.wait_for(lock, std::chrono::milliseconds(20));
    return reply;
  }

  HttpReply dispatch(Endpoint& endpoint, std::unique_lock<std::mutex>& lock, const std::string& method, const std::string& target,
                     const std::string& body) {
    if (target.starts_with("/follow")) {
      const auto prefix = query(target, "prefix");
      const auto from = std::stoull(query(target, "from"));
      const double until = steady_now() + std::stod(query(target, "blockMs")) / 1000;
      const auto changed = [&] {
        return std::any_of(changes_.begin(), changes_.end(), [&](const auto& c) { return c.second > from && c.first.starts_with(prefix); });
      };
      if (endpoint.refuses && until <= steady_now()) return {503, R"({"error":"trouble"})"};
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
    if (target.starts_with("/store?prefix=ledger/") && outage_at_reading.exchange(false)) set_outage(true);
    if (endpoint.refuses) return {503, R"({"error":"trouble"})"};
    tick();
    if (target == "/txn") {
      const json txn = json::parse(body);
      if (endpoint.lead_overtaken && takes_lead(txn)) {
        if (overtaken_.is_null()) {
          overtaken_ = txn;
          return lost(lock);
        }
        for (const auto& a : overtaken_.at("apply"))
          if (const auto h = a.value("hold", std::uint64_t{0})) session_leases_[h] = {1.3, steady_now() + 1.3};
        execute(std::exchange(overtaken_, json()));
        endpoint.lead_overtaken = false;
      }
      if (chance(endpoint.repeats)) late_.push_back({steady_now() + 1.0, txn});
      if (chance(endpoint.late)) {
        late_.push_back(
            {steady_now() + std::uniform_real_distribution<double>(1.8, std::max(1.81, endpoint.late_most.load()))(random_), txn});
        return lost(lock);
      }
      auto reply = execute(txn);
      if (const char* prefix = endpoint.loses_next; prefix && reply.status == 200 && sets(txn, prefix)) {
        endpoint.loses_next = nullptr;
        ++endpoint.lost;
        return lost(lock);
      }
      return chance(endpoint.loses) ? lost(lock) : reply;
    }
    if (target == "/holds") {
      const double life = json::parse(body).at("lifeMs").get<double>() / 1000;
      session_leases_[++session_lease_ids_] = {life, steady_now() + life};
      return {200, json{{"hold", session_lease_ids_}}.dump()};
    }
    if (target.starts_with("/holds/")) {
      const auto it = session_leases_.find(std::stoull(target.substr(7)));
      if (it == session_leases_.end()) return {404, "{}"};
      if (method == "DELETE" && endpoint.lead_overtaken) return {503, R"({"error":"trouble"})"};
      it->second.ends = method == "DELETE" ? 0 : steady_now() + it->second.life;
      tick();
      return {200, "{}"};
    }
    if (target.starts_with("/store?")) {
      json rows = json::array();
      const auto prefix = query(target, "prefix"), from = query(target, "from");
      for (const auto& [k, v] : keys_)
        if (k.starts_with(prefix) && k > from) rows.push_back({{"path", k}, {"value", v.value}, {"stamp", v.mod_revision}});
      return {200, json{{"rows", rows}, {"truncated", false}, {"ledgerRev", revision_}}.dump()};
    }
    const auto it = keys_.find(target.substr(7));
    if (it == keys_.end()) return {404, json{{"ledgerRev", revision_}}.dump()};
    json row{{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.mod_revision}};
    if (it->second.session_lease) row["hold"] = it->second.session_lease;
    return {200, row.dump()};
  }

  // Answers too late for anyone to wait for it.
  HttpReply lost(std::unique_lock<std::mutex>& lock) {
    const double until = steady_now() + 1.7;
    while (!ending_ && steady_now() < until) changed_.wait_for(lock, std::chrono::milliseconds(50));
    HttpReply reply{503, "{}"};
    reply.close = true;
    return reply;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Key> keys_;
  std::map<std::string, std::uint64_t> changes_;  // the latest of each key, removals included
  std::map<std::uint64_t, SessionLease> session_leases_;
  std::list<Late> late_;
  json overtaken_;
  std::uint64_t revision_ = 0, session_lease_ids_ = 0;
  std::atomic<std::size_t> unfenced_{0}, late_ones_{0}, too_large_{0};
  std::size_t value_bytes_ = SIZE_MAX, most_changes_ = SIZE_MAX;
  bool ending_ = false, outage_ = false;
  std::mt19937 random_;
  std::list<Endpoint> endpoints_;
  std::jthread clock_;
};

}  // namespace thistlefront::test_support
