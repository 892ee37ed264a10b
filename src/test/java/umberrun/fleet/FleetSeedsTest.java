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
 * The view under faults that a seed draws, on the virtual network, and variants broken on purpose
 * that must be caught.
 */
public class FleetSeedsTest {
  private static final long SECOND = MembershipSettings.SECOND;

  /**
   * Within this all that live tell the same after the last fault; docs/fleet-view.md has the sum.
   */
  private static final long BOUND = 60 * SECOND;

  private static final long LAST = 10 * SECOND;

  /** No cut of these courses lasts longer, and all have heard of all by then. */
  private static final long FORGET = 90 * SECOND;

  /** What newcomers of whom not all have heard may add to the whole. */
  private static final double WINDOW = 0.25;

  /** Rounding of a sum of shares. */
  private static final double ROUNDING = 1e-9;

  /** Half a minute to three of faults of all kinds, then the bound. What broke, or null. */
  static String play(int size, long seed, Factory maker) {
    SplittableRandom random = new SplittableRandom(seed);
    FleetSimulation t = new FleetSimulation(size, settings(size), random.nextLong(), maker);
    try {
      if (random.nextBoolean()) {
        t.net().run(FORGET + 10 * SECOND);
      }
      for (int fault = 3 + random.nextInt(5); fault > 0; fault--) {
        draw(t, size, random);
        for (long end = t.net().now() + (long) (random.nextDouble() * 12 * SECOND);
            t.net().now() < end; ) {
          t.net().run(t.net().now() + SECOND / 4);
          if (t.shares() > 1 + WINDOW + ROUNDING) {
            return "seed " + seed + ": shares add up to " + t.shares() + " at " + t.net().now();
          }
        }
      }
      t.net().run(t.net().now() + LAST); // restarts and deaths that are yet to come
      t.net().healAll();
      t.net().setLinks(0, 0.01, 200, 20_000);
      t.slow(-1, 0);
      for (int i = 0; i < size; i++) {
        if (t.net().isPaused(i)) {
          t.net().resume(i);
        }
      }
      return t.settle(BOUND) >= 0 ? null : "seed " + seed + " of " + size + ": " + t.unsettled();
    } catch (FleetSimulation.InvariantViolation e) {
      return "seed " + seed + " of " + size + ": " + e.getMessage();
    }
  }

  private static MembershipSettings settings(int size) {
    MembershipSettings s = FleetSimulation.settings(size);
    return new MembershipSettings(
        s.fleet(),
        s.seeds(),
        s.interval(),
        s.timeout(),
        s.exchangeInterval(),
        s.reconnectInterval(),
        s.deadConfirmation(),
        FORGET,
        s.propagationTime(),
        s.maxMembers(),
        s.frontEndCount(),
        s.usesLocalHealth());
  }

  private static void draw(FleetSimulation t, int size, RandomGenerator random) {
    int one = random.nextInt(size);
    int other = random.nextInt(size);
    switch (random.nextInt(9)) {
      case 0 -> { // a third killed at once, back within 1.1 to 5.6 s
        for (int i = 0; i < size / 3; i++) {
          int who = random.nextInt(size);
          t.kill(who);
          t.net().at(t.net().now() + 1_100_000 + random.nextLong(4_500_000), () -> t.start(who));
        }
      }
      case 1 -> {
        int sides = 2 + random.nextInt(2);
        t.cut(i -> i * 7 % 11 % sides);
        t.net().at(t.net().now() + SECOND + random.nextLong(59 * SECOND), t.net()::healAll);
      }
      case 2 -> t.net().cut(one, other);
      case 3 -> {
        t.net().pause(one);
        t.net()
            .at(
                t.net().now() + 2 * SECOND + random.nextLong(40 * SECOND),
                () -> t.net().resume(one));
      }
      case 4 -> t.net().setLinks(0.3 * random.nextDouble(), 0.1, 200, 60_000);
      case 5 -> t.slow(one, random.nextLong(SECOND)); // until the next, or the end
      case 6 -> { // joins and dies again and again
        for (int i = 0; i < 4; i++) {
          t.net().at(t.net().now() + i * SECOND, () -> t.kill(one));
          t.net().at(t.net().now() + i * SECOND + SECOND / 2, () -> t.start(one));
        }
      }
      case 7 -> t.kill(one);
      default -> { // one after the other replaced in place
        for (int i = 0; i < size; i++) {
          int who = i;
          t.net().at(t.net().now() + i * LAST / size, () -> t.start(who));
        }
      }
    }
  }

  @Test
  public void smallFleetsAgreeAfterAllFaults() {
    for (long seed = 1; seed <= 400; seed++) {
      assertNull(play(5, seed, Membership::new));
    }
  }

  @Test
  public void mediumFleetsAgreeAfterAllFaults() {
    for (long seed = 1; seed <= 12; seed++) {
      assertNull(play(50, seed, Membership::new));
    }
  }

  /** The same seed, the same course to the last packet. */
  @Test
  public void aSeedPlaysTheSameAgain() {
    long[] packets = new long[2];
    for (int i = 0; i < 2; i++) {
      FleetSimulation t = new FleetSimulation(20, FleetSimulation.settings(20), 7, Membership::new);
      t.net().setLinks(0.2, 0.1, 200, 50_000);
      t.net().run(20 * SECOND);
      t.kill(3);
      t.net().run(40 * SECOND);
      packets[i] = t.packets() * 1_000_003 + t.wrongSuspicions();
    }
    assertEquals(packets[0], packets[1]);
  }

  private static String firstBroken(int size, int seeds, Factory maker) {
    for (long seed = 1; seed <= seeds; seed++) {
      String broken = play(size, seed, maker);
      if (broken != null) {
        return broken;
      }
    }
    return null;
  }

  /** Guards the checks: one that refutes with the incarnation it was accused under stays dead. */
  @Test
  public void aVariantWithoutIncarnationsIsCaught() {
    assertNotNull(
        firstBroken(
            5,
            60,
            (s, name, id, about, random, out) ->
                new Membership(s, name, id, about, random, out) {
                  @Override
                  protected long refuting(long accused) {
                    return accused;
                  }
                }));
  }

  /** Guards the checks: without the dead and the list to come back to, halves stay halves. */
  @Test
  public void aVariantWithoutExchangeWithTheDeadIsCaught() {
    assertNotNull(
        firstBroken(
            5,
            60,
            (s, name, id, about, random, out) ->
                new Membership(s, name, id, about, random, out) {
                  @Override
                  protected List<String> lost() {
                    return livingCount() == 0 && peers().isEmpty() ? super.lost() : List.of();
                  }
                }));
  }

  /**
   * Guards the checks: one that divides by those it sees takes what the other side of a cut has as
   * well.
   */
  @Test
  public void aVariantThatDividesByWhomItSeesIsCaught() {
    String broken =
        firstBroken(
            5,
            60,
            (s, name, id, about, random, out) ->
                new Membership(s, name, id, about, random, out) {
                  @Override
                  public double divisor(long now) {
                    return livingCount() + 1;
                  }
                });
    assertTrue(broken, broken != null && broken.contains("shares"));
  }

  // ---------------------------------------------------------------- hard cases, one by one

  private static FleetSimulation fleet(int size) {
    FleetSimulation t =
        new FleetSimulation(size, FleetSimulation.settings(size), 42, Membership::new);
    assertTrue(t.unsettled(), t.settle(BOUND) >= 0);
    return t;
  }

  /**
   * Its timers tell it of its own lateness; the same without that accuses others, so that this can
   * fail.
   */
  @Test
  public void aSlowMemberDoesNotAccuseTheHealthy() {
    for (boolean doubts : new boolean[] {true, false}) {
      MembershipSettings s = FleetSimulation.settings(10);
      FleetSimulation t =
          new FleetSimulation(
              10,
              new MembershipSettings(
                  s.fleet(),
                  s.seeds(),
                  s.interval(),
                  s.timeout(),
                  s.exchangeInterval(),
                  s.reconnectInterval(),
                  s.deadConfirmation(),
                  s.deadRetention(),
                  s.propagationTime(),
                  s.maxMembers(),
                  s.frontEndCount(),
                  doubts),
              42,
              Membership::new);
      assertTrue(t.unsettled(), t.settle(BOUND) >= 0);
      t.slow(4, 900_000);
      t.net().run(t.net().now() + 60 * SECOND);
      assertEquals(
          "accusations of the healthy, doubting itself: " + doubts,
          doubts,
          t.wrongSuspicions() == 0);
    }
  }

  @Test
  public void aOneWayCutIsNoDeath() {
    FleetSimulation t = fleet(10);
    t.net().cut(1, 2);
    t.net().run(t.net().now() + 60 * SECOND);
    assertEquals(9, t.process(2).livingCount());
    assertEquals(9, t.process(1).livingCount());
  }

  /** It comes back under its former name with nothing said of its former life. */
  @Test
  public void aRestartIsNoDeath() {
    FleetSimulation t = fleet(10);
    Claim before = t.process(3).self();
    t.start(3);
    assertTrue(t.unsettled(), t.settle(5 * SECOND) >= 0);
    assertTrue(t.process(3).self().life().compareTo(before.life()) > 0);
    t.process(5)
        .receive(
            t.clock(5),
            new GossipMessage(
                GossipMessage.Kind.PING, 1, "n5", "", before, List.of())); // a late word
    assertNull(t.unsettled());
  }

  /** A list of which nobody answers for a minute, and then one does. */
  @Test
  public void joiningNeverGivesUp() {
    FleetSimulation t = new FleetSimulation(6, FleetSimulation.settings(6), 42, Membership::new);
    for (int i = 0; i < 3; i++) {
      t.kill(i);
    }
    t.net().run(60 * SECOND);
    assertEquals(0, t.process(4).livingCount());
    t.start(1);
    assertTrue(t.unsettled(), t.settle(BOUND) >= 0);
  }

  @Test
  public void twoStrangersUnderOneNameSettleOnOne() {
    FleetSimulation t = fleet(6);
    t.start(5, "n4");
    t.net().run(t.net().now() + BOUND);
    assertTrue("just one tells of itself", t.process(4).hasYielded() != t.process(5).hasYielded());
    int holder = t.process(4).hasYielded() ? 5 : 4;
    for (int i = 0; i < 4; i++) {
      assertEquals(4, t.process(i).livingCount());
      assertTrue(
          t.process(i).peers().stream().anyMatch(p -> p.claim().equals(t.process(holder).self())));
    }
    t.kill(holder);
    t.net().run(t.net().now() + 2 * BOUND);
    assertTrue("the other takes the name", !t.process(9 - holder).hasYielded());
    assertEquals(4, t.process(0).livingCount());
  }

  @Test
  public void anotherNameAtAnAddressIsAnotherMember() {
    FleetSimulation t = fleet(6);
    t.start(5, "other");
    long took = t.settle(BOUND);
    assertTrue(t.unsettled(), took >= 0 && took < 10 * SECOND);
    assertTrue(
        t.process(0).peers().stream()
            .anyMatch(p -> p.claim().name().equals("n5") && !p.claim().isLiving()));
  }

  /**
   * Who grows beyond the number of the settings, whole or cut, takes no more than its part of what
   * the window allows.
   */
  @Test
  public void newcomersDoNotOverfillTheWhole() {
    for (int cut = 0; cut < 2; cut++) {
      MembershipSettings s = settings(6);
      FleetSimulation t = new FleetSimulation(10, s, 42 + cut, Membership::new);
      for (int i = 6; i < 10; i++) {
        t.kill(i);
      }
      assertTrue(t.unsettled(), t.settle(BOUND) >= 0);
      t.net().run(t.net().now() + 2 * FORGET);
      if (cut == 1) {
        t.cut(i -> i % 2);
        t.net().run(t.net().now() + 30 * SECOND);
      }
      for (int i = 6; i < 10; i++) {
        t.start(i);
      }
      double most = 0;
      for (int i = 0; i < 400; i++) {
        t.net().run(t.net().now() + SECOND / 10);
        most = Math.max(most, t.shares());
      }
      assertTrue("add up to " + most, most <= 1 + 4.0 / 4 / 6 + ROUNDING);
      assertTrue("add up to " + t.shares() + " in the end", t.shares() <= 1 + ROUNDING);
    }
  }

  /** Shares grow once those gone are surely gone, and not before. */
  @Test
  public void theSharesOfTheSurelyGoneAreTakenOver() {
    FleetSimulation t = new FleetSimulation(10, settings(10), 42, Membership::new);
    t.net().run(2 * FORGET);
    for (int i = 5; i < 10; i++) {
      t.kill(i);
    }
    t.net().run(t.net().now() + 50 * SECOND);
    assertEquals(10, t.process(0).divisor(t.clock(0)), ROUNDING);
    t.net().run(t.net().now() + 60 * SECOND);
    assertEquals(5, t.process(0).divisor(t.clock(0)), ROUNDING);
    t.process(1).leave(t.clock(1)); // says so itself
    t.kill(1);
    t.net().run(t.net().now() + 5 * SECOND);
    assertEquals(4, t.process(0).divisor(t.clock(0)), ROUNDING);
  }
}
