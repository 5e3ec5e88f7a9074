#include "net/body_buffer.hpp"

#include <event2/buffer.h>

#include <memory>
#include <string>
#include <utility>

namespace mangospread::net {
namespace {

/// Smaller bodies are copied: below one page a copy costs less than a reference
/// and an additional segment in the write.
constexpr std::size_t kMinReferencedBytes = 4'096;

using Bytes = std::shared_ptr<const std::string>;

}  // namespace

Body TakeBody(evbuffer* input) {
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

void AddBody(evbuffer* output, const Body& body) {
  if (body.size() < kMinReferencedBytes) {
    evbuffer_add(output, body.str().data(), body.size());
    return;
  }
  auto reference = std::make_unique<Bytes>(body.shared());
  const int added = evbuffer_add_reference(
      output, body.str().data(), body.size(),
      [](const void* /*data*/, std::size_t /*size*/, void* arg) {
        delete static_cast<Bytes*>(arg);  // NOLINT
      },
      reference.get());
  if (added == 0) (void)reference.release();
}

}  // namespace mangospread::net
