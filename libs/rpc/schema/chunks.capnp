@0xe24b9d10c6f7a853;
# Chunks of weights between target processes.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ibislock::rpc::wire");

interface Chunks {
    chunk @0 (digest :Data, root :Data)
        -> (found :Bool, bytes :Data, busy :Bool, waitMs :UInt32, revision :UInt64, bitmap :Data);
    # Hands over a chunk by its digest, after the sender's rate limit allows it. A sender whose queue is full answers
    # `busy` at once. `waitMs` is how long the sender's queue is now.
    # `revision` and `bitmap` tell what the sender holds of the version `root`, as in `have`.

    manifest @1 (root :Data) -> (found :Bool, manifest :Text);
    # Hands over a manifest by its root digest.

    have @2 (root :Data, known :UInt64, holdMs :UInt32) -> (found :Bool, revision :UInt64, bitmap :Data);
    # Tells which chunks of a version are held: bit i of the bitmap stands for chunk i. The answer waits until the
    # revision differs from `known`, at most for `holdMs`.
}
