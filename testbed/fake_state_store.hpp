// An in-memory key-value store with the protocol's HTTP interface (transactions, session leases, watches), for tests and the testbed.
// Each controller has an endpoint of its own, whose faults can be switched on and off while controllers run. The store also checks that
// every ledger write is fenced by the current leader key; apart from that it is independent of the code under test.
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

  // The address at which one controller reaches the store, with its fault switches. Probabilities apply to each transaction.
  struct Endpoint {
    std::string address = free_address();

    // The controller is partitioned from the store: every request gets 503 and nothing is executed.
    std::atomic<bool> rejects_requests{false};
    // Requests are executed at once, but their replies are held until this is false again.
    std::atomic<bool> holds_replies{false};
    // Probability that a transaction is executed but its reply arrives only after the caller's timeout.
    std::atomic<double> reply_loss_probability{0};
    // Probability that a transaction is delayed on its way and executed only after its caller timed out.
    std::atomic<double> delay_probability{0};
    // Upper bound of that delay. The lower bound is 1.8 s, so that newer requests of the caller overtake the delayed one.
    std::atomic<double> max_delay_s{1.8};
    // Delay of each transaction before it is executed.
    std::atomic<double> latency_s{0};
    // Probability that a transaction is duplicated on its way and executed a second time, one second later.
    std::atomic<double> duplicate_probability{0};

    // Simulates a controller that crashes during a request. After this many more requests (not counting watches and renewals), the next
    // one is executed only if `executes_last_request` is set, and gets no reply until `crash_reached` is reset. Below 0: off.
    std::atomic<int> requests_before_crash{-1};
    std::atomic<bool> executes_last_request{true};
    // Set by the store when that request arrives. The test resets it after it has killed the controller.
    std::atomic<bool> crash_reached{false};

    // Makes two takeovers overlap. The next transaction that takes the leader key is held back and gets no reply. When another one takes
    // the leader key, the store renews the session lease of the first one, as after an outage, and executes both, the first one first.
    // Until then session leases can't be deleted. Resets itself.
    std::atomic<bool> delays_takeover{false};

    // Loses the reply to the next successful transaction that sets or removes a key with this prefix: it is executed at once, but its reply
    // arrives only after the caller's timeout. Resets itself to null and increments `lost_replies`.
    std::atomic<const char*> lose_next_reply_for{nullptr};
    std::atomic<std::size_t> lost_replies{0};

    std::unique_ptr<HttpServer> server;
  };

  // Starts a server for each of `endpoints` endpoints. `seed` determines the random faults.
  explicit FakeStateStore(std::size_t endpoints, unsigned seed);
  ~FakeStateStore();
  FakeStateStore(const FakeStateStore&) = delete;
  FakeStateStore& operator=(const FakeStateStore&) = delete;

  Endpoint& endpoint(std::size_t i);
  // From now on a transaction with a larger value or with more changes gets 400.
  void set_limits(std::size_t max_value_bytes, std::size_t max_changes);
  // Number of transactions that were refused because of their size.
  [[nodiscard]] std::size_t oversized_transactions() const { return oversized_transactions_; }
  // Expires all session leases early, as if an outage had lost their renewals.
  void expire_session_leases();
  // Starts or ends an outage: sets or clears `rejects_requests` of all endpoints. When an outage ends, every session lease gets its full
  // duration again.
  void set_outage(bool is_out);
  // Starts an outage when a controller next takes the leader key: that controller leads but can read nothing.
  std::atomic<bool> outage_at_takeover{false};
  // Starts an outage when a controller next reads the ledger.
  std::atomic<bool> outage_at_ledger_read{false};

  // The controller label in the leader key; empty: there is no such key.
  std::string leader();
  // The revision at which the leader key was last written; 0: there is no such key.
  std::uint64_t fencing_token();
  // The ledger's keys and their values as JSON text.
  std::map<std::string, std::string> ledger_entries();
  // A key's value as JSON text; empty: there is no such key.
  std::string value(const std::string& key);
  // The revision at which a key was last written; 0: there is no such key.
  std::uint64_t mod_revision(const std::string& key);
  // Writes or removes a key regardless of faults, as an operator would.
  void put(const std::string& key, const std::string& value);
  void remove(const std::string& key);
  // The name of the leader key, which changes at format version 2.
  [[nodiscard]] std::string leader_key_name() const;

  // Number of ledger writes that were applied without a condition on the current leader key. Must always be 0.
  [[nodiscard]] std::size_t unfenced_writes() const { return unfenced_writes_; }
  // Number of transactions that were executed after a delay: their caller had timed out, or they were duplicates.
  [[nodiscard]] std::size_t delayed_executions() const { return delayed_executions_; }

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

  // The functions below are called with mutex_ held, except serve(). Those with a `lock` parameter may wait on it.
  [[nodiscard]] std::string leader_key() const;
  void apply_outage(bool is_out);
  void process_due_events();
  void expire_due_session_leases(double now);
  void execute_delayed(double now);

  HttpReply serve(Endpoint& endpoint, const HttpCall& call);  // locks mutex_
  HttpReply simulate_crash(Endpoint& endpoint, Lock& lock, const HttpCall& call);
  HttpReply dispatch(Endpoint& endpoint, Lock& lock, const HttpCall& call);
  HttpReply watch(const Endpoint& endpoint, Lock& lock, const std::string& target);
  HttpReply transact(Endpoint& endpoint, Lock& lock, const json& transaction);
  HttpReply grant_session_lease(const std::string& body);
  HttpReply change_session_lease(const Endpoint& endpoint, std::uint64_t id, bool deletes);
  HttpReply list(const std::string& target) const;
  HttpReply read(const std::string& key) const;
  // Waits until the caller has timed out, and returns a reply that it never receives.
  HttpReply lose_reply(Lock& lock);

  HttpReply execute(const json& transaction);
  void apply(const json& change, std::uint64_t leader_key_condition);
  [[nodiscard]] bool exceeds_limits(const json& changes) const;
  [[nodiscard]] std::uint64_t revision_of(const std::string& key) const;
  [[nodiscard]] bool takes_leader_key(const json& transaction) const;
  bool draw_with_probability(double probability);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Key> keys_;
  std::map<std::string, std::uint64_t> latest_changes_;  // key -> revision of its latest change or removal
  std::map<std::uint64_t, SessionLease> session_leases_;
  std::list<DelayedTransaction> delayed_transactions_;
  json delayed_takeover_;  // transaction that `delays_takeover` holds back; null: none
  std::uint64_t revision_ = 0, last_session_lease_id_ = 0;
  std::atomic<std::size_t> unfenced_writes_{0}, delayed_executions_{0}, oversized_transactions_{0};
  std::size_t max_value_bytes_ = SIZE_MAX, max_changes_ = SIZE_MAX;
  bool stopping_ = false, outage_ = false;
  std::mt19937 random_;
  std::list<Endpoint> endpoints_;
  std::jthread timer_thread_;
};

}  // namespace thistlefront::test_support
