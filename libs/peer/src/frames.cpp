#include "ibislock/peer/frames.h"

namespace ibislock::peer
{

namespace
{

constexpr std::size_t LengthBytes = 4;

} // namespace

std::string frame(const std::string &body)
{
    std::string out(LengthBytes, '\0');
    for (std::size_t n = 0; n < LengthBytes; ++n) {
        out[n] = static_cast<char>(body.size() >> (8 * n) & 0xffU);
    }
    return out + body;
}

FrameReader::FrameReader(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void FrameReader::add(std::string_view bytes)
{
    m_bytes.append(bytes);
}

Result<std::string> FrameReader::next()
{
    if (m_bytes.size() < LengthBytes) {
        return failure(ErrorCode::NotFound, "the message is incomplete");
    }
    std::size_t n = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        n |= static_cast<std::size_t>(static_cast<unsigned char>(m_bytes[i])) << (8 * i);
    }
    if (n > m_maxBytes) {
        return failure(ErrorCode::Corrupt, "the message exceeds the size limit");
    }
    if (m_bytes.size() < LengthBytes + n) {
        return failure(ErrorCode::NotFound, "the message is incomplete");
    }
    std::string body = m_bytes.substr(LengthBytes, n);
    m_bytes.erase(0, LengthBytes + n);
    return body;
}

void FrameReader::releaseUnused()
{
    m_bytes.shrink_to_fit();
}

} // namespace ibislock::peer
