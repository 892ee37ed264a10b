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
 * Runs plans in a simulation with random faults from a seed, and checks that variants with a known
 * defect are caught. A failing seed can be repeated with the properties {@code from} and {@code
 * seeds}.
 */
public class WorksSeedsTest {
  private static final long SECOND = 1_000_000;
  private static final Factory CORRECT = new Factory() {};

  private int freedMachines;
  private int sentCalls;

  private static Plan plan(
      String id, int maxMissing, boolean singleHall, int minReady, int minReadyPerHall) {
    return new Plan(
        id,
        "op",
        "new disks",
        maxMissing,
        singleHall,
        minReady,
        minReadyPerHall,
        20_000,
        Late.WAIT,
        false,
        false,
        State.RUNNING,
        "");
  }

  /** Runs one seed; returns what went wrong, or null. */
  private String simulate(long seed, Factory factory) {
    SplittableRandom random = new SplittableRandom(seed);
    WorksSimulation simulation =
        new WorksSimulation(
            3 + random.nextInt(3), 1 + random.nextInt(3), 3, random.nextLong(), factory);
    int maxMissing = 1 + random.nextInt(2);
    try {
      simulation.run(2 * SECOND);
      List<String> names = new ArrayList<>(simulation.names());
      simulation.plan(
          0,
          "p",
          plan(
              "p",
              maxMissing,
              random.nextBoolean(),
              Math.max(0, names.size() - 2 - random.nextInt(2)),
              0),
          names.subList(0, names.size() / 2 + 1));
      for (int i = 0; i < 12; i++) {
        injectFault(simulation, random, names, maxMissing);
        simulation.run(random.nextLong(3 * SECOND));
      }
      healAndFinish(simulation, names);
      for (int i = 0;
          i < 40 && simulation.ledger().plans().stream().anyMatch(p -> !p.state().isOver());
          i++) {
        simulation.run(5 * SECOND);
        // Operators report the work as done where the simulation does not: on machines that are
        // overdue, or whose plan was cancelled during the work.
        simulation.ledger().machines().stream()
            .filter(
                m ->
                    m.stage() == Stage.FREE
                        && (m.overdue()
                            || simulation.ledger().plan(m.plan()).orElseThrow().state()
                                == State.CANCELLED))
            .forEach(m -> simulation.order(0, l -> l.markDone("op", m.name())));
      }
      freedMachines += simulation.freedMachines();
      sentCalls += simulation.sentCalls();
      // Without the machines that are gone forever the minimum of ready machines may be out of
      // reach; the reasons must then say so.
      boolean minReadyUnreachable =
          !simulation.places().isEmpty()
              && simulation.places().stream()
                  .allMatch(p -> p.reasons().stream().anyMatch(r -> r.contains("must stay")));
      return minReadyUnreachable
              || simulation.ledger().plans().stream().allMatch(p -> p.state().isOver())
                  && !simulation.ledger().plans().isEmpty()
          ? null
          : "seed " + seed + ": not ended: " + simulation.describeProgress();
    } catch (WorksSimulation.InvariantViolation e) {
      return "seed " + seed + ": " + e.getMessage();
    }
  }

  /** Ends all faults, so that each plan can end. */
  private void healAndFinish(WorksSimulation simulation, List<String> names) {
    simulation.setRegisterReachable(true);
    simulation.setTrafficFactor(1);
    simulation.net().healAll();
    simulation.net().setLinks(0, 0.02, 200, 5_000);
    for (int i = 0; i < simulation.frontCount(); i++) {
      simulation.net().resume(i);
    }
    for (String n : names) {
      simulation.setFailing(n, false);
      simulation.restoreToList(n);
    }
    simulation.run(4 * SECOND);
    simulation.order(
        0,
        l ->
            l.plan("p").map(p -> p.state() == State.PAUSED || p.state() == State.HELD).orElse(false)
                ? l.resume("op", "p")
                : l);
    // In case the order of the plan itself was lost.
    simulation.plan(0, "p", plan("p", 2, false, 0, 0), names.subList(0, 2));
    simulation.run(SECOND);
  }

  /** Causes one random fault or order. */
  private void injectFault(
      WorksSimulation simulation, SplittableRandom random, List<String> names, int maxMissing) {
    int frontEnd = random.nextInt(simulation.frontCount());
    String machine = names.get(random.nextInt(names.size()));
    long healAt = simulation.net().now() + random.nextLong(6 * SECOND);
    switch (random.nextInt(14)) {
      case 0, 1 -> simulation.restart(frontEnd);
      case 2 -> {
        simulation.net().pause(frontEnd);
        simulation.net().at(healAt, () -> simulation.net().resume(frontEnd));
      }
      case 3 -> {
        for (int i = 0; i <= simulation.frontCount(); i++) {
          if (i != frontEnd) {
            simulation.net().cut(frontEnd, i);
            if (random.nextBoolean()) {
              simulation.net().cut(i, frontEnd);
            }
          }
        }
        simulation.net().at(healAt, simulation.net()::healAll);
      }
      case 4 -> {
        simulation.setRegisterReachable(false);
        simulation.net().at(healAt, () -> simulation.setRegisterReachable(true));
      }
      case 5 ->
          simulation
              .net()
              .setLinks(0.2 * random.nextDouble(), 0.1, 200, 5_000 + random.nextLong(SECOND / 4));
      case 6 -> {
        simulation.setTrafficFactor(2 + random.nextDouble());
        simulation.net().at(healAt, () -> simulation.setTrafficFactor(1));
      }
      case 7 -> {
        simulation.setFailing(machine, true);
        simulation.net().at(healAt, () -> simulation.setFailing(machine, false));
      }
      case 8 -> {
        simulation.removeFromList(machine, random.nextInt(3) == 0);
        simulation.net().at(healAt, () -> simulation.restoreToList(machine));
      }
      case 9 ->
          simulation.order(
              frontEnd, l -> random.nextBoolean() ? l.pause("op", "p") : l.resume("op", "p"));
      case 10 -> simulation.order(frontEnd, l -> l.skip("op", machine));
      case 11 -> {
        String id = "q" + random.nextInt(3);
        simulation.plan(frontEnd, id, plan(id, maxMissing, false, 0, 0), List.of(machine));
      }
      case 12 -> {
        if (random.nextInt(4) == 0) {
          simulation.order(frontEnd, l -> l.cancel("op", "p"));
        } else {
          simulation.resumeManually(frontEnd, machine);
        }
      }
      default -> {
        // All front ends restart at once.
        for (int i = 0; i < simulation.frontCount(); i++) {
          simulation.restart(i);
        }
      }
    }
  }

  /** The first failed check over some seeds, or null. */
  private String firstViolation(int seeds, Factory factory) {
    for (long seed = 1; seed <= seeds; seed++) {
      String violation = simulate(seed, factory);
      if (violation != null && !violation.contains("not ended")) {
        return violation;
      }
    }
    return null;
  }

  /** No call reaches a machine that is free for work, and each plan ends once faults are over. */
  @Test
  public void nothingReachesAMachineThatIsFreeAndEachPlanEnds() {
    for (long seed = Integer.getInteger("from", 1);
        seed <= Integer.getInteger("seeds", 150);
        seed++) {
      assertNull(simulate(seed, CORRECT));
    }
    System.out.println(
        "works: " + freedMachines + " machines freed beside " + sentCalls + " sends");
    assertTrue(freedMachines + " freed", freedMachines > 150);
  }

  /** The simulation detects an executor that takes a missing report for a confirmation. */
  @Test
  public void silenceAsAYesIsCaught() {
    assertNotNull(
        firstViolation(
            500,
            new Factory() {
              @Override
              public PlanExecutor executor(long fence) {
                return new PlanExecutor(WorksSimulation.DEFAULT_SETTINGS, fence) {
                  @Override
                  protected boolean hasConfirmed(
                      Member member, Machine m, List<FrontEndReport> reports, boolean idle) {
                    return super.hasConfirmed(member, m, reports, idle)
                        || reports.stream().noneMatch(r -> r.member().equals(member));
                  }
                };
              }
            }));
  }

  /** The simulation detects a holder that acts on an old ledger and ignores its fence. */
  @Test
  public void actingWithoutTheFenceIsCaught() {
    assertNotNull(
        firstViolation(
            2_000,
            new Factory() {
              @Override
              public PlanExecutor executor(long fence) {
                return new PlanExecutor(WorksSimulation.DEFAULT_SETTINGS, fence) {
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

  /** The simulation detects a front end that serves after a start before it has read the bans. */
  @Test
  public void forgettingBansAtARestartIsCaught() {
    assertNotNull(
        firstViolation(
            500,
            new Factory() {
              @Override
              public boolean forgetsBans() {
                return true;
              }
            }));
  }
}
