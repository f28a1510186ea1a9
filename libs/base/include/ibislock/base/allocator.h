// Settings of the system's allocator for a daemon that many clients reach.
//
//     returnFreedBlocks();   // before threads start

#pragma once

namespace ibislock
{

/// Lets freed blocks of 64 KB and more go back to the system at once. By default the allocator raises that size by
/// itself and keeps the memory of a burst of large bodies, for each thread apart.
void returnFreedBlocks();

} // namespace ibislock
