@0xd5a1f3c29be04711;

# Messages between daemons. Fields are only ever added and messages of an
# unknown kind are ignored, so that daemons of adjacent releases can
# communicate.

struct Envelope {
  union {
    unset @0 :Void;
    heartbeat @1 :Heartbeat;
    heartbeatReply @2 :HeartbeatReply;
    releaseRequest @3 :ReleaseRequest;
    releaseReply @4 :ReleaseReply;
    manifestRequest @5 :ManifestRequest;
    manifestReply @6 :ManifestReply;
  }
}

struct ShardLease {
  name @0 :Text;
  generation @1 :UInt64;
}

struct ServiceLoad {
  service @0 :Text;
  free @1 :UInt32;
  total @2 :UInt32;
  overflowFree @3 :UInt32;
}

struct Suspect {
  fingerprint @0 :UInt64;
  crashes @1 :UInt32;
}

struct Heartbeat {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  manifestVersion @3 :UInt64;
  drainedVersion @4 :UInt64;
  keyEpoch @5 :UInt32;
  stopping @6 :Bool;
  shards @7 :List(ShardLease);
  loads @8 :List(ServiceLoad);
  leaving @9 :List(Text);
  suspects @10 :List(Suspect);
  tableAgeMs @11 :UInt32;
}

struct HeartbeatReply {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  manifestVersion @3 :UInt64;
  grants @4 :List(ShardLease);
  keyEpoch @5 :UInt32;
}

struct ReleaseRequest {
  shard @0 :Text;
  generation @1 :UInt64;
  candidate @2 :Text;
}

struct ReleaseReply {
  shard @0 :Text;
  generation @1 :UInt64;
  granted @2 :Bool;
  host @3 :Text;
}

# A base of 0 requests the full text.
struct ManifestRequest {
  version @0 :UInt64;
  base @1 :UInt64;
}

# Has either the deflated text as body or a chain of deltas, or neither if the
# version is unknown.
struct ManifestReply {
  version @0 :UInt64;
  body @1 :Data;
  deltas @2 :List(ManifestDelta);
}

struct ManifestDelta {
  base @0 :UInt64;
  version @1 :UInt64;
  digest @2 :Data;
  edits @3 :List(TextEdit);
}

struct TextEdit {
  start @0 :UInt32;
  removed @1 :UInt32;
  inserted @2 :Data;
}
