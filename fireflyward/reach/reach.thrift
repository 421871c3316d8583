/* A node that got no answer at all from a replica tells the others in which
   failure domain that was, so that they look for themselves. */
namespace py fireflyward.reach

struct SilenceNews {
  1: required string failure_domain,
}
