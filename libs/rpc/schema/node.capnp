@0x95c1f08a3be274d6;
# The interface that each process offers first. The parts of it are reached by promise pipelining.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ibislock::rpc::wire");

using import "membership.capnp".StateExchange;
using import "chunks.capnp".Chunks;
using import "requests.capnp".Requests;

interface Node {
    stateExchange @0 () -> (stateExchange :StateExchange);
    chunks @1 () -> (chunks :Chunks);
    requests @2 () -> (requests :Requests);
}
