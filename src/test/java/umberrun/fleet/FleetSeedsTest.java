package umberrun.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.Test;
import umberrun.fleet.sim.FleetSimulation;
import umberrun.fleet.sim.FleetSimulation.Factory;

/**
 * Tests the membership protocol in simulated fleets under random faults, reproducible from their
 * seeds, and checks that the simulation detects faulty variants of the protocol.
 */
public class FleetSeedsTest {
  private static final long SECOND = MembershipSettings.SECOND;

  /** The views of all running members agree within this after the last fault. */
  private static final long AGREEMENT_TIMEOUT_MICROS = 60 * SECOND;

  /** Restarts that a fault has scheduled happen within this. */
  private static final long FAULT_TAIL_MICROS = 10 * SECOND;

  /** No partition in these tests lasts longer, and every member is informed after this. */
  private static final long DEAD_RETENTION_MICROS = 90 * SECOND;

  /** What newcomers may add to the sum of the shares until every member has heard of them. */
  private static final double MAX_EXCESS_SHARE = 0.25;

  /** Tolerance for rounding in a sum of shares. */
  private static final double ROUNDING = 1e-9;

  /**
   * Runs a fleet under random faults for half a minute to three minutes, then waits for agreement.
   * Returns a description of the failure, or null.
   */
  static String runWithFaults(int size, long seed, Factory factory) {
    SplittableRandom random = new SplittableRandom(seed);
    FleetSimulation simulation =
        new FleetSimulation(size, settings(size), random.nextLong(), factory);
    try {
      if (random.nextBoolean()) {
        simulation.net().run(DEAD_RETENTION_MICROS + 10 * SECOND);
      }
      for (int fault = 3 + random.nextInt(5); fault > 0; fault--) {
        injectFault(simulation, size, random);
        for (long end = simulation.net().now() + (long) (random.nextDouble() * 12 * SECOND);
            simulation.net().now() < end; ) {
          simulation.net().run(simulation.net().now() + SECOND / 4);
          if (simulation.totalShare() > 1 + MAX_EXCESS_SHARE + ROUNDING) {
            return "seed "
                + seed
                + ": shares add up to "
                + simulation.totalShare()
                + " at "
                + simulation.net().now();
          }
        }
      }
      // Lets scheduled restarts and kills happen first.
      simulation.net().run(simulation.net().now() + FAULT_TAIL_MICROS);
      simulation.net().healAll();
      simulation.net().setLinks(0, 0.01, 200, 20_000);
      simulation.setSlowNode(-1, 0);
      for (int i = 0; i < size; i++) {
        if (simulation.net().isPaused(i)) {
          simulation.net().resume(i);
        }
      }
      return simulation.awaitAgreement(AGREEMENT_TIMEOUT_MICROS) >= 0
          ? null
          : "seed " + seed + " of " + size + ": " + simulation.disagreement();
    } catch (FleetSimulation.InvariantViolation e) {
      return "seed " + seed + " of " + size + ": " + e.getMessage();
    }
  }

  private static MembershipSettings settings(int size) {
    MembershipSettings defaults = FleetSimulation.settings(size);
    return new MembershipSettings(
        defaults.fleet(),
        defaults.seeds(),
        defaults.interval(),
        defaults.timeout(),
        defaults.exchangeInterval(),
        defaults.reconnectInterval(),
        defaults.deadConfirmation(),
        DEAD_RETENTION_MICROS,
        defaults.propagationTime(),
        defaults.maxMembers(),
        defaults.frontEndCount(),
        defaults.usesLocalHealth());
  }

  /** Injects one fault of a random kind. */
  private static void injectFault(FleetSimulation simulation, int size, RandomGenerator random) {
    int one = random.nextInt(size);
    int other = random.nextInt(size);
    switch (random.nextInt(9)) {
      // A third is killed at once and restarts after 1.1 to 5.6 defaults.
      case 0 -> {
        for (int i = 0; i < size / 3; i++) {
          int who = random.nextInt(size);
          simulation.kill(who);
          simulation
              .net()
              .at(
                  simulation.net().now() + 1_100_000 + random.nextLong(4_500_000),
                  () -> simulation.start(who));
        }
      }
      // A partition into two or three sides heals after 1 to 60 defaults.
      case 1 -> {
        int sides = 2 + random.nextInt(2);
        simulation.cut(i -> i * 7 % 11 % sides);
        simulation
            .net()
            .at(
                simulation.net().now() + SECOND + random.nextLong(59 * SECOND),
                simulation.net()::healAll);
      }
      // A link is cut in one direction.
      case 2 -> simulation.net().cut(one, other);
      // A machine pauses for 2 to 42 defaults.
      case 3 -> {
        simulation.net().pause(one);
        simulation
            .net()
            .at(
                simulation.net().now() + 2 * SECOND + random.nextLong(40 * SECOND),
                () -> simulation.net().resume(one));
      }
      // Links lose, duplicate and delay packets.
      case 4 -> simulation.net().setLinks(0.3 * random.nextDouble(), 0.1, 200, 60_000);
      // A machine is slow until another one is, or until the end of the faults.
      case 5 -> simulation.setSlowNode(one, random.nextLong(SECOND));
      // A machine joins and dies repeatedly.
      case 6 -> {
        for (int i = 0; i < 4; i++) {
          simulation.net().at(simulation.net().now() + i * SECOND, () -> simulation.kill(one));
          simulation
              .net()
              .at(simulation.net().now() + i * SECOND + SECOND / 2, () -> simulation.start(one));
        }
      }
      // A machine is killed and stays down unless a later fault restarts it.
      case 7 -> simulation.kill(one);
      // All machines restart one after the other.
      default -> {
        for (int i = 0; i < size; i++) {
          int who = i;
          simulation
              .net()
              .at(
                  simulation.net().now() + i * FAULT_TAIL_MICROS / size,
                  () -> simulation.start(who));
        }
      }
    }
  }

  @Test
  public void smallFleetsAgreeAfterAllFaults() {
    for (long seed = 1; seed <= 400; seed++) {
      assertNull(runWithFaults(5, seed, Membership::new));
    }
  }

  @Test
  public void mediumFleetsAgreeAfterAllFaults() {
    for (long seed = 1; seed <= 12; seed++) {
      assertNull(runWithFaults(50, seed, Membership::new));
    }
  }

  /** Two runs with one seed must be identical, so that a failure can be reproduced. */
  @Test
  public void aSeedReproducesTheRun() {
    long[] packets = new long[2];
    for (int i = 0; i < 2; i++) {
      FleetSimulation simulation =
          new FleetSimulation(20, FleetSimulation.settings(20), 7, Membership::new);
      simulation.net().setLinks(0.2, 0.1, 200, 50_000);
      simulation.net().run(20 * SECOND);
      simulation.kill(3);
      simulation.net().run(40 * SECOND);
      packets[i] = simulation.packets() * 1_000_003 + simulation.falseSuspicions();
    }
    assertEquals(packets[0], packets[1]);
  }

  private static String firstFailure(int size, int seeds, Factory factory) {
    for (long seed = 1; seed <= seeds; seed++) {
      String failure = runWithFaults(size, seed, factory);
      if (failure != null) {
        return failure;
      }
    }
    return null;
  }

  /**
   * A member that refutes an accusation with the accused incarnation stays dead; the simulation
   * must detect that.
   */
  @Test
  public void aVariantWithoutIncarnationsIsCaught() {
    assertNotNull(
        firstFailure(
            5,
            60,
            (s, name, id, about, random, out) ->
                new Membership(s, name, id, about, random, out) {
                  @Override
                  protected long refutingIncarnation(long accused) {
                    return accused;
                  }
                }));
  }

  /**
   * Without exchanges with dead members and seeds the sides of a partition never rejoin; the
   * simulation must detect that.
   */
  @Test
  public void aVariantWithoutExchangeWithTheDeadIsCaught() {
    assertNotNull(
        firstFailure(
            5,
            60,
            (s, name, id, about, random, out) ->
                new Membership(s, name, id, about, random, out) {
                  @Override
                  protected List<String> unreachableAddresses() {
                    return livingCount() == 0 && peers().isEmpty()
                        ? super.unreachableAddresses()
                        : List.of();
                  }
                }));
  }

  /**
   * A member that divides by the members that it sees takes the shares of the other side of a
   * partition as well; the simulation must detect that.
   */
  @Test
  public void aVariantThatDividesByVisibleMembersIsCaught() {
    String failure =
        firstFailure(
            5,
            60,
            (s, name, id, about, random, out) ->
                new Membership(s, name, id, about, random, out) {
                  @Override
                  public double divisor(long now) {
                    return livingCount() + 1;
                  }
                });
    assertTrue(failure, failure != null && failure.contains("shares"));
  }

  // ---------------------------------------------------------------- single scenarios

  private static FleetSimulation fleet(int size) {
    FleetSimulation simulation =
        new FleetSimulation(size, FleetSimulation.settings(size), 42, Membership::new);
    assertTrue(simulation.disagreement(), simulation.awaitAgreement(AGREEMENT_TIMEOUT_MICROS) >= 0);
    return simulation;
  }

  /**
   * A slow member recognizes by its late timers that it must not accuse others. Without local
   * health it does accuse them, which shows that this test can fail.
   */
  @Test
  public void aSlowMemberDoesNotAccuseTheHealthy() {
    for (boolean usesLocalHealth : new boolean[] {true, false}) {
      MembershipSettings defaults = FleetSimulation.settings(10);
      FleetSimulation simulation =
          new FleetSimulation(
              10,
              new MembershipSettings(
                  defaults.fleet(),
                  defaults.seeds(),
                  defaults.interval(),
                  defaults.timeout(),
                  defaults.exchangeInterval(),
                  defaults.reconnectInterval(),
                  defaults.deadConfirmation(),
                  defaults.deadRetention(),
                  defaults.propagationTime(),
                  defaults.maxMembers(),
                  defaults.frontEndCount(),
                  usesLocalHealth),
              42,
              Membership::new);
      assertTrue(
          simulation.disagreement(), simulation.awaitAgreement(AGREEMENT_TIMEOUT_MICROS) >= 0);
      simulation.setSlowNode(4, 900_000);
      simulation.net().run(simulation.net().now() + 60 * SECOND);
      assertEquals(
          "no accusations of healthy members, with local health: " + usesLocalHealth,
          usesLocalHealth,
          simulation.falseSuspicions() == 0);
    }
  }

  @Test
  public void aOneWayCutIsNoDeath() {
    FleetSimulation simulation = fleet(10);
    simulation.net().cut(1, 2);
    simulation.net().run(simulation.net().now() + 60 * SECOND);
    assertEquals(9, simulation.process(2).livingCount());
    assertEquals(9, simulation.process(1).livingCount());
  }

  /** A restarted member keeps its name, and claims about its previous process have no effect. */
  @Test
  public void aRestartIsNoDeath() {
    FleetSimulation simulation = fleet(10);
    Claim before = simulation.process(3).self();
    simulation.start(3);
    assertTrue(simulation.disagreement(), simulation.awaitAgreement(5 * SECOND) >= 0);
    assertTrue(simulation.process(3).self().generation().compareTo(before.generation()) > 0);
    // A message of the previous process arrives late.
    simulation
        .process(5)
        .receive(
            simulation.clock(5),
            new GossipMessage(GossipMessage.Kind.PING, 1, "n5", "", before, List.of()));
    assertNull(simulation.disagreement());
  }

  /** No seed answers for a minute, and then one does. */
  @Test
  public void joiningNeverGivesUp() {
    FleetSimulation simulation =
        new FleetSimulation(6, FleetSimulation.settings(6), 42, Membership::new);
    for (int i = 0; i < 3; i++) {
      simulation.kill(i);
    }
    simulation.net().run(60 * SECOND);
    assertEquals(0, simulation.process(4).livingCount());
    simulation.start(1);
    assertTrue(simulation.disagreement(), simulation.awaitAgreement(AGREEMENT_TIMEOUT_MICROS) >= 0);
  }

  @Test
  public void twoProcessesUnderOneNameAgreeOnAnOwner() {
    FleetSimulation simulation = fleet(6);
    simulation.start(5, "n4");
    simulation.net().run(simulation.net().now() + AGREEMENT_TIMEOUT_MICROS);
    assertTrue(
        "exactly one process gives up the name",
        simulation.process(4).hasYielded() != simulation.process(5).hasYielded());
    int holder = simulation.process(4).hasYielded() ? 5 : 4;
    for (int i = 0; i < 4; i++) {
      assertEquals(4, simulation.process(i).livingCount());
      assertTrue(
          simulation.process(i).peers().stream()
              .anyMatch(p -> p.claim().equals(simulation.process(holder).self())));
    }
    simulation.kill(holder);
    simulation.net().run(simulation.net().now() + 2 * AGREEMENT_TIMEOUT_MICROS);
    assertTrue(
        "the other process takes over the name", !simulation.process(9 - holder).hasYielded());
    assertEquals(4, simulation.process(0).livingCount());
  }

  @Test
  public void anotherNameAtAnAddressIsAnotherMember() {
    FleetSimulation simulation = fleet(6);
    simulation.start(5, "other");
    long elapsed = simulation.awaitAgreement(AGREEMENT_TIMEOUT_MICROS);
    assertTrue(simulation.disagreement(), elapsed >= 0 && elapsed < 10 * SECOND);
    assertTrue(
        simulation.process(0).peers().stream()
            .anyMatch(p -> p.claim().name().equals("n5") && !p.claim().isLiving()));
  }

  /**
   * When a fleet grows beyond the configured number of front ends, newcomers exceed the whole by no
   * more than a quarter of a share each, with and without a partition.
   */
  @Test
  public void newcomersDoNotExceedTheWhole() {
    for (int cut = 0; cut < 2; cut++) {
      MembershipSettings defaults = settings(6);
      FleetSimulation simulation = new FleetSimulation(10, defaults, 42 + cut, Membership::new);
      for (int i = 6; i < 10; i++) {
        simulation.kill(i);
      }
      assertTrue(
          simulation.disagreement(), simulation.awaitAgreement(AGREEMENT_TIMEOUT_MICROS) >= 0);
      simulation.net().run(simulation.net().now() + 2 * DEAD_RETENTION_MICROS);
      if (cut == 1) {
        simulation.cut(i -> i % 2);
        simulation.net().run(simulation.net().now() + 30 * SECOND);
      }
      for (int i = 6; i < 10; i++) {
        simulation.start(i);
      }
      double maxShare = 0;
      for (int i = 0; i < 400; i++) {
        simulation.net().run(simulation.net().now() + SECOND / 10);
        maxShare = Math.max(maxShare, simulation.totalShare());
      }
      assertTrue("shares add up to " + maxShare, maxShare <= 1 + 4.0 / 4 / 6 + ROUNDING);
      assertTrue(
          "shares add up to " + simulation.totalShare() + " at the end",
          simulation.totalShare() <= 1 + ROUNDING);
    }
  }

  /** The shares of dead members are taken over once they are confirmed dead, and not before. */
  @Test
  public void sharesOfConfirmedDeadMembersAreTakenOver() {
    FleetSimulation simulation = new FleetSimulation(10, settings(10), 42, Membership::new);
    simulation.net().run(2 * DEAD_RETENTION_MICROS);
    for (int i = 5; i < 10; i++) {
      simulation.kill(i);
    }
    simulation.net().run(simulation.net().now() + 50 * SECOND);
    assertEquals(10, simulation.process(0).divisor(simulation.clock(0)), ROUNDING);
    simulation.net().run(simulation.net().now() + 60 * SECOND);
    assertEquals(5, simulation.process(0).divisor(simulation.clock(0)), ROUNDING);
    // A member that announces its departure needs no confirmation.
    simulation.process(1).leave(simulation.clock(1));
    simulation.kill(1);
    simulation.net().run(simulation.net().now() + 5 * SECOND);
    assertEquals(4, simulation.process(0).divisor(simulation.clock(0)), ROUNDING);
  }
}
