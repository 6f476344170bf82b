// A report that repeats the one before is taken without its tasks being looked up again. Two books hear the same history, one of
// them is never told what repeats: they must stay alike.
#include <gtest/gtest.h>

#include <random>

#include "fleet/dealings.hpp"

namespace thistle {
namespace {

constexpr std::uint64_t kEpoch = 10;
constexpr std::uint32_t kTasks = 4;
const std::vector<std::string> kJobs = {"j-1", "j-2", "j-3"};

AcceptRecord accepted(const std::string& uid, Shape shape) {
  AcceptRecord record;
  record.job.uid = uid;
  record.job.owner = "red";
  record.job.job_class = "c";
  record.job.bundle = "i";
  record.job.shape = shape;
  record.job.task_count = kTasks;
  record.job.demand = {1, 0, 1};
  return record;
}

// One book with the machine m-1.
struct Side {
  Side() : book({{"red", {}, {}, {}}}) {
    Flavor flavor;
    flavor.name = "big";
    flavor.capacity = {64, 0, 256};
    apply(FlavorsRecord{{flavor}});
  }
  void apply(const Record& record) { book.apply(record); }
  std::vector<Record> take(const Report& report, double now, bool by_report) {
    auto outcome = take_report(book, report, {now, now}, by_report, kEpoch);
    changed = outcome.changed;
    stale = outcome.stale;
    return std::move(outcome.records);
  }
  Book book;
  bool changed = false, stale = false;
};

std::string state_of(Book& book) {
  std::string out;
  const HostIdx h = book.find_host("m-1");
  if (!h.valid()) return out;
  const Host& host = book.host(h);
  out += std::to_string(host.agent.incarnation) + "/" + std::to_string(host.agent.serial) + (host.lease_expired ? " lost" : "") + ":";
  for (const auto& seen : host.agent.tasks)
    out += " " + std::to_string(seen.ref.job.v) + "/" + std::to_string(seen.ref.task) + "." + std::to_string(seen.attempt) + "=" +
           std::to_string(static_cast<int>(seen.phase)) + seen.uid;
  for (const auto& uid : kJobs) {
    const JobIdx j = book.find(uid);
    if (!j.valid()) continue;
    out += "\n" + uid + " " + std::to_string(static_cast<int>(book.job(j).status));
    for (const auto& [task, p] : book.job(j).placed)
      out += " " + std::to_string(task) + "." + std::to_string(p.attempt) + "=" + std::to_string(static_cast<int>(p.phase)) +
             (p.reported ? "s" : "") + (p.end_pending ? "c" : "") + (p.stopping ? "x" : "") + std::to_string(p.running_at);
  }
  for (const auto& order : orders_for(book, h, kEpoch))
    out += "\n" + std::to_string(static_cast<int>(order.type)) + order.id.uid + "/" + std::to_string(order.id.task);
  return out;
}

class History {
 public:
  explicit History(unsigned seed) : random_(seed) {}

  void step() {
    ++now_;
    switch (random_() % 8) {
      case 0: accept(); break;
      case 1: start(); break;
      case 2: cancel(); break;
      case 3: change_worker(); break;
      case 4: tell(false); break;
      default: tell(true);
    }
  }
  Side plain, told;
  std::size_t repeated = 0;

 private:
  const std::string& any_job() { return kJobs[random_() % kJobs.size()]; }
  void both(const Record& record) {
    plain.apply(record);
    told.apply(record);
  }
  void accept() { both(accepted(any_job(), random_() % 2 ? Shape::batch : Shape::service)); }
  void start() {
    const auto& uid = any_job();
    const std::uint32_t task = random_() % kTasks;
    both(StartRecord{uid, ++attempts_, now_, {{"m-1", tenure_, {{task, task + 1}}}}});
    // It may show there before, at once, or never.
    if (random_() % 3 != 0) on_machine_.push_back({{uid, task}, attempts_, Phase::pulling, Cause::none, false});
  }
  void cancel() {
    if (random_() % 4 == 0) both(CancelRecord{any_job()});
  }
  void change_worker() {
    if (random_() % 12 == 0) {
      ++tenure_;
      on_machine_.clear();
    }
    if (on_machine_.empty()) return;
    auto& piece = on_machine_[random_() % on_machine_.size()];
    if (piece.phase == Phase::exited) {
      piece = on_machine_.back();
      on_machine_.pop_back();
    } else if (piece.phase == Phase::pulling) {
      piece.phase = Phase::running;
    } else {
      piece.phase = Phase::exited;
      piece.cause = random_() % 2 ? Cause::done : Cause::error;
    }
  }
  // A report of the worker, or its answer to a direct command.
  void tell(bool by_report) {
    Report report{"m-1", "127.0.0.1:1", "big", "x", false, tenure_, ++serial_, kEpoch, std::nullopt, on_machine_};
    const bool same = by_report && says_ == text(report);
    const auto records = plain.take(report, now_, by_report);
    if (same) report.repeated_serial = said_serial_;
    if (by_report) {
      says_ = text(report);
      said_serial_ = report.serial;
    }
    const auto other = told.take(report, now_, by_report);
    repeated += same;
    ASSERT_EQ(records.size(), other.size());
    ASSERT_EQ(plain.changed, told.changed);
    ASSERT_EQ(plain.stale, told.stale);
    for (const auto& record : records) both(record);
  }
  static std::string text(const Report& report) {
    std::string out = std::to_string(report.tenure);
    for (const auto& p : report.tasks)
      out += " " + p.id.uid + "/" + std::to_string(p.id.task) + "." + std::to_string(p.attempt) +
             std::to_string(static_cast<int>(p.phase)) + std::to_string(static_cast<int>(p.cause));
    return out;
  }

  std::mt19937 random_;
  double now_ = 100;
  std::uint64_t tenure_ = 1, serial_ = 0, attempts_ = 0, said_serial_ = 0;
  std::string says_;
  std::vector<ReportedPiece> on_machine_;
};

TEST(RepeatedReports, LeaveTheBookAsWholeReportsDo) {
  std::size_t repeated = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    History history(seed);
    for (int i = 0; i < 150; ++i) {
      history.step();
      if (HasFatalFailure()) FAIL() << "seed " << seed;
      ASSERT_EQ(state_of(history.plain.book), state_of(history.told.book)) << "seed " << seed << ", step " << i;
    }
    repeated += history.repeated;
  }
  EXPECT_GT(repeated, 5000u);
}

}  // namespace
}  // namespace thistle
