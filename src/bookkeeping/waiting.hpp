// What waits, by team and class, for how long, and what it waits for: so that nobody starves unseen. Pure.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "bookkeeping/book.hpp"

namespace thistle {

struct Waiting {
  std::string team, job_class;
  enum class For : std::uint8_t {
    room,      // on machines, behind what goes before
    limit,     // the team's own work to end
    terms,     // a team that nobody has told terms of
    evidence,  // it failed wherever it ran, and tries with one task after pauses
    stopped,   // the rest of its gang to be off its machines
  } what = For::room;
  std::uint32_t tasks = 0;
  double unstarted_s = 0;  // since the oldest job of which nothing has run yet was accepted; 0: there is none
};
const char* name_of(Waiting::For what);

// `wall`: seconds. In the order of teams, classes and reasons.
std::vector<Waiting> what_waits(const Book& book, double wall);

}  // namespace thistle
