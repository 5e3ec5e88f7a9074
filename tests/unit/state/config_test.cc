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
  Editor other_editor{loop, table, other_writer,
                      [this](const Change& c) { accepted.push_back(c); }};
  std::vector<Result<Change>> results;

  Editor::Callback RecordResult() {
    return [this](const Result<Change>& r) { results.push_back(r); };
  }
  void ServeAll() {
    while (table.pending() > 0) table.Step();
  }
  void RunFor(Milliseconds time) {
    const auto timer = loop.After(time, [this] { loop.Stop(); });
    loop.Run();
  }
};

// Guards against a lost reply that makes an operator repeat a change, or that
// keeps an accepted change from being pushed.
TEST_CASE_FIXTURE(Fixture, "change with a lost reply is accepted once") {
  editor.Apply({Service("s"), kSpec, std::nullopt}, RecordResult());
  table.Step();
  table.Step(Fault::kLoseReply);
  ServeAll();
  REQUIRE(results.size() == 1);
  REQUIRE(results[0].ok());
  CHECK(results[0].value().revision == Revision(1));
  CHECK(accepted.size() == 1);
}

// Guards against two changes with the same revision, and against a lost update.
TEST_CASE_FIXTURE(Fixture, "racing operators get consecutive revisions") {
  editor.Apply({Service("s"), kSpec, std::nullopt}, RecordResult());
  other_editor.Apply({Service("t"), kSpec, std::nullopt}, RecordResult());
  ServeAll();
  REQUIRE(results.size() == 2);
  REQUIRE(accepted.size() == 2);
  CHECK(accepted[0].revision == Revision(1));
  CHECK(accepted[1].revision == Revision(2));

  editor.Apply({Service("s"), kSpec, Revision(1)}, RecordResult());
  other_editor.Apply({Service("s"), kSpec, Revision(1)}, RecordResult());
  ServeAll();
  REQUIRE(results.size() == 4);
  CHECK(results[2].ok());
  REQUIRE_FALSE(results[3].ok());
  CHECK(results[3].error().code == Errc::kConflict);
  CHECK(accepted.size() == 3);
}

// Guards against an operator who gets no reply during a whole outage, and
// against a change that was committed but not installed because its result was
// delayed.
TEST_CASE_FIXTURE(Fixture,
                  "change resolved after the reply timeout is still pushed") {
  editor.Apply({Service("s"), kSpec, std::nullopt}, RecordResult());
  table.Step();
  table.Step(Fault::kLoseReply);
  RunFor(Milliseconds(60));
  REQUIRE(results.size() == 1);
  REQUIRE_FALSE(results[0].ok());
  CHECK(results[0].error().code == Errc::kUnknown);
  CHECK(accepted.empty());
  ServeAll();
  REQUIRE(accepted.size() == 1);
  CHECK(accepted[0].revision == Revision(1));
  CHECK(results.size() == 1);
}

/// A node whose peer has the configuration of `peer_store`.
struct SyncFixture {
  base::EventLoop loop;
  FaultyTable table;
  Store store;
  Store peer_store;
  int fetches = 0;
  Sync peer_sync{loop, table, peer_store, {}, nullptr};
  Sync sync{loop,
            table,
            store,
            {},
            [this](const Address&, Revision since, const auto& done) {
              ++fetches;
              done(peer_sync.Since(since));
            }};

  SyncFixture() {
    peer_store.InstallSnapshot(Revision(3),
                               {{Service("s"), kSpec, Revision(2)}});
  }
  static Change ChangeAt(std::uint64_t revision) {
    return {Revision(revision), Service("s"), false, kSpec};
  }
};

// Guards against a node with outdated or no configuration while the table is
// down.
TEST_CASE_FIXTURE(SyncFixture,
                  "peers provide the configuration without the table") {
  sync.OnPeerRevision({}, peer_store.revision());
  CHECK(store.revision() == Revision(3));
  REQUIRE(peer_store.Install(ChangeAt(4)) == InstallResult::kInstalled);
  REQUIRE(peer_store.Install(ChangeAt(5)) == InstallResult::kInstalled);
  // The push of revision 4 was lost.
  CHECK(sync.OnPush({Revision(5), false, {ChangeAt(5)}}) == Revision(3));
  sync.OnPeerRevision({}, peer_store.revision());
  CHECK(store.revision() == Revision(5));
}

// Guards against a stale peer or an outdated snapshot that reverts a node to an
// older revision.
TEST_CASE_FIXTURE(SyncFixture, "stale peers and snapshots change nothing") {
  sync.OnPeerRevision({}, peer_store.revision());
  CHECK(sync.OnPush({Revision(4), false, {ChangeAt(4)}}) == Revision(4));
  sync.OnPeerRevision({}, Revision(3));
  CHECK(fetches == 1);
  CHECK(sync.OnPush(peer_sync.Since(Revision())) == Revision(4));
  CHECK(sync.OnPush({Revision(3), false, {ChangeAt(3)}}) == Revision(4));
  CHECK(store.counters().stale >= 2);
}

}  // namespace
}  // namespace mangospread::config
