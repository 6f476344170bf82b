// Two controllers that each may believe they lead, explored exhaustively: two teams that may use one core
// each, three jobs, two machines, and every interleaving (up to a number of events) of decisions,
// transactions that are late, lost or unheard of, commands that are late or lost, tasks that end, reports,
// holds that end and takeovers. Books, accounts and dealings are the ones that the service uses. What
// machines really run must stay within the limits.
#include <gtest/gtest.h>

#include <deque>
#include <unordered_set>

#include "fleet/dealings.hpp"
#include "jobs.hpp"

namespace thistle {
namespace {

const std::vector<std::pair<std::string, std::string>> kJobs{{"j-1", "red"}, {"j-2", "red"}, {"j-3", "blue"}};

struct Txn {
  std::size_t from = 0;
  std::uint64_t epoch = 0, term = 0;
  Record record;
};
struct Command {
  std::uint64_t epoch = 0;
  std::size_t machine = 0;
  Order order;
};
struct Decider {
  bool leads = false, waits = false;  // believes so; a transaction of it is on its way
  std::uint64_t epoch = 0;
  std::size_t read = 0;                             // entries of the ledger at its takeover
  std::vector<std::variant<Record, Report>> since;  // what it learned, in order
};
struct Machine {
  std::uint64_t epoch = 0, serial = 0;
  std::map<std::pair<std::string, std::uint64_t>, bool> pieces;  // uid, attempt: ended
};
struct World {
  std::uint64_t lead = 0, rev = 0;
  bool cancels = false;
  std::vector<Record> ledger;
  std::vector<Decider> deciders{2};
  std::vector<Txn> txns;
  std::vector<Command> commands;
  std::vector<Machine> machines{2};

  // Equal but for the reports' serials.
  [[nodiscard]] std::string text() const {
    std::string out = std::to_string(lead) + "," + std::to_string(rev);
    const auto add = [&](const auto& n) { out += "," + std::to_string(n); };
    for (const auto& r : ledger) out += encode_record(r, 1).text;
    for (const auto& d : deciders) {
      out += "|", add(d.leads), add(d.waits), add(d.epoch), add(d.read);
      for (const auto& s : d.since) {
        if (const auto* r = std::get_if<Record>(&s)) out += encode_record(*r, 1).text;
        if (const auto* r = std::get_if<Report>(&s)) {
          out += r->host, add(r->epoch);
          for (const auto& p : r->tasks) out += p.id.uid, add(p.attempt), add(static_cast<int>(p.phase));
        }
      }
    }
    for (const auto& t : txns) out += "/", add(t.from), add(t.epoch), out += encode_record(t.record, 1).text;
    for (const auto& c : commands)
      out += ">", add(c.epoch), add(c.machine), out += c.order.id.uid, add(c.order.attempt), add(static_cast<int>(c.order.type));
    for (const auto& m : machines) {
      out += "m", add(m.epoch);
      for (const auto& [p, ended] : m.pieces) out += p.first, add(p.second), add(ended);
    }
    return out;
  }
  [[nodiscard]] Report report(std::size_t m) {
    Machine& machine = machines[m];
    Report r;
    r.host = "m-" + std::to_string(m);
    r.address = "a", r.machine_type = "big", r.yard = "x";
    r.tenure = 1, r.serial = ++machine.serial, r.epoch = machine.epoch;
    for (const auto& [p, ended] : machine.pieces)
      r.tasks.push_back({{p.first, 0}, p.second, ended ? Phase::exited : Phase::running, ended ? Cause::done : Cause::none, false});
    return r;
  }
  [[nodiscard]] std::string wrong() const {
    std::map<std::string, int> by_team, by_job;
    for (const auto& m : machines)
      for (const auto& [p, ended] : m.pieces) {
        if (ended) continue;
        const auto job = std::find_if(kJobs.begin(), kJobs.end(), [&](const auto& j) { return j.first == p.first; });
        if (++by_team[job->second] > 1) return "quota: " + job->second;
        if (++by_job[p.first] > 1) return "ran_twice: " + p.first;
      }
    return "";
  }
};

// A guard taken out.
enum class Fault : std::uint8_t { none, no_stamp, sends_before_it_is_durable, uses_are_not_counted, cancelled_is_not_counted };

class Explorer {
 public:
  explicit Explorer(Fault fault) : fault_(fault) {}
  std::string run(World first, std::size_t most) {
    std::deque<std::pair<World, std::string>> queue;
    std::deque<std::size_t> depth{0};
    seen_.insert(first.text());
    queue.push_back({std::move(first), ""});
    while (!queue.empty()) {
      auto [world, path] = std::move(queue.front());
      queue.pop_front();
      const auto events = depth.front();
      depth.pop_front();
      if (events >= most) continue;
      std::string found;
      each(world, [&](World next, const std::string& event) {
        if (const auto wrong = next.wrong(); found.empty() && !wrong.empty()) found = path + event + "; " + wrong;
        if (!seen_.insert(next.text()).second) return;
        queue.push_back({std::move(next), path + event + "; "});
        depth.push_back(events + 1);
      });
      if (!found.empty()) return found;
    }
    return "";
  }
  [[nodiscard]] std::size_t worlds() const { return seen_.size(); }

 private:
  static Book fresh() { return Book({Team{"red", {}, {1, 0, 0}}, Team{"blue", {}, {1, 0, 0}}}); }
  // What the decider believes, and what its last report gave rise to.
  static Book book_of(const World& w, const Decider& d, std::vector<Record>* last = nullptr) {
    Book book = fresh();
    for (std::size_t i = 0; i < d.read; ++i) book.apply(w.ledger[i]);
    for (const auto& s : d.since) {
      if (const auto* r = std::get_if<Record>(&s)) book.apply(*r);
      if (const auto* r = std::get_if<Report>(&s)) {
        auto out = take_report(book, *r, {1, 1}, true, d.epoch);
        if (last) *last = std::move(out.records);
      }
    }
    return book;
  }

  template <class Found>
  void each(const World& world, const Found& found) {
    for (std::size_t t = 0; t < world.txns.size(); ++t) {
      for (const bool heard : {true, false}) {
        World w = world;
        const Txn txn = w.txns[t];
        w.txns.erase(w.txns.begin() + static_cast<long>(t));
        Decider& d = w.deciders[txn.from];
        const bool done = txn.epoch == w.lead || fault_ == Fault::no_stamp;
        if (done) w.ledger.push_back(txn.record);
        if (heard && d.leads && d.epoch == txn.term) {
          d.waits = false;
          if (!done) d.leads = false;
          if (done && fault_ != Fault::sends_before_it_is_durable) d.since.emplace_back(txn.record);
        }
        found(std::move(w), done ? "applied" : "refused");
      }
      World lost = world;
      lost.txns.erase(lost.txns.begin() + static_cast<long>(t));
      found(std::move(lost), "lost");
    }
    for (std::size_t c = 0; c < world.commands.size(); ++c) {
      World w = world;
      const Command command = w.commands[c];
      w.commands.erase(w.commands.begin() + static_cast<long>(c));
      found(w, "command lost");
      Machine& m = w.machines[command.machine];
      if (command.epoch < m.epoch) continue;
      m.epoch = command.epoch;
      const std::pair key{command.order.id.uid, command.order.attempt};
      if (command.order.type == Verb::run) m.pieces.emplace(key, false);
      if (command.order.type == Verb::reap) m.pieces.erase(key);
      if (command.order.type == Verb::kill && m.pieces.contains(key)) m.pieces[key] = true;
      found(std::move(w), "executed on m-" + std::to_string(command.machine));
    }
    for (std::size_t m = 0; m < world.machines.size(); ++m)
      for (const auto& [piece, ended] : world.machines[m].pieces) {
        if (ended) continue;
        World w = world;
        w.machines[m].pieces[piece] = true;
        found(std::move(w), piece.first + " ends");
      }
    if (world.lead != 0) {
      World w = world;
      w.lead = 0;
      found(std::move(w), "the hold ends");
    }
    for (std::size_t i = 0; i < world.deciders.size(); ++i) of_decider(world, i, found);
  }

  template <class Found>
  void of_decider(const World& world, std::size_t i, const Found& found) {
    const std::string name = "decider " + std::to_string(i);
    if (world.lead == 0) {
      World w = world;
      w.lead = ++w.rev;
      w.deciders[i] = {true, false, w.lead, w.ledger.size(), {}};
      found(std::move(w), name + " takes over");
    }
    const Decider& d = world.deciders[i];
    if (!d.leads) return;
    for (std::size_t m = 0; m < world.machines.size() && d.since.size() < 4; ++m) {
      World w = world;
      const Report report = w.report(m);
      w.deciders[i].since.emplace_back(report);
      std::vector<Record> records;
      book_of(w, w.deciders[i], &records);
      for (auto& r : records) w.txns.push_back({i, d.epoch, d.epoch, std::move(r)});
      if (w.txns.size() <= 2) found(std::move(w), name + " hears m-" + std::to_string(m));
    }
    const Book book = book_of(world, d);
    for (std::uint32_t h = 0; h < book.host_count() && world.commands.size() < 2; ++h) {
      const Host& host = book.host(HostIdx{h});
      for (const auto& order : orders_for(book, HostIdx{h}, d.epoch)) {
        World w = world;
        w.commands.push_back({d.epoch, static_cast<std::size_t>(host.name.back() - '0'), order});
        found(std::move(w), name + " sends to " + host.name);
      }
    }
    if (d.waits || world.txns.size() >= 2) return;
    // Users cancel what runs, in worlds in which something does from the beginning.
    if (const JobIdx j = book.find(kJobs[0].first); world.cancels && !book.job(j).ended()) {
      World w = world;
      w.txns.push_back({i, d.epoch, d.epoch, CancelRecord{kJobs[0].first}});
      w.deciders[i].waits = true;
      found(std::move(w), name + " cancels " + kJobs[0].first);
    }
    for (const auto& [uid, team] : kJobs) {
      const Job& job = book.job(book.find(uid));
      if (job.ended() || job.pending == 0) continue;
      double left = book.accounts().headroom(job.team, 1e9).cores;
      if (fault_ == Fault::cancelled_is_not_counted)
        for (JobIdx c : book.live()) left += book.job(c).ended() && book.job(c).team == job.team ? book.job(c).placed.size() : 0;
      if (left < 1 && fault_ != Fault::uses_are_not_counted) continue;
      for (std::size_t m = 0; m < world.machines.size(); ++m) {
        World w = world;
        const StartRecord start{uid, job.attempts + 1, 1, {{"m-" + std::to_string(m), 1, {{0, 1}}}}};
        w.txns.push_back({i, d.epoch, d.epoch, start});
        w.deciders[i].waits = true;
        if (fault_ == Fault::sends_before_it_is_durable) w.deciders[i].since.emplace_back(Record{start});
        found(std::move(w), name + " starts " + uid + " on m-" + std::to_string(m));
      }
    }
  }

  Fault fault_;
  std::unordered_set<std::string> seen_;
};

World accepted() {
  World w;
  Flavor big;
  big.name = "big";
  big.capacity = {8, 0, 32};
  w.ledger.emplace_back(FlavorsRecord{{big}});
  for (const auto& [uid, team] : kJobs) {
    auto s = submission(uid, 1, 1);
    s.owner = team;
    w.ledger.emplace_back(AcceptRecord{s, 0.5, 1});
  }
  return w;
}

// One led, was frozen, and believes that it leads still; the other took over. Both have heard of all
// machines.
World two_that_believe(std::size_t machines) {
  World w = accepted();
  w.machines.resize(machines);
  for (auto& d : w.deciders) {
    w.lead = ++w.rev;
    d = {true, false, w.lead, w.ledger.size(), {}};
    for (std::size_t m = 0; m < machines; ++m) d.since.emplace_back(w.report(m));
  }
  return w;
}

// Each team at its limit: one job of each runs, on one machine, and a job of the first one waits. What runs of that is cancelled, by either
// of two that believe they lead; commands and answers are late or lost.
World full_and_cancelled() {
  World w = accepted();
  w.cancels = true;
  w.machines.resize(1);
  for (const std::size_t j : {0, 2}) {
    w.ledger.emplace_back(StartRecord{kJobs[j].first, 1, 1, {{"m-0", 1, {{0, 1}}}}});
    w.machines[0].pieces[{kJobs[j].first, 1}] = false;
  }
  for (auto& d : w.deciders) {
    w.lead = ++w.rev;
    d = {true, false, w.lead, w.ledger.size(), {}};
    d.since.emplace_back(w.report(0));
  }
  return w;
}

TEST(Deciders, WhatIsCancelledTakesItsRoomUntilItIsOff) {
  Explorer e(Fault::none);
  EXPECT_EQ(e.run(full_and_cancelled(), 8), "");
  std::printf("%zu worlds\n", e.worlds());
  EXPECT_GT(e.worlds(), 10000u);
  const auto found = Explorer(Fault::cancelled_is_not_counted).run(full_and_cancelled(), 8);
  EXPECT_NE(found.find("quota: red"), std::string::npos) << found;
  std::printf("%s\n", found.c_str());
}

TEST(Deciders, NoInterleavingPassesALimit) {
  Explorer from_nothing(Fault::none), two(Fault::none), one(Fault::none);
  EXPECT_EQ(from_nothing.run(accepted(), 6), "");
  EXPECT_EQ(two.run(two_that_believe(2), 5), "");
  EXPECT_EQ(one.run(two_that_believe(1), 8), "");
  std::printf("%zu + %zu + %zu worlds\n", from_nothing.worlds(), two.worlds(), one.worlds());
  EXPECT_GT(one.worlds(), 10000u);
}

class Guard : public testing::TestWithParam<Fault> {};
TEST_P(Guard, TakenOutIsFound) {
  const auto found = Explorer(GetParam()).run(two_that_believe(1), 8);
  EXPECT_NE(found, "");
  std::printf("%s\n", found.c_str());
}
INSTANTIATE_TEST_SUITE_P(Deciders, Guard, testing::Values(Fault::no_stamp, Fault::sends_before_it_is_durable, Fault::uses_are_not_counted));

}  // namespace
}  // namespace thistle
