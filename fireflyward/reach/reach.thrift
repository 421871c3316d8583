/* A node that got no answer at all from a replica tells the others of its own failure
   domain where that was, so that they look for themselves. */
namespace py fireflyward.reach

struct SilenceNews {
  1: required string failure_domain,
}
