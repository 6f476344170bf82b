// What the testbed's stand-in cloud and users say in the protocol's JSON. Shared by the fault test and the load test.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testbed/checker.hpp"

namespace thistlefront::testbed {

// A machine as the cloud lists it.
struct MachineDescription {
  std::string name, address, zone;
};

// The cloud's only machine type, "big".
nlohmann::json machine_types(double cores, int ram_gb, const std::vector<std::string>& zones);
// One page of the cloud's list. `truncated`: more machines follow.
nlohmann::json machine_list(const std::vector<MachineDescription>& machines, bool truncated);
// The body with which a user submits a job.
nlohmann::json submission(const SubmittedJob& job, const std::string& job_class, double expected_s);

}  // namespace thistlefront::testbed
