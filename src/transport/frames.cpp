#include "transport/frames.hpp"

#include <algorithm>
#include <chrono>

#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kConnectTimeoutSeconds = 0.5;  // an unreachable controller does not refuse the connection
constexpr std::size_t kHeaderBytes = 6;
constexpr std::uint32_t kCountedHeaderBytes = 2;  // version and kind, which the length field counts
constexpr std::size_t kFirstReadBytes = 2048;
}  // namespace

// Header and payload mostly come with one system call. Nothing can follow the frame in the buffer, since the peer sends the next
// one only after the reply to this one.
bool read_frame(Stream& stream, Frame& out, ErrorCode& ec) {
  char first[kFirstReadBytes];
  std::size_t got = 0;
  while (got < kHeaderBytes) {
    got += stream.read_some(boost::asio::buffer(first + got, sizeof first - got), ec);
    if (ec) return false;
  }
  Unpacker in(std::string_view(first, kHeaderBytes));
  const auto length = in.integer<std::uint32_t>();
  const auto version = in.integer<std::uint8_t>();
  const auto kind = in.integer<std::uint8_t>();
  const std::size_t payload = length < kCountedHeaderBytes ? 0 : length - kCountedHeaderBytes;
  const std::size_t received = got - kHeaderBytes;
  if (version != kFrameVersion || length < kCountedHeaderBytes || length > kMaxFrame || received > payload) {
    ec = boost::asio::error::invalid_argument;
    return false;
  }
  out.kind = kind;
  out.payload.resize(payload);
  std::copy_n(first + kHeaderBytes, received, out.payload.begin());
  return stream.read_exact(out.payload.data() + received, payload - received, ec);
}

bool write_frame(Stream& stream, const Frame& frame, ErrorCode& ec) {
  Packer out;
  out.integer(static_cast<std::uint32_t>(frame.payload.size() + kCountedHeaderBytes)).integer(kFrameVersion).integer(frame.kind);
  std::string bytes = out.take() + frame.payload;
  return stream.write_all(bytes.data(), bytes.size(), ec);
}

FrameServer::FrameServer(const std::string& address, std::size_t max_connections, Handler handler)
    : handler_(std::move(handler)), acceptor_(address, max_connections, [this](Acceptor::Connection& c, std::stop_token stop) {
        Frame frame;
        ErrorCode ec;
        while (!stop.stop_requested() && read_frame(c.stream, frame, ec)) {
          c.touch();
          if (!write_frame(c.stream, handler_(frame), ec)) return;
        }
      }) {}

std::optional<Frame> FramePool::ask(const Frame& frame, double timeout_s) {
  const double deadline = steady_now() + timeout_s;
  std::uint64_t interrupts = 0;
  {
    std::lock_guard lock(mutex_);
    interrupts = interrupts_;
  }
  auto attempt = try_once(frame, deadline, interrupts);
  if (attempt.retry) attempt = try_once(frame, deadline, interrupts);
  return std::move(attempt.answer);
}

FramePool::Attempt FramePool::try_once(const Frame& frame, double deadline, std::uint64_t interrupts) {
  std::unique_ptr<Stream> stream;
  {
    std::unique_lock lock(mutex_);
    // Waits rather than refuses: with refusals, a burst of 25 submissions a second met 683 of them while the leader was briefly late.
    freed_.wait_for(lock, std::chrono::duration<double>(std::max(0.0, deadline - steady_now())),
                    [&] { return interrupts_ != interrupts || !idle_.empty() || open_ < max_connections_; });
    if (interrupts_ != interrupts || (idle_.empty() && open_ >= max_connections_)) return {};
    if (!idle_.empty()) {
      stream = std::move(idle_.back());
      idle_.pop_back();
    } else {
      ++open_;
    }
  }
  const bool reused = stream != nullptr;
  if (!stream) {
    Socket s = connect_to(address_, std::clamp(deadline - steady_now(), 0.0, kConnectTimeoutSeconds));
    if (s.open()) stream = std::make_unique<Stream>(std::move(s));
  }
  Attempt out;
  Frame answer;
  ErrorCode ec;
  bool ok = false;
  if (stream) {
    {
      std::lock_guard lock(mutex_);
      if (interrupts_ == interrupts) busy_.insert(stream.get());
    }
    stream->deadline(deadline);
    ok = write_frame(*stream, frame, ec) && read_frame(*stream, answer, ec);
  }
  std::lock_guard lock(mutex_);
  if (stream) busy_.erase(stream.get());
  const bool interrupted = interrupts_ != interrupts;
  // A reply that came while this process was suspended may be outdated.
  if (ok && steady_now() <= deadline && !interrupted) out.answer = std::move(answer);
  if (ok && !interrupted) {
    idle_.push_back(std::move(stream));
    freed_.notify_one();
    return out;
  }
  out.retry = reused && !interrupted && ec != boost::asio::error::timed_out;
  --open_;
  // The other connections are broken as well: the peer has restarted, or the network is partitioned.
  open_ -= idle_.size();
  idle_.clear();
  freed_.notify_all();
  return out;
}

void FramePool::interrupt() {
  std::lock_guard lock(mutex_);
  ++interrupts_;
  for (Stream* s : busy_) s->socket().shutdown();
  freed_.notify_all();
}

}  // namespace thistlefront
