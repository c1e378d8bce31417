// Contents of KV cache blocks in the stand-ins. They are derived from the block key, so that a test
// can detect a block whose bytes do not belong to its key.

#ifndef BLUEBELLSTEP_STANDINS_BLOCK_PAYLOAD_H_
#define BLUEBELLSTEP_STANDINS_BLOCK_PAYLOAD_H_

#include <cstddef>
#include <string>

#include "cache/block_key.h"

namespace bluebellstep::standins {

/** Returns the contents of the block with `key`, `size` bytes long. */
std::string block_payload(BlockKey key, std::size_t size);

}  // namespace bluebellstep::standins

#endif  // BLUEBELLSTEP_STANDINS_BLOCK_PAYLOAD_H_
