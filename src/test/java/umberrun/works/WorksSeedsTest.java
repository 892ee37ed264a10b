package umberrun.works;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.Test;
import umberrun.works.Ledger.Late;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Member;
import umberrun.works.Ledger.Plan;
import umberrun.works.Ledger.State;
import umberrun.works.sim.WorksSimulation;
import umberrun.works.sim.WorksSimulation.Factory;

/**
 * Plans under faults that a seed draws, variants that must be caught, and the ledger's own rules.
 */
public class WorksSeedsTest {
  private static final long SECOND = 1_000_000;
  private static final Factory SOUND = new Factory() {};

  private int freed;
  private int sends;
  private int forced;

  private static Plan plan(String id, int atOnce, boolean oneHall, int floor, int hallFloor) {
    return new Plan(
        id,
        "op",
        "new disks",
        atOnce,
        oneHall,
        floor,
        hallFloor,
        20_000,
        Late.WAIT,
        false,
        false,
        State.RUNNING,
        "");
  }

  private String play(long seed, Factory maker) {
    SplittableRandom random = new SplittableRandom(seed);
    WorksSimulation t =
        new WorksSimulation(
            3 + random.nextInt(3), 1 + random.nextInt(3), 3, random.nextLong(), maker);
    int atOnce = 1 + random.nextInt(2);
    try {
      t.run(2 * SECOND);
      List<String> names = new ArrayList<>(t.names());
      t.plan(
          0,
          "p",
          plan(
              "p",
              atOnce,
              random.nextBoolean(),
              Math.max(0, names.size() - 2 - random.nextInt(2)),
              0),
          names.subList(0, names.size() / 2 + 1));
      for (int i = 0; i < 12; i++) {
        draw(t, random, names, atOnce);
        t.run(random.nextLong(3 * SECOND));
      }
      fair(t, names);
      for (int i = 0;
          i < 40 && t.ledger().plans().stream().anyMatch(p -> !p.state().isOver());
          i++) {
        t.run(5 * SECOND);
        // The people go on with what waits for them: a machine that was cancelled in the middle of
        // work, or fell from its hall.
        t.ledger().machines().stream()
            .filter(
                m ->
                    m.stage() == Stage.FREE
                        && (m.overdue()
                            || t.ledger().plan(m.plan()).orElseThrow().state() == State.CANCELLED))
            .forEach(m -> t.order(0, l -> l.done("op", m.name())));
      }
      freed += t.freed();
      sends += t.sends();
      // Machines that are gone for ever may leave a floor that can't be met: then that is what it
      // says.
      boolean floors =
          !t.why().isEmpty()
              && t.why().stream()
                  .allMatch(p -> p.reasons().stream().anyMatch(r -> r.contains("must stay")));
      return floors
              || t.ledger().plans().stream().allMatch(p -> p.state().isOver())
                  && !t.ledger().plans().isEmpty()
          ? null
          : "seed " + seed + ": not ended: " + t.waits();
    } catch (WorksSimulation.InvariantViolation e) {
      return "seed " + seed + ": " + e.getMessage();
    }
  }

  private void fair(WorksSimulation t, List<String> names) {
    t.reachable(true);
    t.load(1);
    t.net().healAll();
    t.net().setLinks(0, 0.02, 200, 5_000);
    for (int i = 0; i < t.frontCount(); i++) {
      t.net().resume(i);
    }
    for (String n : names) {
      t.failing(n, false);
      t.listed(n);
    }
    t.run(4 * SECOND);
    t.order(
        0,
        l ->
            l.plan("p").map(p -> p.state() == State.PAUSED || p.state() == State.HELD).orElse(false)
                ? l.resume("op", "p")
                : l);
    t.plan(0, "p", plan("p", 2, false, 0, 0), names.subList(0, 2)); // where even the plan was lost
    t.run(SECOND);
  }

  private void draw(WorksSimulation t, SplittableRandom random, List<String> names, int atOnce) {
    int a = random.nextInt(t.frontCount());
    String w = names.get(random.nextInt(names.size()));
    long later = t.net().now() + random.nextLong(6 * SECOND);
    switch (random.nextInt(14)) {
      case 0, 1 -> t.restart(a);
      case 2 -> {
        t.net().pause(a);
        t.net().at(later, () -> t.net().resume(a));
      }
      case 3 -> {
        for (int i = 0; i <= t.frontCount(); i++) {
          if (i != a) {
            t.net().cut(a, i);
            if (random.nextBoolean()) {
              t.net().cut(i, a);
            }
          }
        }
        t.net().at(later, t.net()::healAll);
      }
      case 4 -> {
        t.reachable(false);
        t.net().at(later, () -> t.reachable(true));
      }
      case 5 ->
          t.net()
              .setLinks(0.2 * random.nextDouble(), 0.1, 200, 5_000 + random.nextLong(SECOND / 4));
      case 6 -> {
        t.load(2 + random.nextDouble());
        t.net().at(later, () -> t.load(1));
      }
      case 7 -> {
        t.failing(w, true);
        t.net().at(later, () -> t.failing(w, false));
      }
      case 8 -> {
        t.unlisted(w, random.nextInt(3) == 0);
        t.net().at(later, () -> t.listed(w));
      }
      case 9 -> t.order(a, l -> random.nextBoolean() ? l.pause("op", "p") : l.resume("op", "p"));
      case 10 -> t.order(a, l -> l.skip("op", w));
      case 11 -> {
        String id = "q" + random.nextInt(3);
        t.plan(a, id, plan(id, atOnce, false, 0, 0), List.of(w));
      }
      case 12 -> {
        if (random.nextInt(4) == 0) {
          t.order(a, l -> l.cancel("op", "p"));
        } else {
          t.resumeByHand(a, w);
        }
      }
      default -> { // all restarted at once
        for (int i = 0; i < t.frontCount(); i++) {
          t.restart(i);
        }
      }
    }
  }

  private String firstBroken(int seeds, Factory maker) {
    for (long seed = 1; seed <= seeds; seed++) {
      String broken = play(seed, maker);
      if (broken != null && !broken.contains("not ended")) {
        return broken;
      }
    }
    return null;
  }

  @Test
  public void nothingReachesAMachineThatIsFreeAndEachPlanEnds() {
    for (long seed = Integer.getInteger("from", 1);
        seed <= Integer.getInteger("seeds", 150);
        seed++) {
      assertNull(play(seed, SOUND));
    }
    System.out.println("works: " + freed + " machines freed beside " + sends + " sends");
    assertTrue(freed + " freed", freed > 150);
  }

  /** Guards the checks: silence is taken for a yes. */
  @Test
  public void silenceAsAYesIsCaught() {
    assertNotNull(
        firstBroken(
            500,
            new Factory() {
              @Override
              public PlanExecutor driver(long fence) {
                return new PlanExecutor(WorksSimulation.SETTINGS, fence) {
                  @Override
                  protected boolean hasAnswered(
                      Member member, Machine m, List<FrontEndReport> reports, boolean quiet) {
                    return super.hasAnswered(member, m, reports, quiet)
                        || reports.stream().noneMatch(r -> r.member().equals(member));
                  }
                };
              }
            }));
  }

  /** Guards the checks: a holder that acts on what was, under whatever fence. */
  @Test
  public void actingWithoutTheFenceIsCaught() {
    assertNotNull(
        firstBroken(
            2_000,
            new Factory() {
              @Override
              public PlanExecutor driver(long fence) {
                return new PlanExecutor(WorksSimulation.SETTINGS, fence) {
                  @Override
                  protected boolean isOvertaken(Ledger seen, Ledger now) {
                    return false;
                  }

                  @Override
                  protected long currentFence(Ledger l) {
                    return Math.max(l.fence(), super.currentFence(l));
                  }
                };
              }
            }));
  }

  /** Guards the checks: a start that serves before it has read the bans. */
  @Test
  public void forgettingBansAtARestartIsCaught() {
    assertNotNull(
        firstBroken(
            500,
            new Factory() {
              @Override
              public boolean forgetsBans() {
                return true;
              }
            }));
  }
}
