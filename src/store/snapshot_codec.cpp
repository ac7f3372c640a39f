#include "store/snapshot_codec.hpp"

#include "peer/codec.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace eelgrassdoor::store {

template <typename Archive> void serialize(Archive& ar, kv_item& item) {
    ar(item.key, item.value, item.revision);
}

template <typename Archive> void serialize(Archive& ar, mirror_snapshot& snapshot) {
    ar(snapshot.prefix, snapshot.revision, snapshot.items);
}

std::string encode_snapshot(const mirror_snapshot& snapshot) {
    return peer::encode(snapshot);
}

std::optional<mirror_snapshot> decode_snapshot(std::string_view bytes) {
    return peer::decode<mirror_snapshot>(bytes);
}

} // namespace eelgrassdoor::store
