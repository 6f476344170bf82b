// One real controller process that the testbed starts, freezes and kills.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace thistlefront::testbed {

class ControllerProcess {
 public:
  ControllerProcess() = default;
  ~ControllerProcess() { end(); }
  ControllerProcess(ControllerProcess&& other) noexcept;
  ControllerProcess& operator=(ControllerProcess&& other) noexcept;
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess& operator=(const ControllerProcess&) = delete;

  // Starts `program` with `arguments`, in place of the one that runs; its standard error goes to the end of `log`.
  void start(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);
  // Kills it without a signal that it could handle, and waits until it is gone.
  void end();
  // Stops it, or lets it go on.
  void freeze(bool frozen) const;
  // 0: none runs.
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;
};

}  // namespace thistlefront::testbed
