@0xf3806e21d7a9b4c5;
# Callers' requests from entry processes to target processes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ibislock::rpc::wire");

struct Request {
    id @0 :Data;
    entryVm @1 :Text;
    entryIncarnation @2 :UInt64;
    workspace @3 :Text;
    role @4 :Text;
    manifest @5 :Data;
    method @6 :Text;
    path @7 :Text;
    contentType @8 :Text;
    body @9 :Data;
    stream @10 :Bool;
    idempotent @11 :Bool;
    timeLeftMs @12 :UInt32;
    priority @13 :UInt8;
    cost @14 :UInt32;
    key @15 :Text;
    resumeFrom @16 :UInt32;
}

struct AnswerPart {
    id @0 :Data;
    index @1 :UInt32;
    data @2 :Data;
}

struct AnswerEnd {
    id @0 :Data;
    entryIncarnation @1 :UInt64;
    workspace @2 :Text;
    manifest @3 :Data;
    outcome @4 :UInt8;
    message @5 :Text;
    status @6 :UInt16;
    contentType @7 :Text;
    parts @8 :UInt32;
    bytes @9 :UInt64;
    retryAfterMs @10 :UInt32;
    refusal @11 :UInt8;
    cachedBytes @12 :UInt32;
    hasCachedBytes @13 :Bool;
}

interface AnswerSink {
    part @0 (part :AnswerPart) -> stream;
}

interface Requests {
    submit @0 (request :Request, sink :AnswerSink) -> (end :AnswerEnd);
    # Runs a request. Parts of the answer go to `sink` before the call returns. Dropping the call cancels the request.

    revoke @1 (id :Data, incarnation :UInt64) -> (notRun :Bool);
    # Withdraws a request. `notRun` is true only if this life of the process is the one named, the request has not
    # started, and it never will, also if its order has yet to arrive.
}
