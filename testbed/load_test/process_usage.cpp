#include "testbed/load_test/process_usage.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace thistlefront::testbed {

namespace {
constexpr int kFieldsBeforeTimes = 11;  // in /proc/PID/stat, between the command name and the processor times
constexpr double kKilobytesPerMegabyte = 1024;

double processor_seconds(const std::string& stat_path) {
  std::ifstream in(stat_path);
  std::string line;
  if (!std::getline(in, line)) return 0;
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}
}  // namespace

ProcessUsage usage_of(pid_t pid) {
  ProcessUsage out;
  const std::string directory = "/proc/" + std::to_string(pid);
  out.processor_s = processor_seconds(directory + "/stat");
  std::ifstream status(directory + "/status");
  for (std::string line; std::getline(status, line);) {
    std::istringstream fields(line);
    std::string name;
    double value = 0;
    fields >> name >> value;
    if (name == "VmRSS:") out.memory_mb = value / kKilobytesPerMegabyte;
    if (name == "Threads:") out.threads = static_cast<std::size_t>(value);
  }
  std::error_code error;
  for (const auto& descriptor : std::filesystem::directory_iterator(directory + "/fd", error)) {
    const auto target = std::filesystem::read_symlink(descriptor.path(), error);
    if (!error && target.string().starts_with("socket:")) ++out.sockets;
  }
  return out;
}

}  // namespace thistlefront::testbed
