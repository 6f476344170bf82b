// One real controller process that the testbed starts, freezes and kills.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace thistlefront::testbed {

class ControllerProcess {
 public:
  ControllerProcess() = default;
  ~ControllerProcess() { kill(); }
  ControllerProcess(ControllerProcess&& other) noexcept;
  ControllerProcess& operator=(ControllerProcess&& other) noexcept;
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess& operator=(const ControllerProcess&) = delete;

  // Starts `program` with `arguments`; kills the running process first. Its standard error is appended to the file `log`.
  void start(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);
  // Kills the process with SIGKILL and waits until it has exited.
  void kill();
  // Suspends or resumes the process.
  void set_frozen(bool frozen) const;
  // Process id; 0: no process was started, or it was killed.
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
};

}  // namespace thistlefront::testbed
