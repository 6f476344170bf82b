#include "transport/frames.hpp"

#include <algorithm>
#include <chrono>

#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kConnectTimeoutSeconds = 0.5;  // connecting to an unreachable controller is not refused but times out
constexpr std::size_t kHeaderBytes = 6;
constexpr std::uint32_t kCountedHeaderBytes = 2;  // version and kind, included in the length field
constexpr std::size_t kFirstReadBytes = 2048;
}  // namespace

// One system call mostly reads header and payload. No other frame can follow in the buffer: the peer sends the next request only
// after the reply to this one.
bool read_frame(Stream& stream, Frame& out, ErrorCode& ec) {
  char first_bytes[kFirstReadBytes];
  std::size_t first_size = 0;
  while (first_size < kHeaderBytes) {
    first_size += stream.read_some(boost::asio::buffer(first_bytes + first_size, sizeof first_bytes - first_size), ec);
    if (ec) return false;
  }
  Unpacker header(std::string_view(first_bytes, kHeaderBytes));
  const auto length = header.integer<std::uint32_t>();
  const auto version = header.integer<std::uint8_t>();
  const auto kind = header.integer<std::uint8_t>();
  const std::size_t payload_size = length < kCountedHeaderBytes ? 0 : length - kCountedHeaderBytes;
  const std::size_t received = first_size - kHeaderBytes;
  if (version != kFrameVersion || length < kCountedHeaderBytes || length > kMaxFrameBytes || received > payload_size) {
    ec = boost::asio::error::invalid_argument;
    return false;
  }
  out.kind = kind;
  out.payload.resize(payload_size);
  std::copy_n(first_bytes + kHeaderBytes, received, out.payload.begin());
  return stream.read_exact(out.payload.data() + received, payload_size - received, ec);
}

bool write_frame(Stream& stream, const Frame& frame, ErrorCode& ec) {
  Packer header;
  header.integer(static_cast<std::uint32_t>(frame.payload.size() + kCountedHeaderBytes)).integer(kFrameVersion).integer(frame.kind);
  std::string bytes = header.take_bytes() + frame.payload;
  return stream.write_all(bytes.data(), bytes.size(), ec);
}

FrameServer::FrameServer(const std::string& address, std::size_t max_connections, Handler handler)
    : handler_(std::move(handler)), acceptor_(address, max_connections, [this](Acceptor::Connection& connection, std::stop_token stop) {
        Frame frame;
        ErrorCode ec;
        while (!stop.stop_requested() && read_frame(connection.stream, frame, ec)) {
          connection.record_activity();
          if (!write_frame(connection.stream, handler_(frame), ec)) return;
        }
      }) {}

std::optional<Frame> FrameConnectionPool::call(const Frame& request, double timeout_s) {
  const double deadline = steady_now() + timeout_s;
  std::uint64_t interrupt_count = 0;
  {
    std::lock_guard lock(mutex_);
    interrupt_count = interrupt_count_;
  }
  auto attempt = try_call(request, deadline, interrupt_count);
  if (attempt.retry) attempt = try_call(request, deadline, interrupt_count);
  return std::move(attempt.reply);
}

FrameConnectionPool::Attempt FrameConnectionPool::try_call(const Frame& request, double deadline, std::uint64_t interrupt_count) {
  std::unique_ptr<Stream> stream;
  {
    std::unique_lock lock(mutex_);
    // Waits for a connection instead of failing at once: failing at once refused 683 submissions of a burst of 25 per second while
    // the leader was briefly slow.
    connection_freed_.wait_for(lock, std::chrono::duration<double>(std::max(0.0, deadline - steady_now())),
                               [&] { return interrupt_count_ != interrupt_count || !idle_.empty() || open_count_ < max_connections_; });
    if (interrupt_count_ != interrupt_count || (idle_.empty() && open_count_ >= max_connections_)) return {};
    if (!idle_.empty()) {
      stream = std::move(idle_.back());
      idle_.pop_back();
    } else {
      ++open_count_;
    }
  }
  const bool reused = stream != nullptr;
  if (!stream) {
    Socket socket = connect_to(address_, std::clamp(deadline - steady_now(), 0.0, kConnectTimeoutSeconds));
    if (socket.is_open()) stream = std::make_unique<Stream>(std::move(socket));
  }
  Attempt attempt;
  Frame reply;
  ErrorCode ec;
  bool has_reply = false;
  if (stream) {
    {
      std::lock_guard lock(mutex_);
      if (interrupt_count_ == interrupt_count) busy_.insert(stream.get());
    }
    stream->set_deadline(deadline);
    has_reply = write_frame(*stream, request, ec) && read_frame(*stream, reply, ec);
  }
  std::lock_guard lock(mutex_);
  if (stream) busy_.erase(stream.get());
  const bool interrupted = interrupt_count_ != interrupt_count;
  // A reply that arrived while this process was suspended may be outdated.
  if (has_reply && steady_now() <= deadline && !interrupted) attempt.reply = std::move(reply);
  if (has_reply && !interrupted) {
    idle_.push_back(std::move(stream));
    connection_freed_.notify_one();
    return attempt;
  }
  attempt.retry = reused && !interrupted && ec != boost::asio::error::timed_out;
  --open_count_;
  // The idle connections are broken as well: the peer has restarted, or the network is partitioned.
  open_count_ -= idle_.size();
  idle_.clear();
  connection_freed_.notify_all();
  return attempt;
}

void FrameConnectionPool::interrupt_calls() {
  std::lock_guard lock(mutex_);
  ++interrupt_count_;
  for (Stream* stream : busy_) stream->socket().shutdown();
  connection_freed_.notify_all();
}

}  // namespace thistlefront
