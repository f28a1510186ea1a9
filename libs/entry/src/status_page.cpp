#include "status_page.h"

#include "ibislock/base/digest.h"

#include <openssl/evp.h>
#include <stdexcept>

// The linker symbols follow the assembler file, not the naming rules.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" {
extern const char ibislock_status_page[];
extern const char ibislock_status_page_end[];
}
// NOLINTEND(readability-identifier-naming)

namespace ibislock::entry
{

namespace
{

std::string_view between(std::string_view text, std::string_view begin, std::string_view end)
{
    const std::size_t first = text.find(begin);
    const std::size_t last = text.find(end);
    if (first == std::string_view::npos || last == std::string_view::npos) {
        throw std::logic_error("the status page has no " + std::string(begin));
    }
    return text.substr(first + begin.size(), last - first - begin.size());
}

std::string policySource(std::string_view content)
{
    const Digest digest = sha256(content);
    std::string encoded(4 * ((digest.bytes.size() + 2) / 3), '\0'); // base64: four characters for three bytes
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(encoded.data()), digest.bytes.data(),
                    static_cast<int>(digest.bytes.size()));
    return "'sha256-" + encoded + "'";
}

} // namespace

std::string_view statusPage()
{
    return {ibislock_status_page, static_cast<std::size_t>(ibislock_status_page_end - ibislock_status_page)};
}

std::string statusPagePolicy()
{
    return "default-src 'none'; script-src " + policySource(between(statusPage(), "<script>", "</script>"))
        + "; style-src " + policySource(between(statusPage(), "<style>", "</style>"))
        + "; connect-src 'self'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'";
}

void addStatusPage(httplib::Server &server)
{
    server.Get("/", [policy = statusPagePolicy()](const httplib::Request &, httplib::Response &response) {
        response.set_header("Content-Security-Policy", policy);
        response.set_header("Referrer-Policy", "no-referrer");
        response.set_header("X-Content-Type-Options", "nosniff");
        response.set_header("Cache-Control", "no-store");
        const std::string_view page = statusPage();
        response.set_content(page.data(), page.size(), "text/html; charset=utf-8");
    });
}

} // namespace ibislock::entry
