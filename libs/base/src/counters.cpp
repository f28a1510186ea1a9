#include "ibislock/base/counters.h"

namespace ibislock
{

namespace
{

constexpr std::array<CounterInfo, CounterCount> Infos{{
#define IBISLOCK_COUNTER(name, type, external, help) {external, type, help},
#include "ibislock/base/counters.def"
#undef IBISLOCK_COUNTER
}};

} // namespace

const CounterInfo &infoOf(Counter counter)
{
    return Infos.at(static_cast<std::size_t>(counter));
}

void Counters::add(Counter counter, std::uint64_t amount)
{
    m_values[static_cast<std::size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

void Counters::set(Counter counter, std::uint64_t value)
{
    m_values[static_cast<std::size_t>(counter)].store(value, std::memory_order_relaxed);
}

std::uint64_t Counters::value(Counter counter) const
{
    return m_values[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
}

std::string Counters::exposition() const
{
    std::string text;
    for (std::size_t i = 0; i < CounterCount; ++i) {
        const CounterInfo &info = Infos[i];
        text.append("# HELP ").append(info.name).append(" ").append(info.help).append("\n");
        text.append("# TYPE ").append(info.name).append(" ").append(info.type).append("\n");
        text.append(info.name).append(" ").append(std::to_string(m_values[i].load())).append("\n");
    }
    return text;
}

} // namespace ibislock
