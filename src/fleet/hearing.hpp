// What a leader hears of its machines, as its book has it. Pure; times are steady seconds.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "bookkeeping/book.hpp"
#include "fleet/silence.hpp"

namespace thistle {

// Of the machines that reported to this leader and are not known to be gone.
struct Hearing {
  std::size_t known = 0;
  std::size_t recent = 0;     // heard of within the time asked for, by whatever way
  std::size_t direct = 0;     // by the leader itself
  std::size_t via_peers = 0;  // lately, and by way of other controllers only
};
Hearing hearing(const Book& book, double now, double lately_s);

// Machines that matter, and since when each is silent. Those never heard of count from the takeover.
std::vector<HeardOf> heard_of(const Book& book, double now, double taken_over_at);

// How long ago the oldest cancellation was made that is not yet carried out in this zone; `otherwise` for one
// that an earlier leader made. 0: there is none.
double oldest_owed(const Book& book, const std::string& site, double now, double otherwise);

}  // namespace thistle
