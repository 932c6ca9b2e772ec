// Key table of an instance that stops, in parts; carried as opaque bytes by HandoffPart. See gen/README.md.
namespace cpp trefoilstile.peer.wire

struct SealedKey {
  1: string key
  2: bool completed
  3: i64 fingerprint
  4: i32 status
  5: string contentType
  6: binary body
  7: bool truncated
}

struct SealedKeyPart {
  1: i64 issuer
  2: i32 part
  3: i32 parts
  4: i32 oldestRunnableTick
  5: list<SealedKey> entries
}
