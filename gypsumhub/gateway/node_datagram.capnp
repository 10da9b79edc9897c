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
    # Ticket of the request, repeated in the answer.
    configurationAgeRequest @11 :UInt64;
    configurationAge @12 :ConfigurationAge;
    creditRequest @13 :CreditRequest;
    creditGrant @14 :CreditGrant;
    leaseRequest @15 :LeaseRequest;
    leaseGrant @16 :LeaseGrant;
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
  # Age of the sender's confirmation of its configuration, plus one. 0 if there is none, or if the sender's build does not state it.
  confirmedAgeMs @9 :UInt32;
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

# How old the sender's confirmation is that the version, or an earlier one, was the newest in the store.
struct ConfigurationAge {
  ticket @0 :UInt64;
  version @1 :UInt64;
  # Rounded up.
  ageMs @2 :UInt32;
}

# What a node asks the distributor of its data centre for.
struct CreditRequest {
  ticket @0 :UInt64;
  demands @1 :List(CreditDemand);
}

struct CreditDemand {
  customer @0 :Text;
  # For requests that wait.
  count @1 :UInt32;
  # For requests that are expected soon.
  ahead @2 :UInt32;
  # Requests of the customer that arrived at the sender since it asked last.
  arrivals @3 :UInt32;
}

struct CreditGrant {
  ticket @0 :UInt64;
  credits @1 :List(CustomerCredits);
}

struct CustomerCredits {
  customer @0 :Text;
  count @1 :UInt32;
  # Only if fewer credits were granted than requests wait.
  retryAfterMs @2 :UInt32;
  # The sender has no lease yet.
  isPending @3 :Bool;
}

# What the distributor of a data centre asks the distributor of the fleet for, for the customers of one bucket.
struct LeaseRequest {
  ticket @0 :UInt64;
  bucket @1 :UInt32;
  demands @2 :List(LeaseDemand);
  # Name and data centre of the node that receives the grant.
  asker @3 :Text;
  dataCentre @4 :Text;
  isForwarded @5 :Bool;
  # Not 0: the asker has become the distributor of the fleet and asks which leases the receiver holds.
  probe @6 :UInt64;
  # The answer to the probe of this number.
  isStatement @7 :Bool;
  # The answer counts for nothing, since the sender distributes the bucket itself or holds more leases than it can state.
  isBlocking @8 :Bool;
}

struct LeaseDemand {
  customer @0 :Text;
  requestsPerSecond @1 :Float32;
  # The lease that the data centre holds.
  heldFraction @2 :Float32;
  heldForMs @3 :UInt32;
}

struct LeaseGrant {
  ticket @0 :UInt64;
  bucket @1 :UInt32;
  leases @2 :List(CustomerLease);
}

struct CustomerLease {
  customer @0 :Text;
  # Of the customer's limit.
  fraction @1 :Float32;
  # From the request.
  forMs @2 :UInt32;
  isFirst @3 :Bool;
}
