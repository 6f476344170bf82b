// Request and reply frames between controllers: a fixed little-endian header, then the payload. One request at a time on a
// connection; a pool of connections carries many at once.
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

// One message. What the kinds mean is in protocol/peer_messages.hpp.
struct Frame {
  std::uint8_t kind = 0;
  std::string payload;
};

// Header: u32 length of all that follows, u8 version, u8 kind.
inline constexpr std::uint8_t kFrameVersion = 2;
inline constexpr std::size_t kMaxFrame = std::size_t{512} * 1024;

// Both return false on failure, with the reason in `ec`. A malformed or oversized header is invalid_argument.
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

// Reads what Packer wrote. Every read is checked against the bounds: beyond them it returns 0 or an empty text, and ok() is false
// from then on.
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
  // All was read, and nothing is left.
  [[nodiscard]] bool done() const { return ok_ && in_.empty(); }

 private:
  std::string_view in_;
  bool ok_ = true;
};

// Answers each request frame with the handler's reply, one thread for each connection.
class FrameServer {
 public:
  using Handler = std::function<Frame(const Frame&)>;
  FrameServer(const std::string& address, std::size_t max_connections, Handler handler);
  void stop() { acceptor_.stop(); }
  [[nodiscard]] std::size_t connections() { return acceptor_.open_connections(); }

 private:
  Handler handler_;
  Acceptor acceptor_;
};

// Connections to one peer, shared by many threads.
class FramePool {
 public:
  FramePool(std::string address, std::size_t max_connections) : address_(std::move(address)), max_connections_(max_connections) {}
  // Sends a request and waits for the reply, on an idle connection or on a new one; at the bound it waits for one to be free.
  // Nothing if there is no reply within the time: the peer may have handled the request or not.
  std::optional<Frame> ask(const Frame& frame, double timeout_s);
  // Ends all calls in progress without a reply, because the caller knows that none will come. Later calls are not concerned.
  void interrupt();

 private:
  struct Attempt {
    std::optional<Frame> answer;
    bool retry = false;  // an idle connection was stale: a new one may work
  };
  Attempt try_once(const Frame& frame, double deadline, std::uint64_t interrupts);

  std::string address_;
  std::size_t max_connections_;
  std::mutex mutex_;
  std::condition_variable freed_;
  std::size_t open_ = 0;  // connections, idle and busy
  std::vector<std::unique_ptr<Stream>> idle_;
  std::set<Stream*> busy_;
  std::uint64_t interrupts_ = 0;  // calls of interrupt() so far
};

}  // namespace thistlefront
