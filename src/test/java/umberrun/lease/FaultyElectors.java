package umberrun.lease;

import umberrun.lease.sim.LeaseSimulation.Factory;

/** Claimants that are wrong on purpose: seeds and the explorer must catch each. */
final class FaultyElectors {
  /** A holder that counts from the answer in place of the question. */
  static final Factory COUNTS_FROM_THE_ANSWER =
      (s, name, id, random, out) ->
          new LeaseElector(s, name, id, random, out) {
            @Override
            protected long leaseStart(long asked, long answered) {
              return answered;
            }
          };

  /** One that takes a lease without the allowance for clocks that run apart. */
  static final Factory IGNORES_RATES =
      (s, name, id, random, out) ->
          new LeaseElector(s, name, id, random, out) {
            @Override
            protected long expiresAt(Lease l) {
              return super.expiresAt(l)
                  - (long) (2 * s.clockDrift() * l.length())
                  - s.takeoverPause();
            }
          };

  /**
   * A holder that counts a lease of its own from when it read it, and not from when it asked for
   * it.
   */
  static final Factory COUNTS_WHAT_IT_READ =
      (s, name, id, random, out) ->
          new LeaseElector(s, name, id, random, out) {
            @Override
            protected boolean isOwnLeaseValid(boolean madeNow) {
              return true;
            }
          };

  private FaultyElectors() {}
}
