/* A node tells the others how many prompt tokens it has sent to each replica that
   no first token has answered yet. Replicas that are not named have none. */
namespace py fireflyward.replicas

struct PendingNews {
  1: required list<string> incarnations,
  2: required list<i32> tokens,
}
