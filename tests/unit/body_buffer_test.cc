#include "net/body_buffer.hpp"

#include <doctest/doctest.h>
#include <event2/buffer.h>

#include <memory>

namespace mangospread::net {
namespace {

constexpr std::size_t kLargeBodyBytes = 100'000;

struct Fixture {
  /// First byte of the buffer's first segment.
  [[nodiscard]] const void* FirstByte() const {
    evbuffer_iovec segment{};
    evbuffer_peek(buffer.get(), -1, nullptr, &segment, 1);
    return segment.iov_base;
  }

  std::unique_ptr<evbuffer, void (*)(evbuffer*)> buffer{evbuffer_new(),
                                                        evbuffer_free};
};

// Guards against a copy of a large body for each reference to it and each send.
TEST_CASE_FIXTURE(Fixture, "a large body is shared with the buffer") {
  const Body body(std::string(kLargeBodyBytes, 'x'));
  Body copy;
  copy = body;
  AddBody(buffer.get(), copy);
  CHECK(FirstByte() == body.view().data());
}

// Guards against bytes that are freed before they are written to the socket.
TEST_CASE_FIXTURE(Fixture, "the buffer keeps the bytes of a destroyed body") {
  std::weak_ptr<const std::string> bytes;
  {
    const Body body(std::string(kLargeBodyBytes, 'x'));
    bytes = body.shared();
    AddBody(buffer.get(), body);
  }
  CHECK_FALSE(bytes.expired());
  CHECK(TakeBody(buffer.get()) == std::string(kLargeBodyBytes, 'x'));
  CHECK(bytes.expired());
}

// Guards against bytes that are lost or repeated between copied and referenced
// parts of a buffer.
TEST_CASE_FIXTURE(Fixture,
                  "empty, small and large bodies keep their bytes and order") {
  AddBody(buffer.get(), Body());
  CHECK(TakeBody(buffer.get()).empty());
  AddBody(buffer.get(), "small ");
  AddBody(buffer.get(), std::string(kLargeBodyBytes, 'y'));
  CHECK(TakeBody(buffer.get()) == "small " + std::string(kLargeBodyBytes, 'y'));
}

}  // namespace
}  // namespace mangospread::net
