// The book: what records do, and that a snapshot rebuilds it.
#include "bookkeeping/book.hpp"

#include <gtest/gtest.h>

#include "protocol/messages.hpp"

namespace thistle {
namespace {

Submission submission(const std::string& uid, std::uint32_t pieces) {
  Submission s;
  s.uid = uid;
  s.owner = "red";
  s.job_class = "c";
  s.bundle = "i";
  s.pieces = pieces;
  s.need = {2, 0, 1};
  return s;
}

Book fresh() { return Book({{"red", {}, {10, 0, 0}, {}}}); }

std::vector<Record> story() {
  return {AcceptRecord{submission("j-1", 4), 0.5, 1},
          AcceptRecord{submission("j-2", 2), 0.5, 2},
          AcceptRecord{submission("j-3", 1), 0.5, 3},
          StartRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 2}}}, {"m-2", 3, {{2, 3}}}}},
          StartRecord{"j-2", 1, 4, {{"m-1", 1, {{0, 2}}}}},
          DoneRecord{"j-1", {{0, 1}}},
          OffRecord{"j-1", 1, {{2, 3}}},
          StartRecord{"j-1", 2, 5, {{"m-1", 1, {{2, 3}}}}},
          DoneRecord{"j-2", {{0, 2}}},
          CancelRecord{"j-3"}};
}

TEST(Book, AppliesRecordsInOrder) {
  Book b = fresh();
  for (const auto& r : story()) b.apply(r);
  const Job& j1 = b.job(b.find("j-1"));
  EXPECT_EQ(j1.done, 1u);
  EXPECT_EQ(j1.waiting, 1u);
  EXPECT_EQ(j1.placed.size(), 2u);
  EXPECT_EQ(j1.attempts, 2u);
  EXPECT_EQ(b.job(b.find("j-2")).status, JobStatus::done);
  EXPECT_EQ(b.job(b.find("j-3")).status, JobStatus::aborted);
  EXPECT_DOUBLE_EQ(b.teams()[0].used.cores, 4);
}

TEST(Book, ACancelledJobNeitherStartsNorBecomesDone) {
  Book b = fresh();
  b.apply(AcceptRecord{submission("j-1", 1), 0.5, 1});
  b.apply(StartRecord{"j-1", 1, 4, {{"m-1", 1, {{0, 1}}}}});
  b.apply(CancelRecord{"j-1"});
  b.apply(DoneRecord{"j-1", {{0, 1}}});
  EXPECT_EQ(b.job(b.find("j-1")).status, JobStatus::aborted);
  b.apply(AcceptRecord{submission("j-2", 1), 0.5, 1});
  b.apply(CancelRecord{"j-2"});
  b.apply(StartRecord{"j-2", 1, 4, {{"m-1", 1, {{0, 1}}}}});
  EXPECT_TRUE(b.job(b.find("j-2")).placed.empty());
}

TEST(Book, ADoneJobIsNotCancelledAndALateOffOfAnotherAttemptIsIgnored) {
  Book b = fresh();
  b.apply(AcceptRecord{submission("j-1", 1), 0.5, 1});
  b.apply(StartRecord{"j-1", 2, 4, {{"m-1", 1, {{0, 1}}}}});
  b.apply(OffRecord{"j-1", 1, {{0, 1}}});
  EXPECT_EQ(b.job(b.find("j-1")).placed.size(), 1u);
  b.apply(DoneRecord{"j-1", {{0, 1}}});
  b.apply(CancelRecord{"j-1"});
  EXPECT_EQ(b.job(b.find("j-1")).status, JobStatus::done);
}

// A snapshot is written behind the entries it replaces, and these go oldest first: whatever was removed when the
// leader ended, reading the rest in order gives the same book.
TEST(Book, AnySuffixBeforeASnapshotGivesTheSameBook) {
  Book whole = fresh();
  const auto records = story();
  for (const auto& r : records) whole.apply(r);
  const auto snapshot = whole.records();
  for (std::size_t removed = 0; removed <= records.size(); ++removed) {
    Book b = fresh();
    for (std::size_t i = removed; i < records.size(); ++i) b.apply(records[i]);
    for (const auto& r : snapshot) b.apply(parse_entry(entry_value(1, encode_record(r))).records.at(0));
    for (const char* uid : {"j-1", "j-2", "j-3"}) {
      ASSERT_TRUE(b.find(uid).valid()) << uid << " with " << removed << " removed";
      const Job& want = whole.job(whole.find(uid));
      const Job& got = b.job(b.find(uid));
      EXPECT_EQ(got.status, want.status) << uid << " with " << removed << " removed";
      EXPECT_EQ(got.tasks, want.tasks) << uid << " with " << removed << " removed";
      EXPECT_EQ(got.placed.size(), want.placed.size());
    }
    EXPECT_DOUBLE_EQ(b.teams()[0].used.cores, whole.teams()[0].used.cores);
  }
}

}  // namespace
}  // namespace thistle
