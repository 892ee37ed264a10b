package umberrun.lease;

import umberrun.lease.sim.LeaseTrial.Maker;

/** Claimants that are wrong on purpose: seeds and the explorer must catch each. */
final class BrokenClaimants {
  /** A holder that counts from the answer in place of the question. */
  static final Maker COUNTS_FROM_THE_ANSWER =
      (s, name, id, random, out) ->
          new Claimant(s, name, id, random, out) {
            @Override
            protected long countsFrom(long asked, long answered) {
              return answered;
            }
          };

  /** One that takes a lease without the allowance for clocks that run apart. */
  static final Maker IGNORES_RATES =
      (s, name, id, random, out) ->
          new Claimant(s, name, id, random, out) {
            @Override
            protected long freeAt(Lease l) {
              return super.freeAt(l) - (long) (2 * s.rate() * l.length()) - s.pause();
            }
          };

  /**
   * A holder that counts a lease of its own from when it read it, and not from when it asked for
   * it.
   */
  static final Maker COUNTS_WHAT_IT_READ =
      (s, name, id, random, out) ->
          new Claimant(s, name, id, random, out) {
            @Override
            protected boolean counts(boolean madeNow) {
              return true;
            }
          };

  private BrokenClaimants() {}
}
