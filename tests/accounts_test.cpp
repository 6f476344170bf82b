// Teams' limits: what is in force while controllers' settings differ, what counts as used, and that the
// accounts agree with an independent count.
#include "bookkeeping/accounts.hpp"

#include <gtest/gtest.h>

#include <random>

#include "bookkeeping/agreement.hpp"
#include "bookkeeping/waiting.hpp"
#include "jobs.hpp"

namespace thistle {
namespace {

TeamTerms terms(double guarantee, double limit) {
  return {{guarantee, 0, 0}, {limit, 0, 0}};
}
constexpr double kNone = 1e9;

class Fleet {  // of controllers with settings files, and the ledger's accounts
 public:
  explicit Fleet(std::vector<TeamsFile> files) : accounts({}) {
    for (std::size_t i = 0; i < files.size(); ++i) of["host-" + std::to_string(i)] = std::move(files[i]);
    std::vector<Team> teams;
    for (const auto& [name, t] : *of.begin()->second) teams.push_back({name, t.guarantee, t.limit});
    accounts = Accounts(teams);
  }
  // A leader looks: what it writes is applied. It comes to rest at once.
  std::size_t agree(const std::string& leader) {
    const TeamsFile own = of.at(leader).value_or(TeamsFile{});
    const auto records = next_agreement(accounts, own, of);
    for (const auto& r : records) accounts.apply_record(r);
    EXPECT_TRUE(next_agreement(accounts, own, of).empty());
    return records.size();
  }
  double limit(const std::string& team) const { return accounts.team(accounts.find(team)).limit.cores; }
  double guarantee(const std::string& team) const { return accounts.team(accounts.find(team)).guarantee.cores; }
  bool open(const std::string& team) const { return accounts.find(team).valid() && accounts.accepts_jobs(accounts.find(team)); }

  Accounts accounts;
  std::map<std::string, std::optional<TeamsFile>> of;
};

// Rolled out controller by controller: whoever leads, the lower limit and the higher guarantee hold until all
// have the file.
TEST(Agreement, AChangedLimitNarrowsUntilAllHaveIt) {
  const TeamsFile old{{"red", terms(8, 16)}};
  for (const double changed : {10.0, 24.0}) {
    Fleet f({old, old, old});
    f.agree("host-0");
    for (const auto* next : {"host-1", "host-2"}) {
      f.of[next] = TeamsFile{{"red", terms(12, changed)}};
      for (const auto* leader : {"host-0", "host-1", "host-2"}) {
        f.agree(leader);
        EXPECT_EQ(f.limit("red"), std::min(16.0, changed)) << leader;
        EXPECT_EQ(f.guarantee("red"), std::min(12.0, changed)) << leader << ": as far as it fits";
      }
    }
    f.of["host-0"] = f.of["host-1"];
    f.agree("host-0");
    EXPECT_EQ(f.limit("red"), changed);
    EXPECT_EQ(f.accounts.changing_team(), std::nullopt);
  }
}

TEST(Agreement, AChangeThatIsTakenBackNarrowsNoLonger) {
  const TeamsFile old{{"red", terms(8, 16)}};
  Fleet f({old, old, old});
  f.agree("host-0");
  f.of["host-2"] = TeamsFile{{"red", terms(8, 4)}};
  f.agree("host-1");
  EXPECT_EQ(f.limit("red"), 4);
  // Its controller can't be asked, and may still have it.
  f.of["host-2"] = std::nullopt;
  EXPECT_EQ(f.agree("host-0"), 0u);
  EXPECT_EQ(f.limit("red"), 4);
  f.of["host-2"] = old;
  f.agree("host-0");
  EXPECT_EQ(f.limit("red"), 16);
}

TEST(Agreement, TeamsThatComeAndGo) {
  const TeamsFile old{{"red", terms(8, 16)}, {"blue", terms(0, 6)}};
  Fleet f({old, old, old});
  f.agree("host-0");
  // Blue goes, green comes, on one controller: blue is as it was, and green may work within what that one
  // says.
  const TeamsFile changed{{"red", terms(8, 16)}, {"green", terms(2, 5)}};
  f.of["host-1"] = changed;
  f.agree("host-0");
  EXPECT_TRUE(f.open("blue"));
  EXPECT_EQ(f.limit("blue"), 6);
  EXPECT_TRUE(f.open("green"));
  EXPECT_EQ(f.limit("green"), 5);
  f.of["host-0"] = f.of["host-2"] = changed;
  f.agree("host-2");
  EXPECT_FALSE(f.open("blue")) << "no more jobs";
  EXPECT_EQ(f.limit("blue"), 6) << "its last limit, for those that it has";
  EXPECT_TRUE(f.open("green"));
  // It comes back with another limit: the lower one until all have it.
  f.of["host-0"] = TeamsFile{{"red", terms(8, 16)}, {"green", terms(2, 5)}, {"blue", terms(0, 9)}};
  f.agree("host-0");
  EXPECT_EQ(f.limit("blue"), 6);
  f.of["host-1"] = f.of["host-2"] = f.of["host-0"];
  f.agree("host-1");
  EXPECT_TRUE(f.open("blue"));
  EXPECT_EQ(f.limit("blue"), 9);
}

TEST(Agreement, NoLimitIsTheHighestOfAll) {
  EXPECT_EQ(narrower(terms(3, 0), terms(5, 4)), terms(4, 4));
  EXPECT_EQ(narrower(terms(3, 0), terms(5, 0)), terms(5, 0));
  Fleet f({{{"red", terms(1, 0)}}, {{"red", terms(1, 7)}}});
  f.agree("host-0");
  EXPECT_EQ(f.limit("red"), 7);
}

// Every sequence of changes of files, looks by any leader and unknown files: whatever is in force is never
// above the limit that was in force for all, nor above that of any file that is known and was there at the
// last look.
TEST(Agreement, WhatIsInForceIsNeverAboveAnyKnownFile) {
  const std::vector<std::optional<TeamsFile>> choices{TeamsFile{{"red", terms(2, 10)}}, TeamsFile{{"red", terms(4, 6)}},
                                                      TeamsFile{{"red", terms(1, 14)}}, TeamsFile{}, std::nullopt};
  std::mt19937 random(3);
  for (int day = 0; day < 300; ++day) {
    Fleet f({*choices[0], *choices[0], *choices[0]});
    f.agree("host-0");
    for (int step = 0; step < 30; ++step) {
      const auto host = "host-" + std::to_string(random() % 3);
      f.of[host] = choices[random() % choices.size()];
      const auto leader = "host-" + std::to_string(random() % 3);
      if (!f.of[leader]) continue;
      f.agree(leader);
      const auto& record = *f.accounts.team(f.accounts.find("red")).record;
      for (const auto& [label, file] : f.of)
        if (file && file->contains("red")) {
          ASSERT_LE(f.limit("red"), file->at("red").limit.cores) << "day " << day << " step " << step << " " << label;
        }
      ASSERT_LE(f.guarantee("red"), f.limit("red"));
      if (record.agreed) {
        ASSERT_LE(f.limit("red"), record.agreed->limit.cores);
      }
    }
  }
}

// As it was: no account, and the planner let any number of its units start.
TEST(Accounts, WorkOfATeamThatNobodyTellsTermsOfDoesNotStart) {
  Book book = book_of_red(4);
  auto blue = submission("j-1", 3, 1);
  blue.owner = "blue";
  book.apply(AcceptRecord{blue, 0.5, 1});
  const Job& job = book.job(book.find("j-1"));
  ASSERT_TRUE(job.team.valid());
  EXPECT_LT(book.accounts().headroom(job.team, kNone).cores, 0);
  EXPECT_FALSE(book.accounts().accepts_jobs(job.team));
  EXPECT_TRUE(book.why_never(blue).has_value());
  EXPECT_EQ(book.accounts().headroom(book.accounts().find("red"), kNone).cores, 4);
  // The ledger's terms come into force, and its work with them.
  book.apply(TeamRecord{"blue", terms(0, 2), std::nullopt, false});
  EXPECT_EQ(book.accounts().headroom(job.team, kNone).cores, 2);
}

// A limit of 4 cores, and one task of one core that runs on m-1.
struct OneRuns {
  OneRuns() {
    book.apply(AcceptRecord{submission("j-1", 3, 1), 0.5, 1});
    j = book.find("j-1");
    h = book.host_named("m-1");
    book.apply(StartRecord{"j-1", 1, 2, {{"m-1", 1, {{0, 1}}}}});
    red = book.accounts().find("red");
    placed().reported = true;
    placed().phase = Phase::running;
  }
  Placement& placed() { return *book.placement({j, 0}); }
  Book book = book_of_red(4);
  JobIdx j;
  HostIdx h;
  TeamIdx red;
};

TEST(Accounts, WhatWorkersReportBesideWhatIsPlacedCounts) {
  OneRuns w;
  auto& [book, j, h, red] = w;
  book.host(h).agent.tasks = {{{j, 0}, 1, Phase::running, ""}};
  book.count_unplaced();
  EXPECT_EQ(book.accounts().headroom(red, kNone).cores, 3);
  // One that the book knows nothing of: never under.
  book.host(h).agent.tasks.push_back({{j, 1}, 1, Phase::running, ""});
  book.count_unplaced();
  EXPECT_EQ(book.accounts().headroom(red, kNone).cores, 2);
  book.host(h).agent.tasks.back().phase = Phase::exited;
  book.count_unplaced();
  EXPECT_EQ(book.accounts().headroom(red, kNone).cores, 3);
}

// Found by reading: as many tasks of its earlier session as it holds now hid those.
TEST(Accounts, WhatAnEarlierSessionHeldHidesNothingThatRunsNow) {
  OneRuns w;
  auto& [book, j, h, red] = w;
  book.host(h).agent.incarnation = 2;
  book.host(h).agent.tasks = {{{j, 1}, 1, Phase::running, ""}};
  book.count_unplaced();
  EXPECT_EQ(book.accounts().headroom(red, kNone).cores, 2) << "the end of the earlier one is not in the ledger yet";
  book.host(h).agent.incarnation = 1;
  w.placed().end_pending = true;
  book.count_unplaced();
  EXPECT_EQ(book.accounts().headroom(red, kNone).cores, 2) << "nor is this one";
}

// The order of a team's jobs is the ledger's, whatever the clock of the controller that accepted them.
TEST(Accounts, JobsAreAcceptedInTheLedgersOrder) {
  Book book = book_of_red(4);
  book.apply(AcceptRecord{submission("j-1", 1, 1), 0.5, 100.02});
  EXPECT_GT(book.accepted_next(100.0, 0.025), 100.02) << "a clock that is behind, within its bound";
  EXPECT_EQ(book.accepted_next(100.5, 0.025), 100.5);
  EXPECT_EQ(book.accepted_next(50, 0.025), 50) << "a clock that was hours ahead once does not bend all that follow";
}

TEST(Accounts, WhatWaitsIsToldWithItsReason) {
  Book book({Team{"red", {}, {2, 0, 0}}, Team{"blue", {}, {0, 0, 0}}});
  const auto accept = [&](const std::string& uid, const std::string& team, std::uint32_t pieces, double at) {
    auto s = submission(uid, pieces, 1);
    s.owner = team;
    book.apply(AcceptRecord{s, 0.5, at});
  };
  accept("j-1", "red", 4, 10);
  accept("j-2", "blue", 1, 20);
  accept("j-3", "blue", 1, 30);
  accept("j-4", "green", 2, 40);
  const auto line = [&](std::size_t i) {
    const auto w = what_waits(book, 100).at(i);
    return w.team + " " + std::to_string(w.tasks) + " " + name_of(w.reason) + " " + std::to_string(static_cast<int>(w.unstarted_s));
  };
  EXPECT_EQ(line(0), "blue 2 room 80");
  EXPECT_EQ(line(1), "green 2 terms 60");
  EXPECT_EQ(line(2), "red 4 room 90");
  book.apply(StartRecord{"j-1", 1, 50, {{"m-1", 1, {{0, 2}}}}});
  book.apply(StartRecord{"j-2", 1, 50, {{"m-1", 1, {{0, 1}}}}});
  EXPECT_EQ(line(0), "blue 1 room 70");
  EXPECT_EQ(line(2), "red 2 limit 0");
}

// The larger figure holds, and it is told.
TEST(Accounts, AnAccountThatSaysLessThanIsPlacedIsCorrected) {
  Book book = book_of_red(10);
  book.apply(AcceptRecord{submission("j-1", 3, 1), 0.5, 1});
  book.apply(StartRecord{"j-1", 1, 2, {{"m-1", 1, {{0, 3}}}}});
  EXPECT_TRUE(book.correct_accounts().empty());
  const TeamIdx red = book.accounts().find("red");
  book.accounts().refund(red, {2, 0, 0});
  EXPECT_EQ(book.correct_accounts(), std::vector<std::string>{"red"});
  EXPECT_EQ(book.teams()[0].used.cores, 3);
  book.accounts().charge(red, {2, 0, 0});
  EXPECT_EQ(book.correct_accounts(), std::vector<std::string>{"red"});
  EXPECT_EQ(book.teams()[0].used.cores, 5) << "never under";
}

}  // namespace
}  // namespace thistle
