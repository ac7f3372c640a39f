#include "membership/member_record.hpp"

#include "base/digest.hpp"

namespace eelgrassdoor::membership {

std::uint64_t member_key_of(const member_record& record) {
    return stable_hash(record.host + "#" + std::to_string(record.incarnation));
}

} // namespace eelgrassdoor::membership
