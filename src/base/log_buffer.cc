#include "base/log_buffer.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace mangospread::base {
namespace {

/// A pipe that poll() reports as writable accepts this many bytes without
/// blocking. The descriptor itself stays in blocking mode, since other
/// processes may share it.
constexpr std::size_t kChunkBytes = PIPE_BUF;

bool IsWritable(int descriptor) {
  pollfd poll_request{descriptor, POLLOUT, 0};
  return poll(&poll_request, 1, 0) == 1 &&
         (poll_request.revents & POLLOUT) != 0;
}

}  // namespace

bool LogBuffer::Append(std::string_view line) {
  if (bytes_.size() + line.size() > max_bytes_) {
    ++dropped_;
    return false;
  }
  bytes_.append(line);
  return true;
}

void LogBuffer::Flush() {
  std::size_t written = 0;
  while (written < bytes_.size() && IsWritable(descriptor_)) {
    const std::size_t chunk = std::min(kChunkBytes, bytes_.size() - written);
    const ssize_t n = write(descriptor_, bytes_.data() + written, chunk);
    if (n <= 0) break;
    written += static_cast<std::size_t>(n);
  }
  bytes_.erase(0, written);
}

}  // namespace mangospread::base
