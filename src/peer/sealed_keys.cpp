// Translation of sealed key tables to and from Thrift structs.

#include "trefoilstile/peer/sealed_keys.hpp"

#include <memory>

#include "sealed_keys_types.h"
#include "translate.hpp"

namespace trefoilstile::peer
{

namespace
{

/// A part accounts for at most `s_sealedPartBytes` bytes, and each entry accounts for `s_recordBytes` or more.
constexpr std::int32_t s_maximumEntries = static_cast<std::int32_t>(idempotency::s_sealedPartBytes / idempotency::s_recordBytes) + 1;

wire::SealedKey toWire(const idempotency::SealedEntry &entry)
{
    wire::SealedKey out;
    out.key = entry.key;
    out.completed = entry.state == idempotency::KeyState::Completed && entry.response;
    out.fingerprint = bitsToWire(entry.fingerprint.value);
    if (entry.response) {
        out.status = entry.response->status;
        out.contentType = entry.response->contentType;
        out.body = entry.response->body;
        out.truncated = entry.response->truncated;
    }
    return out;
}

idempotency::SealedEntry fromWire(const wire::SealedKey &value)
{
    require(value.key.size() <= idempotency::s_maximumKeyLength, "key exceeds its length limit");
    idempotency::SealedEntry entry;
    entry.key = value.key;
    entry.fingerprint = {bitsFromWire(value.fingerprint)};
    if (value.completed) {
        entry.state = idempotency::KeyState::Completed;
        idempotency::StoredResponse response{checkedNumber<std::uint16_t>(value.status), value.contentType, value.body, value.truncated};
        entry.response = std::make_shared<const idempotency::StoredResponse>(std::move(response));
    }
    return entry;
}

} // namespace

std::string encodeSealedPart(const idempotency::SealedPart &part)
{
    wire::SealedKeyPart out;
    out.issuer = bitsToWire(part.incarnation.value);
    out.part = static_cast<std::int32_t>(part.part);
    out.parts = static_cast<std::int32_t>(part.parts);
    out.oldestRunnableTick = static_cast<std::int32_t>(part.oldestRunnableTick);
    for (const idempotency::SealedEntry &entry : part.entries) {
        out.entries.push_back(toWire(entry));
    }
    return toCompact(out);
}

std::optional<idempotency::SealedPart> decodeSealedPart(std::string_view bytes)
{
    try {
        const auto value = fromCompact<wire::SealedKeyPart>(bytes, s_maximumEntries);
        idempotency::SealedPart part;
        part.incarnation = incarnationFromWire(value.issuer);
        part.part = checkedNumber<std::uint32_t>(value.part);
        part.parts = checkedNumber<std::uint32_t>(value.parts);
        part.oldestRunnableTick = checkedNumber<std::uint32_t>(value.oldestRunnableTick);
        for (const wire::SealedKey &entry : value.entries) {
            part.entries.push_back(fromWire(entry));
        }
        return part;
    } catch (const MalformedBytes &) {
        return std::nullopt;
    }
}

} // namespace trefoilstile::peer
