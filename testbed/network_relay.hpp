// The network between two controllers: what is sent to this address comes out at another one, unless it is cut. A cut holds
// what is on its way, in order, and lets it out when it ends; a new connection hangs meanwhile.
#pragma once
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "testbed/fake_state_store.hpp"
#include "transport/socket.hpp"

namespace thistlefront::testbed {

class Relay {
 public:
  explicit Relay(std::string to) : to_(std::move(to)), listener_(listen_on(address_)) {
    accepting_ = std::jthread([this] {
      while (!ending_) {
        Socket from = accept_from(listener_);
        if (!from.open()) continue;
        std::lock_guard lock(mutex_);
        std::erase_if(lines_, [](const auto& l) { return l->over.load(); });
        lines_.push_back(std::make_unique<Line>(*this, std::move(from)));
      }
    });
  }
  ~Relay() {
    ending_ = true;
    listener_.shutdown();
    accepting_.join();
    std::lock_guard lock(mutex_);
    lines_.clear();
  }
  [[nodiscard]] const std::string& address() const { return address_; }
  void cut(bool is) { cut_ = is; }
  // What comes back is held, while what is sent there goes on.
  void hold_answers(bool is) { answers_held_ = is; }

 private:
  static constexpr int kTick = 50;  // ms
  struct Line {
    Line(Relay& r, Socket f) : from(std::move(f)), thread([this, &r] { run(r); }) {}
    void run(Relay& r) {
      while (r.cut_ && !r.ending_) ::poll(nullptr, 0, kTick);
      to = connect_to(r.to_, 1.0);
      char bytes[16384];
      while (to.open() && !r.ending_) {
        pollfd fds[2] = {{from.fd(), POLLIN, 0}, {to.fd(), static_cast<short>(r.answers_held_ ? 0 : POLLIN), 0}};
        if (r.cut_) {
          ::poll(nullptr, 0, kTick);
          continue;
        }
        if (::poll(fds, 2, kTick) < 0) break;
        bool closed = false;
        for (int i = 0; i < 2; ++i) {
          if (fds[i].revents == 0) continue;
          const auto n = ::recv(fds[i].fd, bytes, sizeof bytes, 0);
          closed = closed || n <= 0;
          for (ssize_t sent = 0; sent < n;) {
            const auto k = ::send(fds[1 - i].fd, bytes + sent, static_cast<std::size_t>(n - sent), MSG_NOSIGNAL);
            if (k <= 0) closed = true;
            if (k <= 0) break;
            sent += k;
          }
        }
        if (closed) break;
      }
      from.shutdown();
      to.shutdown();
      over = true;
    }
    Socket from, to;
    std::atomic<bool> over{false};
    std::jthread thread;
  };

  const std::string address_ = test_support::free_address(), to_;
  Socket listener_;
  std::atomic<bool> cut_{false}, answers_held_{false}, ending_{false};
  std::mutex mutex_;
  std::list<std::unique_ptr<Line>> lines_;
  std::jthread accepting_;
};

}  // namespace thistlefront::testbed
