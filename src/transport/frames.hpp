// Frames between controllers: a fixed little-endian header, then the payload. One request at a time on a
// connection; a pool of kept connections carries many at once.
#pragma once
#include <condition_variable>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "transport/acceptor.hpp"

namespace thistlefront {

struct Frame {
  std::uint8_t kind = 0;
  std::string payload;
};

// Header: u32 length of all that follows, u8 version, u8 kind.
inline constexpr std::uint8_t kFrameVersion = 2;
inline constexpr std::size_t kMaxFrame = 512 * 1024;

bool read_frame(Stream& stream, Frame& out, ErrorCode& ec);
bool write_frame(Stream& stream, const Frame& frame, ErrorCode& ec);

// Appends fixed-width little-endian fields.
class Packer {
 public:
  template <class Int>
  Packer& integer(Int value) {
    auto v = static_cast<std::uint64_t>(value);
    for (std::size_t i = 0; i < sizeof(Int); ++i) out_.push_back(static_cast<char>((v >> (8 * i)) & 0xff));
    return *this;
  }
  Packer& text(std::string_view s) {
    integer(static_cast<std::uint32_t>(s.size()));
    out_.append(s);
    return *this;
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

// Reads what Packer wrote; every read is checked against the bounds, and ok() tells whether all were inside.
class Unpacker {
 public:
  explicit Unpacker(std::string_view in) : in_(in) {}
  template <class Int>
  Int integer() {
    if (in_.size() < sizeof(Int)) {
      ok_ = false;
      return 0;
    }
    std::uint64_t v = 0;
    for (std::size_t i = 0; i < sizeof(Int); ++i) v |= static_cast<std::uint64_t>(static_cast<unsigned char>(in_[i])) << (8 * i);
    in_.remove_prefix(sizeof(Int));
    return static_cast<Int>(v);
  }
  std::string text() {
    auto n = integer<std::uint32_t>();
    if (!ok_ || n > in_.size()) {
      ok_ = false;
      return {};
    }
    std::string s(in_.substr(0, n));
    in_.remove_prefix(n);
    return s;
  }
  [[nodiscard]] bool ok() const { return ok_; }
  [[nodiscard]] bool done() const { return ok_ && in_.empty(); }

 private:
  std::string_view in_;
  bool ok_ = true;
};

// Serves frames: one answer for each.
class FrameServer {
 public:
  using Handler = std::function<Frame(const Frame&)>;
  FrameServer(const std::string& address, std::size_t most_connections, Handler handler);
  void stop() { acceptor_.stop(); }
  [[nodiscard]] std::size_t connections() { return acceptor_.open(); }

 private:
  Handler handler_;
  Acceptor acceptor_;
};

// Kept connections to one peer. ask() takes an idle one or opens another, up to the bound, and waits for one beyond it.
class FramePool {
 public:
  FramePool(std::string address, std::size_t most) : address_(std::move(address)), most_(most) {}
  std::optional<Frame> ask(const Frame& frame, double timeout_s);
  // Ends all calls in progress without an answer: there is nothing to wait for there any more.
  void interrupt();

 private:
  struct Tried {
    std::optional<Frame> answer;
    bool again = false;  // a kept connection had gone stale: another may do
  };
  Tried try_once(const Frame& frame, double deadline, std::uint64_t interrupts);

  std::string address_;
  std::size_t most_;
  std::mutex mutex_;
  std::condition_variable freed_;
  std::size_t open_ = 0;
  std::vector<std::unique_ptr<Stream>> idle_;
  std::set<Stream*> busy_;
  std::uint64_t interrupts_ = 0;
};

}  // namespace thistlefront
