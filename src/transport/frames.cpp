#include "transport/frames.hpp"

#include <algorithm>
#include <chrono>

#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kConnectTimeout = 0.5;  // between controllers; a silent one refuses nothing
constexpr std::size_t kHeaderBytes = 6;
constexpr std::uint32_t kLengthCounts = 2;  // of the header: version and kind
constexpr std::size_t kFirstRead = 2048;
}  // namespace

// Header and payload mostly come by one system call: a frame is asked for or answered before the next one is sent, so nothing
// stands behind it.
bool read_frame(Stream& stream, Frame& out, ErrorCode& ec) {
  char first[kFirstRead];
  std::size_t got = 0;
  while (got < kHeaderBytes) {
    got += stream.read_some(boost::asio::buffer(first + got, sizeof first - got), ec);
    if (ec) return false;
  }
  Unpacker in(std::string_view(first, kHeaderBytes));
  const auto length = in.integer<std::uint32_t>();
  const auto version = in.integer<std::uint8_t>();
  const auto kind = in.integer<std::uint8_t>();
  const std::size_t payload = length < kLengthCounts ? 0 : length - kLengthCounts;
  const std::size_t here = got - kHeaderBytes;
  if (version != kFrameVersion || length < kLengthCounts || length > kMaxFrame || here > payload) {
    ec = boost::asio::error::invalid_argument;
    return false;
  }
  out.kind = kind;
  out.payload.resize(payload);
  std::copy_n(first + kHeaderBytes, here, out.payload.begin());
  return stream.read_exact(out.payload.data() + here, payload - here, ec);
}

bool write_frame(Stream& stream, const Frame& frame, ErrorCode& ec) {
  Packer out;
  out.integer(static_cast<std::uint32_t>(frame.payload.size() + 2)).integer(kFrameVersion).integer(frame.kind);
  std::string bytes = out.take() + frame.payload;
  return stream.write_all(bytes.data(), bytes.size(), ec);
}

FrameServer::FrameServer(const std::string& address, std::size_t most_connections, Handler handler)
    : handler_(std::move(handler)), acceptor_(address, most_connections, [this](Acceptor::Connection& c, std::stop_token stop) {
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
  auto tried = try_once(frame, deadline, interrupts);
  if (tried.again) tried = try_once(frame, deadline, interrupts);
  return std::move(tried.answer);
}

FramePool::Tried FramePool::try_once(const Frame& frame, double deadline, std::uint64_t interrupts) {
  std::unique_ptr<Stream> stream;
  {
    std::unique_lock lock(mutex_);
    // Refused at once, 25 submissions a second met 683 refusals within a burst while the leader was a moment late.
    freed_.wait_for(lock, std::chrono::duration<double>(std::max(0.0, deadline - steady_now())),
                    [&] { return interrupts_ != interrupts || !idle_.empty() || open_ < most_; });
    if (interrupts_ != interrupts || (idle_.empty() && open_ >= most_)) return {};
    if (!idle_.empty()) {
      stream = std::move(idle_.back());
      idle_.pop_back();
    } else {
      ++open_;
    }
  }
  const bool reused = stream != nullptr;
  if (!stream) {
    Socket s = connect_to(address_, std::clamp(deadline - steady_now(), 0.0, kConnectTimeout));
    if (s.open()) stream = std::make_unique<Stream>(std::move(s));
  }
  Tried out;
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
  // What was answered while this process stood still is as old as the question.
  if (ok && steady_now() <= deadline && !interrupted) out.answer = std::move(answer);
  if (ok && !interrupted) {
    idle_.push_back(std::move(stream));
    freed_.notify_one();
    return out;
  }
  out.again = reused && !interrupted && ec != boost::asio::error::timed_out;
  --open_;
  // One broken connection means the others are of no use either: the peer restarted or a cut began.
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
