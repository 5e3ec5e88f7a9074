#include "net/body_buffer.hpp"

#include <event2/buffer.h>

#include <memory>
#include <string>
#include <utility>

namespace mangospread::net {
namespace {

/// Below one page a copy costs less than the reference and the further segment
/// of the write.
constexpr std::size_t kReferenceBytes = 4'096;

using Bytes = std::shared_ptr<const std::string>;

}  // namespace

Body TakeBody(evbuffer* input) {
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

void AddBody(evbuffer* output, const Body& body) {
  if (body.size() < kReferenceBytes) {
    evbuffer_add(output, body.str().data(), body.size());
    return;
  }
  auto held = std::make_unique<Bytes>(body.shared());
  const int added = evbuffer_add_reference(
      output, body.str().data(), body.size(),
      [](const void* /*data*/, std::size_t /*size*/, void* arg) {
        delete static_cast<Bytes*>(arg);  // NOLINT
      },
      held.get());
  if (added == 0) (void)held.release();
}

}  // namespace mangospread::net
