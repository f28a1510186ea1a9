// Operators that race one another with tickets, for the experiment on tickets.
//
// For each number every racer files a content of its own, again and again until the outcome is known.

#pragma once

#include "ibislock/base/clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace ibislock::lab
{

/// What the racers do.
struct FilerOptions
{
    std::vector<std::string> entries; ///< Administration interfaces of all entry VMs.
    std::vector<std::string> vms; ///< Targets that the tickets name.
    std::uint64_t tickets = 10;
    unsigned racers = 2;
    std::uint64_t seed = 1;
    Millis pace{50}; ///< The pause after each decided number.
};

/// What the racers were told.
struct FilerResult
{
    std::map<std::uint64_t, std::set<std::string>> accepted; ///< Number to the content digests that were accepted.
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0; ///< Answers that told that the outcome is not known; the racer filed again.
    std::uint64_t unavailable = 0; ///< Answers that told that nothing was filed, and calls that were not answered.
};

/// The racers' threads.
class Filers
{
public:
    explicit Filers(FilerOptions options);
    ~Filers();

    Filers(const Filers &) = delete;
    Filers &operator=(const Filers &) = delete;

    void start();

    /// Tells whether all numbers are decided.
    bool isDone() const;

    /// Gives the highest number that is accepted so far.
    std::uint64_t decided() const;

    /// Ends the racers, decided or not.
    FilerResult finish();

private:
    void race(unsigned racer);
    void fileUntilKnown(unsigned racer, std::uint64_t number, std::uint64_t seed);
    std::string ticketOf(unsigned racer, std::uint64_t number) const;

    FilerOptions m_options;
    mutable std::mutex m_mutex;
    FilerResult m_result;
    std::atomic<unsigned> m_finished = 0;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace ibislock::lab
