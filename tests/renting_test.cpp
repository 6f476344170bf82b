// Which machines are rented: kept stories of fleets whose machines come, come late, or never come.
#include "planning/renting.hpp"

#include <gtest/gtest.h>

#include "jobs.hpp"

namespace thistle {
namespace {

class Renting : public testing::Test {
 protected:
  Renting() : book(book_of_red(1e6)) {
    Flavor small{"small", {4, 0, 16}, 50, 1, 0.2, 0.1, 30, {"x", "y"}};
    Flavor large{"large", {32, 0, 64}, 50, 1, 1.3, 0.6, 30, {"x"}};
    Flavor dear{"dear", {64, 8, 384}, 50, 1, 15, 6, 50, {"x", "y"}};
    book.apply(FlavorsRecord{{small, large, dear}});
    Submission s = submission("j-1", 40, 1);
    s.loaners = true;
    book.apply(AcceptRecord{s, 0.5, 0});
  }
  Host& machine(const std::string& name, const std::string& kind, const std::string& yard, bool loaner, double held_s) {
    const HostIdx h = book.host_named(name);
    book.describe(h, "", kind, yard, loaner);
    Host& host = book.host(h);
    host.instance.listed = true;
    host.instance.status = Machine::Status::booting;
    host.instance.requested_at = now - held_s;
    return host;
  }
  std::optional<Rental> choose(std::uint32_t units) { return choose_rental({book, {{book.find("j-1"), units}}, refused, now, 50}); }
  std::string offer(const Rental& r) const {
    return book.kind_name(r.offer.machine_type) + " " + r.offer.yard + (r.offer.loaner ? " spot" : "");
  }

  Book book;
  std::set<Offer> refused;
  double now = 1000;
};

TEST_F(Renting, TheCheapestOfferForWhatMachinesOfThatKindOnTheirWayDoNotServe) {
  auto r = choose(40);
  ASSERT_TRUE(r);
  EXPECT_EQ(offer(*r), "large x spot");
  EXPECT_EQ(r->count, 2u);
  machine("m-1", "large", "x", true, 5);
  EXPECT_EQ(choose(40)->count, 1u);
  machine("m-2", "large", "x", false, 5);
  EXPECT_FALSE(choose(40));
}

// As it was, one that never came was waited for until four times its boot time.
TEST_F(Renting, AMachineOverItsTimeIsReplacedElsewhere) {
  machine("m-1", "large", "x", true, 5);
  machine("m-2", "large", "x", true, 5);
  EXPECT_FALSE(choose(40));
  now += 60;
  const auto r = choose(40);
  ASSERT_TRUE(r);
  EXPECT_EQ(offer(*r), "small x spot") << "not where the others are late";
  EXPECT_EQ(r->late, 2u);
}

TEST_F(Renting, LateMachinesAreReplacedOnlySoOften) {
  for (int i = 0; i < 10; ++i) machine("m-" + std::to_string(i), "small", i % 2 ? "x" : "y", true, 70);
  machine("m-10", "large", "x", true, 70);
  machine("m-11", "large", "x", false, 70);
  EXPECT_FALSE(choose(4)) << "twelve late ones stand beside one or two wanted";
  EXPECT_TRUE(choose(400));
}

TEST_F(Renting, AMachineThatIsUpOrGivenUpIsNotExpected) {
  Host& m = machine("m-1", "large", "x", true, 5);
  const Flavor* f = book.flavor(m.machine_type);
  EXPECT_EQ(coming(m, f, now), Coming::likely);
  EXPECT_EQ(coming(m, f, now + 60), Coming::late);
  EXPECT_FALSE(never_came(m, f, now + 60));
  EXPECT_TRUE(never_came(m, f, now + 130));
  m.agent.has_reported = true;
  EXPECT_EQ(coming(m, f, now), Coming::no);
  EXPECT_FALSE(never_came(m, f, now + 130));
}

// Rented by an earlier leader: only the list tells for how long, and an old list may say that it boots still.
TEST_F(Renting, WhatAnEarlierLeaderRentedCountsByTheList) {
  Host& m = machine("m-1", "large", "x", true, 0);
  m.instance.requested_at = 0;
  m.instance.listed_at = now - 10;
  m.instance.age_s = 45;
  EXPECT_DOUBLE_EQ(held_for(m, now), 55);
  EXPECT_EQ(coming(m, book.flavor(m.machine_type), now), Coming::late);
}

TEST_F(Renting, RefusedOffersAreNotAskedForAgain) {
  refused.insert({book.kind_of("large"), "x", true});
  EXPECT_EQ(offer(*choose(40)), "small x spot");
}

}  // namespace
}  // namespace thistle
