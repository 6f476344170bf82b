// Which machines to rent for work that has no slot in time, and which of those rented are still to be expected. Pure.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/book.hpp"
#include "planning/planner.hpp"

namespace thistle {

// What can be asked of the cloud: a kind in a zone, spot or not.
struct Offer {
  KindIdx machine_type;
  std::string yard;
  bool loaner = false;
  auto operator<=>(const Offer&) const = default;
};

enum class Coming {
  no,      // up, gone, or given up
  likely,  // serves what waits before anything else is rented for that
  late,    // over the time that boots usually take: it may come, or never
};
// Seconds since it was rented, as far as is known.
double held_for(const Host& host, double steady);
Coming coming(const Host& host, const Flavor* flavor, double steady);
// So late that it is given back, whether or not anything waits for it.
bool never_came(const Host& host, const Flavor* flavor, double steady);

struct Need {
  JobIdx job;
  std::uint32_t units = 0;  // of its tasks, those that a machine up in a boot's time would serve sooner
};
struct RentingInput {
  const Book& book;
  std::vector<Need> unmet;         // most urgent first
  const std::set<Offer>& refused;  // lately
  double steady = 0;
  unsigned max_machines = 50;  // machines in one request
};
struct Rental {
  Offer offer;
  unsigned count = 0;
  unsigned late = 0;  // machines that are late and would have served these needs
};
// One request: the best offer for the first need that machines on their way do not cover, and how many machines all needs
// want of it.
std::optional<Rental> choose_rental(const RentingInput& in);

}  // namespace thistle
