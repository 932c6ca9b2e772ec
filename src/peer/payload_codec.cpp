// Encoding of payloads, and mapping of kind numbers to the alternatives of `Payload`.

#include "payload_codec.hpp"

#include <array>
#include <utility>

#include "translate.hpp"

namespace trefoilstile::peer
{

namespace
{

template<std::size_t Index>
Payload decodeAlternative(std::string_view bytes)
{
    using Plain = std::variant_alternative_t<Index, Payload>;
    using Wire = decltype(toWire(std::declval<const Plain &>()));
    return Payload{std::in_place_index<Index>, fromWire(fromCompact<Wire>(bytes))};
}

using Decoder = Payload (*)(std::string_view);

template<std::size_t... Indices>
constexpr std::array<Decoder, sizeof...(Indices)> makeDecoders(std::index_sequence<Indices...>)
{
    return {&decodeAlternative<Indices>...};
}

constexpr auto s_decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<Payload>>{});

template<std::size_t... Indices>
std::array<Channel, sizeof...(Indices)> makeChannels(std::index_sequence<Indices...>)
{
    return {channelOf(Payload{std::in_place_index<Indices>})...};
}

bool isKnown(std::int32_t kind)
{
    return kind >= 1 && kind <= static_cast<std::int32_t>(s_decoders.size());
}

} // namespace

std::int32_t kindOf(const Payload &payload)
{
    return static_cast<std::int32_t>(payload.index()) + 1;
}

std::optional<Channel> channelOfKind(std::int32_t kind)
{
    static const auto channels = makeChannels(std::make_index_sequence<std::variant_size_v<Payload>>{});
    if (!isKnown(kind)) {
        return std::nullopt;
    }
    return channels[static_cast<std::size_t>(kind - 1)];
}

std::string encodePayload(const Payload &payload)
{
    return std::visit(
        [](const auto &alternative) {
            return toCompact(toWire(alternative));
        },
        payload);
}

Payload decodePayload(std::int32_t kind, std::string_view bytes)
{
    require(isKnown(kind), "unknown kind");
    return s_decoders[static_cast<std::size_t>(kind - 1)](bytes);
}

} // namespace trefoilstile::peer
