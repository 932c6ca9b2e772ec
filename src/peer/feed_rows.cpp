// Rows of feed responses as Thrift structs, compressed with zlib.

#include "trefoilstile/peer/feed_rows.hpp"

#include <utility>

#include "compression.hpp"
#include "translate.hpp"

namespace trefoilstile::peer
{

namespace
{

/// Maximum number of rows of a feed response; senders put fewer into one, see `feed::TableCopyOptions`.
constexpr std::int32_t s_maximumFeedRows = 8'192;

} // namespace

FeedRows encodeFeedRows(std::span<const FeedRow> rows)
{
    if (rows.empty()) {
        return {};
    }
    wire::FeedRows list;
    list.rows.reserve(rows.size());
    for (const FeedRow &row : rows) {
        wire::FeedRow entry;
        entry.key = row.key;
        entry.value = row.value;
        entry.version = bitsToWire(row.version);
        entry.removed = row.removed;
        if (row.era) {
            entry.__set_era(bitsToWire(*row.era));
        }
        list.rows.push_back(std::move(entry));
    }
    std::string bytes = toCompact(list);
    if (bytes.size() < s_minimumCompressedBytes) {
        return {std::move(bytes), 0};
    }
    return {compressed(bytes), static_cast<std::int32_t>(bytes.size())};
}

std::optional<std::vector<FeedRow>> decodeFeedRows(const FeedRows &rows)
{
    std::vector<FeedRow> decoded;
    if (rows.bytes.empty()) {
        return decoded;
    }
    try {
        const auto list = fromCompact<wire::FeedRows>(rows.size == 0 ? rows.bytes : decompressed(rows.bytes, rows.size), s_maximumFeedRows);
        decoded.reserve(list.rows.size());
        for (const wire::FeedRow &row : list.rows) {
            // The size of the frame limits keys and values.
            decoded.push_back({row.key,
                row.value,
                checkedNumber<std::uint64_t>(row.version),
                row.removed,
                row.__isset.era ? std::optional(checkedNumber<std::uint64_t>(row.era)) : std::nullopt});
        }
    } catch (const MalformedBytes &) {
        return std::nullopt;
    }
    return decoded;
}

} // namespace trefoilstile::peer
