@0xc0f4b1b1d0c5a7e3;
# Protocol between the entry nodes. Regenerate with scripts/generate.sh; the
# generated files are committed so that the build needs no generator.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mangospread::rpc::wire");

struct FreeSlots {
  service @0 :Text;
  free @1 :Int32;
}

struct NodeView {
  node @0 :Text;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  dataCenter @3 :Text;
  rpcAddress @4 :Text;
  httpAddress @5 :Text;
  revision @6 :UInt64;
  tableReachable @7 :Bool;
  freeSlots @8 :List(FreeSlots);
  knownPeers @9 :List(Text);
  ownedWorkers @10 :UInt32;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardRequest {
  service @0 :Text;
  method @1 :UInt8;
  target @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  timeoutMs @5 :UInt32;
  requestId @6 :Text;
  idempotent @7 :Bool;
}

struct ForwardReply {
  outcome @0 :UInt8;
  reason @1 :UInt8;
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
}

struct Change {
  revision @0 :UInt64;
  kind @1 :UInt8;
  name @2 :Text;
  deleted @3 :Bool;
  spec @4 :Text;
}

struct ConfigDelta {
  revision @0 :UInt64;
  # When set, changes contains every resource and replaces the configuration of
  # the receiver.
  isSnapshot @1 :Bool;
  changes @2 :List(Change);
}

struct OwnershipEntry {
  vm @0 :Text;
  node @1 :Text;
  incarnation @2 :UInt64;
  epoch @3 :UInt64;
  # Version of the table's row; valid only if recorded is true.
  version @4 :UInt64;
  # False for an epoch that was granted by the worker and is not in the table.
  recorded @5 :Bool;
}

struct Vm {
  name @0 :Text;
  address @1 :Text;
  dataCenter @2 :Text;
  rack @3 :Text;
  pool @4 :Text;
  leaving @5 :Bool;
  slots @6 :Int32;
  connections @7 :Int32;
  cpuMillis @8 :Int64;
  memoryMb @9 :Int64;
  accelerators @10 :Int64;
}

struct TaskCommand {
  verb @0 :UInt8;
  task @1 :Text;
  attempt @2 :UInt64;
  checkpoint @3 :Text;
  taskClass @4 :Text;
  cpuMillis @5 :Int64;
  memoryMb @6 :Int64;
  accelerators @7 :Int64;
  runTimeMs @8 :Int64;
  throttlePercent @9 :Int32;
}

struct TaskCall {
  schedulerEpoch @0 :UInt64;
  vm @1 :Text;
  command @2 :TaskCommand;
}

struct TaskReport {
  task @0 :Text;
  attempt @1 :UInt64;
  phase @2 :UInt8;
  checkpoint @3 :Text;
  cpuMillis @4 :Int32;
  memoryMb @5 :Int32;
  throttlePercent @6 :UInt8;
}

struct TaskCallResult {
  # 0, or the number of an error code; the report is then absent.
  error @0 :Int32;
  subject @1 :Text;
  report @2 :TaskReport;
}

struct ServiceReport {
  service @0 :Text;
  p99Ms @1 :Float32;
  requests @2 :UInt32;
}

struct WorkerDigest {
  vm @0 :Text;
  epoch @1 :UInt64;
  ageMs @2 :UInt32;
  full @3 :Bool;
  bootId @4 :Text;
  address @5 :Text;
  acceptsWork @6 :Bool;
  tasks @7 :List(TaskReport);
  services @8 :List(ServiceReport);
}

struct NodeReport {
  node @0 :Text;
  schedulerEpoch @1 :UInt64;
  workers @2 :List(WorkerDigest);
}

interface Peer {
  heartbeat @0 (view :NodeView) -> (view :NodeView);
  forward @1 (request :ForwardRequest) -> (reply :ForwardReply);
  pushConfig @2 (delta :ConfigDelta) -> (revision :UInt64);
  configSince @3 (revision :UInt64) -> (delta :ConfigDelta);
  ownershipSnapshot @4 () -> (entries :List(OwnershipEntry), vms :List(Vm));
  taskCommand @5 (call :TaskCall) -> (result :TaskCallResult);
  reportTasks @6 (report :NodeReport)
      -> (schedulerEpoch :UInt64, accepted :Bool);
  # Serves GET /v1/jobs/... and /v1/explain/... on the node of the scheduler.
  schedulerQuery @7 (path :Text) -> (status :UInt16, body :Text);
  pushOwnership @8 (entries :List(OwnershipEntry)) -> ();
  # Handled by the RPC thread alone; checks that the connection is usable.
  ping @9 () -> ();
}
