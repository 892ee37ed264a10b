package umberrun.lease;

import umberrun.lease.sim.LeaseSimulation.Factory;

/** Deliberately faulty electors, each of which the simulation and the model must detect. */
final class FaultyElectors {
  /** A holder that counts its lease from the answer instead of the request. */
  static final Factory COUNTS_FROM_THE_ANSWER =
      (settings, name, id, random, out) ->
          new LeaseElector(settings, name, id, random, out) {
            @Override
            protected long leaseStart(long requestedAt, long answeredAt) {
              return answeredAt;
            }
          };

  /** An elector that takes an expired lease without allowing for clock drift. */
  static final Factory IGNORES_CLOCK_DRIFT =
      (settings, name, id, random, out) ->
          new LeaseElector(settings, name, id, random, out) {
            @Override
            protected long expiresAt(Lease lease) {
              return super.expiresAt(lease)
                  - (long) (2 * settings.clockDrift() * lease.length())
                  - settings.takeoverPause();
            }
          };

  /** A holder that counts a lease of its own that it has read from the time of that read. */
  static final Factory COUNTS_WHAT_IT_READ =
      (settings, name, id, random, out) ->
          new LeaseElector(settings, name, id, random, out) {
            @Override
            protected boolean isOwnLeaseValid(boolean applied) {
              return true;
            }
          };

  private FaultyElectors() {}
}
