#include "transport/frames.hpp"

#include "transport/clock.hpp"

namespace thistle {

bool read_frame(Stream& stream, Frame& out, ErrorCode& ec) {
  char header[6];
  if (!stream.read_exact(header, sizeof header, ec)) return false;
  Unpacker in(std::string_view(header, sizeof header));
  const auto length = in.integer<std::uint32_t>();
  const auto version = in.integer<std::uint8_t>();
  const auto kind = in.integer<std::uint8_t>();
  if (version != kFrameVersion || length < 2 || length > kMaxFrame) {
    ec = boost::asio::error::invalid_argument;
    return false;
  }
  out.kind = kind;
  out.payload.resize(length - 2);
  return stream.read_exact(out.payload.data(), out.payload.size(), ec);
}

bool write_frame(Stream& stream, const Frame& frame, ErrorCode& ec) {
  Packer out;
  out.integer(static_cast<std::uint32_t>(frame.payload.size() + 2)).integer(kFrameVersion).integer(frame.kind);
  std::string bytes = out.take() + frame.payload;
  return stream.write_all(bytes.data(), bytes.size(), ec);
}

FrameServer::FrameServer(const std::string& address, std::size_t most_connections, Handler handler)
    : handler_(std::move(handler)),
      acceptor_(address, most_connections, [this](Acceptor::Connection& c, std::stop_token stop) {
        Frame frame;
        ErrorCode ec;
        while (!stop.stop_requested() && read_frame(c.stream, frame, ec)) {
          c.touch();
          if (!write_frame(c.stream, handler_(frame), ec)) return;
        }
      }) {}

std::optional<Frame> FramePool::ask(const Frame& frame, double timeout_s) {
  const double deadline = steady_now() + timeout_s;
  std::unique_ptr<Stream> stream;
  {
    std::lock_guard lock(mutex_);
    if (!idle_.empty()) {
      stream = std::move(idle_.back());
      idle_.pop_back();
    } else if (open_ >= most_) {
      return std::nullopt;
    } else {
      ++open_;
    }
  }
  if (!stream) {
    Socket s = connect_to(address_, timeout_s);
    if (s.open()) stream = std::make_unique<Stream>(std::move(s));
  }
  Frame answer;
  ErrorCode ec;
  bool ok = false;
  if (stream) {
    stream->deadline(deadline);
    ok = write_frame(*stream, frame, ec) && read_frame(*stream, answer, ec);
  }
  std::lock_guard lock(mutex_);
  if (!ok) {
    --open_;
    // One broken connection means the others are of no use either: the peer restarted or a cut began.
    open_ -= idle_.size();
    idle_.clear();
    return std::nullopt;
  }
  idle_.push_back(std::move(stream));
  return answer;
}

void FramePool::drop_idle() {
  std::lock_guard lock(mutex_);
  open_ -= idle_.size();
  idle_.clear();
}

}  // namespace thistle
