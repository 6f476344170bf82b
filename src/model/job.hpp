// A job as submitted by its user.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace thistlefront {

/// Array: independent tasks. Gang: tasks that run all together or not at all. Service: tasks that run until they are stopped.
enum class JobType : std::uint8_t { array, gang, service };
/// In ascending order.
enum class Priority : std::uint8_t { idle, standard, high, production };
/// Status of a job as shown to users.
enum class JobStatus : std::uint8_t { queued, running, done, cancelled };

/// A validated submission; names are not yet replaced by indices.
struct JobSpec {
  std::string uid, job_class, owner;
  JobType job_type = JobType::array;
  Priority priority = Priority::standard;
  std::uint32_t task_count = 1;
  Resources demand;  ///< of each task
  std::string image;
  double image_gb = 0;
  std::vector<std::string> machine_types;  ///< empty: any
  std::string zone;                        ///< empty: any
  bool single_zone = false;                ///< all tasks in one zone
  bool spread = false;                     ///< the user asks for tasks on different nodes
  bool allows_spot = false;                ///< tasks may run on spot instances
  double estimated_run_s = 0, checkpoint_interval_s = 0, checkpoint_duration_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string> depends_on;  ///< UIDs of jobs that must be done before any task starts; no duplicates
};

}  // namespace thistlefront
