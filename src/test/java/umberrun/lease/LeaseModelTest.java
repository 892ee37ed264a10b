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
 * Checks all reachable states of small models of one duty, two candidates and three voters, and
 * that the checks detect deliberate faults.
 */
public class LeaseModelTest {
  private static final int MAX_STATES = 3_000_000;

  private static ModelChecker checker(Bounds bounds, Factory factory, Fault fault) {
    return new ModelChecker(new LeaseModel(bounds, factory, fault), MAX_STATES);
  }

  private static void assertHolds(Bounds bounds, int minStates) {
    ModelChecker checker = checker(bounds, LeaseElector::new, Fault.NONE);
    assertNull(checker.check());
    assertTrue(
        bounds + ": " + checker.states(), checker.isExhaustive() && checker.states() >= minStates);
  }

  private static void assertDetected(Bounds bounds, Factory factory, Fault fault) {
    assertNotNull(bounds.toString(), checker(bounds, factory, fault).check());
  }

  /**
   * Renewal and expiry of a lease, with a slow and a fast clock and an act that arrives at any
   * time.
   */
  @Test
  public void oneAtMostActsWhateverTheOrder() {
    assertHolds(new Bounds(false, 3, 0, 0, 0, 0, 1, 0), 80_000);
  }

  /** The rates of the clocks change between ticks. */
  @Test
  public void clocksMayStep() {
    assertHolds(new Bounds(true, 2, 0, 0, 0, 0, 0, 0), 10_000);
  }

  /**
   * Lost and late answers, retries, a voter that crashes, a candidate that restarts, and a duty
   * that is given back.
   */
  @Test
  public void faultsOfEachKind() {
    assertHolds(new Bounds(false, 2, 1, 0, 0, 0, 0, 0), 10_000);
    assertHolds(new Bounds(false, 2, 0, 1, 0, 0, 0, 0), 10_000);
    assertHolds(new Bounds(false, 1, 0, 0, 0, 1, 0, 1), 10_000);
  }

  /** The checks must detect a voter that answers before its promise is on disk. */
  @Test
  public void aVariantThatSkipsTheSyncIsCaught() {
    assertDetected(new Bounds(false, 3, 0, 0, 1, 0, 0, 0), LeaseElector::new, Fault.SKIPS_SYNC);
  }

  /** The checks must detect a voter that votes on after it has lost its promises. */
  @Test
  public void aVariantThatVotesAfterLosingItsFolderIsCaught() {
    assertDetected(
        new Bounds(false, 3, 0, 0, 1, 0, 0, 0), LeaseElector::new, Fault.VOTES_WITHOUT_FOLDER);
  }

  /** The checks must detect a receiver of acts that ignores their fences. */
  @Test
  public void aVariantThatTakesOldFencesIsCaught() {
    assertDetected(
        new Bounds(false, 4, 0, 0, 0, 0, 2, 0), LeaseElector::new, Fault.ACCEPTS_OLD_FENCES);
  }

  /** The checks must detect a holder that counts its lease from the answer. */
  @Test
  public void aVariantThatCountsFromTheAnswerIsCaught() {
    assertDetected(
        new Bounds(false, 3, 1, 0, 0, 0, 0, 0), FaultyElectors.COUNTS_FROM_THE_ANSWER, Fault.NONE);
  }

  /** The checks must detect an elector that does not allow for clock drift. */
  @Test
  public void aVariantThatIgnoresTheRatesOfClocksIsCaught() {
    assertDetected(
        new Bounds(false, 3, 0, 0, 0, 0, 0, 0), FaultyElectors.IGNORES_CLOCK_DRIFT, Fault.NONE);
  }

  /** The checks must detect a holder that counts a lease from when it read it. */
  @Test
  public void aVariantThatCountsWhatItReadIsCaught() {
    assertDetected(
        new Bounds(false, 3, 1, 0, 0, 0, 0, 0), FaultyElectors.COUNTS_WHAT_IT_READ, Fault.NONE);
  }
}
