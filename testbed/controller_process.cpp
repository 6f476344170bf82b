#include "testbed/controller_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <utility>

namespace thistlefront::testbed {

ControllerProcess::ControllerProcess(ControllerProcess&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}

ControllerProcess& ControllerProcess::operator=(ControllerProcess&& other) noexcept {
  std::swap(pid_, other.pid_);
  return *this;
}

void ControllerProcess::start(const std::string& program, const std::vector<std::string>& arguments, const std::string& log) {
  kill();
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (auto& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(fd, STDERR_FILENO);
    // The controller must not inherit the testbed's sockets.
    ::close_range(3, ~0U, 0);
    ::execv(program.c_str(), argv.data());
    ::_exit(127);
  }
  pid_ = pid;
}

void ControllerProcess::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void ControllerProcess::set_frozen(bool frozen) const {
  if (pid_ > 0) ::kill(pid_, frozen ? SIGSTOP : SIGCONT);
}

}  // namespace thistlefront::testbed
