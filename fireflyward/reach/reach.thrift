/* A node that found a failure domain silent tells the others, so that they look for
   themselves. */
namespace py fireflyward.reach

struct SilenceNews {
  1: required string failure_domain,
}
