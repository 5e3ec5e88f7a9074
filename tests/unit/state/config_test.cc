#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "config/editor.hpp"
#include "config/rows.hpp"
#include "config/sync.hpp"
#include "unit/state/faulty_table.hpp"

namespace mangospread::config {
namespace {

using test::FaultyTable;
using Fault = FaultyTable::Fault;

constexpr char kSpec[] = R"({"team":"t","pool":"p"})";

ResourceKey Service(const std::string& name) {
  return {ResourceKind::kService, name};
}

/// Two nodes that edit the same table.
struct Fixture {
  base::EventLoop loop;
  FaultyTable table;
  table::Writer writer{loop, table, "writer/a", {}};
  table::Writer other_writer{loop, table, "writer/b", {}};
  std::vector<Change> accepted;
  Editor editor{loop, table, writer,
                [this](const Change& c) { accepted.push_back(c); },
                Milliseconds(30)};
  Editor other{loop, table, other_writer,
               [this](const Change& c) { accepted.push_back(c); }};
  std::vector<Result<Change>> answers;

  Editor::Callback Capture() {
    return [this](const Result<Change>& r) { answers.push_back(r); };
  }
  void StepAll() {
    while (table.pending() > 0) table.Step();
  }
  void RunFor(Milliseconds time) {
    const auto timer = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
};

// Guards against a lost reply that makes an operator repeat a change, or
// leaves an accepted change without a push.
TEST_CASE_FIXTURE(Fixture, "change with a lost reply is accepted once") {
  editor.Apply({Service("s"), kSpec, std::nullopt}, Capture());
  table.Step();
  table.Step(Fault::kLoseReply);
  StepAll();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].ok());
  CHECK(answers[0].value().revision == Revision(1));
  CHECK(accepted.size() == 1);
}

// Guards against two changes with one revision, and against a lost update.
TEST_CASE_FIXTURE(Fixture, "racing operators get consecutive revisions") {
  editor.Apply({Service("s"), kSpec, std::nullopt}, Capture());
  other.Apply({Service("t"), kSpec, std::nullopt}, Capture());
  StepAll();
  REQUIRE(answers.size() == 2);
  REQUIRE(accepted.size() == 2);
  CHECK(accepted[0].revision == Revision(1));
  CHECK(accepted[1].revision == Revision(2));

  editor.Apply({Service("s"), kSpec, Revision(1)}, Capture());
  other.Apply({Service("s"), kSpec, Revision(1)}, Capture());
  StepAll();
  REQUIRE(answers.size() == 4);
  CHECK(answers[2].ok());
  REQUIRE_FALSE(answers[3].ok());
  CHECK(answers[3].error().code == Errc::kConflict);
  CHECK(accepted.size() == 3);
}

// Guards against an operator who waits for a whole outage, and against a
// change that was committed but never installed because its result came late.
TEST_CASE_FIXTURE(Fixture, "change resolved late is still pushed") {
  editor.Apply({Service("s"), kSpec, std::nullopt}, Capture());
  table.Step();
  table.Step(Fault::kLoseReply);
  RunFor(Milliseconds(60));
  REQUIRE(answers.size() == 1);
  REQUIRE_FALSE(answers[0].ok());
  CHECK(answers[0].error().code == Errc::kUnknown);
  CHECK(accepted.empty());
  StepAll();
  REQUIRE(accepted.size() == 1);
  CHECK(accepted[0].revision == Revision(1));
  CHECK(answers.size() == 1);
}

/// A node whose peer is the store `peer`.
struct SyncFixture {
  base::EventLoop loop;
  FaultyTable table;
  Store store;
  Store peer;
  int fetches = 0;
  Sync peer_sync{loop, table, peer, {}, nullptr};
  Sync sync{loop,
            table,
            store,
            {},
            [this](const Address&, Revision since, const auto& done) {
              ++fetches;
              done(peer_sync.Since(since));
            }};

  SyncFixture() {
    peer.InstallSnapshot(Revision(3), {{Service("s"), kSpec, Revision(2)}});
  }
  static Change At(std::uint64_t revision) {
    return {Revision(revision), Service("s"), false, kSpec};
  }
};

// Guards against a node that stays behind, or without configuration, while
// the table is down.
TEST_CASE_FIXTURE(SyncFixture, "peers bring configuration without the table") {
  sync.OnPeerRevision({}, peer.revision());
  CHECK(store.revision() == Revision(3));
  REQUIRE(peer.Install(At(4)) == InstallResult::kInstalled);
  REQUIRE(peer.Install(At(5)) == InstallResult::kInstalled);
  // The push of revision 4 was lost.
  CHECK(sync.OnPush({Revision(5), false, {At(5)}}) == Revision(3));
  sync.OnPeerRevision({}, peer.revision());
  CHECK(store.revision() == Revision(5));
}

// Guards against a stale peer, or a snapshot that was overtaken, that takes a
// node back.
TEST_CASE_FIXTURE(SyncFixture, "stale peers and snapshots change nothing") {
  sync.OnPeerRevision({}, peer.revision());
  CHECK(sync.OnPush({Revision(4), false, {At(4)}}) == Revision(4));
  sync.OnPeerRevision({}, Revision(3));
  CHECK(fetches == 1);
  CHECK(sync.OnPush(peer_sync.Since(Revision())) == Revision(4));
  CHECK(sync.OnPush({Revision(3), false, {At(3)}}) == Revision(4));
  CHECK(store.counters().stale >= 2);
}

}  // namespace
}  // namespace mangospread::config
