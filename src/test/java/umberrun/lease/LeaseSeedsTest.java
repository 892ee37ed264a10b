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

/** One duty under faults that a seed draws, and variants broken on purpose that must be caught. */
public class LeaseSeedsTest {
  private static final long SECOND = 1_000_000;
  private static final long LAST = 8 * SECOND;

  /**
   * In fair times a free duty is taken within a lease, the wait of others beyond it and the time
   * between two looks.
   */
  private static final long BOUND = 3 * LeaseSimulation.DEFAULT_SETTINGS.length();

  /** Some ten faults, then fair times in which the duty must be taken. What broke, or null. */
  static String play(long seed, Factory maker, Fault fault) {
    SplittableRandom random = new SplittableRandom(seed);
    LeaseSimulation t =
        new LeaseSimulation(
            random.nextInt(4) == 0 ? 5 : 3,
            2 + random.nextInt(3),
            LeaseSimulation.DEFAULT_SETTINGS,
            random.nextLong(),
            maker,
            fault);
    try {
      for (int i = 6 + random.nextInt(10); i > 0; i--) {
        draw(t, random, fault);
        t.run((long) (random.nextDouble() * 4 * SECOND));
      }
      t.run(LAST); // stops and starts that are yet to come
      t.net().healAll();
      t.net().setLinks(0, 0.02, 200, 5_000);
      for (int i = 0; i < t.voterCount(); i++) {
        t.restartVoter(i, false);
        t.net().resume(i);
      }
      for (int i = 0; i < t.claimantCount(); i++) {
        t.net().resume(t.machine(i));
        t.net().setExtraDelay(t.machine(i), 0);
        t.start(i);
        t.setPriority(i, true, 0, false);
      }
      t.run(BOUND);
      return t.holder() >= 0
          ? null
          : "seed " + seed + ": nobody has the duty after " + BOUND / SECOND + " s";
    } catch (LeaseSimulation.InvariantViolation e) {
      return "seed " + seed + ": " + e.getMessage();
    }
  }

  private static void draw(LeaseSimulation t, SplittableRandom random, Fault fault) {
    int voter = random.nextInt(t.voterCount());
    int who = random.nextInt(t.claimantCount());
    int holder = t.holder();
    int hit = holder >= 0 && random.nextBoolean() ? holder : who;
    long later = t.net().now() + random.nextLong(6 * SECOND);
    switch (random.nextInt(12)) {
      case 0 -> { // one voter, two, or all, killed between a write and its answer and started again
        for (int i = 0; i <= random.nextInt(t.voterCount()); i++) {
          int v = (voter + i) % t.voterCount();
          t.crashVoter(v);
          t.net()
              .at(
                  t.net().now() + random.nextLong(SECOND),
                  () -> t.restartVoter(v, fault == Fault.VOTES_WITHOUT_FOLDER));
        }
      }
      case 1 -> {
        t.net().pause(t.machine(hit));
        t.net().at(later, () -> t.net().resume(t.machine(hit)));
      }
      case 2 -> {
        t.crash(hit);
        t.net().at(later, () -> t.start(hit));
      }
      case 3 -> { // the holder cut off from the voters, both ways or so that its questions or their
        // answers are lost
        int way = random.nextInt(3);
        for (int v = 0; v < t.voterCount(); v++) {
          if (way != 0) {
            t.net().cut(t.machine(hit), v);
          }
          if (way != 1) {
            t.net().cut(v, t.machine(hit));
          }
        }
        t.net().at(later, t.net()::healAll);
      }
      case 4 ->
          t.net()
              .setLinks(0.3 * random.nextDouble(), 0.2, 200, 20_000 + random.nextLong(2 * SECOND));
      case 5 -> t.net().setLinks(0, 0.02, 200, 5_000);
      case 6 -> t.replay();
      case 7 -> {
        t.net().pause(voter);
        t.net().at(later, () -> t.net().resume(voter));
      }
      case 8 -> { // the answers to one come late, and then it stands still
        long standsAt = t.net().now() + random.nextLong(4 * SECOND);
        t.net().setExtraDelay(t.machine(hit), 450_000);
        t.net().at(standsAt, () -> t.net().pause(t.machine(hit)));
        t.net()
            .at(
                standsAt + 4 * SECOND,
                () -> {
                  t.net().setExtraDelay(t.machine(hit), 0);
                  t.net().resume(t.machine(hit));
                });
      }
      case 9, 10 ->
          t.setPriority(who, random.nextBoolean(), random.nextLong(SECOND), random.nextBoolean());
      default -> { // all voters but one killed, and the holder stopped with what they said to it
        t.net().pause(t.machine(hit));
        t.net().at(t.net().now() + 4 * SECOND, () -> t.net().resume(t.machine(hit)));
        for (int i = 1; i < t.voterCount(); i++) {
          int v = (voter + i) % t.voterCount();
          t.crashVoter(v);
          t.net().at(t.net().now() + random.nextLong(SECOND / 2), () -> t.restartVoter(v, false));
        }
      }
    }
  }

  private static String firstBroken(int seeds, Factory maker, Fault fault) {
    for (long seed = 1; seed <= seeds; seed++) {
      String broken = play(seed, maker, fault);
      if (broken != null && !broken.contains("nobody")) {
        return broken;
      }
    }
    return null;
  }

  @Test
  public void atMostOneMayActAndAFreeDutyIsTaken() {
    for (long seed = 1; seed <= 600; seed++) {
      assertNull(play(seed, LeaseElector::new, Fault.NONE));
    }
  }

  /** Guards the checks: a voter that answers before its promise is on disk. */
  @Test
  public void aVariantThatSkipsTheSyncIsCaught() {
    assertNotNull(firstBroken(4_000, LeaseElector::new, Fault.SKIPS_SYNC));
  }

  /** Guards the checks: a voter that votes on without what it had promised. */
  @Test
  public void aVariantThatVotesAfterLosingItsFolderIsCaught() {
    assertNotNull(firstBroken(4_000, LeaseElector::new, Fault.VOTES_WITHOUT_FOLDER));
  }

  /** Guards the checks: one to whom acts come, and who does not look at their fences. */
  @Test
  public void aVariantThatTakesOldFencesIsCaught() {
    String broken = firstBroken(4_000, LeaseElector::new, Fault.TAKES_OLD_FENCES);
    assertTrue(broken, broken != null && broken.contains("fence"));
  }

  /** Guards the checks: a holder that counts from the answer in place of the question. */
  @Test
  public void aVariantThatCountsFromTheAnswerIsCaught() {
    assertNotNull(firstBroken(4_000, FaultyElectors.COUNTS_FROM_THE_ANSWER, Fault.NONE));
  }

  /** Guards the checks: one that takes a lease without the allowance for clocks that run apart. */
  @Test
  public void aVariantThatIgnoresTheRatesOfClocksIsCaught() {
    assertNotNull(firstBroken(4_000, FaultyElectors.IGNORES_RATES, Fault.NONE));
  }

  /**
   * Guards the checks: a holder that counts a lease of its own from when it read it, and not from
   * when it asked for it.
   */
  @Test
  public void aVariantThatCountsWhatItReadIsCaught() {
    assertNotNull(firstBroken(4_000, FaultyElectors.COUNTS_WHAT_IT_READ, Fault.NONE));
  }

  /** Of a register that holds no lease nobody takes anything, and it is looked at again. */
  @Test
  public void whatIsNoLeaseIsNotTaken() {
    List<String> wants = new ArrayList<>();
    LeaseElector c =
        new LeaseElector(
            LeaseSimulation.DEFAULT_SETTINGS,
            "c",
            1,
            new SplittableRandom(1),
            new LeaseElector.Outbox() {
              @Override
              public void read(long until) {
                wants.add("read");
              }

              @Override
              public void propose(Proposer.Change change, long until) {
                wants.add("propose");
              }

              @Override
              public void startTimer(long at) {
                wants.add("wake");
              }

              @Override
              public void onFenceChange(long fence, String cause) {
                wants.add("hands");
              }
            });
    c.start(0);
    c.onRegisterResult(1, new RegisterValue(4, "spoilt"));
    c.onTimer(LeaseSimulation.DEFAULT_SETTINGS.length());
    assertEquals(List.of("read", "wake", "read"), wants);
  }
}
