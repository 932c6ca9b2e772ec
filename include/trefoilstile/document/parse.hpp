// Reading and checking of steering documents.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilstile/base/error.hpp"
#include "trefoilstile/document/steering_document.hpp"

namespace trefoilstile::document
{

/// Largest accepted document in bytes: 840,000 client blocks at about 40 bytes of text each, with room to grow.
inline constexpr std::size_t s_maximumDocumentBytes = 64U << 20U;

/// One fault of a document.
struct Fault {
    std::string path; ///< such as `services[0].routes[2].class`
    int line{}; ///< 1 is the first line; 0 if the fault has no place in the text
    std::string message;
};

/// Thrown for a document that is not accepted; carries every fault found.
class DocumentError : public base::Error
{
public:
    explicit DocumentError(std::vector<Fault> faults);

    const std::vector<Fault> &faults() const;

private:
    std::vector<Fault> m_faults;
};

/// Reads a document from YAML or JSON text.
/// @throws DocumentError with all faults: malformed text, unknown fields, duplicates, unknown names, numbers that are
///         negative, not finite or out of range, shares above the whole, text over `s_maximumDocumentBytes`.
SteeringDocument parseDocument(std::string_view text);

/// SHA-256 of the document's bytes as 64 lower-case hexadecimal digits.
std::string contentHash(std::string_view bytes);

} // namespace trefoilstile::document
