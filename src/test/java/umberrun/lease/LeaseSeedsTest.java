package umberrun.lease;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.Test;
import umberrun.consensus.Proposer;
import umberrun.consensus.RegisterValue;
import umberrun.lease.sim.LeaseSimulation;
import umberrun.lease.sim.LeaseSimulation.Factory;
import umberrun.lease.sim.LeaseSimulation.Fault;

/** Simulates one duty under random faults, and checks that deliberate faults are detected. */
public class LeaseSeedsTest {
  private static final long SECOND_MICROS = 1_000_000;

  /** By then all restarts and resumes that a fault has scheduled are done. */
  private static final long MAX_FAULT_MICROS = 8 * SECOND_MICROS;

  /**
   * Without faults a free duty is taken within a lease, the time that candidates wait beyond it and
   * the time between two reads.
   */
  private static final long TAKEOVER_LIMIT_MICROS = 3 * LeaseSimulation.DEFAULT_SETTINGS.length();

  /**
   * Runs about ten faults, then a time without faults in which the duty must be taken.
   *
   * @return the check that failed, or null
   */
  static String run(long seed, Factory factory, Fault fault) {
    SplittableRandom random = new SplittableRandom(seed);
    LeaseSimulation simulation =
        new LeaseSimulation(
            random.nextInt(4) == 0 ? 5 : 3,
            2 + random.nextInt(3),
            LeaseSimulation.DEFAULT_SETTINGS,
            random.nextLong(),
            factory,
            fault);
    try {
      for (int i = 6 + random.nextInt(10); i > 0; i--) {
        injectFault(simulation, random, fault);
        simulation.run((long) (random.nextDouble() * 4 * SECOND_MICROS));
      }
      simulation.run(MAX_FAULT_MICROS);
      simulation.net().healAll();
      simulation.net().setLinks(0, 0.02, 200, 5_000);
      for (int i = 0; i < simulation.voterCount(); i++) {
        simulation.restartVoter(i, false);
        simulation.net().resume(i);
      }
      for (int i = 0; i < simulation.electorCount(); i++) {
        simulation.net().resume(simulation.node(i));
        simulation.net().setExtraDelay(simulation.node(i), 0);
        simulation.startElector(i);
        simulation.setPriority(i, true, 0, false);
      }
      simulation.run(TAKEOVER_LIMIT_MICROS);
      return simulation.holder() >= 0
          ? null
          : "seed "
              + seed
              + ": nobody holds the duty after "
              + TAKEOVER_LIMIT_MICROS / SECOND_MICROS
              + " s";
    } catch (LeaseSimulation.InvariantViolation e) {
      return "seed " + seed + ": " + e.getMessage();
    }
  }

  private static void injectFault(
      LeaseSimulation simulation, SplittableRandom random, Fault fault) {
    int voter = random.nextInt(simulation.voterCount());
    int elector = random.nextInt(simulation.electorCount());
    int holder = simulation.holder();
    int target = holder >= 0 && random.nextBoolean() ? holder : elector;
    long endsAt = simulation.net().now() + random.nextLong(6 * SECOND_MICROS);
    switch (random.nextInt(12)) {
      // One or more voters crash, perhaps between a write and its answer, and restart.
      case 0 -> {
        for (int i = 0; i <= random.nextInt(simulation.voterCount()); i++) {
          int v = (voter + i) % simulation.voterCount();
          simulation.crashVoter(v);
          simulation
              .net()
              .at(
                  simulation.net().now() + random.nextLong(SECOND_MICROS),
                  () -> simulation.restartVoter(v, fault == Fault.VOTES_WITHOUT_FOLDER));
        }
      }
      case 1 -> {
        simulation.net().pause(simulation.node(target));
        simulation.net().at(endsAt, () -> simulation.net().resume(simulation.node(target)));
      }
      case 2 -> {
        simulation.crashElector(target);
        simulation.net().at(endsAt, () -> simulation.startElector(target));
      }
      // The target is cut off from the voters: both ways, or only its requests or the answers are
      // lost.
      case 3 -> {
        int direction = random.nextInt(3);
        for (int v = 0; v < simulation.voterCount(); v++) {
          if (direction != 0) {
            simulation.net().cut(simulation.node(target), v);
          }
          if (direction != 1) {
            simulation.net().cut(v, simulation.node(target));
          }
        }
        simulation.net().at(endsAt, simulation.net()::healAll);
      }
      case 4 ->
          simulation
              .net()
              .setLinks(
                  0.3 * random.nextDouble(), 0.2, 200, 20_000 + random.nextLong(2 * SECOND_MICROS));
      case 5 -> simulation.net().setLinks(0, 0.02, 200, 5_000);
      case 6 -> simulation.replay();
      case 7 -> {
        simulation.net().pause(voter);
        simulation.net().at(endsAt, () -> simulation.net().resume(voter));
      }
      // The answers to the target are late, and then it is paused.
      case 8 -> {
        long pausedAt = simulation.net().now() + random.nextLong(4 * SECOND_MICROS);
        simulation.net().setExtraDelay(simulation.node(target), 450_000);
        simulation.net().at(pausedAt, () -> simulation.net().pause(simulation.node(target)));
        simulation
            .net()
            .at(
                pausedAt + 4 * SECOND_MICROS,
                () -> {
                  simulation.net().setExtraDelay(simulation.node(target), 0);
                  simulation.net().resume(simulation.node(target));
                });
      }
      case 9, 10 ->
          simulation.setPriority(
              elector, random.nextBoolean(), random.nextLong(SECOND_MICROS), random.nextBoolean());
      // The target is paused with the answers it has received, and all voters but one crash.
      default -> {
        simulation.net().pause(simulation.node(target));
        simulation
            .net()
            .at(
                simulation.net().now() + 4 * SECOND_MICROS,
                () -> simulation.net().resume(simulation.node(target)));
        for (int i = 1; i < simulation.voterCount(); i++) {
          int v = (voter + i) % simulation.voterCount();
          simulation.crashVoter(v);
          simulation
              .net()
              .at(
                  simulation.net().now() + random.nextLong(SECOND_MICROS / 2),
                  () -> simulation.restartVoter(v, false));
        }
      }
    }
  }

  /** The first violation of safety in some seeds, or null; a duty that nobody holds is none. */
  private static String firstViolation(int seeds, Factory factory, Fault fault) {
    for (long seed = 1; seed <= seeds; seed++) {
      String violation = run(seed, factory, fault);
      if (violation != null && !violation.contains("nobody")) {
        return violation;
      }
    }
    return null;
  }

  @Test
  public void atMostOneMayActAndAFreeDutyIsTaken() {
    for (long seed = 1; seed <= 600; seed++) {
      assertNull(run(seed, LeaseElector::new, Fault.NONE));
    }
  }

  /** The checks must detect a voter that answers before its promise is on disk. */
  @Test
  public void aVariantThatSkipsTheSyncIsCaught() {
    assertNotNull(firstViolation(4_000, LeaseElector::new, Fault.SKIPS_SYNC));
  }

  /** The checks must detect a voter that votes on after it has lost its promises. */
  @Test
  public void aVariantThatVotesAfterLosingItsFolderIsCaught() {
    assertNotNull(firstViolation(4_000, LeaseElector::new, Fault.VOTES_WITHOUT_FOLDER));
  }

  /** The checks must detect a receiver of acts that ignores their fences. */
  @Test
  public void aVariantThatTakesOldFencesIsCaught() {
    String violation = firstViolation(4_000, LeaseElector::new, Fault.ACCEPTS_OLD_FENCES);
    assertTrue(violation, violation != null && violation.contains("fence"));
  }

  /** The checks must detect a holder that counts its lease from the answer. */
  @Test
  public void aVariantThatCountsFromTheAnswerIsCaught() {
    assertNotNull(firstViolation(4_000, FaultyElectors.COUNTS_FROM_THE_ANSWER, Fault.NONE));
  }

  /** The checks must detect an elector that does not allow for clock drift. */
  @Test
  public void aVariantThatIgnoresTheRatesOfClocksIsCaught() {
    assertNotNull(firstViolation(4_000, FaultyElectors.IGNORES_CLOCK_DRIFT, Fault.NONE));
  }

  /** The checks must detect a holder that counts a lease from when it read it. */
  @Test
  public void aVariantThatCountsWhatItReadIsCaught() {
    assertNotNull(firstViolation(4_000, FaultyElectors.COUNTS_WHAT_IT_READ, Fault.NONE));
  }

  /** The duty of a register whose text is not a lease is not taken; the register is read again. */
  @Test
  public void whatIsNoLeaseIsNotTaken() {
    List<String> requests = new ArrayList<>();
    LeaseElector elector =
        new LeaseElector(
            LeaseSimulation.DEFAULT_SETTINGS,
            "c",
            1,
            new SplittableRandom(1),
            new LeaseElector.Outbox() {
              @Override
              public void read(long until) {
                requests.add("read");
              }

              @Override
              public void propose(Proposer.Change change, long until) {
                requests.add("propose");
              }

              @Override
              public void startTimer(long at) {
                requests.add("startTimer");
              }

              @Override
              public void onFenceChange(long fence, String cause) {
                requests.add("onFenceChange");
              }
            });
    elector.start(0);
    elector.onRegisterResult(1, new RegisterValue(4, "corrupt"));
    elector.onTimer(LeaseSimulation.DEFAULT_SETTINGS.length());
    assertEquals(List.of("read", "startTimer", "read"), requests);
  }
}
