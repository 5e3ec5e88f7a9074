// Texts of messages between nodes hold any bytes.
#include <capnp/message.h>
#include <doctest/doctest.h>

#include <string>

#include "rpc/codec/codec.hpp"
#include "rpc/codec/task_codec.hpp"

namespace mangospread::rpc {
namespace {

const std::string kText("a\0b", 3);

template <typename Wire, typename Message>
auto RoundTrip(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<Wire>();
  Encode(message, out);
  return Decode(out.asReader());
}

// Guards against a text that is cut at its first zero byte, such as the
// checkpoint from which a task resumes (UNASKED).
TEST_CASE("texts between nodes arrive whole") {
  TaskCall call;
  call.vm = VmName(kText);
  call.command.task = kText;
  call.command.checkpoint = kText;
  call.command.task_class = kText;
  const TaskCall received = RoundTrip<wire::TaskCall>(call);
  CHECK(received.vm == call.vm);
  CHECK(received.command.task == kText);
  CHECK(received.command.checkpoint == kText);
  CHECK(received.command.task_class == kText);

  TaskReport report;
  report.task = kText;
  report.checkpoint = kText;
  const auto result =
      RoundTrip<wire::TaskCallResult>(Result<TaskReport>(report));
  REQUIRE(result.ok());
  CHECK(result.value().task == kText);
  CHECK(result.value().checkpoint == kText);

  ConfigDelta delta;
  delta.changes.emplace_back();
  delta.changes[0].key.name = kText;
  delta.changes[0].spec = kText;
  const ConfigDelta config = RoundTrip<wire::ConfigDelta>(delta);
  REQUIRE(config.changes.size() == 1);
  CHECK(config.changes[0].key.name == kText);
  CHECK(config.changes[0].spec == kText);
}

}  // namespace
}  // namespace mangospread::rpc
