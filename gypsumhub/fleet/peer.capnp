# Messages between nodes. The generated code in this folder is committed; scripts/generate_peer_schema regenerates it.
@0xd2a6f0c1b94e7a35;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gypsumhub::wire");

# Bytes with a keyed digest. `body` is a packed FrameBody, `tag` its HMAC-SHA256.
struct SealedFrame {
  body @0 :Data;
  tag @1 :Data;
}

struct FrameBody {
  sender @0 :UInt64;
  # 0 in a hello to a seed whose node key is not known yet.
  receiver @1 :UInt64;
  senderIncarnation @2 :UInt64;
  # Grows by one with each frame of a session and direction; 0 in the hello.
  counter @3 :UInt64;
  # Random numbers of both ends; together they identify the session.
  dialerNonce @4 :UInt64;
  acceptorNonce @5 :UInt64;
  messages @6 :List(PeerMessage);
}

# The bootstrap interface of a listening node.
interface PeerNode {
  hello @0 (frame :SealedFrame, back :PeerSession) -> (frame :SealedFrame, session :PeerSession);
}

# One direction of an authenticated connection.
interface PeerSession {
  deliver @0 (frame :SealedFrame) -> ();
}

struct RevisionId {
  number @0 :UInt64;
  hash @1 :Data;
}

struct Evidence {
  service @0 :UInt64;
  target @1 :UInt64;
  state @2 :UInt8;
  errorScore @3 :Int32;
  slowScore @4 :Int32;
  samples @5 :UInt32;
  failuresInRow @6 :UInt32;
  validUntil @7 :Int64;
}

struct ClaimQuery {
  service @0 :UInt64;
  idempotencyKey @1 :Text;
  requestDigest @2 :UInt64;
  attempt @3 :UInt32;
  deadline @4 :Int64;
}

struct KeptAnswer {
  status @0 :UInt16;
  header @1 :Data;
  body @2 :Data;
}

struct ClaimVerdict {
  decision @0 :UInt8;
  code @1 :UInt16;
  answer @2 :KeptAnswer;
}

struct MemberClaim {
  node @0 :UInt64;
  incarnation @1 :UInt64;
  state @2 :UInt8;
}

struct PeerMessage {
  union {
    evidence :group {
      items @0 :List(Evidence);
      # 0 when the sender produced the evidence itself.
      origin @34 :UInt64;
      forwardTo @35 :List(UInt64);
    }
    claim :group {
      requestId @1 :UInt64;
      query @2 :ClaimQuery;
    }
    claimVerdict :group {
      requestId @3 :UInt64;
      verdict @4 :ClaimVerdict;
    }
    claimRecord :group {
      requestId @5 :UInt64;
      query @6 :ClaimQuery;
      # 0 while the request may still be running, else the number of the enumerator of claim_end plus one.
      end @7 :UInt8;
      answer @8 :KeptAnswer;
      keptUntil @9 :Int64;
    }
    claimRecordAck :group {
      requestId @10 :UInt64;
      held @11 :Bool;
    }
    digest :group {
      revision @12 :RevisionId;
      membershipHash @13 :UInt64;
      question @32 :UInt64;
      answerTo @33 :UInt64;
    }
    revisionRequest :group {
      have @14 :RevisionId;
      wanted @15 :RevisionId;
      fromChunk @16 :UInt32;
    }
    revisionPart :group {
      revision @17 :RevisionId;
      have @18 :RevisionId;
      part @19 :UInt32;
      partCount @20 :UInt32;
      bytes @21 :Data;
    }
    ping :group {
      sequence @22 :UInt64;
      incarnation @23 :UInt64;
      # 0 when the receiver itself is probed.
      subject @24 :UInt64;
      claims @25 :List(MemberClaim);
    }
    pingAck :group {
      sequence @26 :UInt64;
      incarnation @27 :UInt64;
      subject @28 :UInt64;
      reached @29 :Bool;
      claims @30 :List(MemberClaim);
    }
    membership @31 :List(MemberClaim);
  }
}
