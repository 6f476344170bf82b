// An in-memory key-value store with the protocol's HTTP interface (transactions, session leases, watches), for tests and the testbed.
// Each controller gets an endpoint of its own, whose faults can be switched on and off while controllers run. The store checks on its
// side that every ledger write is fenced by the current leader key; it knows nothing else of the code under test.
#pragma once
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdint>
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

#include "testbed/free_address.hpp"
#include "transport/clock.hpp"
#include "transport/http.hpp"

namespace thistlefront::test_support {

class FakeStateStore {
 public:
  using json = nlohmann::json;

  // One controller's way to the store, with its fault switches. A share is the probability, for each transaction, of that fault.
  struct Endpoint {
    std::string address = free_address();

    // The controller is cut off from the store: every request gets 503 and nothing is executed.
    std::atomic<bool> refuses{false};
    // The way back is cut: requests are executed at once, and their answers wait until this is false again.
    std::atomic<bool> frozen{false};
    // Answers are lost: share of transactions that are executed and whose answer comes only after the caller's time limit.
    std::atomic<double> loses{0};
    // Requests are delayed on their way: share of transactions that are executed only after their caller gave up.
    std::atomic<double> late{0};
    // Upper bound of that delay in seconds. The lower one is 1.8, so that newer requests of the caller overtake the late one.
    std::atomic<double> late_most{1.8};
    // A slow store: seconds that each transaction waits before it is executed.
    std::atomic<double> slow{0};
    // Requests are duplicated on their way: share of transactions that are executed a second time, one second later.
    std::atomic<double> repeats{0};

    // A controller that crashes in the middle of a request. After `fuse` more requests (not counting watches and renewals) the next
    // one is executed if `executes` is true, and gets no answer until `blown` is reset. Below 0: off.
    std::atomic<int> fuse{-1};
    std::atomic<bool> executes{true};
    // Set by the store when the fuse was reached; whoever ends the controller resets it.
    std::atomic<bool> blown{false};

    // Two tries to take the leader key overlap: the next one gets no answer and is executed just before the one after it, with its
    // session lease alive again as after an outage. Session leases can't be deleted meanwhile.
    std::atomic<bool> lead_overtaken{false};

    // The answer to one chosen write is lost: the next transaction that sets or removes a key with this prefix is executed at once,
    // and its answer comes only after the caller's time limit. Resets itself to null and counts in `lost`.
    std::atomic<const char*> loses_next{nullptr};
    std::atomic<std::size_t> lost{0};

    std::unique_ptr<HttpServer> server;
  };

  // Starts a server for each of `endpoints` endpoints; `seed` is that of the faults that are drawn.
  explicit FakeStateStore(std::size_t endpoints, unsigned seed);
  ~FakeStateStore();
  FakeStateStore(const FakeStateStore&) = delete;
  FakeStateStore& operator=(const FakeStateStore&) = delete;

  Endpoint& endpoint(std::size_t i);
  // From now on a larger value, or a transaction of more changes, gets 400.
  void limit(std::size_t value_bytes, std::size_t changes);
  // Transactions that were refused for their size.
  [[nodiscard]] std::size_t too_large() const { return too_large_; }
  // Ends all session leases before their time, as an outage that swallowed their renewals would.
  void expire_session_leases();
  // An outage from now on, or none any more: afterwards every session lease has its full time again.
  void outage(bool is);
  // An outage begins when a controller next takes the leader key: it leads and can read nothing.
  std::atomic<bool> outage_at_takeover{false};
  // An outage begins when a controller next reads the ledger.
  std::atomic<bool> outage_at_reading{false};

  // The label in the leader key; empty: there is none.
  std::string leader();
  // The revision at which the leader key was last written; 0: there is none.
  std::uint64_t fencing_token();
  // The ledger's keys and their values as JSON text.
  std::map<std::string, std::string> entries();
  // A key's value as JSON text; empty: there is no such key.
  std::string value(const std::string& key);
  // 0: there is no such key.
  std::uint64_t mod_revision(const std::string& key);
  // Writes and removes past every fault, as an operator would.
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  // The name of the leader key, which differs from format version 2 on.
  [[nodiscard]] std::string lead() const;

  // Ledger writes that were applied without a condition on the current leader key. None is ever allowed.
  [[nodiscard]] std::size_t unfenced() const { return unfenced_; }
  // Transactions executed after their caller gave up.
  [[nodiscard]] std::size_t late_ones() const { return late_ones_; }

 private:
  struct Key {
    json value;
    std::uint64_t mod_revision = 0, session_lease = 0;
  };
  struct SessionLease {
    double duration_s = 0, expires_at = 0;  // steady seconds
  };
  struct DelayedTransaction {
    double execute_at;  // steady seconds
    json transaction;
  };
  using Lock = std::unique_lock<std::mutex>;

  // All below are called with mutex_ held; those that are given the lock may wait on it.
  [[nodiscard]] std::string leader_key() const;
  void set_outage(bool is);
  void tick();
  void expire_due_session_leases(double now);
  void execute_delayed(double now);

  HttpReply serve(Endpoint& endpoint, const HttpCall& call);  // takes mutex_ itself
  HttpReply reach_fuse(Endpoint& endpoint, Lock& lock, const HttpCall& call);
  HttpReply dispatch(Endpoint& endpoint, Lock& lock, const HttpCall& call);
  HttpReply watch(const Endpoint& endpoint, Lock& lock, const std::string& target);
  HttpReply transact(Endpoint& endpoint, Lock& lock, const json& transaction);
  HttpReply grant_session_lease(const std::string& body);
  HttpReply change_session_lease(const Endpoint& endpoint, std::uint64_t id, bool removes);
  HttpReply list(const std::string& target) const;
  HttpReply read(const std::string& key) const;
  // An answer that comes too late for its caller.
  HttpReply lost_answer(Lock& lock);

  HttpReply execute(const json& transaction);
  void apply(const json& change, std::uint64_t leader_key_condition);
  [[nodiscard]] bool exceeds_limits(const json& changes) const;
  [[nodiscard]] std::uint64_t revision_of(const std::string& key) const;
  [[nodiscard]] bool takes_lead(const json& transaction) const;
  bool chance(double share);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Key> keys_;
  std::map<std::string, std::uint64_t> changes_;  // the latest revision of each key, removals included
  std::map<std::uint64_t, SessionLease> session_leases_;
  std::list<DelayedTransaction> delayed_;
  json overtaken_;  // the try to take the lead that `lead_overtaken` keeps back; null: none
  std::uint64_t revision_ = 0, session_lease_ids_ = 0;
  std::atomic<std::size_t> unfenced_{0}, late_ones_{0}, too_large_{0};
  std::size_t value_bytes_ = SIZE_MAX, most_changes_ = SIZE_MAX;
  bool ending_ = false, outage_ = false;
  std::mt19937 random_;
  std::list<Endpoint> endpoints_;
  std::jthread clock_;
};

}  // namespace thistlefront::test_support
