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
  std::size_t events = 0, accepted = 0, completed_tasks = 0;
  double longest_acceptance_gap_s = 0;                          // while faults were injected
  double longest_acceptance_gap_after_faults_s = 0;             // in the first seconds after all faults ended
  std::string scenario_figures;                                 // figures of the scenario, each followed by ", "
  std::size_t jobs_without_reply = 0;                           // accepted jobs whose polls all failed at the end of the run
  std::size_t unfenced_writes = 0, oversized_transactions = 0;  // transactions, as counted by the store
  Checker::DependentJobs dependent_jobs;
  double first_dependent_after_s = 0;              // since all controllers run the newer build
  std::map<std::string, std::size_t> fault_pairs;  // faults injected as pairs: names -> count
  std::vector<std::string> violations;             // "rule: details"

  [[nodiscard]] bool passed() const {
    return violations.empty() && jobs_without_reply == 0 && unfenced_writes == 0 && oversized_transactions == 0;
  }
};

void print(std::ostream& out, const RunReport& report);

}  // namespace thistlefront::testbed
