/* A node that found a failure domain silent announces it to the others, which then probe
   the domain themselves. */
namespace py fireflyward.reach

struct SilenceNews {
  1: required string failure_domain,
}
