/* Messages between nodes about bundles. A signed bundle is sent as the bytes that
   the object store holds; the node that receives one verifies it. */
namespace py fireflyward.bundles

struct BundleNews {
  1: required i64 number,
  2: required string host,
  3: required i32 port,
}

struct ChangesRequest {
  1: required i64 after,
}

struct ChangesReply {
  1: required i64 number,
  2: required list<binary> changes,
}

struct WholeRequest {
  1: required string digest,
  2: required string after_part,
}

struct WholeReply {
  1: required i64 number,
  2: required string digest,
  3: required binary page,
  4: required list<binary> links,
  5: required bool is_last,
}

struct StateRequest {
  1: required string asker,
}

struct StateReply {
  1: required string node_name,
  2: required string failure_domain,
  3: required i64 number,
  4: required i64 head_number,
  5: required i64 confirmed_ms_ago,
  6: required string refused,
}
