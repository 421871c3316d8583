/* A node that cannot reach a replica asks another node to connect to it. After a reply
   with the status "opened" the connection carries the bytes of both ends. */
namespace py fireflyward.relays

struct OpenTunnel {
  /* The replica's incarnation id. The relay takes the address from its own list. */
  1: required i64 replica,
  2: required i32 connect_ms,
}

struct TunnelReply {
  /* A value of the enumeration TunnelStatus. */
  1: required i32 status,
}
