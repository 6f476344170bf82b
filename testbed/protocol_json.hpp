// Protocol messages of the simulated cloud and the simulated users. Shared by the fault test and the load test.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testbed/checker.hpp"

namespace thistlefront::testbed {

// An instance in the cloud's list.
struct InstanceDescription {
  std::string name, address, zone;
};

// The cloud's only machine type, "big".
nlohmann::json machine_types(double cores, int ram_gb, const std::vector<std::string>& zones);
// One page of the cloud's list. `truncated`: further pages follow.
nlohmann::json instance_list(const std::vector<InstanceDescription>& instances, bool truncated);
// The body with which a user submits a job.
nlohmann::json submission_body(const SubmittedJob& job, const std::string& job_class, double expected_s);

}  // namespace thistlefront::testbed
