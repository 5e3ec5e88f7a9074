@0xd3a1f06c2b7e94c5;
# Frames exchanged between the leader of a group and the other nodes. Run
# scripts/generate.sh after a change; the generated files are committed so that
# the build needs no generator.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mangospread::dispatch::wire");

struct Hello {
  node @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;      # Epoch of the leader that the sender follows or is.
  leading @3 :Bool;
  dataCenter @4 :Text;
  leader @5 :Leader;     # The leader that the sender follows or is.
  yielding @6 :Bool;     # The sender leads and another node may take over.
  lastGrantAgeMs @7 :Int64 = -1;   # Negative if it is not known.
  permission @8 :UInt8;  # 1 and a value of Permission; 0 in former versions.
  workerLeaseMs @9 :Int64 = 6000;  # Former versions grant leases of 6 s.
  numbersAttachments @10 :Bool;
  endsReports @11 :Bool; # Sends reportsEnd as an agent, takes it as the leader.
  maxWorkBytes @12 :UInt64;   # 0 from former versions.
}

struct Leader {
  node @0 :Text;
  incarnation @1 :UInt64;
  ip @2 :Text;
  port @3 :UInt16;
}

struct Worker {
  vm @0 :Text;
  service @1 :Text;
  ip @2 :Text;
  port @3 :UInt16;
  dataCenter @4 :Text;
  rack @5 :Text;
  connections @6 :UInt32;
}

struct Assignment {
  worker @0 :Worker;
  fence @1 :UInt64;
  startsBefore @2 :UInt64;
  calmLoadPeriodMs @3 :Int64;
  runsKnown @4 :Bool;
  knownRuns @5 :List(RunRef);
  leaseLeftMs @6 :Int64 = -1;   # Negative if it is not known.
  runsAsOf @7 :UInt64;   # Newest assignment that knownRuns covers; 0 if unknown.
}

struct Traits {
  longRunning @0 :Bool;
  fills @1 :Bool;        # Best-effort task.
  cpu @2 :Int64;
  latencyTargetMs @3 :Int64;
  image @4 :Text;
}

struct Start {
  vm @0 :Text;
  number @1 :UInt64;
  task @2 :Text;
  run @3 :UInt64;
  spec @4 :Text;
  checkpoint @5 :Text;
  traits @6 :Traits;
  attachment @7 :UInt64;   # 0 from former versions, as in the events.
  born @8 :UInt64;         # Process it was decided for; 0 from former versions.
}

struct RunRef {
  vm @0 :Text;
  task @1 :Text;
  run @2 :UInt64;
  traits @3 :Traits;
  percent @4 :Int32 = 100;   # Share of full speed, for describe.
  justStarted @5 :Bool;
  confirmed @6 :Bool;    # The worker accepted the start or listed the run.
}

struct Acknowledge {
  vm @0 :Text;
  born @1 :UInt64;       # Incarnation of the worker process.
  number @2 :UInt64;
}

struct Order {
  union {
    assign @0 :Assignment;
    start @1 :Start;
    describe @2 :RunRef;
    stop @3 :RunRef;
    acknowledge @4 :Acknowledge;
    release @5 :Text;
    pace @6 :Pace;
  }
}

struct Running {
  task @0 :Text;
  run @1 :UInt64;
  checkpoint @2 :Text;
  percent @3 :Int32;
  measured @4 :Float64;
}

struct Ended {
  number @0 :UInt64;
  task @1 :Text;
  run @2 :UInt64;
  how @3 :UInt8;         # Value of RunEnd.
  checkpoint @4 :Text;
}

struct Attached {
  born @0 :UInt64;
  startsSeen @1 :UInt64;
  unsent @2 :List(Text);
  running @3 :List(Running);
  ended @4 :List(Ended);
  incomplete @5 :Bool;   # The worker may have more ends than it has listed.
  attachment @6 :UInt64;
  restartLeaseLeftMs @7 :Int64;   # 0 without one and from former versions.
}

struct RunEvent {
  task @0 :Text;
  run @1 :UInt64;
  outcome @2 :UInt8;
}

struct Load {
  runs @0 :List(Running);   # Without checkpoints.
  silent @1 :Bool;          # The worker has stopped responding.
  leaseLeftMs @2 :Int64 = -1;   # If silent; negative from former versions.
  attachment @3 :UInt64;    # Begins with this event, if not 0.
}

# Limits a run to a share of its full speed.
struct Pace {
  vm @0 :Text;
  task @1 :Text;
  run @2 :UInt64;
  percent @3 :Int32;
}

struct EndedEvent {
  born @0 :UInt64;
  end @1 :Ended;
}

struct Event {
  vm @0 :Text;
  assignment @1 :UInt64;
  union {
    attached @2 :Attached;
    ended @3 :EndedEvent;
    notStarted @4 :RunEvent;
    started @5 :RunEvent;
    stalled @6 :RunEvent;
    unreachable @7 :Int64;   # Upper bound of the remaining lease in ms.
    workerEnded @8 :Void;
    load @9 :Load;
    superseded @10 :Void;
  }
}

struct Call {
  id @0 :UInt64;
  kind @1 :UInt8;
  submission @2 :Text;
  queue @3 :Text;
  service @4 :Text;
  priority @5 :Int32;
  attempts @6 :Int32;
  stretch @7 :Float64;
  latencyTargetMs @8 :Int64;
  payload @9 :Data;
}

struct Reply {
  id @0 :UInt64;
  result @1 :UInt8;
  state @2 :UInt8;
  pending @3 :Int32;
  retryAfterMs @4 :Int64;
}

# Runs that may be on a worker assigned by a former leader.
struct Remembered {
  worker @0 :Worker;
  runs @1 :List(RunRef);
  unreachable @2 :Bool;  # The worker did not reply to its last renewals.
  ended @3 :Bool;        # The worker's process has ended.
  leaseLeftMs @4 :Int64 = -1;   # Negative if it is not known.
  renewing @5 :Bool;     # The agent goes on renewing the lease.
  runsAsOf @6 :UInt64;   # As in Assignment.
}

struct UnreportedLease {
  vm @0 :Text;
  assignment @1 :UInt64;
  leaseLeftMs @2 :Int64;
}

# Follows the last Remembered of a connection.
struct ReportsEnd {
  processAgeMs @0 :Int64;
  unreported @1 :List(UnreportedLease);
}

struct Frame {
  # Of pings, in ns of the sender's clock; 0 if absent.
  sentAt @7 :Int64;
  # Of pings: `sentAt` of the peer's ping, which this one confirms.
  confirms @8 :Int64;
  permission @9 :UInt8;  # Value of Permission, in a ping that confirms another.
  union {
    hello @0 :Hello;
    order @1 :Order;
    event @2 :Event;
    call @3 :Call;
    reply @4 :Reply;
    ping @5 :Void;
    remembered @6 :Remembered;
    reportsEnd @10 :ReportsEnd;   # Only to a leader that takes it.
  }
}
