# What the nodes of a gateway send each other in datagrams. scripts/generate_peer_schema updates the generated code.
@0xb7c41f0a52d98e63;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gypsumhub::wire");

struct NodeDatagram {
  # Name of the sending node.
  sender @0 :Text;
  union {
    hello @1 :NodeHello;
    outcomes @2 :List(TargetOutcome);
    registrations @3 :List(TargetChange);
    crashes @4 :List(TargetCrash);
    exonerations @5 :List(RequestFingerprint);
    quarantines @6 :List(RequestQuarantine);
    limits @7 :List(TargetLimit);
    permitRequest @8 :PermitRequest;
    permitGrant @9 :PermitGrant;
    leaving @10 :List(LeavingTarget);
  }
}

struct NodeHello {
  isReady @0 :Bool;
  isLeaving @1 :Bool;
  configurationVersion @2 :UInt64;
  viewDigest @3 :UInt64;
  viewAgeMs @4 :UInt32;
  nodesDigest @5 :UInt64;
  demands @6 :List(HostDemand);
  # Hosts with a service to whose targets the node has lost its paths.
  lostHosts @7 :List(Text);
  # Time since the sender's configuration was known to match the store, plus one. 0 if the sender's build does not state it.
  configurationAgeMs @8 :UInt32;
}

# The load that the callers of one host put on the node.
struct HostDemand {
  host @0 :Text;
  requestsPerSecond @1 :Float32;
  megabitsPerSecond @2 :Float32;
}

# The outcome of a request, when it reports something new about the target.
struct TargetOutcome {
  target @0 :Text;
  incarnation @1 :UInt64;
  failed @2 :Bool;
  # How long before this datagram the request was sent to the target.
  sentBeforeMs @3 :UInt32;
}

struct TargetChange {
  target @0 :Text;
  removed @1 :Bool;
  service @2 :Text;
  address @3 :Text;
  port @4 :UInt16;
  dataCentre @5 :Text;
  slots @6 :UInt32;
  draining @7 :Bool;
  warmInMs @8 :UInt32;
  incarnation @9 :UInt64;
  revision @10 :UInt64;
}

struct RequestFingerprint {
  high @0 :UInt64;
  low @1 :UInt64;
}

# A target that ended with requests of the sender in flight.
struct TargetCrash {
  target @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  # How long before this datagram the target ended.
  crashedBeforeMs @3 :UInt32;
  inFlight @4 :List(RequestFingerprint);
}

struct RequestQuarantine {
  fingerprint @0 :RequestFingerprint;
  # Rounded down.
  remainingSeconds @1 :UInt32;
}

# The rate limit that a target stated in an answer.
struct TargetLimit {
  target @0 :Text;
  incarnation @1 :UInt64;
  # The target answered without a limit; the rate is then 0.
  hasEnded @2 :Bool;
  requestsPerSecond @3 :Float64;
  # How long before this datagram the answer arrived.
  statedBeforeMs @4 :UInt32;
}

# A target that stated in an answer that it is leaving.
struct LeavingTarget {
  target @0 :Text;
  incarnation @1 :UInt64;
}

struct PermitRequest {
  limit @0 :TargetLimit;
  # Name of the node that receives the grant.
  asker @1 :Text;
  ticket @2 :UInt64;
  count @3 :UInt32;
  isForwarded @4 :Bool;
}

struct PermitGrant {
  limit @0 :TargetLimit;
  ticket @1 :UInt64;
  count @2 :UInt32;
  # Only if fewer permits were granted than requested.
  retryAfterMs @3 :UInt32;
}
