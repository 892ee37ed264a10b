package umberrun.lease;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import umberrun.lease.sim.LeaseModel;
import umberrun.lease.sim.LeaseModel.Bounds;
import umberrun.lease.sim.LeaseSimulation.Factory;
import umberrun.lease.sim.LeaseSimulation.Fault;
import umberrun.sim.ModelChecker;

/**
 * One duty, two candidates and three voters in all courses of small cases, and variants broken on
 * purpose that must be caught.
 */
public class LeaseModelTest {
  private static final int MOST = 3_000_000;

  private static ModelChecker of(Bounds bounds, Factory maker, Fault fault) {
    return new ModelChecker(new LeaseModel(bounds, maker, fault), MOST);
  }

  private static void holds(Bounds bounds, int least) {
    ModelChecker e = of(bounds, LeaseElector::new, Fault.NONE);
    assertNull(e.check());
    assertTrue(bounds + ": " + e.states(), e.isExhaustive() && e.states() >= least);
  }

  private static void isCaught(Bounds bounds, Factory maker, Fault fault) {
    assertNotNull(bounds.toString(), of(bounds, maker, fault).check());
  }

  /**
   * Through the end of a lease and its renewals, with a clock that is slow and one that is fast,
   * and an act that arrives at any time.
   */
  @Test
  public void oneAtMostActsWhateverTheOrder() {
    holds(new Bounds(false, 3, 0, 0, 0, 0, 1, 0), 80_000);
  }

  /** Clocks change from one tick to the next. */
  @Test
  public void clocksMayStep() {
    holds(new Bounds(true, 2, 0, 0, 0, 0, 0, 0), 10_000);
  }

  /**
   * Lost and late answers, further tries, a voter that crashes, a candidate that begins anew, a
   * duty given back.
   */
  @Test
  public void faultsOfEachKind() {
    holds(new Bounds(false, 2, 1, 0, 0, 0, 0, 0), 10_000);
    holds(new Bounds(false, 2, 0, 1, 0, 0, 0, 0), 10_000);
    holds(new Bounds(false, 1, 0, 0, 0, 1, 0, 1), 10_000);
  }

  /** Guards the checks: a voter that answers before its promise is on disk. */
  @Test
  public void aVariantThatSkipsTheSyncIsCaught() {
    isCaught(new Bounds(false, 3, 0, 0, 1, 0, 0, 0), LeaseElector::new, Fault.SKIPS_SYNC);
  }

  /** Guards the checks: a voter that votes on without what it had promised. */
  @Test
  public void aVariantThatVotesAfterLosingItsFolderIsCaught() {
    isCaught(new Bounds(false, 3, 0, 0, 1, 0, 0, 0), LeaseElector::new, Fault.VOTES_WITHOUT_FOLDER);
  }

  /** Guards the checks: one to whom acts come, and who does not look at their fences. */
  @Test
  public void aVariantThatTakesOldFencesIsCaught() {
    isCaught(new Bounds(false, 4, 0, 0, 0, 0, 2, 0), LeaseElector::new, Fault.TAKES_OLD_FENCES);
  }

  /** Guards the checks: a holder that counts from the answer in place of the question. */
  @Test
  public void aVariantThatCountsFromTheAnswerIsCaught() {
    isCaught(
        new Bounds(false, 3, 1, 0, 0, 0, 0, 0), FaultyElectors.COUNTS_FROM_THE_ANSWER, Fault.NONE);
  }

  /** Guards the checks: one that takes a lease without the allowance for clocks that run apart. */
  @Test
  public void aVariantThatIgnoresTheRatesOfClocksIsCaught() {
    isCaught(new Bounds(false, 3, 0, 0, 0, 0, 0, 0), FaultyElectors.IGNORES_RATES, Fault.NONE);
  }

  /**
   * Guards the checks: a holder that counts a lease of its own from when it read it, and not from
   * when it asked for it.
   */
  @Test
  public void aVariantThatCountsWhatItReadIsCaught() {
    isCaught(
        new Bounds(false, 3, 1, 0, 0, 0, 0, 0), FaultyElectors.COUNTS_WHAT_IT_READ, Fault.NONE);
  }
}
