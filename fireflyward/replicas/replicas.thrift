/* A node tells the others what it has under way at each replica: prompt tokens that
   no first token has answered yet, tokens of all its requests there, and their number. Replicas
   that are not named have none. */
namespace py fireflyward.replicas

struct UnderWayNews {
  1: required list<string> incarnations,
  2: required list<i32> unread,
  3: required list<i32> held,
  4: required list<i32> requests,
}
