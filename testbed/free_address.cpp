#include "testbed/free_address.hpp"

#include <unistd.h>

#include <atomic>
#include <stdexcept>

#include "transport/socket.hpp"

namespace thistlefront::test_support {

namespace {
constexpr unsigned kFirstPort = 12000, kPortCount = 20000;

// One of 127.1.0.1 to 127.250.255.254, chosen by the process id.
std::string loopback_ip_of_this_process() {
  const auto pid = static_cast<unsigned>(::getpid());
  const unsigned second = 1 + (pid >> 16) % 250, third = (pid >> 8) & 255, fourth = 1 + (pid & 255) % 254;
  return "127." + std::to_string(second) + "." + std::to_string(third) + "." + std::to_string(fourth);
}
}  // namespace

std::string free_address() {
  static std::atomic<unsigned> next_port{0};
  const auto ip = loopback_ip_of_this_process();
  for (;;) {
    auto address = ip + ":" + std::to_string(kFirstPort + next_port++ % kPortCount);
    try {
      listen_on(address);
      return address;
    } catch (const std::runtime_error&) {
      continue;  // in use: try the next port
    }
  }
}

}  // namespace thistlefront::test_support
