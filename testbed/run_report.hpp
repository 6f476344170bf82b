// What the fault test prints about one seed, and whether the seed passed.
#pragma once
#include <cstddef>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "testbed/checker.hpp"

namespace thistlefront::testbed {

struct RunReport {
  unsigned seed = 0;
  std::size_t events = 0, accepted = 0, tasks_done = 0;
  double longest_without_acceptance_s = 0;         // while faults were played
  double longest_without_acceptance_healed_s = 0;  // in the first seconds after
  std::string scenario_figures;                    // the scenario's own, each followed by ", "
  std::size_t unanswered = 0;                      // accepted jobs that nobody told anything of at the end
  std::size_t unfenced = 0, too_large = 0;         // writes, as the store counted them
  Checker::DependentJobs dependent_jobs;
  double first_dependent_after_s = 0;        // since all controllers had the newer build
  std::map<std::string, std::size_t> pairs;  // of faults that met, by their names
  std::vector<std::string> broken;           // rules

  [[nodiscard]] bool passed() const { return broken.empty() && unanswered == 0 && unfenced == 0 && too_large == 0; }
};

void print(std::ostream& out, const RunReport& report);

}  // namespace thistlefront::testbed
