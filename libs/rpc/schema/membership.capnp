@0xd1a7c3f2b45e6081;
# What VMs tell each other about themselves and about the configuration.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ibislock::rpc::wire");

struct Report {
    vm @0 :Text;
    domain @1 :Text;
    address @2 :Text;
    entry @3 :Bool;
    incarnation @4 :UInt64;
    started @5 :UInt64;
    sequence @6 :UInt64;
    leaving @7 :Bool;
    logOffset @8 :UInt64;
    phase @9 :Text;
    ticket @10 :UInt64;
    serving @11 :Data;
    running @12 :UInt32;
    queued @13 :UInt32;
    coveredTicket @14 :UInt64;
    revision @15 :UInt64;
}

struct News {
    # What changed about one VM.
    report @0 :Report;
    silentFor @1 :List(Text);
}

struct Beat {
    # A sign of life, small enough to be sent often.
    vm @0 :Text;
    domain @1 :Text;
    incarnation @2 :UInt64;
    sequence @3 :UInt64;
    logOffset @4 :UInt64;
    lastTicket @5 :UInt64;
    running @6 :UInt32;
    queued @7 :UInt32;
    logReachable @8 :Bool;
    entry @9 :Bool;
    coveredTicket @10 :UInt64;
    revision @11 :UInt64;
}

struct DomainAge {
    domain @0 :Text;
    ageMs @1 :UInt32;
}

struct Exchange {
    from @0 :Beat;
    peerIncarnation @1 :UInt64;  # The life of the receiver that `taken` belongs to.
    taken @2 :UInt64;            # The receiver's changes up to here are known to the sender.
    fingerprint @3 :UInt64;      # Of all that the sender knows of the VMs.
    upTo @4 :UInt64;             # The sender's changes up to here are in `news`, or known to the receiver.
    news @5 :List(News);
    domains @6 :List(DomainAge);
    wantsReport @7 :Bool;       # The sender lacks the receiver's report.
    wantsNews @8 :Bool = true;  # Whether the sender takes news from the receiver.
}

interface StateExchange {
    exchange @0 Exchange -> Exchange;
    # Swaps signs of life and what changed since the last exchange.

    state @1 (after :UInt64) -> (state :Data, first :UInt64, records :List(Data));
    # Hands over the folded state, or the log's records, beyond `after`; nothing when there is nothing new.
}
