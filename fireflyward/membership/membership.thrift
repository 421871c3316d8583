/* Membership datagrams between two nodes. The values of kind and state are the numbers
   of PacketKind and MemberState. */
namespace py fireflyward.membership

struct Place {
  1: required string host,
  2: required i32 port,
  3: required string failure_domain,
  4: required string region,
}

struct Row {
  1: required string name,
  2: required i64 incarnation,
  3: required i8 state,
  4: required i64 bundle_number,
  5: optional Place place,
}

struct DomainAge {
  1: required string failure_domain,
  2: required i32 age_ms,
}

struct DomainDigest {
  1: required string failure_domain,
  2: required i64 digest,
}

struct Packet {
  1: required i8 kind,
  2: required Row sender,
  3: optional i32 number,
  4: optional string target,
  5: optional list<Row> rows,
  6: optional list<DomainAge> ages,
  7: optional list<DomainDigest> digests,
}
