// A job as its user describes it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace thistlefront {

enum class JobType : std::uint8_t { array, gang, service };
enum class Priority : std::uint8_t { idle, standard, high, production };
enum class JobStatus : std::uint8_t { queued, running, done, cancelled };

// A submission as its user sent it, checked but not yet interned.
struct JobSpec {
  std::string uid, job_class, owner;
  JobType job_type = JobType::array;
  Priority priority = Priority::standard;
  std::uint32_t task_count = 1;
  Resources demand;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> machine_types;  // empty: any
  std::string zone;                        // empty: any
  bool single_zone = false, spread = false, allows_spot = false;
  double estimated_run_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string> depends_on;  // jobs to be done before any task of this one starts; none twice
};

}  // namespace thistlefront
