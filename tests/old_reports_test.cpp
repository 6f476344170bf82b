// An old report reaches a leader just as it begins: it has heard nothing else, and remembers no serial. Every history of one machine up to
// a length (starts, commands, ends, reports, reaps, a cancellation, leases that lapse), a new leader after it that reads the ledger, and
// every copy of an earlier report, of the same session or an earlier one, heard first; then its commands, and then the machine's own
// report. What it concludes must be true of the machine.
#include <gtest/gtest.h>

#include "fleet/dealings.hpp"
#include "jobs.hpp"

namespace thistle {
namespace {

constexpr std::uint64_t kOld = 10, kNew = 20;  // epochs
constexpr std::uint32_t kTasks = 2;

struct World {
  std::vector<Record> ledger;
  std::vector<Report> heard;  // by the old leader, in order, each with the number of records in the ledger then
  std::vector<std::size_t> ledger_then;
  std::map<std::pair<std::uint32_t, std::uint64_t>, bool> pieces;  // task, attempt: ended
  std::set<std::pair<std::uint32_t, std::uint64_t>> ever, reaped;
  std::set<std::uint32_t> finished;
  std::uint64_t tenure = 1, serial = 0, epoch = kOld;
  bool cancelled = false;
  std::string wrong;

  Report report() {
    Report r{"m-1", "a", "big", "x", false, tenure, ++serial, epoch, std::nullopt, {}};
    for (const auto& [key, ended] : pieces)
      r.tasks.push_back({{"j-1", key.first}, key.second, ended ? Phase::exited : Phase::running, ended ? Cause::done : Cause::none, false});
    return r;
  }
  void execute(const std::vector<Order>& orders, std::uint64_t as_epoch, std::uint64_t of_tenure) {
    if (as_epoch < epoch || of_tenure != tenure) return;
    epoch = as_epoch;
    for (const auto& o : orders) {
      const std::pair key{o.id.task, o.attempt};
      if (o.type == Verb::run && !pieces.contains(key)) {
        if (!ever.insert(key).second) wrong = "ran_again";
        for (const auto& [other, ended] : pieces)
          if (other.first == key.first && !ended) wrong = "ran_twice";
        pieces[key] = false;
      } else if (o.type == Verb::kill && pieces.contains(key)) {
        pieces.erase(key);
      } else if (o.type == Verb::reap && pieces.contains(key) && pieces[key]) {
        pieces.erase(key);
        reaped.insert(key);
      }
    }
  }
};

Book fresh() {
  Book book = book_of_red(8);
  Flavor f;
  f.name = "big";
  f.capacity = {8, 0, 32};
  book.apply(FlavorsRecord{{f}});
  book.apply(AcceptRecord{submission("j-1", kTasks, 1), 0.5, 1});
  return book;
}
Book read(const World& w, std::size_t records) {
  Book book = fresh();
  for (std::size_t i = 0; i < records; ++i) book.apply(w.ledger[i]);
  return book;
}
// The old leader, as it is now: what it heard, and the ledger, in their order.
Book old_leader(const World& w) {
  Book book = fresh();
  std::size_t applied = 0;
  for (std::size_t k = 0; k < w.heard.size(); ++k) {
    for (; applied < w.ledger_then[k]; ++applied) book.apply(w.ledger[applied]);
    take_report(book, w.heard[k], {1, 1}, true, kOld);
  }
  for (; applied < w.ledger.size(); ++applied) book.apply(w.ledger[applied]);
  return book;
}
// What a leader makes of a report is in the ledger, and must be true.
void conclude(World& w, Book& book, const Report& report, std::uint64_t fence, bool by_report) {
  for (auto& r : take_report(book, report, {1, 1}, by_report, fence).records) {
    if (const auto* done = std::get_if<DoneRecord>(&r))
      for (const auto& range : done->tasks)
        for (auto t = range.first; t < range.last; ++t)
          if (!w.finished.contains(t)) w.wrong = "not_done";
    if (const auto* off = std::get_if<OffRecord>(&r))
      for (const auto& range : off->tasks)
        for (auto t = range.first; t < range.last; ++t)
          if (const auto it = w.pieces.find({t, off->attempt}); it != w.pieces.end() && !it->second) w.wrong = "given up while it runs";
    book.apply(r);
    w.ledger.push_back(std::move(r));
  }
}

class OldReports : public testing::Test {
 protected:
  void explore(const World& w, std::size_t left, const std::string& path) {
    new_leader(w, path);
    if (left == 0 || !found.empty()) return;
    for (std::uint32_t t = 0; t < kTasks; ++t) {
      const Book book = old_leader(w);
      const Job& job = book.job(book.find("j-1"));
      if (!job.ended() && job.tasks[t] == TaskState::waiting && !w.heard.empty()) {
        World next = w;
        next.ledger.emplace_back(StartRecord{"j-1", job.attempts + 1, 1, {{"m-1", next.heard.back().tenure, {{t, t + 1}}}}});
        explore(next, left - 1, path + "start " + std::to_string(t) + "; ");
      }
      for (const auto& [key, ended] : w.pieces) {
        if (key.first != t || ended) continue;
        World next = w;
        next.pieces[key] = true;
        next.finished.insert(t);
        explore(next, left - 1, path + "end " + std::to_string(t) + "; ");
      }
    }
    if (!w.cancelled) {
      World next = w;
      next.cancelled = true;
      next.ledger.emplace_back(CancelRecord{"j-1"});
      explore(next, left - 1, path + "cancel; ");
    }
    World report = w;
    Book book = old_leader(report);
    const Report r = report.report();
    report.heard.push_back(r);
    report.ledger_then.push_back(report.ledger.size());
    conclude(report, book, r, kOld, true);
    // The answer to it.
    report.execute(orders_for(book, book.find_host("m-1"), kOld), kOld, r.tenure);
    explore(report, left - 1, path + "report; ");
    World lapsed = w;
    lapsed.pieces.clear();
    ++lapsed.tenure;
    explore(lapsed, left - 1, path + "lease over; ");
  }
  // Every copy of what the old leader heard, first; and two of them, in either order.
  void new_leader(const World& w, const std::string& path) {
    for (std::size_t a = 0; a < w.heard.size() && found.empty(); ++a) {
      for (std::size_t b = 0; b <= w.heard.size() && found.empty(); ++b) {
        World now = w;
        Book book = read(now, now.ledger.size());
        const auto hear = [&](const Report& r) {
          conclude(now, book, r, kNew, true);
          const HostIdx h = book.find_host("m-1");
          now.execute(orders_for(book, h, kNew), kNew, book.host(h).agent.incarnation);
        };
        hear(w.heard[a]);
        if (b < w.heard.size()) hear(w.heard[b]);
        for (int k = 0; k < 2; ++k) hear(now.report());
        // What it did and nobody wrote down is still there, unless its lease lapsed.
        const Job& job = book.job(book.find("j-1"));
        for (const auto& key : now.reaped)
          if (now.finished.contains(key.first) && !job.ended() && job.tasks[key.first] == TaskState::waiting) now.wrong = "an end is lost";
        ++worlds;
        if (!now.wrong.empty())
          found = path + "copy " + std::to_string(a) + (b < w.heard.size() ? ", copy " + std::to_string(b) : "") + ": " + now.wrong;
      }
    }
  }
  std::string found;
  std::size_t worlds = 0;
};

TEST_F(OldReports, WhatANewLeaderConcludesFromACopyIsTrue) {
  explore(World(), 8, "");
  EXPECT_EQ(found, "");
  std::cout << worlds << " worlds\n";
  EXPECT_GT(worlds, 20000u);
}

}  // namespace
}  // namespace thistle
